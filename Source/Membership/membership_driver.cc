#include "Membership/membership_driver.h"

#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/json.h"
#include "Base/log.h"
#include "Base/message_codec.h"
#include "Base/overloaded.h"
#include "Link/peer_link.h"
#include "Platform/object_store.h"

namespace cowslip {
namespace {

ListedVm ToListedVm(const VmRecord& record) {
  return ListedVm{
      .vm = record.vm,
      .role = record.role == "backend" ? VmRole::kBackend : VmRole::kEntry,
      .zone = record.zone,
      .service = record.service,
      .link = Endpoint{record.link_address, record.link_port},
      .leaving = record.leaving};
}

}  // namespace

/// \class MembershipDriver::Impl
/// \brief Owned by its coroutines too, so that it may outlive the driver until
/// the last of them has ended.
class MembershipDriver::Impl
    : public std::enable_shared_from_this<MembershipDriver::Impl> {
 public:
  Impl(boost::asio::io_context& context,
       ObjectStore& store,
       PeerLink& link,
       MembershipDriverOptions options,
       MembershipCallbacks callbacks)
      : m_context(context),
        m_store(store),
        m_link(link),
        m_options(std::move(options)),
        m_callbacks(std::move(callbacks)),
        m_core(m_options.core),
        m_timer(context),
        m_random(m_options.incarnation.value()) {}

  void WatchLinks() {
    const std::weak_ptr<Impl> weak = weak_from_this();
    const auto handle = [weak](MembershipEvent event) {
      if (const auto self = weak.lock()) {
        self->Handle(event);
      }
    };
    m_link.OnUp([handle](const std::string& vm, uint64_t incarnation) {
      handle(MemberPeerUp{VmId(vm), Incarnation(incarnation)});
    });
    m_link.OnDown(
        [handle](const std::string& vm) { handle(MemberPeerDown{VmId(vm)}); });
    m_link.OnFrame(kMemberChannel,
                   [weak](const std::string& vm, const std::string& cbor) {
                     if (const auto self = weak.lock()) {
                       self->HandleFrame(VmId(vm), cbor);
                     }
                   });
  }

  void Start() {
    boost::asio::co_spawn(
        m_context, [self = shared_from_this()] { return self->Poll(); },
        boost::asio::detached);
  }

  void AnnounceDrain() { Handle(MembershipDrainRequested{}); }

  void Stop() {
    m_stopped = true;
    m_timer.cancel();
  }

 private:
  boost::asio::awaitable<void> Poll() {
    while (!m_stopped) {
      const Result<std::vector<VmRecord>> list = co_await m_store.ListVms();
      if (m_stopped) {
        co_return;
      }
      HandleList(list);
      m_timer.expires_after(JitteredInterval());
      boost::system::error_code ignored;
      auto token =
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored);
      co_await m_timer.async_wait(token);
    }
  }

  void HandleList(const Result<std::vector<VmRecord>>& list) {
    if (!list.has_value()) {
      LOG_IF(WARNING, std::exchange(m_last_list_read_ok, false))
          << "membership: cannot read the VM list; keeping the last one. "
          << list.error();
      Handle(VmListReadFailed{});
      return;
    }
    m_last_list_read_ok = true;
    VmListRead event;
    for (const VmRecord& record : list.value()) {
      event.vms.push_back(ToListedVm(record));
    }
    Handle(event);
  }

  // Random, between 0.5 and 1.5 poll intervals, so that entries do not read the
  // list at the same time.
  Duration JitteredInterval() {
    const Duration::rep whole = m_options.poll_interval.count();
    std::uniform_int_distribution<Duration::rep> spread(whole / 2,
                                                        whole + whole / 2);
    return Duration(spread(m_random));
  }

  void HandleFrame(const VmId& vm, const std::string& cbor) {
    const Result<nlohmann::json> json = ParseCbor(cbor);
    if (!json.has_value()) {
      LOG(WARNING) << "membership: " << vm
                   << " sent a malformed frame; it is ignored.";
      return;
    }
    const auto message = DecodeMessage<MemberMessage>(json.value());
    if (!message.has_value()) {
      LOG(WARNING) << "membership: " << vm << ": " << message.error();
      return;
    }
    std::visit(
        Overloaded{[this, &vm](const DrainAnnouncement& announcement) {
          Handle(DrainAnnouncementReceived{vm, announcement.incarnation});
        }},
        message.value());
  }

  void Handle(const MembershipEvent& event) {
    if (m_stopped) {
      return;
    }
    for (const auto& action : m_core.Handle(event, MonotonicClock::now())) {
      std::visit([this](const auto& alternative) { ApplyAction(alternative); },
                 action);
    }
  }

  void ApplyAction(const DialPeer& dial) {
    m_link.Dial(dial.vm.value(), dial.link.address, dial.link.port);
  }
  void ApplyAction(const HangupPeer& hangup) {
    m_link.Hangup(hangup.vm.value());
  }
  void ApplyAction(const MembersChanged& changed) {
    LOG(INFO) << "membership: " << changed.entries.size()
              << " entries are members.";
    if (m_callbacks.on_entries) {
      m_callbacks.on_entries(changed.entries);
    }
  }
  void ApplyAction(const BackendsChanged& changed) {
    LOG(INFO) << "membership: " << changed.backends.size()
              << " backend servers accept new work.";
    if (m_callbacks.on_backends) {
      m_callbacks.on_backends(changed.backends);
    }
  }
  void ApplyAction(const SendDrainAnnouncement& action) {
    const MemberMessage message = DrainAnnouncement{m_options.incarnation};
    m_link.Send(action.vm.value(), kMemberChannel,
                ToCbor(EncodeMessage(message)));
  }

  boost::asio::io_context& m_context;
  ObjectStore& m_store;
  PeerLink& m_link;
  const MembershipDriverOptions m_options;
  const MembershipCallbacks m_callbacks;
  MembershipCore m_core;
  boost::asio::steady_timer m_timer;
  std::mt19937_64 m_random;
  bool m_last_list_read_ok = true;
  bool m_stopped = false;
};

MembershipDriver::MembershipDriver(boost::asio::io_context& context,
                                   ObjectStore& store,
                                   PeerLink& link,
                                   MembershipDriverOptions options,
                                   MembershipCallbacks callbacks)
    : m_impl(std::make_shared<Impl>(context,
                                    store,
                                    link,
                                    std::move(options),
                                    std::move(callbacks))) {
  m_impl->WatchLinks();
}

MembershipDriver::~MembershipDriver() {
  Stop();
}

void MembershipDriver::Start() {
  m_impl->Start();
}

void MembershipDriver::AnnounceDrain() {
  m_impl->AnnounceDrain();
}

void MembershipDriver::Stop() {
  m_impl->Stop();
}

}  // namespace cowslip
