#include "Tests/PlatformAdapter/odd_content.h"

#include <cstddef>

namespace cowslip {

namespace {

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string WithField(const std::string& name, const std::string& value) {
  return R"({"service":"s","zone":"z","version":"v1","state":"ready",)"
         R"("address":"10.0.0.9:8080","slots":8,")" +
         name + "\":" + value + "}";
}

}  // namespace

std::vector<std::string> OddContents() {
  std::string objects = "1";
  for (int i = 0; i < 100; ++i) {
    objects = "{\"a\":" + objects + "}";
  }
  return {"{\"service\":\"s\",\"address\":\"\xff\xfe\x80\",\"zone\":\"z\"}",
          "{\"\xff\":1}",
          "\"\xc0\xaf\"",
          std::string("\"\0\x01\n\"", 5),
          R"("\ud800")",
          R"("\x")",
          R"("]}\"[{\\")",
          WithField("slots", "1e400"),
          WithField("slots", "-1e400"),
          WithField("slots", "NaN"),
          WithField("slots", "Infinity"),
          WithField("slots", "0x10"),
          WithField("slots", "18446744073709551616"),
          WithField("slots", "18446744073709551615"),
          WithField("slots", "4294967296"),
          WithField("slots", "4294967295"),
          WithField("slots", "-8"),
          WithField("slots", "8.5"),
          WithField("slots", Nested(80)),
          WithField("slots", Nested(100'000)),
          WithField("slots", objects),
          WithField("address", R"("10.0.0.9:65536")"),
          WithField("address", R"("10.0.0.9:99999999999999999999")"),
          WithField("address", R"("10.0.0.9:-1")"),
          WithField("address", R"("10.0.0.9:0")"),
          WithField("address", R"("10.0.0.9\u0000.1:80")"),
          WithField("address", R"("[::1]:80")"),
          WithField("state", R"("resting")"),
          WithField("zone", "{}"),
          "{\"a\":[1}]",
          "[1,]",
          "nonsense",
          "null",
          "[]",
          "0"};
}

}  // namespace cowslip
