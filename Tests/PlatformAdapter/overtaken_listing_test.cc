#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Placement/backend_directory.h"
#include "Platform/document_watcher.h"
#include "Tests/PlatformAdapter/gated_store.h"
#include "Utilities/StandIns/MetadataStore/fake_document_store.h"
#include "platform/backend_entry.h"

namespace cowslip {
namespace {

/// \class ReportedView
/// \brief What the callbacks of a watcher report, merged; counts documents
/// that go back to an older state.
class ReportedView {
 public:
  void Apply(const DocumentChange& change) {
    const std::string name = change.document.name.value();
    const std::vector<std::optional<uint64_t>>& states = m_history[name];
    size_t& at = m_reached[name];
    const auto from = states.begin() + static_cast<ptrdiff_t>(at);
    const std::optional<uint64_t> now =
        change.removed ? std::nullopt
                       : std::optional(change.document.version.value());
    const bool is_absent = !m_versions.contains(name);
    const auto found =
        is_absent && change.removed ? from : std::find(from, states.end(), now);
    if (found == states.end() && !(is_absent && change.removed)) {
      ++m_steps_back;
    } else {
      at = static_cast<size_t>(found - states.begin());
    }
    if (change.removed) {
      m_versions.erase(name);
    } else {
      m_versions[name] = *now;
    }
  }
  /// Call it after each change of a document in the store.
  void RecordState(const FakeDocumentStore& store,
                   const std::string& kind,
                   const std::string& name) {
    const Document* document = store.Find(kind, name);
    std::vector<std::optional<uint64_t>>& states = m_history[name];
    const std::optional<uint64_t> now =
        document == nullptr ? std::nullopt
                            : std::optional(document->version.value());
    if (states.empty() ? now.has_value() : states.back() != now) {
      states.push_back(now);
    }
  }
  const std::map<std::string, uint64_t>& versions() const { return m_versions; }
  size_t steps_back() const { return m_steps_back; }

 private:
  std::map<std::string, uint64_t> m_versions;
  // The states of each document in the store, oldest first; nullopt where there
  // is none.
  std::map<std::string, std::vector<std::optional<uint64_t>>> m_history;
  // The last state of each document that was reported.
  std::map<std::string, size_t> m_reached;
  size_t m_steps_back = 0;
};

// Three pages of the stand-in.
constexpr std::array kNames = {"a", "b", "c", "d", "e", "f", "g"};

/// A watcher of `kind` on a store that the test takes step by step.
struct Fixture {
  explicit Fixture(std::string watched_kind) : kind(std::move(watched_kind)) {}
  ~Fixture() {
    if (watcher) {
      watcher->Stop();
    }
  }

  void Watch() {
    watcher = std::make_shared<DocumentWatcher>(
        context.get_executor(), store,
        DocumentWatcherOptions{.kind = DocumentKind(kind)},
        DocumentWatcherEvents{
            .listed =
                [this](const std::vector<DocumentChange>& changes) {
                  for (const DocumentChange& change : changes) {
                    HandleChange(change);
                  }
                },
            .changed =
                [this](const DocumentChange& change) { HandleChange(change); },
            .lost = [](const Error&) {},
            .regained = [this] { ++regained; }});
    watcher->Start();
    store.RunReady();
  }
  /// Watch() until the first listing has ended and the watch is pending.
  void WatchUntilListed() {
    Watch();
    while (view.versions().empty()) {
      store.Complete(0);
    }
  }
  void Put(const std::string& name, const nlohmann::json& content) {
    documents.Put(kind, name, content);
    view.RecordState(documents, kind, name);
  }
  void Erase(const std::string& name) {
    documents.Erase(kind, name);
    view.RecordState(documents, kind, name);
  }
  std::map<std::string, uint64_t> Stored() {
    std::map<std::string, uint64_t> versions;
    for (const char* name : kNames) {
      const Document* document = documents.Find(kind, name);
      if (document != nullptr) {
        versions[name] = document->version.value();
      }
    }
    return versions;
  }
  /// Completes calls until everything that was written must be known.
  void CatchUp() {
    for (int i = 0; i < 60; ++i) {
      store.Advance(0);
    }
  }
  void HandleChange(const DocumentChange& change) {
    view.Apply(change);
    const auto backend = platform::DecodeBackend(change.document);
    if (change.removed || !backend.has_value()) {
      HandleDirectory(
          BackendEntryRemoved{BackendId(change.document.name.value())});
    } else {
      HandleDirectory(BackendEntryWritten{*backend});
    }
  }
  void HandleDirectory(const DirectoryEvent& event) {
    for (const DirectoryAction& action :
         directory.Handle(event, MonotonicTime())) {
      if (const auto* usable = std::get_if<BackendUsable>(&action)) {
        usable_backends.insert_or_assign(usable->backend.id.value(),
                                         usable->backend.draining);
      } else {
        usable_backends.erase(std::get<BackendUnusable>(action).id.value());
      }
    }
  }

  const std::string kind;
  boost::asio::io_context context;
  FakeDocumentStore documents;
  GatedStore store{context, documents};
  ReportedView view;
  BackendDirectory directory{BackendDirectoryOptions{}};
  // Whether it is draining, by name.
  std::map<std::string, bool> usable_backends;
  int regained = 0;
  std::shared_ptr<DocumentWatcher> watcher;
};

nlohmann::json Server(const std::string& state) {
  return {{"address", "127.0.0.1:7100"},
          {"service", "chat"},
          {"version", "v1"},
          {"state", state},
          {"slots", 8},
          {"zone", "z"}};
}

TEST_CASE("A listing that a watch overtakes sets nothing back") {
  // The stand-in's pages hold three documents.
  const std::string last = GENERATE("c", "g");
  const std::string kind = GENERATE("servers", "peers", "jobs", "config");
  INFO(kind << " up to " << last);
  Fixture f(kind);
  for (char name = 'a'; name <= last[0]; ++name) {
    f.Put(std::string(1, name), Server("ready"));
  }
  f.WatchUntilListed();
  REQUIRE(f.store.pending() == 1);
  f.watcher->Refresh();
  f.store.RunReady();
  REQUIRE(f.store.pending() == 2);
  // The first page is read, and has not arrived yet.
  f.store.Advance(1);
  f.Put("a", Server("draining"));
  f.Erase("b");
  f.Put("aa", Server("ready"));
  f.store.Complete(0);
  const auto before = f.view.versions();
  CHECK(before.contains("aa"));
  f.store.Advance(0);
  while (f.store.pending() > 1) {
    f.store.Complete(0);
  }
  CHECK(f.view.steps_back() == 0);
  CHECK(f.view.versions() == before);
  if (kind == "servers") {
    REQUIRE(f.usable_backends.contains("a"));
    CHECK(f.usable_backends["a"]);
    CHECK_FALSE(f.usable_backends.contains("b"));
    CHECK(f.usable_backends.contains("aa"));
  }
}

TEST_CASE("A read that is older than AssumeStale does not replace the next") {
  Fixture f("things");
  f.Put("a", {{"x", 1}});
  f.WatchUntilListed();
  REQUIRE(f.store.pending() == 1);
  REQUIRE(f.regained == 1);
  SECTION("A poll") {
    f.watcher->Poll();
  }
  SECTION("A listing") {
    f.watcher->Refresh();
  }
  f.store.RunReady();
  REQUIRE(f.store.pending() == 2);
  f.watcher->AssumeStale(Error(ErrorKind::kUnavailable, "The VM was paused."));
  f.store.RunReady();
  // The watch gets no response.
  for (int i = 0; i < 10 && f.store.pending() > 1; ++i) {
    f.store.Complete(1);
  }
  CHECK(f.store.pending() == 1);
  CHECK(f.regained == 2);
}

// A watch lost a change and reached beyond it, and the next one said that all
// was known.
TEST_CASE("CatchUp finds a change that an earlier watch has lost",
          "[.known_red]") {
  Fixture f("servers");
  f.Put("a", Server("ready"));
  f.WatchUntilListed();
  REQUIRE(f.store.pending() == 1);
  f.Put("b", Server("ready"));
  f.store.LoseNextChanges();
  f.store.Complete(0);
  REQUIRE_FALSE(f.usable_backends.contains("b"));
  bool is_current = false;
  f.watcher->CatchUp([&](bool told) { is_current = told; });
  f.store.RunReady();
  f.CatchUp();
  REQUIRE(is_current);
  CHECK(f.usable_backends.contains("b"));
}

// Each number is one step: a call that goes on, a change in the store, or a
// read that the owner of the watcher asks for.
void TakeStep(Fixture& f, uint32_t step, bool may_lose_changes) {
  const uint32_t argument = step / 16;
  const std::string name = kNames[argument % kNames.size()];
  switch (step % 16) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
    case 5:
      f.store.Advance(argument % f.store.pending());
      break;
    case 6:
    case 7:
    case 8:
      f.Put(name, {{"x", step}});
      break;
    case 9:
    case 10:
      f.Erase(name);
      break;
    case 11:
    case 12:
      f.watcher->Refresh();
      break;
    case 13:
      f.watcher->Poll();
      break;
    case 14:
      f.documents.Put("other", name, {{"x", step}});
      break;
    default:
      if (argument % 4 == 0) {
        f.documents.Compact();
      } else if (argument % 4 == 1 && may_lose_changes) {
        f.store.LoseNextChanges();
      }
  }
  f.store.RunReady();
}

void CheckInterleavings(bool may_lose_changes) {
  CHECK(rc::check([&](bool removals_keep_version) {
    Fixture f("things");
    f.documents.removals_keep_version = removals_keep_version;
    f.Watch();
    const auto steps = *rc::gen::container<std::vector<uint32_t>>(
        200, rc::gen::inRange<uint32_t>(0, 16 * 64));
    for (const uint32_t step : steps) {
      TakeStep(f, step, may_lose_changes);
    }
    if (may_lose_changes) {
      // A listing that is pending may be older than the loss.
      f.CatchUp();
      f.watcher->Refresh();
      f.store.RunReady();
    }
    f.CatchUp();
    RC_ASSERT(f.view.steps_back() == 0U);
    RC_ASSERT(f.view.versions() == f.Stored());
  }));
}

TEST_CASE("Listings and watches in any order report the newest state") {
  CheckInterleavings(false);
}

TEST_CASE("A listing repairs what a watch has lost and sets nothing back") {
  CheckInterleavings(true);
}

}  // namespace
}  // namespace cowslip
