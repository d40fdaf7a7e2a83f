#ifndef SOURCE_BASE_LOG_H_
#define SOURCE_BASE_LOG_H_

#include <glog/logging.h>

namespace cowslip {

/// Starts logging to standard error. Log lines are short sentences that begin
/// with the fixed prefix of their part: `LOG(INFO) << "limits: ..."`.
void StartLogging(const char* program);

}  // namespace cowslip

#endif  // SOURCE_BASE_LOG_H_
