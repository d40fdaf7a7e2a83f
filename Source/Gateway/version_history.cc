#include "Gateway/version_history.h"

#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/event_log.h"
#include "Base/overloaded.h"
#include "Gateway/service_version_documents.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// A store that responds at all does so within a few round trips. A caller that
// is refused after this time can still start the stream anew in time.
constexpr Duration kReadTimeout = std::chrono::milliseconds(250);

}  // namespace

VersionHistory::VersionHistory(boost::asio::io_context& context,
                               DocumentStore& store,
                               const PeerTable& peers,
                               EventLog& log,
                               CatchUp catch_up,
                               VersionHistoryOptions options)
    : m_context(context),
      m_store(store),
      m_log(log),
      m_catch_up(std::move(catch_up)),
      m_core(std::move(options), peers) {}

VersionHistory::~VersionHistory() = default;

void VersionHistory::Handle(const VersionHistoryEvent& event) {
  for (const VersionHistoryAction& action :
       m_core.Handle(event, MonotonicClock::now())) {
    std::visit(
        Overloaded{
            [this](const ReadVersionRecord& read) {
              boost::asio::co_spawn(
                  m_context,
                  [this, service = read.service] { return Read(service); },
                  boost::asio::detached);
            },
            [this](const WriteVersionRecord& write) {
              boost::asio::co_spawn(
                  m_context,
                  [this, write] { return Write(write.service, write.record); },
                  boost::asio::detached);
            }},
        action);
  }
}

awaitable<VersionHistoryCore::Verdict> VersionHistory::Judge(
    ServiceId service) {
  using Knowledge = VersionHistoryCore::Knowledge;
  const MonotonicTime asked = MonotonicClock::now();
  const MonotonicTime give_up = asked + kReadTimeout;
  VersionHistoryCore::Verdict verdict = m_core.Judge(service, asked, asked);
  bool is_current = true;
  if (verdict.knowledge == Knowledge::kViewOutdated ||
      verdict.knowledge == Knowledge::kRecordNeeded) {
    is_current = co_await ReadEntries(give_up);
    if (is_current) {
      Handle(VersionsReadUpTo{asked});
    }
    verdict = m_core.Judge(service, asked, MonotonicClock::now());
  }
  // The entries may have been listed anew, so the record is read last.
  if (verdict.knowledge == Knowledge::kRecordNeeded && is_current) {
    co_await WaitForRecord(service, give_up);
    verdict = m_core.Judge(service, asked, MonotonicClock::now());
  }
  co_return verdict;
}

awaitable<bool> VersionHistory::ReadEntries(MonotonicTime give_up) {
  struct Wait {
    explicit Wait(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    bool is_current = false;
  };
  const auto wait = std::make_shared<Wait>(m_context);
  wait->timer.expires_after(give_up - MonotonicClock::now());
  m_catch_up([wait](bool is_current) {
    wait->is_current = is_current;
    // Ends a wait that begins later, too.
    wait->timer.expires_after(Duration::zero());
  });
  boost::system::error_code ignored;
  co_await wait->timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  co_return wait->is_current;
}

awaitable<void> VersionHistory::WaitForRecord(ServiceId service,
                                              MonotonicTime give_up) {
  boost::asio::steady_timer timer(m_context, give_up - MonotonicClock::now());
  const auto waiting = m_waiting.emplace(service, &timer);
  Handle(VersionRecordNeeded{service});
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  m_waiting.erase(waiting);
}

void VersionHistory::WakeWaiting(const ServiceId& service) {
  const auto [begin, end] = m_waiting.equal_range(service);
  for (auto at = begin; at != end; ++at) {
    at->second->cancel();
  }
}

awaitable<void> VersionHistory::Read(ServiceId service) {
  const DocumentKind kind(kServiceVersionsKind);
  const DocumentName name(service.value());
  const MonotonicTime began = MonotonicClock::now();
  const Result<Document> read = co_await m_store.Get(kind, name);
  if (read.has_value()) {
    HandleRecord(service, read.value(), began);
  } else if (read.error().kind() == ErrorKind::kNotFound) {
    Handle(VersionRecordKnown{service, std::nullopt, began});
  } else {
    Fail(service, "read", read.error());
  }
  WakeWaiting(service);
}

awaitable<void> VersionHistory::Write(ServiceId service,
                                      ServiceVersions record) {
  const DocumentKind kind(kServiceVersionsKind);
  const DocumentName name(service.value());
  nlohmann::json content = EncodeServiceVersions(record);
  const ObjectVersion expected = record.revision;
  const MonotonicTime began = MonotonicClock::now();
  Result<Document> written = Error(ErrorKind::kUnavailable, "not sent");
  // Two statements: GCC 12 destroys the temporaries of a conditional expression
  // with two awaits twice.
  if (expected == ObjectVersion()) {
    written = co_await m_store.Create(kind, name, content);
  } else {
    written = co_await m_store.Replace(kind, name, content, expected);
  }
  if (written.has_value()) {
    record.revision = written.value().version;
    m_log.Write("service_versions_recorded", {{"service", service.value()},
                                              {"versions", record.versions},
                                              {"writes", record.writes}});
    Handle(VersionRecordKnown{service, std::move(record), began});
  } else {
    Fail(service, "write", written.error());
  }
  WakeWaiting(service);
}

void VersionHistory::HandleRecord(const ServiceId& service,
                                  const Document& document,
                                  MonotonicTime began) {
  Result<ServiceVersions> record = DecodeServiceVersions(document);
  if (record.has_value()) {
    Handle(VersionRecordKnown{service, std::move(record.value()), began});
  } else {
    Fail(service, "read", record.error());
  }
}

void VersionHistory::Fail(const ServiceId& service,
                          const char* call,
                          const Error& why) {
  m_log.Write(
      "service_versions_call_failed",
      {{"service", service.value()}, {"call", call}, {"why", why.message}});
  Handle(VersionRecordCallFailed{
      .service = service, .in_doubt = why.kind() == ErrorKind::kInDoubt});
}

}  // namespace cowslip
