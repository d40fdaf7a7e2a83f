#include "Configuration/declaration_check.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "Configuration/snapshot.h"

namespace cowslip {

namespace {

constexpr size_t kMaxNameLength = 63;
constexpr Duration kMaxTimeout = std::chrono::hours(1);
constexpr size_t kMaxBodyBytes = 16 << 20;
constexpr Duration kMaxDeadline = std::chrono::hours(24 * 7);
constexpr size_t kMaxItems = 1'000'000;
constexpr uint32_t kMaxAttempts = 20;
constexpr size_t kMaxItemBytes = 768 * 1024;
constexpr double kMaxRate = 1e6;
// The entries serve batch jobs here before they look at routes.
constexpr std::string_view kBatchPath = "/v1/batches";
constexpr std::string_view kMethods[] = {"GET", "HEAD",  "POST",
                                         "PUT", "PATCH", "DELETE"};

bool IsName(std::string_view name) {
  const auto is_name_char = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  };
  return !name.empty() && name.size() <= kMaxNameLength &&
         name.front() != '-' &&
         std::all_of(name.begin(), name.end(), is_name_char);
}

// Collects the problems of one check run.
class Checker {
 public:
  explicit Checker(const Declarations& declarations)
      : m_declarations(declarations) {}

  std::vector<DeclarationProblem> Run() {
    for (const OrganisationDeclaration& each : m_declarations.organisations) {
      CheckOrganisation(each);
    }
    for (const ServiceDeclaration& each : m_declarations.services) {
      CheckService(each);
    }
    return std::move(m_problems);
  }

 private:
  void Report(const std::string& subject,
              const std::string& field,
              const std::string& message) {
    m_problems.push_back(
        {.subject = subject, .message = message, .field = field});
  }

  void CheckName(const std::string& subject,
                 const std::string& field,
                 std::string_view name) {
    if (!IsName(name)) {
      Report(subject, field,
             "use 1 to 63 lower-case letters, digits and hyphens, beginning "
             "with a letter or a digit");
    }
  }

  void CheckOrganisation(const OrganisationDeclaration& organisation) {
    const std::string subject = SubjectOf(organisation);
    CheckName(subject, "/id", organisation.id.value());
    if (!m_organisations.insert(organisation.id).second) {
      Report(subject, "/id", "is declared twice; keep one declaration");
    }
    if (!(organisation.rate > 0 && organisation.rate <= kMaxRate)) {
      Report(subject, "/rate",
             "set requests per second above 0 and at most 1000000");
    }
    if (!(organisation.burst >= 1 && organisation.burst <= kMaxRate)) {
      Report(subject, "/burst", "set at least 1 and at most 1000000");
    }
    if (!(organisation.weight > 0 && organisation.weight <= kMaxRate)) {
      Report(subject, "/weight", "set a weight above 0 and at most 1000000");
    }
  }

  void CheckService(const ServiceDeclaration& service) {
    const std::string subject = SubjectOf(service);
    CheckName(subject, "/service", service.id.value());
    if (!m_services.insert(service.id).second) {
      Report(subject, "/service", "is declared twice; keep one declaration");
    }
    std::set<RouteId> names;
    for (const RouteDeclaration& route : service.routes) {
      if (!names.insert(route.id).second) {
        Report(SubjectOf(route), "/name",
               "is the name of two routes; rename one");
      }
      CheckRoute(route);
    }
    std::set<BatchClassId> classes;
    for (const BatchDeclaration& batch : service.batches) {
      if (!classes.insert(batch.id).second) {
        Report(SubjectOf(batch), "/name",
               "is the name of two batch classes; rename one");
      }
      CheckBatch(batch);
    }
  }

  void CheckRoute(const RouteDeclaration& route) {
    const std::string subject = SubjectOf(route);
    const std::string prefix = route.service.value() + ".";
    CheckName(subject, "/name",
              std::string_view(route.id.value()).substr(prefix.size()));
    const bool has_query = route.path.find_first_of("?#") != std::string::npos;
    if (!IsPlainPath(route.path) || has_query) {
      Report(subject, "/path",
             "begin with / and use no query, no empty or dot segment and no "
             "escaped separator");
    }
    if ((route.path + "/").starts_with(std::string(kBatchPath) + "/")) {
      Report(subject, "/path",
             "/v1/batches is kept for batch jobs; choose another path");
    }
    if (route.timeout <= Duration::zero() || route.timeout > kMaxTimeout) {
      Report(subject, "/timeout_ms", "set 1 to 3600000 milliseconds");
    }
    if (route.max_body_bytes < 1 || route.max_body_bytes > kMaxBodyBytes) {
      Report(subject, "/max_body_bytes", "set 1 to 16777216 bytes");
    }
    CheckMethods(route);
    CheckAllow(route);
    CheckPathIsFree(route);
  }

  void CheckMethods(const RouteDeclaration& route) {
    if (route.methods.empty()) {
      Report(SubjectOf(route), "/methods", "name at least one method");
    }
    for (const std::string& method : route.methods) {
      if (std::find(std::begin(kMethods), std::end(kMethods), method) ==
          std::end(kMethods)) {
        Report(
            SubjectOf(route), "/methods",
            "use GET, HEAD, POST, PUT, PATCH or DELETE instead of " + method);
      }
    }
  }

  void CheckAllow(const RouteDeclaration& route) {
    const std::string subject = SubjectOf(route);
    if (route.batchable && std::holds_alternative<AllowOpen>(route.allow)) {
      Report(subject, "/batchable",
             "a route that is open cannot take batch items, which belong to "
             "an organisation; set false or name organisations");
    }
    const auto* listed = std::get_if<AllowListed>(&route.allow);
    if (listed == nullptr) {
      return;
    }
    if (listed->organisations.empty()) {
      Report(subject, "/allow",
             "list organisations, or use \"all-organisations\" or \"open\"");
    }
    for (const OrganisationId& organisation : listed->organisations) {
      if (m_organisations.count(organisation) == 0) {
        Report(subject, "/allow",
               "organisation " + organisation.value() +
                   " is not declared; declare it or take it off the list");
      }
    }
  }

  void CheckPathIsFree(const RouteDeclaration& route) {
    std::string path = route.path;
    const bool prefix = route.match == PathMatch::kPrefix;
    if (prefix && !path.empty() && path.back() == '/') {
      path.pop_back();
    }
    for (const std::string& method : route.methods) {
      const std::string key = (prefix ? "prefix " : "exact ") + method + path;
      const auto [taken, is_new] = m_paths.emplace(key, route.id);
      if (!is_new) {
        Report(SubjectOf(route), "/path",
               method + " on this path is taken by route " +
                   taken->second.value() + "; change one of them");
      }
    }
  }

  void CheckBatch(const BatchDeclaration& batch) {
    const std::string subject = SubjectOf(batch);
    CheckName(subject, "/name", batch.id.value());
    if (batch.default_deadline <= Duration::zero() ||
        batch.default_deadline > kMaxDeadline) {
      Report(subject, "/default_deadline_ms",
             "set 1 to 604800000 milliseconds (a week)");
    }
    if (batch.max_items < 1 || batch.max_items > kMaxItems) {
      Report(subject, "/max_items", "set 1 to 1000000");
    }
    if (batch.max_attempts < 1 || batch.max_attempts > kMaxAttempts) {
      Report(subject, "/max_attempts", "set 1 to 20");
    }
    if (batch.max_item_bytes < 1 || batch.max_item_bytes > kMaxItemBytes) {
      Report(subject, "/max_item_bytes", "set 1 to 786432 bytes");
    }
  }

  const Declarations& m_declarations;
  std::set<OrganisationId> m_organisations;
  std::set<ServiceId> m_services;
  std::map<std::string, RouteId> m_paths;
  std::vector<DeclarationProblem> m_problems;
};

}  // namespace

std::vector<DeclarationProblem> CheckDeclarations(
    const Declarations& declarations) {
  return Checker(declarations).Run();
}

std::string SubjectOf(const RouteDeclaration& route) {
  return "route " + route.id.value();
}

std::string SubjectOf(const OrganisationDeclaration& organisation) {
  return "organisation " + organisation.id.value();
}

std::string SubjectOf(const ServiceDeclaration& service) {
  return "service " + service.id.value();
}

std::string SubjectOf(const BatchDeclaration& batch) {
  return "batch class " + batch.service.value() + "." + batch.id.value();
}

}  // namespace cowslip
