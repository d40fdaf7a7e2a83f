#include "Configuration/declaration_loader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "Base/json.h"
#include "Configuration/declaration_json.h"
#include "Configuration/declaration_schema.h"
#include "Settings/schema.h"

namespace cowslip {

namespace {

using nlohmann::json;
namespace fs = std::filesystem;

std::vector<std::string> FilesBelow(const std::string& path) {
  std::error_code error;
  if (!fs::is_directory(path, error)) {
    return {path};
  }
  std::vector<std::string> files;
  fs::recursive_directory_iterator walk(path, error);
  while (!error && walk != fs::recursive_directory_iterator()) {
    std::error_code ignored;
    const bool file = walk->is_regular_file(ignored);
    if (file && walk->path().extension() == ".json") {
      files.push_back(walk->path().string());
    }
    walk.increment(error);
  }
  std::sort(files.begin(), files.end());
  return files;
}

// The library reports each violation again for every enclosing value.
bool IsEcho(const std::string& line) {
  return line.find(": Failed to validate") != std::string::npos;
}

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) {
    lines.push_back(line);
  }
  return lines;
}

// Keeps what names a cause, or everything when nothing does.
std::vector<std::string> WithoutEchoes(const std::vector<std::string>& lines) {
  std::vector<std::string> causes;
  std::remove_copy_if(lines.begin(), lines.end(), std::back_inserter(causes),
                      IsEcho);
  return causes.empty() ? lines : causes;
}

bool IsAllowWord(const json& allow) {
  return !allow.is_string() || allow == "open" || allow == "all-organisations";
}

}  // namespace

void DeclarationLoader::AddPath(const std::string& path) {
  const std::vector<std::string> files = FilesBelow(path);
  if (files.empty()) {
    m_errors.push_back(path +
                       ": /: holds no .json file; name a directory "
                       "with declarations");
  }
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) {
      m_errors.push_back(name + ": /: cannot be read; name a readable file");
      continue;
    }
    std::stringstream text;
    text << file.rdbuf();
    AddText(name, text.str());
  }
}

void DeclarationLoader::AddText(const std::string& file,
                                const std::string& text) {
  Result<json> parsed = ParseJson(text);
  if (!parsed.has_value()) {
    m_errors.push_back(file + ": /: " + parsed.error().message);
    return;
  }
  json& document = parsed.value();
  const std::string kind = document.is_object() && document.contains("kind") &&
                                   document["kind"].is_string()
                               ? document["kind"].get<std::string>()
                               : "";
  const json* schema = DeclarationSchema(kind);
  if (schema == nullptr) {
    m_errors.push_back(file +
                       ": /kind: use \"service\", \"organisations\" "
                       "or \"batch\"");
    return;
  }
  for (const std::string& line : TakeUnknownFields(*schema, document)) {
    m_errors.push_back(file + ": " + line);
  }
  const Result<void> checked = CheckSchema(*schema, document, file);
  if (!checked.has_value()) {
    for (const std::string& line :
         WithoutEchoes(SplitLines(checked.error().message))) {
      m_errors.push_back(line);
    }
    return;
  }
  if (kind == "service") {
    AddService(file, document);
  } else if (kind == "organisations") {
    AddOrganisations(file, document);
  } else {
    AddBatch(file, document);
  }
}

void DeclarationLoader::AddService(const std::string& file,
                                   const json& document) {
  ServiceDeclaration service;
  document.at("service").get_to(service.id);
  Remember(SubjectOf(service), file, "");
  const json& routes = document.at("routes");
  for (size_t i = 0; i < routes.size(); ++i) {
    const std::string pointer = "/routes/" + std::to_string(i);
    if (!IsAllowWord(routes[i].at("allow"))) {
      m_errors.push_back(file + ": " + pointer +
                         "/allow: use \"open\", \"all-organisations\" or a "
                         "list of organisations");
      continue;
    }
    service.routes.push_back(RouteFromJson(service.id, routes[i]));
    Remember(SubjectOf(service.routes.back()), file, pointer);
  }
  m_declarations.services.push_back(std::move(service));
}

void DeclarationLoader::AddOrganisations(const std::string& file,
                                         const json& document) {
  const auto set = document.at("set").get<OrganisationSetId>();
  auto& sets = m_declarations.sets;
  if (std::find(sets.begin(), sets.end(), set) != sets.end()) {
    m_errors.push_back(file + ": /set: " + set.value() +
                       " is the set of two files; join or rename them");
  }
  sets.push_back(set);
  const json& organisations = document.at("organisations");
  for (size_t i = 0; i < organisations.size(); ++i) {
    m_declarations.organisations.push_back(
        OrganisationFromJson(set, organisations[i]));
    Remember(SubjectOf(m_declarations.organisations.back()), file,
             "/organisations/" + std::to_string(i));
  }
}

void DeclarationLoader::AddBatch(const std::string& file,
                                 const json& document) {
  const auto service = document.at("service").get<ServiceId>();
  const json& classes = document.at("classes");
  for (size_t i = 0; i < classes.size(); ++i) {
    m_batches.push_back(BatchFromJson(service, classes[i]));
    Remember(SubjectOf(m_batches.back()), file,
             "/classes/" + std::to_string(i));
  }
}

void DeclarationLoader::Remember(const std::string& subject,
                                 const std::string& file,
                                 const std::string& pointer) {
  m_origins[subject] = {.file = file, .pointer = pointer};
}

Declarations DeclarationLoader::Finish() {
  for (const BatchDeclaration& batch : m_batches) {
    const auto service = std::find_if(
        m_declarations.services.begin(), m_declarations.services.end(),
        [&](const auto& each) { return each.id == batch.service; });
    if (service == m_declarations.services.end()) {
      const Origin& origin = m_origins[SubjectOf(batch)];
      m_errors.push_back(origin.file + ": /service: service " +
                         batch.service.value() +
                         " is not declared; declare it beside this file");
      continue;
    }
    service->batches.push_back(batch);
  }
  m_batches.clear();
  return m_declarations;
}

void DeclarationLoader::CheckAll(const Declarations& declarations) {
  AddProblems(CheckDeclarations(declarations));
}

void DeclarationLoader::AddProblems(
    const std::vector<DeclarationProblem>& problems) {
  for (const DeclarationProblem& problem : problems) {
    const auto found = m_origins.find(problem.subject);
    if (found == m_origins.end()) {
      m_errors.push_back("in force: " + problem.subject + problem.field + ": " +
                         problem.message);
      continue;
    }
    m_errors.push_back(found->second.file + ": " + found->second.pointer +
                       problem.field + ": " + problem.message);
  }
}

}  // namespace cowslip
