#include "Batch/input_reader.h"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Batch/batch_keys.h"
#include "Platform/object_store.h"

namespace cowslip {

namespace asio = boost::asio;
using asio::awaitable;

/// \class InputReader::Segment
/// \brief The text of one segment. Several reads may wait for it to be loaded.
struct InputReader::Segment {
  explicit Segment(asio::io_context& context)
      : loaded(context, asio::steady_timer::time_point::max()) {}

  bool done = false;
  Error error;
  std::string text;
  std::vector<std::string_view> lines;
  // Cancelled when loading ends, to wake the waiting reads.
  asio::steady_timer loaded;
};

InputReader::InputReader(asio::io_context& context,
                         ObjectStore& store,
                         uint32_t partitions,
                         size_t max_segments)
    : m_context(context),
      m_store(store),
      m_partitions(partitions),
      m_max_segments(max_segments) {}

InputReader::~InputReader() = default;

std::shared_ptr<InputReader::Segment> InputReader::FindOrCreate(
    const std::string& key,
    bool& created) {
  m_lru_keys.remove(key);
  m_lru_keys.push_front(key);
  auto& segment = m_segments[key];
  created = segment == nullptr;
  if (created) {
    segment = std::make_shared<Segment>(m_context);
  }
  std::shared_ptr<Segment> found = segment;
  while (m_lru_keys.size() > m_max_segments) {
    m_segments.erase(m_lru_keys.back());
    m_lru_keys.pop_back();
  }
  return found;
}

awaitable<void> InputReader::Load(std::string key,
                                  std::shared_ptr<Segment> segment) {
  const ObjectKey object_key(key);
  auto stored = co_await m_store.Get(object_key);
  if (stored.has_value()) {
    segment->text = std::move(stored.value().value);
    segment->lines = SplitSegment(segment->text);
  } else {
    segment->error = stored.error();
    const auto found = m_segments.find(key);
    if (found != m_segments.end() && found->second == segment) {
      m_segments.erase(found);
      m_lru_keys.remove(key);
    }
  }
  segment->done = true;
  segment->loaded.cancel();
}

awaitable<Result<BatchItem>> InputReader::Read(const JobHeader& header,
                                               uint32_t item) {
  const auto& starts = header.segment_starts;
  const auto after = std::upper_bound(starts.begin(), starts.end(), item);
  if (after == starts.begin()) {
    co_return Error(ErrorKind::kMalformedMessage,
                    "The job's record names no segment for the item.");
  }
  const auto number = static_cast<uint32_t>(after - starts.begin() - 1);
  const uint32_t line = item - starts[number];
  const std::string key =
      InputSegmentKey(PartitionOf(header.job, m_partitions), header.job,
                      header.body_digest, number);
  bool created = false;
  const std::shared_ptr<Segment> segment = FindOrCreate(key, created);
  if (created) {
    co_await Load(key, segment);
  }
  while (!segment->done) {
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    co_await segment->loaded.async_wait(token);
  }
  if (segment->error.code) {
    co_return segment->error;
  }
  if (line >= segment->lines.size()) {
    co_return Error(ErrorKind::kMalformedMessage,
                    "The item is missing from its input segment.");
  }
  // The limits on lines were enforced when the job was accepted.
  const BatchLimits limits{.max_item_bytes = kMaxSegmentBytes};
  co_return ParseBatchLine(segment->lines[line], limits);
}

}  // namespace cowslip
