#include "Base/log.h"

#include <csignal>

namespace cowslip {

void StartLogging(const char* program) {
  // The reader of a log may go away first, and sockets report closed peers by
  // error codes.
  std::signal(SIGPIPE, SIG_IGN);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

}  // namespace cowslip
