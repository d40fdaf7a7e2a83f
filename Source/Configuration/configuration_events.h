#ifndef SOURCE_CONFIGURATION_CONFIGURATION_EVENTS_H_
#define SOURCE_CONFIGURATION_CONFIGURATION_EVENTS_H_

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Base/ids.h"
#include "Configuration/configuration_messages.h"

namespace cowslip {

class Snapshot;

// What ConfigurationCore hears.

struct HeadFromStore {
  std::string text;
  ObjectVersion version;
};
/// The store answered that there is no head yet.
struct HeadAbsent {};
struct HeadFetchFailed {};
/// The watch ended; `changed` also when changes may have been missed.
struct WatchReturned {
  ObjectVersion revision;
  bool changed = false;
};
struct WatchFailed {};
struct ContentArrived {
  Digest digest;
  std::string bytes;
};
struct ContentFetchFailed {
  Digest digest;
};
struct ConfigurationPeerUp {
  VmId vm;
};
struct ConfigurationPeerDown {
  VmId vm;
};
struct ConfigurationPeerMessage {
  VmId vm;
  ConfigurationMessage message;
};
/// The live entries of this VM's region, itself included.
struct ConfigurationMembersChanged {
  std::vector<VmId> members;
};
/// What an earlier process on this VM had in force.
struct SavedConfiguration {
  std::string head_text;
  std::map<Digest, std::string> contents;
};
struct ConfigurationTick {};

using ConfigurationEvent = std::variant<HeadFromStore,
                                        HeadAbsent,
                                        HeadFetchFailed,
                                        WatchReturned,
                                        WatchFailed,
                                        ContentArrived,
                                        ContentFetchFailed,
                                        ConfigurationPeerUp,
                                        ConfigurationPeerDown,
                                        ConfigurationPeerMessage,
                                        ConfigurationMembersChanged,
                                        SavedConfiguration,
                                        ConfigurationTick>;

// What it asks its driver to do.

struct FetchHead {};
/// Wait for a change of the head after that revision of the store.
struct WatchHead {
  ObjectVersion since;
};
/// Read a content object from the store.
struct FetchContent {
  Digest digest;
};
struct SendConfigurationPeer {
  VmId vm;
  ConfigurationMessage message;
};
struct ApplySnapshot {
  std::shared_ptr<const Snapshot> snapshot;
};
/// Keep what is in force for the next process on this VM.
struct SaveConfiguration {
  SavedConfiguration saved;
};
/// A line for the log.
struct ReportProblem {
  std::string text;
};

using ConfigurationAction = std::variant<FetchHead,
                                         WatchHead,
                                         FetchContent,
                                         SendConfigurationPeer,
                                         ApplySnapshot,
                                         SaveConfiguration,
                                         ReportProblem>;
using ConfigurationActions = std::vector<ConfigurationAction>;

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_CONFIGURATION_EVENTS_H_
