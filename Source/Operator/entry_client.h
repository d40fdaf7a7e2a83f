#ifndef SOURCE_OPERATOR_ENTRY_CLIENT_H_
#define SOURCE_OPERATOR_ENTRY_CLIENT_H_

#include <string>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "Base/endpoint.h"
#include "Base/result.h"

namespace cowslip {

/// Calls an entry's operators' port and reads the JSON it answers. Errors:
/// kUnavailable, kTimeout, kInDoubt; kNotFound and kInternal for a refusal,
/// with the entry's own words.
boost::asio::awaitable<Result<nlohmann::json>> CallEntry(Endpoint entry,
                                                         std::string method,
                                                         std::string target);

}  // namespace cowslip

#endif  // SOURCE_OPERATOR_ENTRY_CLIENT_H_
