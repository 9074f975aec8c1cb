#include "sequoiausher/coordination/gateway/connectionshare.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace Sequoiausher;

TEST_CASE("a gateway's share of a target's connection limit")
{
    struct Case
    {
        const char *what;
        std::size_t limit;
        std::size_t gateways;
        std::size_t share;
        double shareOfTraffic = 0;
    };
    const std::vector<Case> cases{
        {"no limit", 0, 7, 0},
        {"one gateway", 100, 1, 90},
        {"no gateway is known yet, not even this one", 100, 0, 90},
        {"seven gateways", 100, 7, 12},
        {"more gateways than connections", 4, 7, 1},
        {"one connection", 1, 1, 1},
        {"all traffic", 100, 7, 54, 1},
        {"no traffic", 100, 7, 6, 0.0001},
        {"all traffic of a large fleet", 360, 300, 25, 1},
    };
    for (const Case &given : cases) {
        CAPTURE(given.what);
        const double even = 1 / static_cast<double>(std::max<std::size_t>(given.gateways, 1));
        const double shareOfTraffic = given.shareOfTraffic > 0 ? given.shareOfTraffic : even;
        CHECK(computeConnectionShare(given.limit, given.gateways, shareOfTraffic) == given.share);
    }
}

TEST_CASE("the shares add up to no more than the limit if it allows one connection per gateway")
{
    constexpr std::size_t mostGateways = 40;
    constexpr std::size_t mostLimit = 400;
    for (std::size_t gateways = 1; gateways <= mostGateways; ++gateways) {
        for (std::size_t limit = gateways; limit <= mostLimit; ++limit) {
            CAPTURE(gateways);
            CAPTURE(limit);
            const std::size_t share = computeConnectionShare(limit, gateways, 1 / static_cast<double>(gateways));
            CHECK(share >= 1);
            CHECK(share * gateways <= limit);
        }
    }
}
