#ifndef SOURCE_NET_JSON_RESPONSE_H_
#define SOURCE_NET_JSON_RESPONSE_H_

#include <string>

#include <nlohmann/json.hpp>

#include "Net/http_message.h"

namespace cowslip {

/// Returns a response with `body` serialized as `application/json`.
HttpResponse JsonResponse(int status, const nlohmann::json& body);
/// Returns an `application/json` response for a body that is serialized
/// already.
HttpResponse JsonTextResponse(int status, std::string body);

}  // namespace cowslip

#endif  // SOURCE_NET_JSON_RESPONSE_H_
