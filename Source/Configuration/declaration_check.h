#ifndef SOURCE_CONFIGURATION_DECLARATION_CHECK_H_
#define SOURCE_CONFIGURATION_DECLARATION_CHECK_H_

#include <string>
#include <vector>

#include "Configuration/declarations.h"

namespace cowslip {

/// \class Declarations
/// \brief Services and organisations, as collected from files or as in force.
struct Declarations {
  std::vector<ServiceDeclaration> services;
  std::vector<OrganisationDeclaration> organisations;
  /// The sets that the files declare, empty ones included.
  std::vector<OrganisationSetId> sets;
};

/// \class DeclarationProblem
/// \brief Something that must be changed before declarations are accepted.
struct DeclarationProblem {
  /// What it is about: `route SERVICE.NAME`, `organisation ID`,
  /// `service ID` or `batch class SERVICE.NAME`.
  std::string subject;
  /// What is wrong and what to change.
  std::string message;
  /// The field within the subject, as the end of a JSON pointer.
  std::string field;

  friend bool operator==(const DeclarationProblem&,
                         const DeclarationProblem&) = default;
};

/// Checks limits, names and cross references, and reports everything at once.
std::vector<DeclarationProblem> CheckDeclarations(
    const Declarations& declarations);

/// How problems name their subjects.
std::string SubjectOf(const RouteDeclaration& route);
std::string SubjectOf(const OrganisationDeclaration& organisation);
std::string SubjectOf(const ServiceDeclaration& service);
std::string SubjectOf(const BatchDeclaration& batch);

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_DECLARATION_CHECK_H_
