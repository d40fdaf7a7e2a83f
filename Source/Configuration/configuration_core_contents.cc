#include <utility>

#include "Configuration/configuration_core.h"

// The part of ConfigurationCore that completes a newer head and puts it into
// force.

namespace cowslip {

ConfigVersion ConfigurationCore::BestKnown() const {
  const ConfigVersion candidate =
      m_candidate ? m_candidate->head.version : ConfigVersion(0);
  const ConfigVersion next = m_next ? m_next->version : ConfigVersion(0);
  return std::max({held(), candidate, next, m_unreadable});
}

void ConfigurationCore::Consider(const std::string& text,
                                 std::optional<VmId> source) {
  if (text == m_head_text || (m_candidate && text == m_candidate->text)) {
    return;
  }
  Result<ConfigurationHead> head = DecodeHead(text);
  if (!head.has_value()) {
    m_actions.push_back(
        ReportProblem{"A head cannot be read. " + head.error().message});
    return;
  }
  if (head.value().version <= BestKnown()) {
    return;
  }
  const bool wait =
      m_candidate && m_now - m_candidate->since < m_options.candidate_patience;
  if (wait) {
    m_next = NextHead{.version = head.value().version,
                      .text = text,
                      .source = std::move(source)};
    return;
  }
  StartCandidate(std::move(head.value()), text, std::move(source));
}

void ConfigurationCore::StartCandidate(ConfigurationHead head,
                                       const std::string& text,
                                       std::optional<VmId> source) {
  const std::vector<Digest> missing = m_assembler.Missing(head);
  m_next.reset();
  m_fetches.clear();
  m_candidate = Candidate{.head = std::move(head),
                          .text = text,
                          .source = std::move(source),
                          .waiting = {missing.begin(), missing.end()},
                          .since = m_now};
  StartFetches();
}

void ConfigurationCore::ConsiderNext() {
  if (std::optional<NextHead> next = std::exchange(m_next, std::nullopt)) {
    Consider(next->text, std::move(next->source));
  }
}

void ConfigurationCore::StartFetches() {
  auto& waiting = m_candidate->waiting;
  while (!waiting.empty() && m_fetches.size() < m_options.max_fetches) {
    const Digest digest = waiting.front();
    waiting.pop_front();
    RequestContent(digest, m_fetches[digest]);
  }
  if (m_fetches.empty()) {
    ApplyCandidate();
  }
}

void ConfigurationCore::RequestContent(const Digest& digest, Fetch& fetch) {
  fetch.deadline = m_now + m_options.fetch_timeout;
  std::optional<VmId> source = m_candidate->source;
  // After a failure the store and the peers are asked in turn.
  if (fetch.attempt > 0) {
    source = fetch.attempt % 2 == (source ? 1 : 0)
                 ? std::nullopt
                 : RandomPeer(m_candidate->head.version);
  }
  ++fetch.attempt;
  if (source && m_peers.count(*source) != 0) {
    Send(*source, ContentRequest{.digest = digest});
  } else {
    m_actions.push_back(FetchContent{.digest = digest});
  }
}

void ConfigurationCore::RetryFetches() {
  for (auto& [digest, fetch] : m_fetches) {
    if (m_now >= fetch.deadline) {
      RequestContent(digest, fetch);
    }
  }
}

void ConfigurationCore::On(const ContentArrived& event) {
  NoteStoreContact();
  TakeContent(event.digest, event.bytes);
}

void ConfigurationCore::On(const ContentFetchFailed& event) {
  const auto fetch = m_fetches.find(event.digest);
  if (fetch != m_fetches.end()) {
    const Duration wait = Jittered(m_options.retry_min * fetch->second.attempt);
    fetch->second.deadline = m_now + std::min(wait, m_options.retry_max);
  }
}

void ConfigurationCore::TakeContent(const Digest& digest,
                                    const std::string& bytes) {
  if (m_fetches.count(digest) == 0) {
    return;
  }
  if (!m_assembler.Add(digest, bytes)) {
    m_actions.push_back(ReportProblem{"Content " + digest.value() +
                                      " came damaged; it is fetched again."});
    On(ContentFetchFailed{.digest = digest});
    return;
  }
  m_fetches.erase(digest);
  StartFetches();
}

void ConfigurationCore::ApplyCandidate() {
  Candidate candidate = std::move(*m_candidate);
  m_candidate.reset();
  const auto assembled = m_assembler.Build(candidate.head);
  if (!assembled.has_value()) {
    m_unreadable = candidate.head.version;
    m_assembler.Retain(m_head);
    m_actions.push_back(ReportProblem{
        "Version " + std::to_string(candidate.head.version.value()) +
        " cannot be read and is left out. " + assembled.error().message});
    ConsiderNext();
    return;
  }
  m_head = std::move(candidate.head);
  m_head_text = std::move(candidate.text);
  m_assembler.Retain(m_head);
  for (const std::string& problem : assembled.value().problems) {
    m_actions.push_back(ReportProblem{problem});
  }
  m_actions.push_back(ApplySnapshot{.snapshot = assembled.value().snapshot});
  SavedConfiguration saved{.head_text = m_head_text};
  for (const Digest& digest : ContentsOf(m_head)) {
    saved.contents[digest] = *m_assembler.Find(digest);
  }
  m_actions.push_back(SaveConfiguration{.saved = std::move(saved)});
  Announce();
  ConsiderNext();
}

void ConfigurationCore::On(const SavedConfiguration& event) {
  const Result<ConfigurationHead> head = DecodeHead(event.head_text);
  if (!head.has_value() || head.value().version <= BestKnown()) {
    return;
  }
  for (const auto& [digest, bytes] : event.contents) {
    m_assembler.Add(digest, bytes);
  }
  if (m_assembler.Missing(head.value()).empty()) {
    Consider(event.head_text, std::nullopt);
  } else {
    m_assembler.Retain(m_head);
  }
}

}  // namespace cowslip
