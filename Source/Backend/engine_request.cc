#include "Backend/engine_request.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

#include "Base/json.h"

namespace cowslip {

namespace {

constexpr std::string_view kChatPath = "/chat/completions";

constexpr JsonLimits kBodyLimits = {.max_bytes = 4 << 20};

// Fields of a chat completion that make its response more than the single text
// that AssembledResponse assembles.
constexpr std::array<const char*, 6> kNonResumableFields = {
    "n", "tools", "functions", "logprobs", "audio", "stream_options"};

// Each is a hop-by-hop header, may contain a credential, or is set by the
// sidecar itself.
constexpr std::array<std::string_view, 14> kDroppedHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    "cookie",
    "proxy-authorization",
    "x-api-key",
    "cowslip-organisation"};

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

}  // namespace

bool IsResumable(const DispatchRequest& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (request.method != "POST" || !path.ends_with(kChatPath)) {
    return false;
  }
  const Result<nlohmann::json> body = ParseJson(request.body, kBodyLimits);
  return body.has_value() && body.value().is_object() &&
         std::none_of(
             kNonResumableFields.begin(), kNonResumableFields.end(),
             [&](const char* field) { return body.value().contains(field); });
}

std::vector<ForwardedHeader> EndToEndHeaders(
    const std::vector<ForwardedHeader>& headers) {
  std::vector<ForwardedHeader> kept;
  for (const ForwardedHeader& header : headers) {
    const std::string name = LowerCase(header.name);
    if (std::find(kDroppedHeaders.begin(), kDroppedHeaders.end(), name) ==
        kDroppedHeaders.end()) {
      kept.push_back(header);
    }
  }
  return kept;
}

EngineRequest MakeForwardedRequest(const DispatchRequest& request) {
  EngineRequest forwarded{.method = request.method,
                          .target = request.target,
                          .headers = EndToEndHeaders(request.headers),
                          .body = request.body};
  if (!request.organisation.empty()) {
    forwarded.headers.push_back(
        {.name = kOrganisationHeader, .value = request.organisation.value()});
  }
  return forwarded;
}

Result<EngineRequest> MakeStreamingRequest(const DispatchRequest& request,
                                           const ResumeToken& resume) {
  Result<nlohmann::json> body = ParseJson(request.body, kBodyLimits);
  if (!body.has_value()) {
    return body.error();
  }
  if (!body.value().is_object()) {
    return Error(ErrorKind::kInvalidArgument,
                 "Send the body of a chat completion as a JSON object.");
  }
  body.value()["stream"] = true;
  if (resume.tokens > 0) {
    body.value()["resume_from"] = resume.tokens;
  }
  EngineRequest streaming = MakeForwardedRequest(request);
  streaming.body = DumpJson(body.value());
  return streaming;
}

}  // namespace cowslip
