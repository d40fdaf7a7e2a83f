#include "Gateway/evacuations.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Base/event_log.h"
#include "Gateway/dispatcher.h"
#include "Peers/peer_message.h"
#include "platform/completed_status.h"
#include "platform/wire_names.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// As long as StartupGate holds requests: a store that can be reached is read
// within that time.
constexpr Duration kReadTimeout = std::chrono::milliseconds(500);

const char* NameOf(EvacuationSource source) {
  switch (source) {
    case EvacuationSource::kList:
      return "list";
    case EvacuationSource::kWatch:
      return "watch";
    case EvacuationSource::kPeer:
      break;
  }
  return "peer";
}

EvacuationWritten EntryOf(const Document& document, EvacuationSource source) {
  return EvacuationWritten{.zone = ZoneId(document.name.value()),
                           .version = document.version,
                           .created = document.created,
                           .completed = platform::IsCompleted(document),
                           .source = source};
}

}  // namespace

Evacuations::Evacuations(boost::asio::io_context& context,
                         DocumentStore& store,
                         Dispatcher& dispatcher,
                         const PeerTable& peers,
                         EventLog& log,
                         EvacuationOptions options,
                         EvacuationsCallbacks callbacks)
    : m_context(context),
      m_store(store),
      m_dispatcher(dispatcher),
      m_log(log),
      m_callbacks(std::move(callbacks)),
      m_core(std::move(options), peers) {}

void Evacuations::HandleChange(const DocumentChange& change,
                               EvacuationSource source) {
  const Document& document = change.document;
  if (change.removed) {
    Handle(EvacuationRemoved{ZoneId(document.name.value()), document.version,
                             source});
  } else {
    Handle(EntryOf(document, source));
  }
}

void Evacuations::HandleListing(const std::vector<DocumentChange>& changes,
                                ObjectVersion as_of) {
  for (const DocumentChange& change : changes) {
    HandleChange(change, EvacuationSource::kList);
  }
  Handle(EvacuationsListed{as_of});
}

void Evacuations::HandlePeer(const PeerMessage& message) {
  Handle(PeerEvacuationsReported{.vm = message.vm,
                                 .knows_entries = message.knows_evacuations,
                                 .zones = message.evacuated_zones});
}

void Evacuations::Handle(const EvacuationEvent& event) {
  const std::vector<EvacuationAction> actions =
      m_core.Handle(event, MonotonicClock::now());
  for (const EvacuationAction& action : actions) {
    std::visit([this](const auto& alternative) { ApplyAction(alternative); },
               action);
  }
  MaybeAllowPlacement();
}

void Evacuations::Tick() {
  EvacuationTick tick;
  for (const auto& [zone, use] : m_dispatcher.zone_use()) {
    if (use.in_flight > 0) {
      tick.busy_zones.insert(zone);
    }
  }
  Handle(tick);
}

void Evacuations::MaybeAllowPlacement() {
  if (m_may_place) {
    return;
  }
  if (m_core.knows_entries()) {
    m_may_place = true;
  } else if (MonotonicClock::now() - m_start >= kReadTimeout) {
    m_may_place = true;
    m_log.Write("evacuations_unknown",
                {{"why",
                  "The evacuations could not be read since the start. Requests "
                  "are placed; check the store."}});
  }
  if (m_may_place) {
    m_callbacks.may_place();
  }
}

void Evacuations::AddTo(PeerMessage& message) const {
  message.knows_evacuations = m_core.knows_entries();
  message.evacuated_zones = m_core.ZonesToReport();
  for (EvacuatedZone& zone : message.evacuated_zones) {
    const auto use = m_dispatcher.zone_use().find(zone.zone);
    if (use != m_dispatcher.zone_use().end()) {
      zone.in_flight = use->second.in_flight;
    }
  }
}

void Evacuations::UpdatePlacement() {
  m_dispatcher.HandleEvent(EvacuatedZonesChanged{m_core.EvacuatedZones()});
  m_callbacks.reported_state_changed();
}

void Evacuations::ApplyAction(const ApplyEvacuation& apply) {
  const std::string& zone = apply.zone.value();
  const uint64_t version = apply.version.value();
  m_log.Write(
      "evacuation_known",
      {{"zone", zone}, {"version", version}, {"source", NameOf(apply.source)}});
  UpdatePlacement();
  const PlacementCore& placement = m_dispatcher.placement_core();
  const auto found = m_dispatcher.zone_use().find(apply.zone);
  const ZoneUse use =
      found == m_dispatcher.zone_use().end() ? ZoneUse() : found->second;
  const int64_t since_last_ms =
      use.last_backend.empty()
          ? -1
          : ToMillis(MonotonicClock::now() - use.last_sent);
  const size_t backends = placement.CountInZone(apply.zone);
  m_log.Write("evacuation_in_force",
              {{"zone", zone},
               {"version", version},
               {"backends", backends},
               {"in_flight", use.in_flight},
               {"last_sent_to", use.last_backend.value()},
               {"last_sent_ms_ago", since_last_ms}});
  if (backends == 0 && placement.backend_count() > 0) {
    m_log.Write("evacuation_of_unused_zone",
                {{"zone", zone},
                 {"why",
                  "No backend server is in this zone. Check the name of the "
                  "evacuation entry."}});
  }
}

void Evacuations::ApplyAction(const LiftEvacuation& lift) {
  m_log.Write("evacuation_lifted", {{"zone", lift.zone.value()},
                                    {"version", lift.version.value()},
                                    {"source", NameOf(lift.source)}});
  UpdatePlacement();
}

void Evacuations::ApplyAction(const WriteEvacuationStatus& write) {
  boost::asio::co_spawn(
      m_context, [this, write] { return WriteStatus(write); },
      boost::asio::detached);
}

awaitable<void> Evacuations::WriteStatus(WriteEvacuationStatus write) {
  const DocumentKind kind(platform::kEvacuationKind);
  const DocumentName name(write.zone.value());
  nlohmann::json status = platform::EncodeCompletedStatus();
  const ObjectVersion expected = write.version;
  const Result<Document> written =
      co_await m_store.ReplaceStatus(kind, name, std::move(status), expected);
  if (written.has_value()) {
    const ObjectVersion version = written.value().version;
    m_log.Write("evacuation_status_written", {{"zone", write.zone.value()},
                                              {"state", "completed"},
                                              {"version", version.value()}});
    Handle(EvacuationStatusStored{write.zone, version});
    co_return;
  }
  m_log.Write("evacuation_status_failed",
              {{"zone", write.zone.value()}, {"why", written.error().message}});
  const ErrorKind error = written.error().kind();
  if (error != ErrorKind::kUnavailable) {
    // The write may have taken effect, or the entry is not what is known of it.
    co_await ReadEntry(write);
  }
  Handle(EvacuationStatusFailed{write.zone});
}

awaitable<void> Evacuations::ReadEntry(WriteEvacuationStatus write) {
  const DocumentKind kind(platform::kEvacuationKind);
  const DocumentName name(write.zone.value());
  const Result<Document> read = co_await m_store.Get(kind, name);
  if (read.has_value()) {
    Handle(EntryOf(read.value(), EvacuationSource::kList));
  } else if (read.error().kind() == ErrorKind::kNotFound) {
    Handle(
        EvacuationRemoved{write.zone, write.version, EvacuationSource::kList});
  }
}

}  // namespace cowslip
