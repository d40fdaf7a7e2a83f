#include "Gateway/gateway_daemon.h"

// The part of GatewayDaemon that watches the evacuations of availability zones.

#include <utility>

#include "platform/wire_names.h"

namespace cowslip {

void GatewayDaemon::StartEvacuations() {
  if (!m_settings.evacuate_within.has_value()) {
    return;
  }
  m_evacuations = std::make_unique<Evacuations>(
      m_context, m_store, m_dispatcher, m_peer_table, m_log,
      EvacuationOptions{.self = m_settings.vm,
                        .silent_peer_wait = *m_settings.evacuate_within},
      EvacuationsCallbacks{
          .reported_state_changed = [this] { m_gossip->StateChanged(); },
          .may_place =
              [this] {
                MaybeOpenStartupGate();
                MaybeActivateJobs();
              }});
  m_evacuation_watcher = StartWatcher(
      platform::kEvacuationKind,
      {.listed =
           [this](const std::vector<DocumentChange>& changes) {
             m_evacuations->HandleListing(changes, m_evacuations_as_of);
           },
       .changed =
           [this](const DocumentChange& change) {
             m_evacuations->HandleChange(change, EvacuationSource::kWatch);
           },
       .lost =
           [this](const Error&) {
             m_evacuations->Handle(EvacuationStoreLost{});
           },
       .regained = [this] { m_evacuations->Handle(EvacuationStoreRegained{}); },
       .read_ended =
           [this](const StoreReadEnded& read) {
             if (read.listing) {
               m_evacuations_as_of = read.as_of;
             }
           }});
}

}  // namespace cowslip
