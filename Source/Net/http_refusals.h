#ifndef SOURCE_NET_HTTP_REFUSALS_H_
#define SOURCE_NET_HTTP_REFUSALS_H_

#include <cstddef>
#include <string>

#include <boost/system/error_code.hpp>

namespace cowslip {

struct HttpResponse;

/// Builds a problem response. `not_run` promises that the request has not run
/// and never will.
HttpResponse MakeProblem(int status,
                         const std::string& type,
                         const std::string& detail,
                         bool not_run);

/// Builds the response to a request that a shutdown ends before it was read.
HttpResponse ShutdownRefusal();

/// Builds the response to a request over a connection beyond the limit.
HttpResponse SurplusRefusal();

/// Builds the response to a request for which there is no room in memory.
HttpResponse MemoryRefusal();

/// Builds the response to a request that could not be read. The connection is
/// closed after it.
HttpResponse RefusalOfUnreadRequest(const boost::system::error_code& error,
                                    size_t max_body_bytes,
                                    size_t max_header_bytes);

}  // namespace cowslip

#endif  // SOURCE_NET_HTTP_REFUSALS_H_
