#include "Batch/pending_requests.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cowslip {

namespace asio = boost::asio;

namespace {

Error NoReplyError() {
  return {ErrorKind::kInDoubt,
          "The owner of the job's partition did not answer in time. Send the "
          "request again, with the same Idempotency-Key."};
}

}  // namespace

PendingRequests::PendingRequests(asio::io_context& context)
    : m_context(context) {}

BatchRequestId PendingRequests::Add(VmId owner) {
  const BatchRequestId request(++m_last_request);
  auto entry = std::make_shared<Entry>(m_context);
  entry->owner = std::move(owner);
  m_entries.emplace(request, std::move(entry));
  return request;
}

asio::awaitable<Result<JobView>> PendingRequests::Wait(BatchRequestId request,
                                                       Duration timeout) {
  const auto found = m_entries.find(request);
  if (found == m_entries.end()) {
    co_return NoReplyError();
  }
  const std::shared_ptr<Entry> entry = found->second;
  if (!entry->reply) {
    entry->timer.expires_after(timeout);
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    co_await entry->timer.async_wait(token);
  }
  m_entries.erase(request);
  if (!entry->reply) {
    co_return NoReplyError();
  }
  co_return std::move(*entry->reply);
}

bool PendingRequests::Complete(BatchRequestId request, Result<JobView> reply) {
  const auto found = m_entries.find(request);
  if (found == m_entries.end() || found->second->reply) {
    return false;
  }
  found->second->reply = std::move(reply);
  found->second->timer.cancel();
  return true;
}

void PendingRequests::OnOwnerLost(const VmId& owner) {
  for (auto& [request, entry] : m_entries) {
    if (entry->owner == owner && !entry->reply) {
      entry->reply = NoReplyError();
      entry->timer.cancel();
    }
  }
}

}  // namespace cowslip
