#ifndef SOURCE_NET_CONNECTION_CHECK_H_
#define SOURCE_NET_CONNECTION_CHECK_H_

#include <cstddef>
#include <functional>

#include "Base/result.h"
#include "Base/time.h"
#include "Net/http_message.h"

namespace cowslip {

/// \class ConnectionCheck
/// \brief A call that has to succeed once over a connection before some
/// requests are sent over it, see HttpClient::Open().
struct ConnectionCheck {
  HttpRequest request;
  /// The longest time for the checks of one request.
  Duration timeout{0};
  /// A longer response body fails the check.
  size_t max_response_bytes = 0;
  /// Whether the response shows the right peer. An error of kind kConflict
  /// means that the peer is the wrong one, any other that the response is
  /// unusable: on a connection that was used before it may be a delayed one.
  std::function<Result<void>(const HttpResponse&)> judge;
};

}  // namespace cowslip

#endif  // SOURCE_NET_CONNECTION_CHECK_H_
