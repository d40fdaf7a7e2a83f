#ifndef SOURCE_GATEWAY_DISPATCHER_H_
#define SOURCE_GATEWAY_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/work_class.h"
#include "Placement/admission_core.h"
#include "Placement/placement_core.h"
#include "Placement/wait_queue.h"

namespace cowslip {

struct ConnectionCheck;
class Dispatcher;
class HttpClient;
class MemoryBudget;

/// \class AttemptLease
/// \brief One slot of a backend server, held from the placement until the
/// attempt has ended.
class AttemptLease {
 public:
  AttemptLease(Dispatcher& dispatcher,
               const BackendId& backend,
               WorkClass work);
  ~AttemptLease();
  AttemptLease(const AttemptLease&) = delete;
  AttemptLease& operator=(const AttemptLease&) = delete;

  const BackendId& backend() const { return m_record.id; }
  const ServiceId& service() const { return m_record.service; }
  /// The start time of the backend server, see BackendRecord.
  uint64_t started_at_ms() const { return m_record.started_at_ms; }
  /// The software version of the backend server when the slot was acquired.
  const SoftwareVersion& version() const { return m_record.version; }
  const std::shared_ptr<HttpClient>& client() const { return m_client; }
  /// Call it right before the request is written to a connection. Returns false
  /// if it must not be sent any more, because the backend server's zone is
  /// being evacuated since the slot was acquired.
  bool BeginSend();
  /// Whether BeginSend() has returned false.
  bool was_withheld() const { return m_withheld; }
  /// Records that the request was not sent, because the connection failed its
  /// check: another incarnation may run at the backend server's address.
  void MarkUnverified() { m_unverified = true; }
  bool was_unverified() const { return m_unverified; }
  /// Records that the backend server has said in a response that it leaves.
  void MarkBackendLeaving();
  /// Records whether the backend server has named a limit in a response.
  void RecordLimit(const std::optional<RequestRate>& limit);
  /// Records how much longer the backend server says that it stays cold.
  void RecordColdness(const std::optional<Duration>& remaining);
  /// Sets how the attempt ended. Without a call, it counts as kCancelled.
  void SetOutcome(AttemptOutcome outcome) { m_outcome = outcome; }

 private:
  Dispatcher& m_dispatcher;
  // As registered when the slot was acquired.
  const BackendRecord m_record;
  const WorkClass m_work_class;
  std::shared_ptr<HttpClient> m_client;
  AttemptOutcome m_outcome = AttemptOutcome::kCancelled;
  bool m_withheld = false;
  bool m_unverified = false;
};

/// \class ZoneUse
/// \brief This process's requests at the backend servers of one zone.
struct ZoneUse {
  /// Slots held, also those of backend servers that are no longer listed.
  uint32_t in_flight = 0;
  /// Where and when the last request was sent; an empty id before the first.
  BackendId last_backend;
  MonotonicTime last_sent;
};

/// \class OnlinePlacementRequest
/// \brief The placement that an online request needs.
struct OnlinePlacementRequest {
  ServiceId service;
  std::string shared_prompt;
  std::set<BackendId> exclude;
  std::optional<SoftwareVersion> version;
  int priority = 0;
  Duration latency_target{0};
  /// Time until the request's deadline.
  Duration remaining{0};
  /// Where the request may run.
  HomeRegions home_regions;
};

/// No slot was found in time: the request is to be refused.
struct PlacementRefused {
  const char* reason = "";
  Duration retry_after{0};
  /// The load at the time of the refusal of the backend servers that may run
  /// the request.
  ServiceLoad load;
};
using PlacementResult =
    std::variant<std::unique_ptr<AttemptLease>, PlacementRefused>;

/// \class DispatcherOptions
/// \brief Settings of the cores and of the connections.
struct DispatcherOptions {
  PlacementOptions placement;
  AdmissionOptions admission;
  /// How often the queue of waiting requests is processed when no event
  /// triggers it.
  Duration wait_poll_interval = std::chrono::milliseconds(10);
  /// The VM of a backend server, if reachable, accepts a connection within a
  /// few milliseconds.
  Duration connect_timeout = std::chrono::milliseconds(400);
  /// One second is the shortest interval of TCP keep-alive probes that the
  /// kernel supports.
  Duration dead_peer_timeout = std::chrono::seconds(1);
  /// Idle connections kept per backend server: its slots and a few more.
  size_t max_idle_connections = 16;
  /// See HttpClientOptions::memory.
  std::shared_ptr<MemoryBudget> memory{};
  /// Returns the check of connections to a backend server, null for none. May
  /// be null itself.
  std::function<std::shared_ptr<const ConnectionCheck>(const BackendRecord&)>
      connection_check{};
};

/// \class Dispatcher
/// \brief Drives the placement core, the wait queue and the admission core, and
/// owns the connections to the backend servers.
class Dispatcher {
 public:
  /// `load_changed` is called when the number of requests that this process has
  /// in flight changes.
  Dispatcher(boost::asio::io_context& context,
             DispatcherOptions options,
             std::function<void()> load_changed);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Acquires a slot for an online request. May wait for a fraction of the
  /// request's latency target. When `cancelled` is set meanwhile, the request
  /// is refused.
  boost::asio::awaitable<PlacementResult> PlaceOnline(
      OnlinePlacementRequest placement,
      std::shared_ptr<const bool> cancelled);
  /// Ends the waits of requests that were cancelled meanwhile.
  void EndCancelledWaits();
  /// Acquires a slot that is free now for an online request; null when none is.
  std::unique_ptr<AttemptLease> TryPlaceOnline(const PlacementQuery& query);
  /// Acquires a slot for a batch item; null when none is free.
  std::unique_ptr<AttemptLease> PlaceBatch(const PlacementQuery& query);

  /// Passes an event to the placement core, then tries to place the waiting
  /// requests.
  void HandleEvent(const PlacementEvent& event);
  void SetMemberCount(uint32_t members) { m_member_count = members; }
  /// Sets how many connections a backend server of the service accepts from all
  /// gateway processes together.
  void SetMaxConnections(const ServiceId& service, uint32_t max_connections) {
    m_max_connections[service] = max_connections;
  }

  /// By zone of the backend server.
  const std::map<ZoneId, ZoneUse>& zone_use() const { return m_zone_use; }
  /// What has happened to cold backend servers since the last call.
  std::vector<ColdAction> TakeColdActions();

  const PlacementCore& placement_core() const { return m_placement; }
  AdmissionCore& admission_core() { return m_admission; }
  size_t waiting_count() const { return m_wait_queue.size(); }
  std::shared_ptr<HttpClient> ClientFor(const BackendId& backend);

 private:
  friend class AttemptLease;
  struct PendingWait;

  boost::asio::awaitable<PlacementResult> Wait(
      OnlinePlacementRequest placement,
      PlacementQuery query,
      AdmitRequest bounds,
      std::shared_ptr<const bool> cancelled);
  size_t MaxIdleConnections(const ServiceId& service) const;
  void PlaceWaitingRequests();
  /// Ends the waits of requests that no backend server accepts any more.
  void EndHopelessWaits();
  /// Wakes the requests that the actions decide on. Returns true when at least
  /// one of them was placed.
  bool ApplyActions(const std::vector<WaitQueueAction>& actions);
  void ScheduleTick();

  boost::asio::io_context& m_context;
  const DispatcherOptions m_options;
  const std::function<void()> m_load_changed;
  PlacementCore m_placement;
  AdmissionCore m_admission;
  WaitQueue m_wait_queue;
  boost::asio::steady_timer m_tick_timer;
  bool m_tick_scheduled = false;
  bool m_placing_waiters = false;
  uint32_t m_member_count = 1;
  std::map<ServiceId, uint32_t> m_max_connections;
  uint64_t m_last_ticket = 0;
  std::map<TicketId, std::shared_ptr<PendingWait>> m_pending_waits;
  std::map<BackendId, std::shared_ptr<HttpClient>> m_clients;
  std::map<ZoneId, ZoneUse> m_zone_use;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_DISPATCHER_H_
