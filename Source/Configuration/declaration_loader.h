#ifndef SOURCE_CONFIGURATION_DECLARATION_LOADER_H_
#define SOURCE_CONFIGURATION_DECLARATION_LOADER_H_

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Configuration/declaration_check.h"

namespace cowslip {

/// \class DeclarationLoader
/// \brief Collects declaration files and everything that is wrong with them.
class DeclarationLoader {
 public:
  /// Adds every `*.json` file below a directory, or one file.
  void AddPath(const std::string& path);
  /// Adds the text of one file.
  void AddText(const std::string& file, const std::string& text);

  /// What the files declare, once all were added. Batch classes are joined to
  /// their services.
  Declarations Finish();

  /// Checks the declarations by themselves and adds what it finds.
  void CheckAll(const Declarations& declarations);
  /// Adds problems found elsewhere, with the file and pointer of each subject.
  void AddProblems(const std::vector<DeclarationProblem>& problems);

  /// One line per problem: `FILE: POINTER: what to change`. Empty when all is
  /// well.
  const std::vector<std::string>& errors() const { return m_errors; }

 private:
  struct Origin {
    std::string file;
    std::string pointer;
  };

  void AddService(const std::string& file, const nlohmann::json& document);
  void AddOrganisations(const std::string& file,
                        const nlohmann::json& document);
  void AddBatch(const std::string& file, const nlohmann::json& document);
  void Remember(const std::string& subject,
                const std::string& file,
                const std::string& pointer);

  Declarations m_declarations;
  std::vector<BatchDeclaration> m_batches;
  // The last file and pointer that declared each subject.
  std::map<std::string, Origin> m_origins;
  std::vector<std::string> m_errors;
};

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_DECLARATION_LOADER_H_
