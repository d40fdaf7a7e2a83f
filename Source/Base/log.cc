#include "Base/log.h"

namespace cowslip {

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

}  // namespace cowslip
