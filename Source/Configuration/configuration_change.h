#ifndef SOURCE_CONFIGURATION_CONFIGURATION_CHANGE_H_
#define SOURCE_CONFIGURATION_CONFIGURATION_CHANGE_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "Audit/audit_record.h"
#include "Base/ids.h"
#include "Base/result.h"
#include "Configuration/configuration_head.h"
#include "Configuration/declaration_check.h"
#include "Configuration/snapshot.h"

namespace cowslip {

/// \class PublishDeclarations
/// \brief Puts services and whole organisation sets into force.
struct PublishDeclarations {
  Declarations declarations;
  std::vector<ServiceId> removed_services;
  std::vector<OrganisationSetId> removed_sets;
};

/// \class AddKey
/// \brief Gives an organisation a key.
struct AddKey {
  KeyRecord key;
};

/// \class WithdrawKey
/// \brief Ends a key, named by the first digits of its digest.
struct WithdrawKey {
  std::string digest_prefix;
  WallTime when;
};

using ConfigurationChange =
    std::variant<PublishDeclarations, AddKey, WithdrawKey>;

/// \class ComposedChange
/// \brief A head with its new contents, made by applying a change.
struct ComposedChange {
  ConfigurationHead head;
  std::map<Digest, std::string> contents;
  /// Empty when the change is in force already.
  std::vector<AuditChange> changes;
};

/// \class ChangeRefusal
/// \brief Why a change cannot be applied, with everything that is wrong.
struct ChangeRefusal {
  ErrorKind kind = ErrorKind::kInvalidArgument;
  std::vector<DeclarationProblem> problems;
};

using ComposeResult = std::variant<ComposedChange, ChangeRefusal>;

/// The part of a head that a change has to read.
ConfigurationHead NeededParts(const ConfigurationChange& change,
                              const ConfigurationHead& head);

/// Applies a change to what is in force. `current` holds the needed parts of
/// `head`. Version, token and audit of the result are left to the publisher.
ComposeResult ComposeChange(const ConfigurationChange& change,
                            const ConfigurationHead& head,
                            const Snapshot& current);

/// What the change replaces, by subject: two publishers contend when they
/// replace the same subject. JSON null where nothing is in force yet.
std::map<std::string, nlohmann::json> ReplacedParts(
    const ConfigurationChange& change,
    const Snapshot& current);

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_CONFIGURATION_CHANGE_H_
