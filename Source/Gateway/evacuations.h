#ifndef SOURCE_GATEWAY_EVACUATIONS_H_
#define SOURCE_GATEWAY_EVACUATIONS_H_

#include <functional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Placement/evacuation_core.h"
#include "Platform/document_store.h"

namespace cowslip {

class Dispatcher;
class EventLog;
class PeerTable;
struct PeerMessage;

/// \class EvacuationsCallbacks
/// \brief What an Evacuations object tells its owner.
struct EvacuationsCallbacks {
  /// The other processes should hear of a change.
  std::function<void()> reported_state_changed;
  /// The entries are known, or could not be read in time: requests may be
  /// placed. Called once.
  std::function<void()> may_place;
};

/// \class Evacuations
/// \brief Drives EvacuationCore: applies the documents of evacuations and the
/// peers' reports to placement, and writes statuses.
class Evacuations {
 public:
  Evacuations(boost::asio::io_context& context,
              DocumentStore& store,
              Dispatcher& dispatcher,
              const PeerTable& peers,
              EventLog& log,
              EvacuationOptions options,
              EvacuationsCallbacks callbacks);

  void HandleChange(const DocumentChange& change, EvacuationSource source);
  /// Takes over a listing whose first page is as of `as_of`.
  void HandleListing(const std::vector<DocumentChange>& changes,
                     ObjectVersion as_of);
  void HandlePeer(const PeerMessage& message);
  void Handle(const EvacuationEvent& event);
  void Tick();

  /// Whether requests may be placed: the entries are known, or could not be
  /// read within the time that requests are held after a start.
  bool may_place() const { return m_may_place; }
  /// Adds what this process knows to a report.
  void AddTo(PeerMessage& message) const;
  const EvacuationCore& core() const { return m_core; }

 private:
  void ApplyAction(const ApplyEvacuation& apply);
  void ApplyAction(const LiftEvacuation& lift);
  void ApplyAction(const WriteEvacuationStatus& write);
  boost::asio::awaitable<void> WriteStatus(WriteEvacuationStatus write);
  /// Reads the entry again after a failed write of its status.
  boost::asio::awaitable<void> ReadEntry(WriteEvacuationStatus write);
  void UpdatePlacement();
  void MaybeAllowPlacement();

  boost::asio::io_context& m_context;
  DocumentStore& m_store;
  Dispatcher& m_dispatcher;
  EventLog& m_log;
  const EvacuationsCallbacks m_callbacks;
  const MonotonicTime m_start = MonotonicClock::now();
  EvacuationCore m_core;
  bool m_may_place = false;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_EVACUATIONS_H_
