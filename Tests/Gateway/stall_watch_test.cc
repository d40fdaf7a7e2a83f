#include "Gateway/stall_watch.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

namespace cowslip {
namespace {

using namespace std::chrono_literals;

constexpr StallWatchOptions kOptions{.limit = 200ms, .repeat = 60ms};

TEST_CASE("A read that waits for longer than the limit is reported") {
  boost::asio::io_context context;
  int stalls = 0;
  StallWatch watch(context, kOptions, [&stalls](Duration) { ++stalls; });
  watch.BeginRead();
  context.run_for(300ms);
  CHECK(stalls >= 1);
  CHECK(watch.EndRead().has_value());
}

// Data that has arrived meanwhile is read after the timers.
TEST_CASE("A pause of the process does not count as a silence") {
  boost::asio::io_context context;
  int stalls = 0;
  StallWatch watch(context, kOptions, [&stalls](Duration) { ++stalls; });
  watch.BeginRead();
  boost::asio::post(context, [] { std::this_thread::sleep_for(300ms); });
  boost::asio::steady_timer data(context, 310ms);
  data.async_wait([&watch](const boost::system::error_code&) {
    CHECK_FALSE(watch.EndRead().has_value());
  });
  context.run_for(500ms);
  CHECK(stalls == 0);
}

}  // namespace
}  // namespace cowslip
