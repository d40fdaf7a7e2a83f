#include "Settings/schema.h"

#include <fstream>
#include <sstream>
#include <vector>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "Base/json.h"

namespace cowslip {

namespace {

using nlohmann::json;

// Turns valijson's path (`<root>`, `["field"]`, `[3]`) into a JSON pointer.
std::string ToPointer(const std::vector<std::string>& context) {
  std::string pointer;
  for (const std::string& step : context) {
    if (step == "<root>") {
      continue;
    }
    const size_t begin = step.find_first_not_of("[\"");
    const size_t end = step.find_last_not_of("]\"");
    pointer += "/";
    if (begin != std::string::npos) {
      pointer += step.substr(begin, end - begin + 1);
    }
  }
  return pointer.empty() ? "/" : pointer;
}

}  // namespace

Result<void> CheckSchema(const json& schema,
                         const json& document,
                         const std::string& source_name) {
  valijson::Schema parsed;
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema);
  parser.populateSchema(schema_adapter, parsed);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(document);
  if (validator.validate(parsed, adapter, &results)) {
    return Ok();
  }
  std::string lines;
  valijson::ValidationResults::Error violation;
  while (results.popError(violation)) {
    lines += lines.empty() ? "" : "\n";
    lines += source_name + ": " + ToPointer(violation.context) + ": " +
             violation.description;
  }
  return Error(ErrorKind::kInvalidArgument, lines);
}

Result<json> LoadJsonFile(const std::string& path, const json& schema) {
  std::ifstream file(path);
  if (!file) {
    return Error(ErrorKind::kNotFound,
                 path + ": cannot be read. Name a readable file.");
  }
  std::stringstream text;
  text << file.rdbuf();
  Result<json> document = ParseJson(text.str());
  if (!document.has_value()) {
    return Error(document.error().kind(),
                 path + ": " + document.error().message);
  }
  const Result<void> checked = CheckSchema(schema, document.value(), path);
  if (!checked.has_value()) {
    return checked.error();
  }
  return document;
}

}  // namespace cowslip
