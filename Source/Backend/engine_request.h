#ifndef SOURCE_BACKEND_ENGINE_REQUEST_H_
#define SOURCE_BACKEND_ENGINE_REQUEST_H_

#include <string>
#include <vector>

#include "Backend/resume_token.h"
#include "Base/result.h"
#include "Exchange/exchange_messages.h"

namespace cowslip {

/// The header that tells the backend server whose request it runs.
inline constexpr char kOrganisationHeader[] = "Cowslip-Organisation";

/// \class EngineRequest
/// \brief One request as the backend server gets it.
struct EngineRequest {
  std::string method;
  std::string target;
  std::vector<ForwardedHeader> headers;
  std::string body;
};

/// True for a chat completion whose answer is one text, so that its stream can
/// be gathered and resumed.
bool IsResumable(const DispatchRequest& request);

/// Forwards a request as it is, less headers that may hold a key.
EngineRequest MakeForwardedRequest(const DispatchRequest& request);

/// Asks for a batch item as a stream, which can be preempted and resumed after
/// `resume.tokens`. Errors: kInvalidArgument, kTooLarge.
Result<EngineRequest> MakeStreamingRequest(const DispatchRequest& request,
                                           const ResumeToken& resume);

/// Leaves out headers that speak of one connection, or that hold a key.
std::vector<ForwardedHeader> EndToEndHeaders(
    const std::vector<ForwardedHeader>& headers);

}  // namespace cowslip

#endif  // SOURCE_BACKEND_ENGINE_REQUEST_H_
