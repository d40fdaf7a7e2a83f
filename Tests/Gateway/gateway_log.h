#ifndef TESTS_GATEWAY_GATEWAY_LOG_H_
#define TESTS_GATEWAY_GATEWAY_LOG_H_

namespace cowslip {

/// The memory that the gateways of a test program log to. Its newest lines are
/// printed when a check fails.
int GatewayLogDescriptor();

}  // namespace cowslip

#endif  // TESTS_GATEWAY_GATEWAY_LOG_H_
