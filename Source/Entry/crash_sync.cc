#include "Entry/crash_sync.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/json.h"
#include "Base/log.h"
#include "Base/message_codec.h"
#include "Platform/object_store.h"

namespace cowslip {

namespace {

constexpr char kPrefix[] = "crash/";
constexpr size_t kPageSize = 1000;
constexpr auto kRetryInterval = std::chrono::seconds(1);
constexpr int kMaxWriteTries = 60;

ObjectKey KeyOf(const Fingerprint& fingerprint) {
  return ObjectKey(kPrefix + fingerprint.value());
}

}  // namespace

CrashSync::CrashSync(boost::asio::io_context& context,
                     ObjectStore& store,
                     SendToEntries send,
                     Learn learn)
    : m_context(context),
      m_store(store),
      m_send(std::move(send)),
      m_learn(std::move(learn)) {}

void CrashSync::Start() {
  boost::asio::co_spawn(
      m_context, [this] { return ReadAll(); }, boost::asio::detached);
}

boost::asio::awaitable<void> CrashSync::ReadAll() {
  ObjectKey after;
  while (true) {
    const std::string prefix = kPrefix;
    const Result<std::vector<ListedObject>> page =
        co_await m_store.List(prefix, after, kPageSize);
    if (!page.has_value()) {
      boost::asio::steady_timer timer(m_context, kRetryInterval);
      co_await timer.async_wait(boost::asio::use_awaitable);
      continue;
    }
    for (const ListedObject& object : page.value()) {
      const std::string name = object.key.value().substr(prefix.size());
      m_learn({.fingerprint = Fingerprint(name), .quarantined = true});
      after = object.key;
    }
    if (page.value().size() < kPageSize) {
      co_return;
    }
  }
}

void CrashSync::Broadcast(const CrashReport& report) {
  m_send(ToCbor(report));
  if (!report.quarantined) {
    return;
  }
  LOG(WARNING) << "crash: Request " << report.fingerprint
               << " is quarantined: it crashed a backend server while alone.";
  boost::asio::co_spawn(m_context, Keep(report.fingerprint),
                        boost::asio::detached);
}

void CrashSync::OnPeerFrame(const std::string& cbor) {
  const Result<nlohmann::json> json = ParseCbor(cbor);
  if (!json.has_value()) {
    return;
  }
  const Result<CrashReport> report = DecodeStruct<CrashReport>(json.value());
  if (report.has_value()) {
    m_learn(report.value());
  }
}

boost::asio::awaitable<void> CrashSync::Keep(Fingerprint fingerprint) {
  for (int tries = 0; tries < kMaxWriteTries; ++tries) {
    const Precondition absent = IfAbsent{};
    const std::string value = "quarantined";
    const Result<ObjectVersion> written =
        co_await m_store.Put(KeyOf(fingerprint), value, absent);
    if (written.has_value() || written.error().kind() == ErrorKind::kConflict) {
      co_return;
    }
    boost::asio::steady_timer timer(m_context, kRetryInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

boost::asio::awaitable<bool> CrashSync::Release(Fingerprint fingerprint) {
  const CrashReport report = {.fingerprint = fingerprint, .released = true};
  m_learn(report);
  m_send(ToCbor(report));
  const Precondition any = Unconditional{};
  const Result<void> deleted = co_await m_store.Delete(KeyOf(fingerprint), any);
  co_return deleted.has_value() ||
      deleted.error().kind() == ErrorKind::kNotFound;
}

}  // namespace cowslip
