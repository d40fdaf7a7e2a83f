#include "Configuration/publish_core.h"

#include <algorithm>
#include <utility>

#include "Base/sha256.h"

namespace cowslip {

namespace {

// The platform holds values up to this size, in bytes.
constexpr size_t kMaxContentBytes = 1 << 20;

DeclarationProblem Problem(const std::string& subject,
                           const std::string& message) {
  return {.subject = subject, .message = message, .field = ""};
}

}  // namespace

PublishCore::PublishCore(PublishCoreOptions options)
    : m_options(std::move(options)),
      m_random(m_options.seed),
      m_base(m_options.base) {}

PublishActions PublishCore::Handle(const PublishEvent& event, MonotonicTime) {
  if (!m_finished) {
    std::visit([this](const auto& each) { On(each); }, event);
  }
  return std::exchange(m_actions, {});
}

void PublishCore::On(const PublishStarted&) {
  Act(ReadHeadObject{});
}

void PublishCore::On(const RetryDue&) {
  m_waiting = false;
  Act(ReadHeadObject{});
}

void PublishCore::On(const HeadObjectMissing&) {
  TakeHead(ConfigurationHead(), std::nullopt);
}

void PublishCore::On(const HeadObjectRead& event) {
  Result<ConfigurationHead> head = DecodeHead(event.text);
  if (!head.has_value()) {
    Fail(ErrorKind::kMalformedMessage,
         {Problem("config/head", head.error().message)});
    return;
  }
  TakeHead(std::move(head.value()), event.version);
}

void PublishCore::TakeHead(ConfigurationHead head,
                           std::optional<ObjectVersion> version) {
  m_head = std::move(head);
  m_head_version = version;
  if (m_head.token == m_options.token) {
    Finish(m_head.version, true);
    return;
  }
  if (m_tried_over && m_head.version > *m_tried_over) {
    // Somebody has moved the head since; perhaps after us.
    WalkTrail(m_head.audit);
    return;
  }
  Rebase();
}

void PublishCore::WalkTrail(const Digest& digest) {
  m_trail = digest;
  Act(ReadObject{.key = kAuditPrefix + digest.value(), .digest = digest});
}

void PublishCore::OnTrailRecord(const Digest& digest,
                                const std::string& bytes) {
  const Result<AuditRecord> record = DecodeAuditRecord(digest, bytes);
  if (!record.has_value()) {
    Fail(record.error().kind(), {Problem("audit", record.error().message)});
    return;
  }
  m_trail.reset();
  if (record.value().token == m_options.token) {
    Finish(record.value().version, true);
    return;
  }
  const ConfigVersion next = *m_tried_over + ConfigVersion(1);
  if (record.value().version > next && !record.value().previous.empty()) {
    WalkTrail(record.value().previous);
    return;
  }
  // The version that ours would have had is another's: ours can never come.
  m_in_doubt = false;
  m_tried_over.reset();
  Rebase();
}

void PublishCore::Rebase() {
  m_unwritten.clear();
  ReadContents();
}

void PublishCore::ReadContents() {
  const ConfigurationHead needed = NeededParts(m_options.change, m_head);
  m_reading.clear();
  for (const Digest& digest : m_assembler.Missing(needed)) {
    if (m_reading.insert(digest).second) {
      Act(ReadObject{.key = kContentPrefix + digest.value(), .digest = digest});
    }
  }
  if (m_reading.empty()) {
    Compose();
  }
}

void PublishCore::On(const ObjectRead& event) {
  if (m_trail == event.digest) {
    OnTrailRecord(event.digest, event.bytes);
    return;
  }
  if (!m_assembler.Add(event.digest, event.bytes)) {
    Retry();
    return;
  }
  const bool awaited = m_reading.erase(event.digest) != 0;
  if (awaited && m_reading.empty()) {
    Compose();
  }
}

void PublishCore::Compose() {
  const auto current = m_assembler.Build(NeededParts(m_options.change, m_head));
  if (!current.has_value()) {
    Fail(current.error().kind(),
         {Problem("config/head", current.error().message)});
    return;
  }
  if (!current.value().problems.empty()) {
    Fail(ErrorKind::kMalformedMessage,
         {Problem("config/head", current.value().problems.front())});
    return;
  }
  const Snapshot& in_force = *current.value().snapshot;
  if (IsContended(in_force)) {
    return;
  }
  ComposeResult result = ComposeChange(m_options.change, m_head, in_force);
  if (auto* refusal = std::get_if<ChangeRefusal>(&result)) {
    Fail(refusal->kind, std::move(refusal->problems));
    return;
  }
  auto& composed = std::get<ComposedChange>(result);
  if (composed.changes.empty()) {
    Finish(m_head.version, false);
    return;
  }
  Write(std::move(composed));
}

// Fails when another publisher has changed what this change replaces.
bool PublishCore::IsContended(const Snapshot& current) {
  auto parts = ReplacedParts(m_options.change, current);
  if (!m_base) {
    m_base = std::move(parts);
    return false;
  }
  std::vector<DeclarationProblem> problems;
  for (const auto& [subject, now] : parts) {
    for (const AuditChange& change :
         DescribeChange(subject, m_base->at(subject), now)) {
      problems.push_back(Problem(
          change.subject, "another publisher changed it from " +
                              (change.from.empty() ? "nothing" : change.from) +
                              " to " +
                              (change.to.empty() ? "nothing" : change.to) +
                              "; join the two changes and publish again"));
    }
  }
  if (problems.empty()) {
    return false;
  }
  Fail(ErrorKind::kConflict, std::move(problems));
  return true;
}

void PublishCore::Write(ComposedChange composed) {
  composed.head.version = m_head.version + ConfigVersion(1);
  composed.head.token = m_options.token;
  const AuditRecord record{.version = composed.head.version,
                           .token = m_options.token,
                           .who = m_options.who,
                           .when_ms = m_options.when.time_since_epoch().count(),
                           .changes = composed.changes,
                           .previous = m_head.audit};
  const std::string trail = EncodeAuditRecord(record);
  composed.head.audit = Sha256(trail);
  m_changes = std::move(composed.changes);
  const std::vector<Digest> named = ContentsOf(m_head);
  const std::set<Digest> present(named.begin(), named.end());
  m_unwritten.clear();
  for (auto& [digest, bytes] : composed.contents) {
    if (present.count(digest) == 0) {
      m_unwritten[kContentPrefix + digest.value()] = std::move(bytes);
    }
  }
  m_unwritten[kAuditPrefix + composed.head.audit.value()] = trail;
  m_written = std::move(composed.head);
  for (const auto& [key, bytes] : m_unwritten) {
    if (bytes.size() > kMaxContentBytes) {
      Fail(ErrorKind::kTooLarge,
           {Problem(key,
                    "is larger than the platform's limit of 1 MiB; publish "
                    "fewer files at once, or split the service or the set")});
      return;
    }
    Act(WriteObject{.key = key, .bytes = bytes});
  }
}

void PublishCore::On(const ObjectWritten& event) {
  if (m_unwritten.erase(event.key) != 0) {
    WriteHeadWhenReady();
  }
}

void PublishCore::WriteHeadWhenReady() {
  if (!m_unwritten.empty()) {
    return;
  }
  m_tried_over = m_head.version;
  Act(WriteHead{.text = EncodeHead(*m_written), .over = m_head_version});
}

void PublishCore::On(const HeadWritten&) {
  Finish(m_written->version, true);
}

void PublishCore::On(const HeadConflict&) {
  Retry();
}

void PublishCore::On(const HeadInDoubt&) {
  m_in_doubt = true;
  Retry();
}

void PublishCore::On(const HeadNotWritten&) {
  Retry();
}

void PublishCore::On(const ReadFailed&) {
  Retry();
}

void PublishCore::On(const ObjectWriteFailed&) {
  Retry();
}

void PublishCore::Retry() {
  if (std::exchange(m_waiting, true)) {
    return;
  }
  m_reading.clear();
  m_unwritten.clear();
  m_trail.reset();
  ++m_attempt;
  if (m_attempt >= m_options.max_attempts) {
    const std::string remedy =
        m_in_doubt ? "the change may be in force; look for token " +
                         m_options.token.value() + " in cowslip audit"
                   : "the platform did not answer or others publish all the "
                     "time; nothing has changed, run the command again";
    Fail(ErrorKind::kUnavailable, {Problem("config/head", remedy)});
    return;
  }
  const int doublings = std::min(m_attempt - 1, 10);
  const Duration wait =
      std::min(m_options.retry_min * (1 << doublings), m_options.retry_max);
  // Full jitter: publishers that collided once are spread out.
  const auto part = static_cast<int64_t>(m_random() % 1024);
  Act(WaitForRetry{.wait = wait * part / 1024});
}

void PublishCore::Act(PublishAction action) {
  m_actions.push_back(std::move(action));
}

void PublishCore::Finish(ConfigVersion version, bool changed) {
  m_finished = true;
  Act(Published{.version = version,
                .changed = changed,
                .changes = changed ? m_changes : std::vector<AuditChange>()});
}

void PublishCore::Fail(ErrorKind kind,
                       std::vector<DeclarationProblem> problems) {
  m_finished = true;
  m_actions.clear();
  Act(PublishFailed{.kind = m_in_doubt ? ErrorKind::kInDoubt : kind,
                    .problems = std::move(problems)});
}

}  // namespace cowslip
