#include "Access/access.h"

#include <catch2/catch.hpp>

#include "Access/key_text.h"

namespace cowslip {
namespace {

const OrganisationId kMill("mill");
const OrganisationId kStudio("studio");

RouteDeclaration Route(const char* name, RouteAllow allow) {
  return {.id = RouteId(std::string("veneer.") + name),
          .service = ServiceId("veneer"),
          .path = std::string("/v1/") + name,
          .methods = {"GET"},
          .allow = std::move(allow)};
}

struct Fixture {
  std::shared_ptr<const Snapshot> Make(std::optional<WallTime> withdrawn) {
    return Snapshot::FromDeclarations(
        ConfigVersion(1),
        {{.id = ServiceId("veneer"),
          .routes = {Route("open", AllowOpen{}),
                     Route("all", AllowAllOrganisations{}),
                     Route("mill", AllowListed{{kMill}})}}},
        {{.id = kMill, .rate = 1}, {.id = kStudio, .rate = 1}},
        {{.digest = DigestOfKey("mill-key"),
          .organisation = kMill,
          .withdrawn = withdrawn},
         {.digest = DigestOfKey("studio-key"), .organisation = kStudio},
         {.digest = DigestOfKey("lost-key"),
          .organisation = OrganisationId("gone")}});
  }
  AccessDecision Ask(const char* path, std::optional<std::string> key) {
    const auto snapshot = Make(std::nullopt);
    return Authorise(*snapshot, *snapshot->FindRoute("GET", path), key);
  }
};

TEST_CASE_METHOD(Fixture, "A request runs only for its key's organisation") {
  CHECK(std::get<Allowed>(Ask("/v1/all", "mill-key")).organisation == kMill);
  CHECK(std::get<Allowed>(Ask("/v1/all", "studio-key")).organisation ==
        kStudio);
  CHECK(std::get<Allowed>(Ask("/v1/mill", "mill-key")).organisation == kMill);
  const auto refused = Ask("/v1/mill", "studio-key");
  CHECK(std::get<OrganisationNotAllowed>(refused).organisation == kStudio);
  CHECK(RefusalOf(refused)->kind() == ErrorKind::kPermissionDenied);
  CHECK(std::holds_alternative<OpenToAll>(Ask("/v1/open", std::nullopt)));
  CHECK(std::holds_alternative<MissingKey>(Ask("/v1/all", std::nullopt)));
  CHECK(std::holds_alternative<UnknownKey>(Ask("/v1/all", "")));
  CHECK(std::holds_alternative<UnknownKey>(Ask("/v1/all", "mill-keY")));
}

TEST_CASE_METHOD(Fixture, "A key of an undeclared organisation opens nothing") {
  CHECK(std::holds_alternative<OrganisationNotAllowed>(
      Ask("/v1/all", "lost-key")));
}

TEST_CASE_METHOD(Fixture, "Work without a key at hand asks by organisation") {
  const auto snapshot = Make(std::nullopt);
  const RouteDeclaration& mill = *snapshot->FindRoute(RouteId("veneer.mill"));
  CHECK(AllowsOrganisation(*snapshot, mill, kMill));
  CHECK_FALSE(AllowsOrganisation(*snapshot, mill, kStudio));
  const RouteDeclaration& all = *snapshot->FindRoute(RouteId("veneer.all"));
  CHECK(AllowsOrganisation(*snapshot, all, kStudio));
  CHECK_FALSE(AllowsOrganisation(*snapshot, all, OrganisationId("gone")));
}

TEST_CASE_METHOD(Fixture, "A withdrawn key is refused, running streams too") {
  const auto before = Make(std::nullopt);
  const auto after = Make(WallTime());
  const RouteId route("veneer.mill");
  const auto allowed = std::get<Allowed>(
      Authorise(*before, *before->FindRoute(route), "mill-key"));
  CHECK(StillAllowed(*before, route, allowed));
  CHECK_FALSE(StillAllowed(*after, route, allowed));
  CHECK_FALSE(StillAllowed(*after, RouteId("veneer.removed"), allowed));
  const auto refused = Authorise(*after, *after->FindRoute(route), "mill-key");
  REQUIRE(std::holds_alternative<WithdrawnKey>(refused));
  CHECK_THAT(RefusalOf(refused)->message, !Catch::Contains("mill-key"));
}

}  // namespace
}  // namespace cowslip
