#include "Configuration/saved_configuration.h"

#include <cstdio>
#include <fstream>
#include <sstream>

#include "Base/json.h"
#include "Base/sha256.h"

namespace cowslip {

namespace {

using nlohmann::json;

constexpr char kFileName[] = "/configuration.json";
constexpr size_t kMaxFileBytes = 64u << 20;

}  // namespace

Result<void> WriteSavedConfiguration(const std::string& folder,
                                     const SavedConfiguration& saved) {
  json contents = json::object();
  for (const auto& [digest, bytes] : saved.contents) {
    contents[digest.value()] = bytes;
  }
  const json document = {{"head", saved.head_text},
                         {"digest", Sha256(saved.head_text)},
                         {"contents", std::move(contents)}};
  const std::string path = folder + kFileName;
  const std::string fresh = path + ".new";
  std::ofstream file(fresh, std::ios::trunc);
  file << DumpJson(document);
  file.close();
  const bool written = file.good();
  if (!written || std::rename(fresh.c_str(), path.c_str()) != 0) {
    return Error(ErrorKind::kUnavailable,
                 path +
                     " cannot be written. Free some space, or correct the "
                     "data folder in the settings.");
  }
  return Ok();
}

std::optional<SavedConfiguration> ReadSavedConfiguration(
    const std::string& folder) {
  std::ifstream file(folder + kFileName);
  std::stringstream text;
  text << file.rdbuf();
  const Result<json> parsed =
      ParseJson(text.str(), {.max_bytes = kMaxFileBytes});
  if (!file || !parsed.has_value()) {
    return std::nullopt;
  }
  try {
    const json& document = parsed.value();
    SavedConfiguration saved{.head_text = document.at("head")};
    if (Sha256(saved.head_text) != document.at("digest").get<Digest>()) {
      return std::nullopt;
    }
    for (const auto& [digest, bytes] : document.at("contents").items()) {
      saved.contents[Digest(digest)] = bytes.get<std::string>();
    }
    return saved;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cowslip
