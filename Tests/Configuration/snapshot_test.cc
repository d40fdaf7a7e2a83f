#include "Configuration/snapshot.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace cowslip {
namespace {

// The naive version: looks at every route for every request.
const RouteDeclaration* NaiveFind(const std::vector<ServiceDeclaration>& all,
                                  const std::string& method,
                                  const std::string& path) {
  const RouteDeclaration* best = nullptr;
  size_t best_length = 0;
  for (const ServiceDeclaration& service : all) {
    for (const RouteDeclaration& route : service.routes) {
      bool takes_method = false;
      for (const std::string& each : route.methods) {
        takes_method = takes_method || each == method;
      }
      if (!takes_method) {
        continue;
      }
      if (route.match == PathMatch::kExact) {
        if (route.path == path) {
          return &route;
        }
        continue;
      }
      std::string prefix = route.path;
      if (prefix.back() != '/') {
        prefix += '/';
      }
      const bool below = (path + "/").rfind(prefix, 0) == 0;
      if (below && prefix.size() > best_length) {
        best = &route;
        best_length = prefix.size();
      }
    }
  }
  return best;
}

std::string RandomPath() {
  std::string path;
  const int depth = *rc::gen::inRange(1, 4);
  for (int i = 0; i < depth; ++i) {
    path += *rc::gen::element<std::string>("/a", "/b", "/ab");
  }
  const bool slash = *rc::gen::inRange(0, 4) == 0;
  return slash ? path + "/" : path;
}

std::vector<ServiceDeclaration> RandomServices() {
  std::vector<ServiceDeclaration> services(2);
  std::set<std::string> taken;
  const int count = *rc::gen::inRange(0, 12);
  for (int i = 0; i < count; ++i) {
    const bool exact = *rc::gen::arbitrary<bool>();
    const std::string method = *rc::gen::element<std::string>("GET", "POST");
    const std::string path =
        *rc::gen::inRange(0, 8) == 0 ? std::string("/") : RandomPath();
    std::string trimmed = path;
    if (!exact && trimmed.back() == '/') {
      trimmed.pop_back();
    }
    if (!taken.insert((exact ? "=" : "^") + method + trimmed).second) {
      continue;
    }
    services[static_cast<size_t>(i) % 2].routes.push_back(
        {.id = RouteId(std::to_string(i)),
         .path = path,
         .match = exact ? PathMatch::kExact : PathMatch::kPrefix,
         .methods = {method}});
  }
  return services;
}

TEST_CASE("FindRoute agrees with a search of every route") {
  REQUIRE(rc::check([] {
    const auto services = RandomServices();
    const auto snapshot =
        Snapshot::FromDeclarations(ConfigVersion(1), services, {}, {});
    for (int i = 0; i < 20; ++i) {
      const std::string method = *rc::gen::element<std::string>("GET", "POST");
      const std::string path = RandomPath();
      const RouteDeclaration* naive = NaiveFind(services, method, path);
      const RouteDeclaration* found = snapshot->FindRoute(method, path);
      RC_ASSERT((naive == nullptr) == (found == nullptr));
      if (naive != nullptr) {
        RC_ASSERT(found->id == naive->id);
        RC_ASSERT(snapshot->HasPath(path));
        RC_ASSERT(snapshot->FindRoute(naive->id)->path == naive->path);
      }
    }
  }));
}

TEST_CASE("A path that could be read in two ways has no route") {
  const auto snapshot =
      Snapshot::FromDeclarations(ConfigVersion(1),
                                 {{.routes = {{.id = RouteId("all"),
                                               .path = "/",
                                               .match = PathMatch::kPrefix,
                                               .methods = {"GET"}}}}},
                                 {}, {});
  CHECK(snapshot->FindRoute("GET", "/a/b") != nullptr);
  CHECK(snapshot->FindRoute("GET", "/a.b/..c") != nullptr);
  for (const char* path : {"", "a", "/a/../b", "/a/..", "/./a", "//a", "/a%2fb",
                           "/%2E%2e/a", "/a\\b", "/a%5Cb"}) {
    INFO(path);
    CHECK(snapshot->FindRoute("GET", path) == nullptr);
    CHECK_FALSE(snapshot->HasPath(path));
  }
}

TEST_CASE("Organisations, keys and batch classes are found by id") {
  std::vector<OrganisationDeclaration> organisations;
  for (int i = 0; i < 300; ++i) {
    organisations.push_back(
        {.id = OrganisationId("org-" + std::to_string(i)), .rate = i + 1.0});
  }
  const auto snapshot = Snapshot::FromDeclarations(
      ConfigVersion(7),
      {{.id = ServiceId("s"),
        .batches = {{.id = BatchClassId("night"), .max_items = 9}}}},
      organisations,
      {{.digest = Digest("ab"), .organisation = OrganisationId("org-1")}});
  CHECK(snapshot->version() == ConfigVersion(7));
  CHECK(snapshot->Organisations().size() == 300);
  CHECK(snapshot->FindOrganisation(OrganisationId("org-42"))->rate == 43);
  CHECK(snapshot->FindOrganisation(OrganisationId("org-300")) == nullptr);
  CHECK(snapshot->FindKey(Digest("ab"))->organisation.value() == "org-1");
  CHECK(snapshot->FindKey(Digest("ac")) == nullptr);
  CHECK(snapshot->FindBatch(ServiceId("s"), BatchClassId("night"))->max_items ==
        9);
  CHECK(snapshot->FindBatch(ServiceId("t"), BatchClassId("night")) == nullptr);
  CHECK(Snapshot().FindOrganisation(OrganisationId("org-1")) == nullptr);
}

}  // namespace
}  // namespace cowslip
