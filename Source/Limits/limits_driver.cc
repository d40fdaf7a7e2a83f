#include "Limits/limits_driver.h"

#include <map>
#include <unordered_map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/json.h"
#include "Base/log.h"
#include "Base/message_codec.h"
#include "Limits/limits_core.h"
#include "Platform/object_store.h"

namespace cowslip {
namespace {

/// Interval between ticks while the core has no work due.
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(50);

ObjectKey RecordKey(LimitsShard shard) {
  return ObjectKey("limits/" + std::to_string(shard.value()));
}

}  // namespace

/// \class LimitsDriver::Impl
/// \brief Owned by its coroutines too, so that it may outlive the driver until
/// the last of them has ended.
class LimitsDriver::Impl
    : public std::enable_shared_from_this<LimitsDriver::Impl> {
 public:
  Impl(boost::asio::io_context& context,
       ObjectStore& store,
       const LimitsDriverOptions& options,
       SendPeer send_peer)
      : m_context(context),
        m_store(store),
        m_send_peer(std::move(send_peer)),
        m_core({.self = {options.self, options.incarnation},
                .shard_count = options.shard_count,
                .seed = options.incarnation.value()},
               MonotonicClock::now()),
        m_timer(context) {}

  void Start() { Tick(); }

  void Admit(const OrganisationId& organisation,
             double cost,
             DecisionCallback callback) {
    const AdmissionId id(++m_last_admission);
    m_callbacks.emplace(id, std::move(callback));
    Handle(AdmitRequested{id, organisation, cost});
  }

  void OnPeerFrame(const VmId& from, const std::string& cbor) {
    const Result<nlohmann::json> json = ParseCbor(cbor);
    if (!json.has_value()) {
      LOG(WARNING) << "limits: " << from
                   << " sent a malformed frame; it is ignored.";
      return;
    }
    auto message = DecodeMessage<LimitsMessage>(json.value());
    if (!message.has_value()) {
      LOG(WARNING) << "limits: " << from << ": " << message.error();
      return;
    }
    Handle(LimitsPeerMessage{from, std::move(message.value())});
  }

  void Drain(std::function<void()> done) {
    m_drain_done = std::move(done);
    Handle(LimitsDrainRequested{});
  }

  LimitsCounters counters() const {
    LimitsCounters counters = m_counters;
    counters.owned_shards = m_core.owned_shards();
    counters.waiting = m_core.waiting();
    return counters;
  }

  void Stop() {
    if (std::exchange(m_stopped, true)) {
      return;
    }
    m_timer.cancel();
    m_drain_done = nullptr;
    for (auto& [id, callback] : std::exchange(m_callbacks, {})) {
      callback(Refused{kNoOwnerRetryAfter, RefusalReason::kNoOwner});
    }
  }

  void Handle(const LimitsEvent& event) {
    if (m_stopped) {
      return;
    }
    for (const auto& action : m_core.Handle(event, MonotonicClock::now())) {
      std::visit([this](const auto& alternative) { ApplyAction(alternative); },
                 action);
    }
    if (m_core.NeedsTick()) {
      ScheduleTick(kLimitsTickInterval);
    }
    if (m_drain_done && m_core.IsDrained()) {
      std::exchange(m_drain_done, nullptr)();
    }
  }

 private:
  void Tick() {
    m_next_tick = MonotonicTime::max();
    Handle(LimitsTick{});
    ScheduleTick(kIdleTickInterval);
  }

  void ScheduleTick(Duration delay) {
    const MonotonicTime at = MonotonicClock::now() + delay;
    if (m_stopped || at >= m_next_tick) {
      return;
    }
    m_next_tick = at;
    m_timer.expires_after(delay);
    m_timer.async_wait(
        [self = shared_from_this()](boost::system::error_code error) {
          if (!error && !self->m_stopped) {
            self->Tick();
          }
        });
  }

  void Finish(AdmissionId id, LimitDecision decision) {
    const auto found = m_callbacks.find(id);
    if (found == m_callbacks.end()) {
      return;
    }
    const DecisionCallback callback = std::move(found->second);
    m_callbacks.erase(found);
    callback(decision);
  }

  void ApplyAction(const AdmitAction& action) {
    ++m_counters.admitted;
    Finish(action.id, Admitted{});
  }

  void ApplyAction(const RefuseAction& action) {
    switch (action.reason) {
      case RefusalReason::kOverLimit:
        ++m_counters.refused_over_limit;
        break;
      case RefusalReason::kUnknownOrganisation:
        ++m_counters.refused_unknown_organisation;
        break;
      case RefusalReason::kNoOwner:
        ++m_counters.refused_no_owner;
        break;
    }
    Finish(action.id, Refused{action.retry_after, action.reason});
  }

  void ApplyAction(const SendLimitsMessage& action) {
    const std::string cbor = ToCbor(EncodeMessage(action.message));
    ++m_counters.messages_sent;
    m_counters.bytes_sent += cbor.size();
    m_send_peer(action.to, cbor);
  }

  void ApplyAction(const ReadRecord& action) {
    ++m_counters.store_reads;
    Spawn([shard = action.shard](Impl& self) { return self.Read(shard); });
  }

  void ApplyAction(const WriteRecord& action) {
    ++m_counters.store_writes;
    Spawn([action](Impl& self) { return self.Write(action); });
  }

  template <class Coroutine>
  void Spawn(Coroutine coroutine) {
    boost::asio::co_spawn(
        m_context,
        [self = shared_from_this(), coroutine] { return coroutine(*self); },
        boost::asio::detached);
  }

  boost::asio::awaitable<void> Read(LimitsShard shard) {
    const ObjectKey key = RecordKey(shard);
    const Result<StoredObject> object = co_await m_store.Get(key);
    if (object.has_value()) {
      HandleRecordObject(shard, object.value());
    } else if (object.error().kind() == ErrorKind::kNotFound) {
      Handle(RecordRead{shard, std::nullopt, ObjectVersion()});
    } else {
      Handle(RecordReadFailed{shard});
    }
  }

  void HandleRecordObject(LimitsShard shard, const StoredObject& object) {
    Result<LimitsRecord> record = DecodeLimitsRecord(object.value);
    if (record.has_value()) {
      Handle(RecordRead{shard, std::move(record.value()), object.version});
      return;
    }
    LOG(ERROR) << "limits: " << RecordKey(shard)
               << " is malformed; delete it once no entry of an older release "
                  "runs. "
               << record.error();
    Handle(RecordReadFailed{shard});
  }

  boost::asio::awaitable<void> Write(WriteRecord write) {
    const ObjectKey key = RecordKey(write.shard);
    const std::string value = EncodeLimitsRecord(write.record);
    Precondition precondition = IfAbsent{};
    if (write.expected_version) {
      precondition = IfVersion{*write.expected_version};
    }
    const Result<ObjectVersion> version =
        co_await m_store.Put(key, value, precondition);
    if (version.has_value()) {
      Handle(RecordWritten{write.shard, write.record.write_token,
                           version.value()});
    } else if (version.error().kind() == ErrorKind::kConflict) {
      Handle(RecordWriteConflict{write.shard});
    } else {
      Handle(RecordWriteUncertain{write.shard});
    }
  }

  boost::asio::io_context& m_context;
  ObjectStore& m_store;
  const SendPeer m_send_peer;
  LimitsCore m_core;
  boost::asio::steady_timer m_timer;
  MonotonicTime m_next_tick = MonotonicTime::max();
  bool m_stopped = false;
  uint64_t m_last_admission = 0;
  std::unordered_map<AdmissionId, DecisionCallback> m_callbacks;
  std::function<void()> m_drain_done;
  LimitsCounters m_counters;
};

LimitsDriver::LimitsDriver(boost::asio::io_context& context,
                           ObjectStore& store,
                           LimitsDriverOptions options,
                           SendPeer send_peer)
    : m_impl(std::make_shared<Impl>(context,
                                    store,
                                    options,
                                    std::move(send_peer))) {}

LimitsDriver::~LimitsDriver() {
  Stop();
}

void LimitsDriver::Start() {
  m_impl->Start();
}

void LimitsDriver::Admit(const OrganisationId& organisation,
                         double cost,
                         DecisionCallback callback) {
  m_impl->Admit(organisation, cost, std::move(callback));
}

void LimitsDriver::OnPeerFrame(const VmId& from, const std::string& cbor) {
  m_impl->OnPeerFrame(from, cbor);
}

void LimitsDriver::OnPeerUp(const VmId& vm, Incarnation incarnation) {
  m_impl->Handle(LimitsPeerUp{vm, incarnation});
}

void LimitsDriver::OnPeerDown(const VmId& vm) {
  m_impl->Handle(LimitsPeerDown{vm});
}

void LimitsDriver::OnMembers(const std::vector<VmId>& entries) {
  m_impl->Handle(LimitsMembersChanged{entries});
}

void LimitsDriver::SetLimits(const std::vector<OrganisationLimit>& limits) {
  m_impl->Handle(LimitsChanged{limits});
}

void LimitsDriver::Drain(std::function<void()> done) {
  m_impl->Drain(std::move(done));
}

LimitsCounters LimitsDriver::counters() const {
  return m_impl->counters();
}

void LimitsDriver::Stop() {
  m_impl->Stop();
}

}  // namespace cowslip
