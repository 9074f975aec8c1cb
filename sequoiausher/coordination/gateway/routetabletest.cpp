#include "sequoiausher/coordination/gateway/routetable.h"

#include <doctest/doctest.h>

#include <map>

using namespace Sequoiausher;

namespace {

GatewayRoute routeOf(const std::string &name, const std::string &host, const std::string &prefix)
{
    GatewayRoute route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.services = {{PoolId{"a"}, 9}, {PoolId{"b"}, 1}};
    return route;
}

} // namespace

TEST_CASE("the longest prefix of the host's routes decides")
{
    GatewayConfiguration configuration;
    configuration.routes = {routeOf("root", "x.example", "/"),
                            routeOf("orders", "x.example", "/orders/"),
                            routeOf("plates", "x.example", "/orders/plates/"),
                            routeOf("other", "y.example", "/orders/")};
    const RouteTable table(configuration);
    const auto nameAt = [&table](const char *host, const char *path) {
        const GatewayRoute *route = table.find(host, path);
        return route != nullptr ? route->name : "none";
    };
    CHECK(nameAt("x.example", "/orders/plates/1") == "plates");
    CHECK(nameAt("X.Example:8080", "/orders/plates") == "orders");
    CHECK(nameAt("x.example", "/orders/?a=/orders/plates/") == "orders");
    CHECK(nameAt("x.example", "/ordersplates/") == "root");
    CHECK(nameAt("y.example", "/other") == "none");
    CHECK(nameAt("z.example", "/orders/") == "none");
    CHECK(nameAt("x.example", "") == "none");
}

TEST_CASE("keys match exactly, and requests are distributed by weight")
{
    GatewayConfiguration configuration;
    configuration.organisations = {{OrganisationId{"garage"}, {"k1", "k2"}, 1}};
    const RouteTable table(configuration);
    REQUIRE(table.organisationOf("k2") != nullptr);
    CHECK(table.organisationOf("k2")->name.value == "garage");
    CHECK(table.organisationOf("K2") == nullptr);
    CHECK(table.organisationOf("") == nullptr);
    CHECK(table.needsKeys());
    CHECK_FALSE(RouteTable(GatewayConfiguration()).needsKeys());
    // Guards against routes that open to everybody when the last organisation is removed.
    GatewayConfiguration emptied;
    emptied.listsOrganisations = true;
    CHECK(RouteTable(emptied).needsKeys());

    const GatewayRoute route = routeOf("r", "h", "/");
    std::map<std::string, int> counts;
    for (std::uint64_t hash = 0; hash < 1000; ++hash) {
        counts[RouteTable::chooseService(route, hash).value] += 1;
    }
    CHECK(counts["a"] == 900);
    CHECK(counts["b"] == 100);
}
