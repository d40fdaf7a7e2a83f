#ifndef SOURCE_BACKEND_ENGINE_REQUEST_H_
#define SOURCE_BACKEND_ENGINE_REQUEST_H_

#include <string>
#include <vector>

#include "Backend/resume_token.h"
#include "Base/result.h"
#include "Exchange/exchange_messages.h"

namespace cowslip {

/// The header that passes the caller's organisation to the backend server.
inline constexpr char kOrganisationHeader[] = "Cowslip-Organisation";

/// \class EngineRequest
/// \brief An HTTP request to the backend server.
struct EngineRequest {
  std::string method;
  std::string target;
  std::vector<ForwardedHeader> headers;
  std::string body;
};

/// True for a chat completion with a single text as its response: only such a
/// stream can be assembled and resumed.
bool IsResumable(const DispatchRequest& request);

/// Returns the request unchanged except for its headers: EndToEndHeaders()
/// plus the organisation.
EngineRequest MakeForwardedRequest(const DispatchRequest& request);

/// Returns a request for a batch item that asks for a stream, which can be
/// preempted and resumed. The engine continues after `resume.tokens` tokens.
/// Errors: kInvalidArgument, kTooLarge.
Result<EngineRequest> MakeStreamingRequest(const DispatchRequest& request,
                                           const ResumeToken& resume);

/// Removes hop-by-hop headers and headers that may contain a credential.
std::vector<ForwardedHeader> EndToEndHeaders(
    const std::vector<ForwardedHeader>& headers);

}  // namespace cowslip

#endif  // SOURCE_BACKEND_ENGINE_REQUEST_H_
