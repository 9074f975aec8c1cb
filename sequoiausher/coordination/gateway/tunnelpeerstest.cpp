#include "sequoiausher/coordination/gateway/tunnelpeers.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace Sequoiausher;

namespace {

const PoolId desk{"desk"};
const DataCentreId here{"here"};
const DataCentreId there{"there"};
constexpr Millis now{10000};

InstanceId gateway(int number)
{
    return InstanceId{"10.0.0." + std::to_string(number) + ":1"};
}

/** A directory of gateways that all reported just now. */
struct Fleet
{
    void add(int number, const DataCentreId &dataCentre, Millis at = now, bool isLeaving = false)
    {
        GatewayReport report;
        report.dataCentre = dataCentre;
        report.leaving = isLeaving;
        this->directory.recordReport(gateway(number), report, at);
    }

    PeerDirectory directory{gateway(1), {}, 1};
    TunnelPeers tunnels{directory, here};
};

} // namespace

TEST_CASE("gateways of this data centre or the target's are asked first, in changing order")
{
    Fleet fleet;
    fleet.add(2, here);
    fleet.add(3, there);
    fleet.add(4, DataCentreId{"elsewhere"});
    fleet.add(5, here);
    std::map<InstanceId, int> first;
    for (std::uint64_t draw = 0; draw < 300; ++draw) {
        const auto asked = fleet.tunnels.candidates(desk, there, draw, now);
        REQUIRE(asked.size() == 4);
        CHECK(asked.back() == gateway(4));
        first[asked.front()] += 1;
    }
    CHECK(first.size() == 3);
    for (const auto &[peer, count] : first) {
        CHECK(count > 60);
    }
}

// Guards against asking a gateway that is cut off as well for each request anew.
TEST_CASE("a gateway that does not reach a service is not asked for it for a second")
{
    Fleet fleet;
    fleet.add(2, here);
    fleet.add(3, here);
    fleet.tunnels.recordUnreachable(gateway(2), desk, now);
    CHECK(fleet.tunnels.candidates(desk, here, 1, now + Millis{999}) == std::vector<InstanceId>{gateway(3)});
    CHECK(fleet.tunnels.candidates(PoolId{"engines"}, here, 1, now).size() == 2);
    CHECK(fleet.tunnels.candidates(desk, here, 1, now + Millis{1000}).size() == 2);
    CHECK(fleet.tunnels.isAlive(gateway(2), now));
    fleet.tunnels.recordUnreachable(gateway(2), desk, now);
    fleet.tunnels.recordOpened(gateway(2), desk);
    CHECK(fleet.tunnels.candidates(desk, here, 1, now).size() == 2);
}

// Guards against requests that hang at a gateway that has just died.
TEST_CASE("a gateway that failed or has been silent is not asked, and its open tunnels are not used")
{
    Fleet fleet;
    fleet.add(2, here);
    fleet.add(3, here, now - Millis{1600});
    fleet.add(4, here);
    fleet.tunnels.recordFailure(gateway(4), now);
    CHECK(fleet.tunnels.candidates(desk, here, 1, now) == std::vector<InstanceId>{gateway(2)});
    CHECK(fleet.tunnels.isAlive(gateway(2), now));
    CHECK_FALSE(fleet.tunnels.isAlive(gateway(3), now));
    CHECK_FALSE(fleet.tunnels.isAlive(gateway(4), now));
    CHECK_FALSE(fleet.tunnels.isAlive(gateway(9), now));
}

TEST_CASE("in a fleet of 300 a few gateways are asked, others each time")
{
    Fleet fleet;
    for (int i = 2; i <= 300; ++i) {
        fleet.add(i, i % 2 == 0 ? here : there);
    }
    std::set<InstanceId> asked;
    for (std::uint64_t draw = 0; draw < 100; ++draw) {
        const auto some = fleet.tunnels.candidates(desk, here, draw, now);
        CHECK(some.size() == TunnelPeers::maxCandidates);
        asked.insert(some.begin(), some.end());
    }
    CHECK(asked.size() > 140);
}

// Guards against requests that are broken off at their own gateway because another one, whose planned stop was known,
// carried them.
TEST_CASE("a gateway that stops is asked last, and takes no further requests over open tunnels")
{
    constexpr bool isLeaving = true;
    Fleet fleet;
    fleet.add(2, here, now, isLeaving);
    SUBCASE("another one goes on")
    {
        fleet.add(3, DataCentreId{"elsewhere"});
        CHECK(fleet.tunnels.candidates(desk, there, 1, now) == std::vector<InstanceId>{gateway(3), gateway(2)});
        CHECK_FALSE(fleet.tunnels.isAlive(gateway(2), now));
        CHECK(fleet.tunnels.isAlive(gateway(3), now));
    }
    SUBCASE("all stop")
    {
        fleet.add(3, here, now, isLeaving);
        CHECK(fleet.tunnels.candidates(desk, there, 1, now).size() == 2);
        CHECK(fleet.tunnels.isAlive(gateway(2), now));
    }
    SUBCASE("it has started again")
    {
        fleet.add(3, here);
        fleet.add(2, here);
        CHECK(fleet.tunnels.isAlive(gateway(2), now));
    }
}
