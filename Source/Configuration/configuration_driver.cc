#include "Configuration/configuration_driver.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/json.h"
#include "Base/log.h"
#include "Base/message_codec.h"
#include "Base/overloaded.h"
#include "Configuration/saved_configuration.h"
#include "Platform/object_store.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// A content object with its envelope.
constexpr size_t kMaxFrameBytes = 4u << 20;

}  // namespace

class ConfigurationDriver::Impl
    : public std::enable_shared_from_this<ConfigurationDriver::Impl> {
 public:
  Impl(boost::asio::io_context& context,
       ObjectStore& store,
       ConfigurationDriverOptions options,
       PeerSender send_peer,
       ApplyHandler on_apply)
      : m_context(context),
        m_store(store),
        m_options(std::move(options)),
        m_send_peer(std::move(send_peer)),
        m_on_apply(std::move(on_apply)),
        m_core(m_options.core),
        m_timer(context) {}

  void Start() {
    if (!m_options.data_folder.empty()) {
      if (auto saved = ReadSavedConfiguration(m_options.data_folder)) {
        Raise(std::move(*saved));
      }
    }
    Tick();
  }

  void Stop() {
    m_stopped = true;
    m_timer.cancel();
  }

  void Raise(ConfigurationEvent event) {
    if (m_stopped) {
      return;
    }
    const ConfigurationActions actions =
        m_core.Handle(event, MonotonicClock::now());
    for (const ConfigurationAction& action : actions) {
      std::visit([this](const auto& each) { Run(each); }, action);
    }
  }

  const ConfigurationCore& core() const { return m_core; }

 private:
  void Tick() {
    Raise(ConfigurationTick{});
    m_timer.expires_after(m_options.tick);
    m_timer.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto driver = self.lock();
          if (!error && driver && !driver->m_stopped) {
            driver->Tick();
          }
        });
  }

  void Run(const FetchHead&) { Spawn(ReadHead(shared_from_this())); }
  void Run(const WatchHead& action) {
    Spawn(Watch(shared_from_this(), action.since));
  }
  void Run(const FetchContent& action) {
    Spawn(ReadContent(shared_from_this(), action.digest));
  }
  void Run(const SendConfigurationPeer& action) {
    m_send_peer(action.vm, ToCbor(EncodeMessage(action.message)));
  }
  void Run(const ApplySnapshot& action) {
    LOG(INFO) << "config: version " << m_core.held() << " is in force.";
    m_on_apply(action.snapshot);
  }
  void Run(const SaveConfiguration& action) {
    if (m_options.data_folder.empty()) {
      return;
    }
    const Result<void> written =
        WriteSavedConfiguration(m_options.data_folder, action.saved);
    if (!written.has_value()) {
      LOG(WARNING) << "config: " << written.error().message;
    }
  }
  void Run(const ReportProblem& action) {
    LOG(WARNING) << "config: " << action.text;
  }

  void Spawn(awaitable<void> work) {
    boost::asio::co_spawn(m_context, std::move(work), boost::asio::detached);
  }

  static awaitable<void> ReadHead(std::shared_ptr<Impl> self) {
    ObjectKey key(kHeadKey);
    Result<StoredObject> read = co_await self->m_store.Get(std::move(key));
    if (read.has_value()) {
      self->Raise(HeadFromStore{.text = std::move(read.value().value),
                                .version = read.value().version});
    } else if (read.error().kind() == ErrorKind::kNotFound) {
      self->Raise(HeadAbsent{});
    } else {
      self->Raise(HeadFetchFailed{});
    }
  }

  static awaitable<void> Watch(std::shared_ptr<Impl> self,
                               ObjectVersion since) {
    std::string prefix(kHeadKey);
    Result<WatchResult> seen = co_await self->m_store.Watch(
        std::move(prefix), since, self->m_options.watch_timeout);
    if (!seen.has_value()) {
      self->Raise(WatchFailed{});
      co_return;
    }
    const WatchResult& result = seen.value();
    self->Raise(
        WatchReturned{.revision = result.revision,
                      .changed = result.compacted || !result.changes.empty()});
  }

  static awaitable<void> ReadContent(std::shared_ptr<Impl> self,
                                     Digest digest) {
    ObjectKey key(kContentPrefix + digest.value());
    Result<StoredObject> read = co_await self->m_store.Get(std::move(key));
    if (read.has_value()) {
      self->Raise(ContentArrived{.digest = std::move(digest),
                                 .bytes = std::move(read.value().value)});
    } else {
      self->Raise(ContentFetchFailed{.digest = std::move(digest)});
    }
  }

  boost::asio::io_context& m_context;
  ObjectStore& m_store;
  const ConfigurationDriverOptions m_options;
  const PeerSender m_send_peer;
  const ApplyHandler m_on_apply;
  ConfigurationCore m_core;
  boost::asio::steady_timer m_timer;
  bool m_stopped = false;
};

ConfigurationDriver::ConfigurationDriver(boost::asio::io_context& context,
                                         ObjectStore& store,
                                         ConfigurationDriverOptions options,
                                         PeerSender send_peer,
                                         ApplyHandler on_apply)
    : m_impl(std::make_shared<Impl>(context,
                                    store,
                                    std::move(options),
                                    std::move(send_peer),
                                    std::move(on_apply))) {}

ConfigurationDriver::~ConfigurationDriver() {
  Stop();
}

void ConfigurationDriver::Start() {
  m_impl->Start();
}

void ConfigurationDriver::Stop() {
  m_impl->Stop();
}

void ConfigurationDriver::OnPeerUp(const VmId& vm) {
  m_impl->Raise(ConfigurationPeerUp{.vm = vm});
}

void ConfigurationDriver::OnPeerDown(const VmId& vm) {
  m_impl->Raise(ConfigurationPeerDown{.vm = vm});
}

void ConfigurationDriver::OnPeerFrame(const VmId& vm, const std::string& cbor) {
  const Result<nlohmann::json> parsed =
      ParseCbor(cbor, {.max_bytes = kMaxFrameBytes});
  if (!parsed.has_value()) {
    LOG(WARNING) << "config: A frame of " << vm << " is dropped. "
                 << parsed.error().message;
    return;
  }
  Result<ConfigurationMessage> message =
      DecodeMessage<ConfigurationMessage>(parsed.value());
  if (!message.has_value()) {
    LOG(WARNING) << "config: A message of " << vm << " is dropped. "
                 << message.error().message;
    return;
  }
  m_impl->Raise(ConfigurationPeerMessage{
      .vm = vm, .message = std::move(message.value())});
}

void ConfigurationDriver::OnMembers(std::vector<VmId> entries) {
  m_impl->Raise(ConfigurationMembersChanged{.members = std::move(entries)});
}

bool ConfigurationDriver::KeysTrusted() const {
  return m_impl->core().KeysTrusted(MonotonicClock::now());
}

ConfigVersion ConfigurationDriver::held() const {
  return m_impl->core().held();
}

}  // namespace cowslip
