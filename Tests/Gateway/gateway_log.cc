#include "gateway_log.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <string>

#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>

namespace cowslip {

namespace {

constexpr off_t kMaxPrintedBytes = 6000;

class LogPrinter : public Catch::TestEventListenerBase {
 public:
  using TestEventListenerBase::TestEventListenerBase;

  bool assertionEnded(const Catch::AssertionStats& stats) override {
    if (!stats.assertionResult.isOk()) {
      Print();
    }
    return true;
  }

 private:
  static void Print() {
    const int log = GatewayLogDescriptor();
    const off_t size = std::max<off_t>(0, ::lseek(log, 0, SEEK_END));
    const off_t printed = std::min(size, kMaxPrintedBytes);
    std::string lines(static_cast<size_t>(printed), '\0');
    const ssize_t got =
        ::pread(log, lines.data(), lines.size(), size - printed);
    lines.resize(static_cast<size_t>(std::max<ssize_t>(0, got)));
    std::cout << "The newest lines of the gateways' logs:\n" << lines << "\n";
  }
};

CATCH_REGISTER_LISTENER(LogPrinter)

}  // namespace

int GatewayLogDescriptor() {
  static const int descriptor = [] {
    const int created = ::memfd_create("gateway-log", MFD_CLOEXEC);
    ::fcntl(created, F_SETFL, O_APPEND);
    return created;
  }();
  return descriptor;
}

}  // namespace cowslip
