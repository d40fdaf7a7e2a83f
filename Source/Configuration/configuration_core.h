#ifndef SOURCE_CONFIGURATION_CONFIGURATION_CORE_H_
#define SOURCE_CONFIGURATION_CONFIGURATION_CORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Configuration/configuration_events.h"
#include "Configuration/configuration_head.h"
#include "Configuration/snapshot_assembler.h"

namespace cowslip {

/// \class ConfigurationCoreOptions
/// \brief The bounds within which a node follows the configuration.
struct ConfigurationCoreOptions {
  VmId self;
  /// How long keys are believed without contact to the store or to enough
  /// peers.
  Duration max_cut_off = std::chrono::seconds(30);
  /// A gap between ticks that counts as a pause of this process.
  Duration max_pause = std::chrono::seconds(5);
  /// How often each node reads the head even when nothing changes.
  Duration fallback_poll = std::chrono::seconds(10);
  /// How often a node compares versions with one peer.
  Duration peer_poll = std::chrono::seconds(2);
  /// When a content that has not come is asked for elsewhere.
  Duration fetch_timeout = std::chrono::seconds(2);
  /// How long a newer head waits for the contents of the one before it, so
  /// that frequent changes cannot starve a slow node.
  Duration candidate_patience = std::chrono::seconds(2);
  Duration retry_min = std::chrono::milliseconds(200);
  Duration retry_max = std::chrono::seconds(5);
  /// How many nodes of a region keep a watch at the store.
  size_t watchers = 3;
  /// How many peers a node that does not watch tells of a new version.
  size_t announce_fanout = 4;
  /// Contents asked for at one time.
  size_t max_fetches = 16;
  uint64_t seed = 1;
};

/// \class ConfigurationCore
/// \brief Decides on each entry which version of the configuration is in
/// force.
///
/// It holds the highest version that it has seen whole, passes it on to peers,
/// takes it from peers when the store is down, and never goes back.
class ConfigurationCore {
 public:
  explicit ConfigurationCore(ConfigurationCoreOptions options);

  ConfigurationActions Handle(const ConfigurationEvent& event,
                              MonotonicTime now);

  /// Whether this node may still serve routes that ask for a key: it has heard
  /// from the store, or is linked to at least half of the entries it knows,
  /// within `max_cut_off`. Never while a newer version cannot be read, which
  /// may withdraw keys.
  bool KeysTrusted(MonotonicTime now) const;

  ConfigVersion held() const { return m_head.version; }
  /// Whether this node is among those that watch.
  bool IsWatcher() const { return m_is_watcher; }

 private:
  struct Peer {
    ConfigVersion held;
    // Whether it has spoken since the link came up or this process paused.
    bool heard = false;
  };
  // A head that is newer than the one in force, while its contents come.
  struct Candidate {
    ConfigurationHead head;
    std::string text;
    // The peer that gave the head; none for the store.
    std::optional<VmId> source;
    std::deque<Digest> waiting;
    MonotonicTime since;
  };
  // A newer head that waits for the candidate.
  struct NextHead {
    ConfigVersion version;
    std::string text;
    std::optional<VmId> source;
  };
  struct Fetch {
    MonotonicTime deadline;
    int attempt = 0;
  };

  void On(const HeadFromStore& event);
  void On(const HeadAbsent& event);
  void On(const HeadFetchFailed& event);
  void On(const WatchReturned& event);
  void On(const WatchFailed& event);
  void On(const ContentArrived& event);
  void On(const ContentFetchFailed& event);
  void On(const ConfigurationPeerUp& event);
  void On(const ConfigurationPeerDown& event);
  void On(const ConfigurationPeerMessage& event);
  void On(const ConfigurationMembersChanged& event);
  void On(const SavedConfiguration& event);
  void On(const ConfigurationTick& event);

  void OnMessage(const VmId& vm, const ConfigurationAnnounce& message);
  void OnMessage(const VmId& vm, const HeadRequest& message);
  void OnMessage(const VmId& vm, const HeadReply& message);
  void OnMessage(const VmId& vm, const ContentRequest& message);
  void OnMessage(const VmId& vm, const ContentReply& message);

  void Consider(const std::string& text, std::optional<VmId> source);
  void StartCandidate(ConfigurationHead head,
                      const std::string& text,
                      std::optional<VmId> source);
  void ConsiderNext();
  void StartFetches();
  void RequestContent(const Digest& digest, Fetch& fetch);
  void RetryFetches();
  void TakeContent(const Digest& digest, const std::string& bytes);
  void ApplyCandidate();
  void Announce();
  void PollPeer();
  void FetchHeadNow();
  void FinishFetch();
  void KeepWatch();
  void NoteStoreContact();
  void NoteStoreFailure();
  void NotePeerContact();
  void ForgetPausedPeers();
  bool HasPeerQuorum() const;
  ConfigVersion BestKnown() const;
  std::optional<VmId> RandomPeer(ConfigVersion at_least);
  Duration Jittered(Duration duration);
  void Send(const VmId& vm, ConfigurationMessage message);

  const ConfigurationCoreOptions m_options;
  std::mt19937_64 m_random;
  MonotonicTime m_now;
  ConfigurationActions m_actions;

  // What is in force.
  ConfigurationHead m_head;
  std::string m_head_text;
  SnapshotAssembler m_assembler;
  std::optional<Candidate> m_candidate;
  std::optional<NextHead> m_next;
  std::map<Digest, Fetch> m_fetches;
  // A version whose contents this process cannot read.
  ConfigVersion m_unreadable;

  // The store.
  bool m_fetching_head = false;
  bool m_fetch_again = false;
  bool m_watching = false;
  ObjectVersion m_watch_since;
  MonotonicTime m_next_poll;
  MonotonicTime m_next_watch;
  Duration m_backoff;
  std::optional<MonotonicTime> m_store_contact;

  // Peers.
  std::map<VmId, Peer> m_peers;
  std::vector<VmId> m_members;
  // True until the members are known.
  bool m_is_watcher = true;
  MonotonicTime m_next_peer_poll;
  std::optional<MonotonicTime> m_peer_contact;
  std::optional<MonotonicTime> m_last_tick;
};

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_CONFIGURATION_CORE_H_
