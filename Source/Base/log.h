#ifndef SOURCE_BASE_LOG_H_
#define SOURCE_BASE_LOG_H_

#include <glog/logging.h>

namespace cowslip {

/// Initializes logging to standard error. Log lines are short sentences that
/// begin with the prefix of their component: `LOG(INFO) << "limits: ..."`.
/// Ignores SIGPIPE, which would end the process when nobody reads its log.
void StartLogging(const char* program);

}  // namespace cowslip

#endif  // SOURCE_BASE_LOG_H_
