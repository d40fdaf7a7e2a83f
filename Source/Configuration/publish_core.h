#ifndef SOURCE_CONFIGURATION_PUBLISH_CORE_H_
#define SOURCE_CONFIGURATION_PUBLISH_CORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Audit/audit_record.h"
#include "Base/ids.h"
#include "Base/time.h"
#include "Configuration/configuration_change.h"
#include "Configuration/configuration_head.h"
#include "Configuration/publish_events.h"
#include "Configuration/snapshot_assembler.h"

namespace cowslip {

/// \class PublishCoreOptions
/// \brief One publication and the bounds on its retries.
struct PublishCoreOptions {
  ConfigurationChange change;
  std::string who;
  WallTime when;
  /// Unique for this publication.
  WriterToken token;
  /// What the change is meant to replace, by subject, as ReplacedParts gives
  /// it; what the core reads first when left out.
  std::optional<std::map<std::string, nlohmann::json>> base;
  int max_attempts = 12;
  Duration retry_min = std::chrono::milliseconds(50);
  Duration retry_max = std::chrono::seconds(2);
  uint64_t seed = 1;
};

/// \class PublishCore
/// \brief Moves the head by conditional update, so that the change is in force
/// once or surely not.
///
/// Contents and the audit record are written before the head. When another
/// publisher was faster, the change is applied again to the new head, unless
/// it replaces something that the other has changed. An answer lost after the
/// write is resolved by looking for this publication's token in the trail.
class PublishCore {
 public:
  explicit PublishCore(PublishCoreOptions options);

  PublishActions Handle(const PublishEvent& event, MonotonicTime now);

 private:
  void On(const PublishStarted& event);
  void On(const HeadObjectRead& event);
  void On(const HeadObjectMissing& event);
  void On(const ObjectRead& event);
  void On(const ReadFailed& event);
  void On(const ObjectWritten& event);
  void On(const ObjectWriteFailed& event);
  void On(const HeadWritten& event);
  void On(const HeadConflict& event);
  void On(const HeadInDoubt& event);
  void On(const HeadNotWritten& event);
  void On(const RetryDue& event);

  void TakeHead(ConfigurationHead head, std::optional<ObjectVersion> version);
  void WalkTrail(const Digest& digest);
  void OnTrailRecord(const Digest& digest, const std::string& bytes);
  void Rebase();
  void ReadContents();
  void Compose();
  bool IsContended(const Snapshot& current);
  void Write(ComposedChange composed);
  void WriteHeadWhenReady();
  void Retry();
  void Act(PublishAction action);
  void Finish(ConfigVersion version, bool changed);
  void Fail(ErrorKind kind, std::vector<DeclarationProblem> problems);

  const PublishCoreOptions m_options;
  std::mt19937_64 m_random;
  PublishActions m_actions;
  bool m_finished = false;
  bool m_waiting = false;
  int m_attempt = 0;

  // What is in force, as last read.
  ConfigurationHead m_head;
  std::optional<ObjectVersion> m_head_version;
  SnapshotAssembler m_assembler;
  std::set<Digest> m_reading;
  // What the change replaces, as first read.
  std::optional<std::map<std::string, nlohmann::json>> m_base;

  // The head being written, over `m_head`.
  std::optional<ConfigurationHead> m_written;
  std::vector<AuditChange> m_changes;
  std::map<std::string, std::string> m_unwritten;
  // Whether a head of ours may be in force, or may yet come into force.
  bool m_in_doubt = false;
  // The version over which a head of ours was last written.
  std::optional<ConfigVersion> m_tried_over;
  std::optional<Digest> m_trail;
};

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_PUBLISH_CORE_H_
