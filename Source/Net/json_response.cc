#include "Net/json_response.h"

#include <utility>

#include "Base/json.h"

namespace cowslip {

HttpResponse JsonResponse(int status, const nlohmann::json& body) {
  return JsonTextResponse(status, DumpJson(body));
}

HttpResponse JsonTextResponse(int status, std::string body) {
  HttpResponse response{.status = status, .body = std::move(body)};
  response.headers.push_back({"Content-Type", "application/json"});
  return response;
}

}  // namespace cowslip
