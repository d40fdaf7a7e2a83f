#ifndef SOURCE_CONFIGURATION_PUBLISH_EVENTS_H_
#define SOURCE_CONFIGURATION_PUBLISH_EVENTS_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Audit/audit_record.h"
#include "Base/error.h"
#include "Base/ids.h"
#include "Base/time.h"
#include "Configuration/declaration_check.h"

namespace cowslip {

// What PublishCore hears.

struct PublishStarted {};
struct HeadObjectRead {
  std::string text;
  ObjectVersion version;
};
struct HeadObjectMissing {};
/// A content or an audit record.
struct ObjectRead {
  Digest digest;
  std::string bytes;
};
struct ReadFailed {};
/// The object is there, written now or before.
struct ObjectWritten {
  std::string key;
};
struct ObjectWriteFailed {};
struct HeadWritten {};
struct HeadConflict {};
/// The write may have taken effect, or may yet take effect.
struct HeadInDoubt {};
/// The write surely had no effect.
struct HeadNotWritten {};
struct RetryDue {};

using PublishEvent = std::variant<PublishStarted,
                                  HeadObjectRead,
                                  HeadObjectMissing,
                                  ObjectRead,
                                  ReadFailed,
                                  ObjectWritten,
                                  ObjectWriteFailed,
                                  HeadWritten,
                                  HeadConflict,
                                  HeadInDoubt,
                                  HeadNotWritten,
                                  RetryDue>;

// What it asks for.

struct ReadHeadObject {};
struct ReadObject {
  std::string key;
  Digest digest;
};
/// Create an immutable object; one that exists counts as written.
struct WriteObject {
  std::string key;
  std::string bytes;
};
/// Write the head over that version, or create it.
struct WriteHead {
  std::string text;
  std::optional<ObjectVersion> over;
};
struct WaitForRetry {
  Duration wait = Duration::zero();
};
/// The end: the change is in force since `version`.
struct Published {
  ConfigVersion version;
  /// False when the same was in force already.
  bool changed = false;
  std::vector<AuditChange> changes;
};
/// The end: kInvalidArgument, kNotFound, kConflict, kTooLarge and
/// kUnavailable surely had no effect; after kInDoubt the change may be in
/// force.
struct PublishFailed {
  ErrorKind kind = ErrorKind::kInternal;
  std::vector<DeclarationProblem> problems;
};

using PublishAction = std::variant<ReadHeadObject,
                                   ReadObject,
                                   WriteObject,
                                   WriteHead,
                                   WaitForRetry,
                                   Published,
                                   PublishFailed>;
using PublishActions = std::vector<PublishAction>;

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_PUBLISH_EVENTS_H_
