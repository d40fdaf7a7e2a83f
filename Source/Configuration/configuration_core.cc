#include "Configuration/configuration_core.h"

#include <algorithm>
#include <utility>

#include "Base/rendezvous.h"

namespace cowslip {

namespace {

constexpr char kWatchDuty[] = "config/head";

}  // namespace

ConfigurationCore::ConfigurationCore(ConfigurationCoreOptions options)
    : m_options(std::move(options)),
      m_random(m_options.seed),
      m_backoff(m_options.retry_min) {}

ConfigurationActions ConfigurationCore::Handle(const ConfigurationEvent& event,
                                               MonotonicTime now) {
  m_now = now;
  std::visit([this](const auto& each) { On(each); }, event);
  return std::exchange(m_actions, {});
}

// The store.

void ConfigurationCore::On(const HeadFromStore& event) {
  NoteStoreContact();
  m_watch_since = std::max(m_watch_since, event.version);
  Consider(event.text, std::nullopt);
  FinishFetch();
}

void ConfigurationCore::On(const HeadAbsent&) {
  NoteStoreContact();
  if (held() > ConfigVersion(0)) {
    m_actions.push_back(ReportProblem{
        "The store has no head, although a version is in force here. Look "
        "for who deleted " +
        std::string(kHeadKey) + "."});
  }
  FinishFetch();
}

void ConfigurationCore::On(const HeadFetchFailed&) {
  NoteStoreFailure();
  FinishFetch();
}

void ConfigurationCore::On(const WatchReturned& event) {
  m_watching = false;
  NoteStoreContact();
  m_watch_since = std::max(m_watch_since, event.revision);
  if (event.changed) {
    FetchHeadNow();
  }
  KeepWatch();
}

void ConfigurationCore::On(const WatchFailed&) {
  m_watching = false;
  NoteStoreFailure();
}

void ConfigurationCore::FetchHeadNow() {
  if (m_fetching_head) {
    // The answer on its way may be older than the change.
    m_fetch_again = true;
    return;
  }
  m_fetching_head = true;
  m_actions.push_back(FetchHead{});
}

void ConfigurationCore::FinishFetch() {
  m_fetching_head = false;
  if (std::exchange(m_fetch_again, false)) {
    FetchHeadNow();
  }
  KeepWatch();
}

void ConfigurationCore::KeepWatch() {
  const bool reached = m_store_contact.has_value();
  if (m_watching || !reached || m_now < m_next_watch || !m_is_watcher) {
    return;
  }
  m_watching = true;
  m_actions.push_back(WatchHead{.since = m_watch_since});
}

void ConfigurationCore::NoteStoreContact() {
  m_store_contact = m_now;
  m_backoff = m_options.retry_min;
  m_next_watch = m_now;
  m_next_poll = m_now + Jittered(m_options.fallback_poll);
}

void ConfigurationCore::NoteStoreFailure() {
  const Duration wait = Jittered(m_backoff);
  m_backoff = std::min(m_backoff * 2, m_options.retry_max);
  m_next_poll = m_now + wait;
  m_next_watch = m_now + wait;
}

// Peers.

void ConfigurationCore::On(const ConfigurationPeerUp& event) {
  m_peers[event.vm] = Peer{};
  Send(event.vm, HeadRequest{.held = held()});
}

void ConfigurationCore::On(const ConfigurationPeerDown& event) {
  NotePeerContact();
  m_peers.erase(event.vm);
}

void ConfigurationCore::On(const ConfigurationMembersChanged& event) {
  m_members = event.members;
  const std::vector<VmId> watchers =
      RendezvousPick(kWatchDuty, m_members, m_options.watchers);
  const bool listed = std::find(watchers.begin(), watchers.end(),
                                m_options.self) != watchers.end();
  m_is_watcher = listed || m_members.empty();
  NotePeerContact();
  KeepWatch();
}

void ConfigurationCore::On(const ConfigurationPeerMessage& event) {
  const auto peer = m_peers.find(event.vm);
  if (peer != m_peers.end()) {
    peer->second.heard = true;
    NotePeerContact();
  }
  std::visit([&](const auto& message) { OnMessage(event.vm, message); },
             event.message);
}

void ConfigurationCore::OnMessage(const VmId& vm,
                                  const ConfigurationAnnounce& message) {
  const auto peer = m_peers.find(vm);
  if (peer != m_peers.end()) {
    peer->second.held = std::max(peer->second.held, message.held);
  }
  if (message.held > BestKnown()) {
    Send(vm, HeadRequest{.held = held()});
  } else if (message.held < held()) {
    Send(vm, ConfigurationAnnounce{.held = held()});
  }
}

void ConfigurationCore::OnMessage(const VmId& vm, const HeadRequest& message) {
  const bool newer = held() > message.held;
  Send(vm, HeadReply{.held = held(), .text = newer ? m_head_text : ""});
  const auto peer = m_peers.find(vm);
  if (peer != m_peers.end()) {
    peer->second.held = std::max(peer->second.held, message.held);
  }
  if (message.held > BestKnown()) {
    Send(vm, HeadRequest{.held = held()});
  }
}

void ConfigurationCore::OnMessage(const VmId& vm, const HeadReply& message) {
  const auto peer = m_peers.find(vm);
  if (peer != m_peers.end()) {
    peer->second.held = std::max(peer->second.held, message.held);
  }
  if (!message.text.empty()) {
    Consider(message.text, vm);
  }
}

void ConfigurationCore::OnMessage(const VmId& vm,
                                  const ContentRequest& message) {
  const std::string* bytes = m_assembler.Find(message.digest);
  Send(vm, ContentReply{.digest = message.digest,
                        .found = bytes != nullptr,
                        .bytes = bytes != nullptr ? *bytes : ""});
}

void ConfigurationCore::OnMessage(const VmId&, const ContentReply& message) {
  if (message.found) {
    TakeContent(message.digest, message.bytes);
    return;
  }
  On(ContentFetchFailed{.digest = message.digest});
}

void ConfigurationCore::Announce() {
  std::vector<VmId> behind;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.held < held()) {
      behind.push_back(vm);
    }
  }
  if (!m_is_watcher && behind.size() > m_options.announce_fanout) {
    std::shuffle(behind.begin(), behind.end(), m_random);
    behind.resize(m_options.announce_fanout);
  }
  for (const VmId& vm : behind) {
    Send(vm, ConfigurationAnnounce{.held = held()});
  }
}

void ConfigurationCore::PollPeer() {
  if (m_now < m_next_peer_poll) {
    return;
  }
  m_next_peer_poll = m_now + Jittered(m_options.peer_poll);
  if (const std::optional<VmId> vm = RandomPeer(ConfigVersion(0))) {
    Send(*vm, HeadRequest{.held = held()});
  }
}

bool ConfigurationCore::HasPeerQuorum() const {
  size_t linked = 0;
  for (const auto& [vm, peer] : m_peers) {
    const bool member =
        m_members.empty() ||
        std::find(m_members.begin(), m_members.end(), vm) != m_members.end();
    linked += peer.heard && member ? 1 : 0;
  }
  return linked > 0 && 2 * (linked + 1) >= m_members.size();
}

void ConfigurationCore::NotePeerContact() {
  if (HasPeerQuorum()) {
    m_peer_contact = m_now;
  }
}

// A link that stood while this process was paused may be dead by now.
void ConfigurationCore::ForgetPausedPeers() {
  const bool paused = m_last_tick && m_now - *m_last_tick > m_options.max_pause;
  m_last_tick = m_now;
  if (!paused) {
    return;
  }
  for (auto& [vm, peer] : m_peers) {
    peer.heard = false;
    Send(vm, HeadRequest{.held = held()});
  }
}

bool ConfigurationCore::KeysTrusted(MonotonicTime now) const {
  if (m_unreadable > held()) {
    return false;
  }
  const auto recent = [&](const std::optional<MonotonicTime>& contact) {
    return contact && now - *contact <= m_options.max_cut_off;
  };
  if (recent(m_store_contact) || recent(m_peer_contact)) {
    return true;
  }
  const bool running = m_last_tick && now - *m_last_tick <= m_options.max_pause;
  return running && HasPeerQuorum();
}

// Time.

void ConfigurationCore::On(const ConfigurationTick&) {
  ForgetPausedPeers();
  NotePeerContact();
  if (m_now >= m_next_poll && !m_fetching_head) {
    m_next_poll = m_now + Jittered(m_options.fallback_poll);
    FetchHeadNow();
  }
  KeepWatch();
  PollPeer();
  if (m_candidate &&
      m_now - m_candidate->since >= m_options.candidate_patience) {
    ConsiderNext();
  }
  if (m_candidate) {
    RetryFetches();
  }
}

std::optional<VmId> ConfigurationCore::RandomPeer(ConfigVersion at_least) {
  std::vector<VmId> able;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.held >= at_least) {
      able.push_back(vm);
    }
  }
  if (able.empty()) {
    return std::nullopt;
  }
  return able[m_random() % able.size()];
}

Duration ConfigurationCore::Jittered(Duration duration) {
  // Between three quarters and five quarters, so that nodes do not move in
  // step.
  const auto part = static_cast<int64_t>(m_random() % 512);
  return duration * (768 + part) / 1024;
}

void ConfigurationCore::Send(const VmId& vm, ConfigurationMessage message) {
  m_actions.push_back(
      SendConfigurationPeer{.vm = vm, .message = std::move(message)});
}

}  // namespace cowslip
