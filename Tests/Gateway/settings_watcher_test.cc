#include "Gateway/settings_watcher.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <vector>

#include <catch2/catch.hpp>

namespace cowslip {
namespace {

using namespace std::chrono_literals;

/// \class SettingsFixture
/// \brief A watched settings file, and the changes and errors reported for it.
class SettingsFixture {
 public:
  SettingsFixture() {
    Write(SettingsText(8));
    watcher.Start();
  }
  ~SettingsFixture() { std::remove(m_path.c_str()); }

  static std::string SettingsText(int grace_s) {
    return "node_name=vm-1\nip=127.0.0.1\nzone=z\nplatform.address=127.0.0.1:"
           "1\n"
           "internal_ports=7000,7010\nbounds.grace_s=" +
           std::to_string(grace_s) + "\n";
  }
  void Write(const std::string& text) {
    std::ofstream(m_path, std::ios::trunc) << text;
  }
  const std::string& path() const { return m_path; }
  void RunFor(Duration time) {
    context.run_for(time);
    context.restart();
  }

 private:
  const std::string m_path =
      "/tmp/cowslip-settings-" + std::to_string(::getpid());

 public:
  boost::asio::io_context context;
  std::vector<GatewaySettings> changed;
  std::vector<Error> rejected;
  SettingsWatcher watcher{
      context,
      {.path = m_path, .interval = 10ms},
      {.changed = [this](const GatewaySettings& s) { changed.push_back(s); },
       .rejected = [this](const Error& error) { rejected.push_back(error); }}};
};

TEST_CASE("A change of the settings file without a signal is reported once") {
  SettingsFixture f;
  f.RunFor(50ms);
  CHECK(f.changed.empty());
  f.Write(SettingsFixture::SettingsText(5));
  f.RunFor(100ms);
  REQUIRE(f.changed.size() == 1);
  CHECK(f.changed[0].stop_grace == Duration(5s));
  CHECK(f.rejected.empty());
}

TEST_CASE(
    "An invalid settings file is rejected once, and the next valid one is "
    "reported") {
  SettingsFixture f;
  f.Write("platform.address\n");
  f.RunFor(100ms);
  CHECK(f.changed.empty());
  REQUIRE(f.rejected.size() == 1);
  CHECK_FALSE(f.rejected[0].message.empty());
  f.Write(SettingsFixture::SettingsText(6));
  f.RunFor(100ms);
  CHECK(f.changed.size() == 1);
}

TEST_CASE("Reload reports the settings file even if it is unchanged") {
  SettingsFixture f;
  f.watcher.Reload();
  CHECK(f.changed.size() == 1);
}

TEST_CASE("A change of the settings file before the watch began is reported") {
  SettingsFixture f;
  SettingsWatcher watcher(
      f.context,
      {.path = f.path(),
       .known_text = SettingsFixture::SettingsText(4),
       .interval = 10ms},
      {.changed = [&](const GatewaySettings& s) { f.changed.push_back(s); },
       .rejected = [&](const Error& why) { f.rejected.push_back(why); }});
  watcher.Start();
  f.RunFor(100ms);
  REQUIRE(f.changed.size() == 1);
  CHECK(f.changed[0].stop_grace == Duration(8s));
}

}  // namespace
}  // namespace cowslip
