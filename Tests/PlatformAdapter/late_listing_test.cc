#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Net/sleep_for.h"
#include "Platform/document_watcher.h"
#include "Utilities/StandIns/MetadataStore/metadata_server.h"
#include "platform/store_client.h"

namespace cowslip {
namespace {

using boost::asio::awaitable;
using namespace std::chrono_literals;

const DocumentKind kKind("things");

/// \class LateListings
/// \brief A store whose listings arrive some time after they were read.
class LateListings final : public DocumentStore {
 public:
  explicit LateListings(DocumentStore& store) : m_store(store) {}

  awaitable<Result<Document>> Get(DocumentKind kind,
                                  DocumentName name) override {
    return m_store.Get(std::move(kind), std::move(name));
  }
  awaitable<Result<DocumentPage>> List(DocumentKind kind,
                                       DocumentName after) override {
    Result<DocumentPage> page =
        co_await m_store.List(std::move(kind), std::move(after));
    co_await SleepFor(delay);
    co_return page;
  }
  awaitable<Result<DocumentChanges>> Watch(DocumentKind kind,
                                           ObjectVersion since,
                                           Duration wait) override {
    return m_store.Watch(std::move(kind), since, wait);
  }
  awaitable<Result<Document>> Create(DocumentKind kind,
                                     DocumentName name,
                                     nlohmann::json content) override {
    return m_store.Create(std::move(kind), std::move(name), std::move(content));
  }
  awaitable<Result<Document>> Replace(DocumentKind kind,
                                      DocumentName name,
                                      nlohmann::json content,
                                      ObjectVersion expected) override {
    return m_store.Replace(std::move(kind), std::move(name), std::move(content),
                           expected);
  }
  awaitable<Result<Document>> ReplaceStatus(DocumentKind kind,
                                            DocumentName name,
                                            nlohmann::json status,
                                            ObjectVersion expected) override {
    return m_store.ReplaceStatus(std::move(kind), std::move(name),
                                 std::move(status), expected);
  }
  awaitable<Result<void>> Remove(DocumentKind kind,
                                 DocumentName name) override {
    return m_store.Remove(std::move(kind), std::move(name));
  }
  awaitable<Result<void>> RemoveAt(DocumentKind kind,
                                   DocumentName name,
                                   ObjectVersion expected) override {
    return m_store.RemoveAt(std::move(kind), std::move(name), expected);
  }

  Duration delay{0};

 private:
  DocumentStore& m_store;
};

TEST_CASE("A listing that is older than a watch does not set the digest back") {
  boost::asio::io_context context;
  FakeDocumentStore documents;
  MetadataServer server(context, documents);
  REQUIRE(server.Start().has_value());
  platform::StoreClient client(context.get_executor(),
                               Endpoint{.port = server.port()}, {});
  LateListings store(client);
  const auto watch = [&](DocumentStore& from) {
    auto watcher = std::make_shared<DocumentWatcher>(
        context.get_executor(), from, DocumentWatcherOptions{.kind = kKind},
        DocumentWatcherEvents{.listed = [](const auto&) {},
                              .changed = [](const auto&) {},
                              .lost = [](const Error&) {},
                              .regained = [] {}});
    watcher->Start();
    return watcher;
  };
  for (const char* name : {"changed", "removed", "removed before", "same"}) {
    documents.Put("things", name, {{"x", 1}});
  }
  const auto late = watch(store);
  bool done = false;
  boost::asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        co_await SleepFor(100ms);
        documents.Erase("things", "removed before");
        co_await SleepFor(50ms);
        store.delay = 300ms;
        late->Refresh();
        co_await SleepFor(100ms);
        documents.Put("things", "changed", {{"x", 2}});
        documents.Put("things", "new", {{"x", 1}});
        documents.Erase("things", "removed");
        co_await SleepFor(100ms);
        const uint64_t before = late->digest();
        co_await SleepFor(300ms);
        CHECK(late->digest() == before);
        const auto current = watch(client);
        co_await SleepFor(100ms);
        CHECK(late->digest() == current->digest());
        done = true;
        context.stop();
      },
      boost::asio::detached);
  context.run_for(10s);
  CHECK(done);
}

}  // namespace
}  // namespace cowslip
