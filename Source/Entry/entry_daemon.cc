#include "Entry/entry_daemon.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/json.h"
#include "Base/log.h"
#include "Base/message_codec.h"
#include "Batch/batch_driver.h"
#include "Batch/batch_http_handler.h"
#include "Batch/batch_peer_messages.h"
#include "Configuration/configuration_driver.h"
#include "Configuration/configuration_messages.h"
#include "Configuration/snapshot.h"
#include "Entry/admin_handler.h"
#include "Entry/batch_class.h"
#include "Entry/batch_dispatcher.h"
#include "Entry/caller_handler.h"
#include "Entry/claim_store.h"
#include "Entry/crash_sync.h"
#include "Entry/entry_metrics.h"
#include "Entry/entry_peers.h"
#include "Entry/operator_jobs.h"
#include "Entry/request_driver.h"
#include "Limits/limits_driver.h"
#include "Limits/limits_messages.h"
#include "Link/peer_link.h"
#include "Membership/membership_driver.h"
#include "Net/http_exchange.h"
#include "Net/http_server.h"
#include "Platform/http_object_store.h"

namespace cowslip {

namespace {

// What one request costs of its organisation's rate.
constexpr double kOneRequest = 1;
constexpr auto kWatchInterval = std::chrono::milliseconds(250);
constexpr auto kDrainPollInterval = std::chrono::milliseconds(50);

Incarnation DrawIncarnation() {
  std::random_device device;
  return Incarnation((uint64_t{device()} << 32) | device());
}

PeerLinkOptions LinkOptions(const EntrySettings& settings,
                            Incarnation incarnation) {
  PeerLinkOptions options;
  options.self_vm = settings.vm.value();
  options.self_incarnation = incarnation.value();
  options.listen_address = settings.link.address;
  options.listen_port = settings.link.port;
  return options;
}

RequestCoreOptions CoreOptions(const EntrySettings& settings,
                               Incarnation incarnation) {
  RequestCoreOptions options;
  options.routing.zone = settings.zone;
  options.routing.seed = incarnation.value();
  // Exchanges of an earlier incarnation can never be taken for ours.
  options.first_exchange = ExchangeId(incarnation.value() >> 16 << 16);
  return options;
}

}  // namespace

class EntryDaemon::Impl {
 public:
  Impl(boost::asio::io_context& context, EntrySettings settings);

  Result<void> Start();
  void Shutdown();

 private:
  RequestDriverHooks RequestHooks();
  AdminHooks MakeAdminHooks();
  ConfigurationDriverOptions ConfigurationOptions() const;
  MembershipCallbacks MakeMembershipCallbacks();
  void ConnectLink();
  void OnEntryFrame(
      const char* channel,
      std::function<void(const VmId&, const std::string&)> handler);
  void SetOrganisations(const Snapshot& snapshot);
  void AskLimits(const CheckRateLimit& ask,
                 std::function<void(RequestEvent)> answer);
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot);
  void OnPeerUp(const VmId& vm);
  void OnPeerDown(const VmId& vm);
  void OnBackends(const std::vector<BackendMember>& backends);
  void Watch();
  void AwaitDrained(MonotonicTime give_up);
  void StopAll();
  std::string WhyNotReady() const;
  nlohmann::json Status() const;

  boost::asio::io_context& m_context;
  const EntrySettings m_settings;
  const Incarnation m_incarnation;
  HttpObjectStore m_store;
  PeerLink m_link;
  ClaimStore m_claims;
  RequestDriver m_requests;
  CallerHandler m_callers;
  CrashSync m_crashes;
  EntryPeers m_peers;
  ConfigurationDriver m_configuration;
  LimitsDriver m_limits;
  BatchDispatcher m_dispatcher;
  BatchDriver m_batch;
  BatchHttpHandler m_batch_http;
  OperatorJobs m_operator_jobs;
  MembershipDriver m_membership;
  EntryMetrics m_metrics;
  AdminHandler m_admin;
  HttpServer m_caller_server;
  HttpServer m_admin_server;
  boost::asio::steady_timer m_watch;
  boost::asio::steady_timer m_drain;
  std::shared_ptr<const Snapshot> m_snapshot;
  std::set<VmId> m_backends;
  // As each linked VM stated it.
  std::map<VmId, Incarnation> m_incarnations;
  bool m_draining = false;
  bool m_batch_drained = false;
};

EntryDaemon::Impl::Impl(boost::asio::io_context& context,
                        EntrySettings settings)
    : m_context(context),
      m_settings(std::move(settings)),
      m_incarnation(DrawIncarnation()),
      m_store(context.get_executor(), m_settings.platform),
      m_link(context, LinkOptions(m_settings, m_incarnation)),
      m_claims(m_store),
      m_requests(context,
                 m_claims,
                 CoreOptions(m_settings, m_incarnation),
                 RequestHooks(),
                 std::to_string(m_incarnation.value()) + "."),
      m_callers(
          m_requests,
          [this](const HttpRequest& request, OrganisationId caller) {
            return m_batch_http.Handle(request, std::move(caller));
          },
          [this] { return m_configuration.KeysTrusted(); }),
      m_crashes(
          context,
          m_store,
          [this](const std::string& cbor) {
            m_peers.SendAll(kCrashChannel, cbor);
          },
          [this](const CrashReport& report) {
            m_requests.Feed(CrashReportReceived{report});
          }),
      m_peers(m_link,
              {.on_up = [this](const VmId& vm) { OnPeerUp(vm); },
               .on_down = [this](const VmId& vm) { OnPeerDown(vm); }}),
      m_configuration(
          context,
          m_store,
          ConfigurationOptions(),
          [this](const VmId& vm, const std::string& cbor) {
            m_link.Send(vm.value(), kConfigurationChannel, cbor);
          },
          [this](std::shared_ptr<const Snapshot> snapshot) {
            OnSnapshot(std::move(snapshot));
          }),
      m_limits(context,
               m_store,
               {.self = m_settings.vm, .incarnation = m_incarnation},
               [this](const VmId& vm, const std::string& cbor) {
                 m_link.Send(vm.value(), kLimitsChannel, cbor);
               }),
      m_dispatcher(m_requests, [this] { m_batch.OnCapacityAvailable(); }),
      m_batch(
          context,
          m_store,
          {.self = m_settings.vm, .incarnation = m_incarnation},
          [this](const VmId& vm, const std::string& cbor) {
            return m_link.Send(vm.value(), kBatchChannel, cbor);
          },
          m_dispatcher),
      m_batch_http(m_batch,
                   [this](const HttpRequest& request,
                          const std::string& job_class,
                          SubmitOptions& options) {
                     return CheckBatchClass(*m_snapshot, request, job_class,
                                            options);
                   }),
      m_operator_jobs(m_batch),
      m_membership(
          context,
          m_store,
          m_link,
          {.core = {.self = m_settings.vm}, .incarnation = m_incarnation},
          MakeMembershipCallbacks()),
      m_metrics(m_requests.core(), m_link, m_store),
      m_admin(MakeAdminHooks()),
      m_caller_server(context,
                      {.listen = m_settings.http,
                       .max_body_bytes = m_settings.max_body_bytes,
                       .body_limit =
                           [this](const HttpRequest& head) {
                             return m_callers.BodyLimit(head);
                           },
                       .over_limit =
                           [this](const HttpRequest& head) {
                             return m_callers.ExplainLimit(head);
                           }},
                      [this](HttpExchange& exchange) {
                        return m_callers.Handle(exchange);
                      }),
      m_admin_server(
          context,
          {.listen = m_settings.admin},
          [this](HttpExchange& exchange) { return m_admin.Handle(exchange); }),
      m_watch(context),
      m_drain(context) {
  ConnectLink();
}

RequestDriverHooks EntryDaemon::Impl::RequestHooks() {
  return {
      .send =
          [this](const VmId& vm, const ExchangeRequestMessage& message) {
            return m_link.Send(vm.value(), kExchangeRequestChannel,
                               ToCbor(EncodeMessage(message)));
          },
      .ask_limit =
          [this](const CheckRateLimit& ask,
                 std::function<void(RequestEvent)> answer) {
            AskLimits(ask, std::move(answer));
          },
      .broadcast_crash =
          [this](const CrashReport& report) { m_crashes.Broadcast(report); }};
}

ConfigurationDriverOptions EntryDaemon::Impl::ConfigurationOptions() const {
  ConfigurationDriverOptions options;
  options.core.self = m_settings.vm;
  options.core.max_cut_off = m_settings.key_trust;
  options.data_folder = m_settings.data_folder;
  return options;
}

MembershipCallbacks EntryDaemon::Impl::MakeMembershipCallbacks() {
  return {.on_entries =
              [this](const std::vector<VmId>& entries) {
                m_peers.SetListed(entries);
                m_configuration.OnMembers(entries);
                m_limits.OnMembers(entries);
                m_batch.OnMembers(entries);
              },
          .on_backends =
              [this](const std::vector<BackendMember>& backends) {
                OnBackends(backends);
              }};
}

void EntryDaemon::Impl::ConnectLink() {
  m_link.OnUp([this](const std::string& vm, uint64_t incarnation) {
    m_incarnations[VmId(vm)] = Incarnation(incarnation);
    // A newer link may replace one that was up: frames on the old one may be
    // lost, so that what was in flight there has failed.
    m_requests.Feed(BackendLinkDown{VmId(vm)});
    m_requests.Feed(BackendLinkUp{VmId(vm)});
    m_peers.LinkUp(VmId(vm));
  });
  m_link.OnDown([this](const std::string& vm) {
    m_requests.Feed(BackendLinkDown{VmId(vm)});
    m_peers.LinkDown(VmId(vm));
  });
  m_link.OnFrame(kExchangeReplyChannel,
                 [this](const std::string& vm, const std::string& cbor) {
                   m_requests.OnReplyFrame(VmId(vm), cbor);
                 });
  OnEntryFrame(kConfigurationChannel,
               [this](const VmId& vm, const std::string& cbor) {
                 m_configuration.OnPeerFrame(vm, cbor);
               });
  OnEntryFrame(kLimitsChannel, [this](const VmId& vm, const std::string& cbor) {
    m_limits.OnPeerFrame(vm, cbor);
  });
  OnEntryFrame(kBatchChannel, [this](const VmId& vm, const std::string& cbor) {
    m_batch.OnPeerFrame(vm, cbor);
  });
  OnEntryFrame(kCrashChannel, [this](const VmId&, const std::string& cbor) {
    m_crashes.OnPeerFrame(cbor);
  });
}

void EntryDaemon::Impl::OnEntryFrame(
    const char* channel,
    std::function<void(const VmId&, const std::string&)> handler) {
  m_link.OnFrame(channel,
                 [this, handler = std::move(handler)](const std::string& name,
                                                      const std::string& cbor) {
                   const VmId vm(name);
                   m_peers.Heard(vm);
                   handler(vm, cbor);
                 });
}

void EntryDaemon::Impl::OnPeerUp(const VmId& vm) {
  m_configuration.OnPeerUp(vm);
  m_limits.OnPeerUp(vm, m_incarnations[vm]);
}

void EntryDaemon::Impl::OnPeerDown(const VmId& vm) {
  m_configuration.OnPeerDown(vm);
  m_limits.OnPeerDown(vm);
  m_batch.OnPeerDown(vm);
}

void EntryDaemon::Impl::OnBackends(const std::vector<BackendMember>& backends) {
  std::set<VmId> present;
  for (const BackendMember& backend : backends) {
    present.insert(backend.vm);
    m_requests.Feed(BackendLeavingChanged{backend.vm, false});
  }
  for (const VmId& vm : m_backends) {
    if (!present.contains(vm)) {
      m_requests.Feed(BackendLeavingChanged{vm, true});
    }
  }
  m_backends = std::move(present);
}

void EntryDaemon::Impl::OnSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  LOG(INFO) << "entry: Version " << snapshot->version() << " is in force.";
  m_snapshot = snapshot;
  SetOrganisations(*snapshot);
  m_dispatcher.SetSnapshot(snapshot);
  m_callers.SetSnapshot(std::move(snapshot));
}

void EntryDaemon::Impl::SetOrganisations(const Snapshot& snapshot) {
  std::vector<OrganisationLimit> limits;
  for (const OrganisationDeclaration* each : snapshot.Organisations()) {
    limits.push_back(
        {.organisation = each->id, .rate = each->rate, .burst = each->burst});
    m_batch.SetWeight(each->id, each->weight);
  }
  m_limits.SetLimits(limits);
}

void EntryDaemon::Impl::AskLimits(const CheckRateLimit& ask,
                                  std::function<void(RequestEvent)> answer) {
  m_limits.Admit(ask.organisation, kOneRequest,
                 [request = ask.request,
                  answer = std::move(answer)](const LimitDecision& decision) {
                   if (const auto* refused = std::get_if<Refused>(&decision)) {
                     answer(RateLimitRefused{request, refused->retry_after});
                   } else {
                     answer(RateLimitAdmitted{request});
                   }
                 });
}

Result<void> EntryDaemon::Impl::Start() {
  const std::string link_problem = m_link.Start();
  if (!link_problem.empty()) {
    return Error(ErrorKind::kUnavailable, link_problem);
  }
  Result<void> started = m_admin_server.Start();
  if (started.has_value()) {
    started = m_caller_server.Start();
  }
  if (!started.has_value()) {
    return started;
  }
  m_configuration.Start();
  m_limits.Start();
  m_batch.Start();
  m_crashes.Start();
  m_membership.Start();
  Watch();
  LOG(INFO) << "entry: VM " << m_settings.vm << " listens on "
            << m_settings.http.address << ":" << m_caller_server.port() << ".";
  return Ok();
}

void EntryDaemon::Impl::Watch() {
  m_callers.CutUntrusted();
  m_watch.expires_after(kWatchInterval);
  m_watch.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Watch();
    }
  });
}

void EntryDaemon::Impl::Shutdown() {
  if (m_draining) {
    return;
  }
  LOG(INFO) << "entry: Shutting down; running requests are finished first.";
  m_draining = true;
  m_membership.AnnounceDrain();
  boost::asio::co_spawn(
      m_context, [this] { return m_batch.Drain(); },
      [this](std::exception_ptr) { m_batch_drained = true; });
  m_drain.expires_after(m_settings.drain_delay);
  m_drain.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    m_caller_server.Drain();
    AwaitDrained(MonotonicClock::now() + m_settings.drain_timeout);
  });
}

void EntryDaemon::Impl::AwaitDrained(MonotonicTime give_up) {
  const bool drained = m_caller_server.connections() == 0 && m_batch_drained;
  if (!drained && MonotonicClock::now() < give_up) {
    m_drain.expires_after(kDrainPollInterval);
    m_drain.async_wait([this, give_up](const boost::system::error_code& error) {
      if (!error) {
        AwaitDrained(give_up);
      }
    });
    return;
  }
  m_caller_server.RefuseUnfinishedRequests();
  m_caller_server.AnswerOpenRequests();
  m_limits.Drain([this] { StopAll(); });
}

void EntryDaemon::Impl::StopAll() {
  m_watch.cancel();
  m_membership.Stop();
  m_configuration.Stop();
  m_limits.Stop();
  m_batch.Stop();
  m_requests.Stop();
  m_link.Stop();
  m_context.stop();
}

std::string EntryDaemon::Impl::WhyNotReady() const {
  if (m_draining) {
    return "draining: this VM is shutting down";
  }
  if (m_snapshot == nullptr) {
    return "no configuration: publish one, or check the platform's store";
  }
  if (!m_configuration.KeysTrusted()) {
    return "keys uncertain: cut off from the store and from peers";
  }
  return "";
}

nlohmann::json EntryDaemon::Impl::Status() const {
  nlohmann::json backends = nlohmann::json::array();
  for (const VmId& vm : m_backends) {
    backends.push_back(
        {{"vm", vm},
         {"outstanding", m_requests.core().backends().Outstanding(vm)}});
  }
  const std::string why_not = WhyNotReady();
  return {{"vm", m_settings.vm},
          {"region", m_settings.region},
          {"zone", m_settings.zone},
          {"version", COWSLIP_VERSION},
          {"configuration", m_configuration.held()},
          {"ready", why_not.empty()},
          {"why_not_ready", why_not},
          {"draining", m_draining},
          {"entries", m_peers.reachable()},
          {"backends", backends},
          {"active_requests", m_requests.core().active()},
          {"quarantined", m_requests.Quarantined()}};
}

AdminHooks EntryDaemon::Impl::MakeAdminHooks() {
  return {.why_not_ready = [this] { return WhyNotReady(); },
          .status = [this] { return Status(); },
          .metrics =
              [this] {
                m_metrics.Take(m_limits.counters());
                m_metrics.Take(m_batch.counters());
                return m_metrics.Render();
              },
          .jobs =
              [this](const HttpRequest& request) {
                return m_operator_jobs.Handle(request);
              },
          .release =
              [this](Fingerprint fingerprint) {
                return m_crashes.Release(std::move(fingerprint));
              }};
}

EntryDaemon::EntryDaemon(boost::asio::io_context& context,
                         EntrySettings settings)
    : m_impl(std::make_unique<Impl>(context, std::move(settings))) {}

EntryDaemon::~EntryDaemon() = default;

Result<void> EntryDaemon::Start() {
  return m_impl->Start();
}

void EntryDaemon::Shutdown() {
  m_impl->Shutdown();
}

}  // namespace cowslip
