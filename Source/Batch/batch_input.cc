#include "Batch/batch_input.h"

#include <algorithm>
#include <array>
#include <utility>

#include "Base/json.h"

namespace cowslip {

namespace {

constexpr std::array<const char*, 5> kFields = {"custom_id", "route", "method",
                                                "url", "body"};
constexpr std::array<const char*, 4> kMethods = {"POST", "PUT", "GET",
                                                 "DELETE"};

Error InvalidArgument(std::string message) {
  return {ErrorKind::kInvalidArgument, std::move(message)};
}

bool HasControlOrSpace(const std::string& text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) <= ' ' || c == '\x7f';
  });
}

// Reads an optional string field. Returns false when it is present but not a
// string.
bool ReadStringField(const nlohmann::json& line,
                     const char* name,
                     std::string& text) {
  const auto field = line.find(name);
  if (field == line.end()) {
    return true;
  }
  if (!field->is_string()) {
    return false;
  }
  text = field->get<std::string>();
  return true;
}

Result<void> CheckFieldNames(const nlohmann::json& line) {
  for (const auto& [name, value] : line.items()) {
    if (std::find(kFields.begin(), kFields.end(), name) == kFields.end()) {
      return InvalidArgument("remove the unknown field \"" +
                             name.substr(0, 40) + "\"");
    }
  }
  return Ok();
}

Result<void> CheckTarget(const ItemTarget& target) {
  if (std::find(kMethods.begin(), kMethods.end(), target.method) ==
      kMethods.end()) {
    return InvalidArgument("\"method\" must be POST, PUT, GET or DELETE");
  }
  const bool is_path = target.url.empty() || target.url[0] == '/';
  if (!is_path || HasControlOrSpace(target.url)) {
    return InvalidArgument("\"url\" must be a path that begins with /");
  }
  return Ok();
}

}  // namespace

Result<BatchItem> ParseBatchLine(std::string_view line,
                                 const BatchLimits& limits) {
  if (line.size() > limits.max_item_bytes) {
    return Error(ErrorKind::kTooLarge,
                 "shorten the line to " +
                     std::to_string(limits.max_item_bytes) + " bytes");
  }
  const JsonLimits json_limits{.max_bytes = limits.max_item_bytes,
                               .max_depth = limits.max_depth};
  const auto parsed = ParseJson(line, json_limits);
  if (!parsed.has_value() || !parsed.value().is_object()) {
    return InvalidArgument("write one JSON object on the line");
  }
  const nlohmann::json& object = parsed.value();
  const auto names = CheckFieldNames(object);
  if (!names.has_value()) {
    return names.error();
  }
  BatchItem item;
  std::string custom_id;
  std::string route;
  const bool strings_valid =
      ReadStringField(object, "custom_id", custom_id) &&
      ReadStringField(object, "route", route) &&
      ReadStringField(object, "method", item.target.method) &&
      ReadStringField(object, "url", item.target.url);
  if (!strings_valid) {
    return InvalidArgument("custom_id, route, method and url must be strings");
  }
  if (custom_id.empty() || custom_id.size() > limits.max_custom_id_bytes) {
    return InvalidArgument("give a custom_id of 1 to " +
                           std::to_string(limits.max_custom_id_bytes) +
                           " bytes");
  }
  if (!object.contains("body")) {
    return InvalidArgument("give a body");
  }
  item.custom_id = ItemId(std::move(custom_id));
  item.target.route = RouteId(std::move(route));
  const auto target = CheckTarget(item.target);
  if (!target.has_value()) {
    return target.error();
  }
  item.body = DumpJson(object["body"]);
  return item;
}

std::vector<std::string_view> SplitSegment(std::string_view segment) {
  std::vector<std::string_view> lines;
  while (!segment.empty()) {
    const size_t end = segment.find('\n');
    lines.push_back(segment.substr(0, end));
    if (end == std::string_view::npos) {
      break;
    }
    segment.remove_prefix(end + 1);
  }
  return lines;
}

}  // namespace cowslip
