#include "Batch/batch_driver.h"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/log.h"
#include "Batch/batch_driver_impl.h"
#include "Batch/item_dispatcher.h"

namespace cowslip {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr Duration kDrainPoll = std::chrono::milliseconds(50);

Error JobNotFoundError() {
  return {ErrorKind::kNotFound,
          "There is no such job. Check its id, and use the key of the "
          "organisation that created it."};
}

Error TooManyUploadsError() {
  return {ErrorKind::kRateLimited,
          "This VM is taking in as many jobs as it can. Send the job again in "
          "a few seconds, with the same Idempotency-Key."};
}

int64_t NowMs() {
  return WallNow().time_since_epoch().count();
}

// Counts an upload as active during the lifetime of the guard.
class UploadGuard {
 public:
  explicit UploadGuard(size_t& uploads) : m_uploads(uploads) { ++m_uploads; }
  ~UploadGuard() { --m_uploads; }
  UploadGuard(const UploadGuard&) = delete;
  UploadGuard& operator=(const UploadGuard&) = delete;

 private:
  size_t& m_uploads;
};

}  // namespace

BatchDriver::BatchDriver(asio::io_context& context,
                         ObjectStore& store,
                         BatchDriverOptions options,
                         SendPeer send_peer,
                         ItemDispatcher& dispatcher)
    : m_impl(std::make_shared<Impl>(context,
                                    store,
                                    std::move(options),
                                    std::move(send_peer),
                                    dispatcher)) {}

BatchDriver::~BatchDriver() {
  Stop();
}

void BatchDriver::Start() {
  m_impl->Start();
}

awaitable<Result<JobView>> BatchDriver::Submit(OrganisationId organisation,
                                               std::string idempotency_key,
                                               const std::string& jsonl,
                                               SubmitOptions options) {
  const std::shared_ptr<Impl> impl = m_impl;
  if (impl->uploads >= impl->options().max_uploads) {
    co_return TooManyUploadsError();
  }
  const UploadGuard upload_guard(impl->uploads);
  BatchInput input;
  auto checked = co_await impl->ingest().Validate(organisation, idempotency_key,
                                                  jsonl, options, input);
  if (!checked.has_value()) {
    co_return checked.error();
  }
  JobHeader header = std::move(checked.value());
  const Duration deadline =
      options.deadline.value_or(impl->options().default_deadline);
  header.created_ms = NowMs();
  header.deadline_ms =
      header.created_ms +
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count();
  const auto uploaded =
      co_await impl->ingest().Upload(header, std::move(input));
  if (!uploaded.has_value()) {
    co_return uploaded.error();
  }
  ++impl->jobs_submitted;
  const auto make_request = [header](BatchRequestId request) {
    return OwnerRequest{
        .event = SubmitRequested{.request = request, .header = header},
        .message = PeerSubmit{.request = request.value(), .header = header}};
  };
  co_return co_await impl->SendOwnerRequest(header.job, make_request);
}

awaitable<Result<JobView>> BatchDriver::Get(OrganisationId organisation,
                                            JobId job) {
  const std::shared_ptr<Impl> impl = m_impl;
  const auto make_request = [organisation, job](BatchRequestId request) {
    return OwnerRequest{.event = ViewRequested{.request = request,
                                               .organisation = organisation,
                                               .job = job},
                        .message = PeerView{.request = request.value(),
                                            .organisation = organisation,
                                            .job = job}};
  };
  auto owned = co_await impl->SendOwnerRequest(job, make_request);
  if (owned.has_value()) {
    co_return owned;
  }
  ++impl->reads_without_owner;
  const auto read = co_await impl->reader().ReadJob(job);
  if (!read.has_value()) {
    co_return read.error();
  }
  if (read.value().header.organisation != organisation) {
    co_return JobNotFoundError();
  }
  co_return read.value().View();
}

awaitable<Result<ResultsPage>> BatchDriver::Results(OrganisationId organisation,
                                                    JobId job,
                                                    uint64_t after,
                                                    size_t limit) {
  const std::shared_ptr<Impl> impl = m_impl;
  auto read = co_await impl->reader().ReadJob(job);
  if (!read.has_value()) {
    co_return read.error();
  }
  const JobHeader header = read.value().header;
  if (header.organisation != organisation) {
    co_return JobNotFoundError();
  }
  auto page = co_await impl->reader().ReadResults(std::move(read.value()),
                                                  after, limit);
  if (!page.has_value()) {
    co_return page.error();
  }
  for (ItemOutcome& outcome : page.value().outcomes) {
    if (!outcome.custom_id.empty()) {
      continue;
    }
    // The owner committed the outcome without reading the item.
    const auto item = co_await impl->inputs().Read(header, outcome.item);
    if (!item.has_value()) {
      co_return item.error();
    }
    outcome.custom_id = item.value().custom_id;
  }
  co_return page;
}

awaitable<Result<JobView>> BatchDriver::Cancel(OrganisationId organisation,
                                               JobId job) {
  const std::shared_ptr<Impl> impl = m_impl;
  const auto make_request = [organisation, job](BatchRequestId request) {
    return OwnerRequest{.event = CancelRequested{.request = request,
                                                 .organisation = organisation,
                                                 .job = job},
                        .message = PeerCancel{.request = request.value(),
                                              .organisation = organisation,
                                              .job = job}};
  };
  co_return co_await impl->SendOwnerRequest(job, make_request);
}

awaitable<Result<std::vector<JobView>>> BatchDriver::List(
    std::optional<OrganisationId> organisation,
    size_t limit) {
  const std::shared_ptr<Impl> impl = m_impl;
  std::vector<JobView> running;
  std::vector<JobView> ended;
  const auto add = [&](const JobState& job) {
    if (!organisation || job.header.organisation == *organisation) {
      (job.running() ? running : ended).push_back(job.View());
    }
  };
  for (uint32_t number = 0; number < impl->options().partitions; ++number) {
    const PartitionId partition(number);
    const auto state = co_await impl->ReadState(partition);
    if (!state.has_value()) {
      co_return state.error();
    }
    for (const auto& [id, job] : state.value().jobs) {
      add(job);
    }
    if (running.size() + ended.size() >= limit) {
      break;
    }
    const auto ended_page = co_await impl->reader().ListEnded(
        partition, limit - running.size() - ended.size());
    if (!ended_page.has_value()) {
      co_return ended_page.error();
    }
    for (const JobState& job : ended_page.value()) {
      add(job);
    }
  }
  running.insert(running.end(), ended.begin(), ended.end());
  running.resize(std::min(running.size(), limit));
  co_return running;
}

void BatchDriver::OnPeerFrame(const VmId& peer, const std::string& cbor) {
  m_impl->OnPeerFrame(peer, cbor);
}

void BatchDriver::OnPeerDown(const VmId& peer) {
  m_impl->OnPeerDown(peer);
}

void BatchDriver::OnMembers(std::vector<VmId> members) {
  m_impl->OnMembers(std::move(members));
}

void BatchDriver::SetWeight(const OrganisationId& organisation, double weight) {
  m_impl->scheduler().SetWeight(organisation, weight);
}

void BatchDriver::OnCapacityAvailable() {
  m_impl->DispatchItems();
}

awaitable<void> BatchDriver::Drain() {
  const std::shared_ptr<Impl> impl = m_impl;
  impl->BeginDrain();
  asio::steady_timer timer(impl->context());
  while (!impl->drained()) {
    timer.expires_after(kDrainPoll);
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    co_await timer.async_wait(token);
  }
}

void BatchDriver::Stop() {
  m_impl->Stop();
}

BatchCounters BatchDriver::counters() const {
  return m_impl->counters();
}

}  // namespace cowslip
