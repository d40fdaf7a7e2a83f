#include "Batch/job_ingest.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/sha256.h"
#include "Batch/batch_driver.h"
#include "Batch/batch_keys.h"
#include "Batch/batch_parser.h"
#include "Batch/item_dispatcher.h"
#include "Platform/object_store.h"

namespace cowslip {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

// Bytes that are parsed in one turn of the event loop, so that online requests
// on this thread wait a millisecond or two at most.
constexpr size_t kBytesPerTurn = 64 * 1024;
constexpr size_t kJobIdLength = 32;
constexpr int kUploadAttempts = 3;

}  // namespace

JobId MakeJobId(const OrganisationId& organisation,
                const std::string& idempotency_key) {
  const Digest digest =
      Sha256(organisation.value() + std::string(1, '\0') + idempotency_key);
  return JobId(digest.value().substr(0, kJobIdLength));
}

JobIngest::JobIngest(asio::io_context& context,
                     ObjectStore& store,
                     ItemDispatcher& dispatcher,
                     uint32_t partitions,
                     BatchLimits limits)
    : m_context(context),
      m_store(store),
      m_dispatcher(dispatcher),
      m_partitions(partitions),
      m_limits(limits) {}

awaitable<void> JobIngest::Yield() {
  co_await asio::post(m_context, asio::use_awaitable);
}

Result<bool> JobIngest::IsIdempotent(const OrganisationId& organisation,
                                     const RouteId& route,
                                     const BatchInput& input) {
  bool idempotent = true;
  for (ItemTarget target : input.targets) {
    if (target.route.empty()) {
      target.route = route;
    }
    if (target.route.empty() && target.url.empty()) {
      return Error(ErrorKind::kInvalidArgument,
                   "Some items name neither a route nor a url. Name them on "
                   "the lines, or send the header X-Batch-Route.");
    }
    const auto each = m_dispatcher.IsIdempotent(organisation, target);
    if (!each.has_value()) {
      return each.error();
    }
    idempotent = idempotent && each.value();
  }
  return idempotent;
}

awaitable<Digest> JobIngest::ComputeDigest(const BatchInput& input,
                                           const SubmitOptions& options) {
  std::string digests = options.route.value();
  digests += options.bulk ? "|bulk|" : "|standard|";
  for (const std::string& segment : input.segments) {
    digests += Sha256(segment).value();
    co_await Yield();
  }
  co_return Sha256(digests);
}

awaitable<Result<JobHeader>> JobIngest::Validate(
    const OrganisationId& organisation,
    const std::string& idempotency_key,
    const std::string& jsonl,
    const SubmitOptions& options,
    BatchInput& input) {
  BatchParser parser(jsonl, m_limits);
  while (parser.ParseChunk(kBytesPerTurn)) {
    co_await Yield();
  }
  auto parsed = parser.Finish();
  if (!parsed.has_value()) {
    co_return parsed.error();
  }
  input = std::move(parsed.value());
  const auto idempotent = IsIdempotent(organisation, options.route, input);
  if (!idempotent.has_value()) {
    co_return idempotent.error();
  }
  JobHeader header;
  header.job = MakeJobId(organisation, idempotency_key);
  header.organisation = organisation;
  header.body_digest = co_await ComputeDigest(input, options);
  header.items = input.items;
  header.segment_starts = input.segment_starts;
  header.idempotent = idempotent.value();
  header.bulk = options.bulk;
  header.route = options.route;
  co_return header;
}

awaitable<Result<void>> JobIngest::Upload(const JobHeader& header,
                                          BatchInput input) {
  const PartitionId partition = PartitionOf(header.job, m_partitions);
  for (uint32_t number = 0; number < input.segments.size(); ++number) {
    const std::string key =
        InputSegmentKey(partition, header.job, header.body_digest, number);
    const auto put = co_await PutSegment(key, input.segments[number]);
    if (!put.has_value()) {
      co_return put;
    }
    input.segments[number].clear();
    input.segments[number].shrink_to_fit();
  }
  co_return Ok();
}

awaitable<Result<void>> JobIngest::PutSegment(const std::string& key,
                                              std::string segment) {
  const ObjectKey object_key(key);
  // The key contains a digest of the content, so writing the segment twice does
  // no harm.
  const Precondition precondition = Unconditional{};
  Error last;
  for (int attempt = 0; attempt < kUploadAttempts; ++attempt) {
    const auto put = co_await m_store.Put(object_key, segment, precondition);
    if (put.has_value()) {
      co_return Ok();
    }
    last = put.error();
  }
  co_return Error(ErrorKind::kUnavailable,
                  "The job's input cannot be stored just now (" + last.message +
                      "). Nothing was accepted; send the job again, with the "
                      "same Idempotency-Key.");
}

}  // namespace cowslip
