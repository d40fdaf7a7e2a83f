#ifndef SOURCE_NET_JSON_RESPONSE_H_
#define SOURCE_NET_JSON_RESPONSE_H_

#include <string>

#include <nlohmann/json.hpp>

#include "Net/http_message.h"

namespace cowslip {

/// A response with an `application/json` body.
HttpResponse JsonResponse(int status, const nlohmann::json& body);
/// The same, for a body that is text already.
HttpResponse JsonTextResponse(int status, std::string body);

}  // namespace cowslip

#endif  // SOURCE_NET_JSON_RESPONSE_H_
