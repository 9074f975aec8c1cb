#include "sequoiausher/coordination/gateway/allowedregions.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

std::vector<RegionId> regionsOf(const std::string &letters)
{
    std::vector<RegionId> regions;
    for (const char letter : letters) {
        regions.push_back(RegionId{std::string(1, letter)});
    }
    return regions;
}

} // namespace

TEST_CASE("a request reaches the regions that its route and its organisation both allow")
{
    struct Case
    {
        std::string route;
        std::string organisation;
        /** Of the regions n, w and s, and of one that is not known. */
        std::string allowed;
    };
    const std::string unknown = "?";
    const std::vector<Case> cases = {
        {"", "", "nws?"},
        {"n", "", "n"},
        {"nw", "", "nw"},
        {"", "w", "w"},
        {"", "ws", "ws"},
        {"nw", "ws", "w"},
        {"nw", "nw", "nw"},
        {"n", "s", ""},
        {"x", "", ""},
    };
    for (const Case &each : cases) {
        CAPTURE(each.route);
        CAPTURE(each.organisation);
        GatewayRoute route;
        route.allowedRegions = regionsOf(each.route);
        GatewayOrganisation organisation;
        organisation.allowedRegions = regionsOf(each.organisation);
        const AllowedRegions regions = findAllowedRegions(route, &organisation);
        std::string allowed;
        for (const char letter : std::string("nws") + unknown) {
            const std::string name = std::string(1, letter) == unknown ? "" : std::string(1, letter);
            allowed += isAllowed(regions, RegionId{name}) ? std::string(1, letter) : "";
        }
        CHECK(allowed == each.allowed);
    }
}

TEST_CASE("a request without a key is bound by its route alone")
{
    GatewayRoute route;
    CHECK(isAllowed(findAllowedRegions(route, nullptr), RegionId{"n"}));
    route.allowedRegions = regionsOf("n");
    CHECK(isAllowed(findAllowedRegions(route, nullptr), RegionId{"n"}));
    CHECK_FALSE(isAllowed(findAllowedRegions(route, nullptr), RegionId{"w"}));
}
