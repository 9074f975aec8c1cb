#include "sequoiausher/coordination/gateway/targetreachability.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const PoolId desk{"desk"};
const PoolId engines{"engines"};
const TargetId a{"a"};
const TargetId b{"b"};
const TargetId c{"c"};

TargetReachability threeDesksAndAnEngine()
{
    TargetReachability reachability;
    reachability.setTargets({{desk, {a, b, c}}, {engines, {TargetId{"e"}}}});
    return reachability;
}

} // namespace

TEST_CASE("a target that was bypassed is reached through others for a while, its service is not")
{
    TargetReachability reachability = threeDesksAndAnEngine();
    reachability.recordBypassed(desk, a, Millis{1000});
    CHECK_FALSE(reachability.isDirect(desk, a, Millis{1000}));
    CHECK(reachability.isDirect(desk, b, Millis{1000}));
    CHECK_FALSE(reachability.isCutOff(desk));
    CHECK_FALSE(reachability.isDirect(desk, a, Millis{2999}));
    CHECK(reachability.isDirect(desk, a, Millis{3000}));
    reachability.recordBypassed(desk, a, Millis{3100});
    reachability.recordConnected(desk, a, Millis{3200});
    CHECK(reachability.isDirect(desk, a, Millis{3200}));
}

// Guards against taking lost packets for a cut: a direct connection between two bypassed ones speaks against it.
TEST_CASE("a service is cut off after two bypassed connections without a direct one between them")
{
    TargetReachability reachability = threeDesksAndAnEngine();
    reachability.recordBypassed(desk, a, Millis{1000});
    reachability.recordConnected(desk, b, Millis{1100});
    reachability.recordBypassed(desk, c, Millis{1200});
    CHECK_FALSE(reachability.isCutOff(desk));
    reachability.recordBypassed(desk, a, Millis{1300});
    CHECK(reachability.isCutOff(desk));
    CHECK_FALSE(reachability.isDirect(desk, b, Millis{1300}));
    CHECK_FALSE(reachability.isCutOff(engines));
    CHECK(reachability.cutOffServices() == std::vector<PoolId>{desk});
}

TEST_CASE("a service that is cut off is probed directly, each target in turn, until a connection is opened")
{
    TargetReachability reachability = threeDesksAndAnEngine();
    reachability.recordBypassed(desk, a, Millis{1000});
    reachability.recordBypassed(desk, b, Millis{1000});
    reachability.takeProbes(Millis{1000});
    CHECK(reachability.takeProbes(Millis{1400}).empty());
    std::set<TargetId> probed;
    for (std::int64_t at = 1500; at < 3000; at += 500) {
        const auto probes = reachability.takeProbes(Millis{at});
        REQUIRE(probes.size() == 1);
        CHECK(probes.front().isDirectOnly);
        probed.insert(probes.front().target);
        CHECK(reachability.takeProbes(Millis{at + 499}).empty());
    }
    CHECK(probed == std::set<TargetId>{a, b, c});
    reachability.recordConnected(desk, b, Millis{3000});
    CHECK_FALSE(reachability.isCutOff(desk));
    CHECK(reachability.takeProbes(Millis{9000}).empty());
}

// Guards against requests that wait for their deadline although nobody reaches any target.
TEST_CASE("a service is out of reach once nobody reached any of its targets, and until somebody reaches one")
{
    TargetReachability reachability = threeDesksAndAnEngine();
    reachability.recordUnreached(desk, a, Millis{1000});
    reachability.recordUnreached(desk, a, Millis{1000});
    reachability.recordUnreached(desk, b, Millis{1000});
    CHECK_FALSE(reachability.isOutOfReach(desk));
    reachability.recordUnreached(desk, c, Millis{1000});
    CHECK(reachability.isOutOfReach(desk));
    reachability.takeProbes(Millis{1000});
    const auto probes = reachability.takeProbes(Millis{5000});
    REQUIRE(probes.size() == 1);
    CHECK_FALSE(probes.front().isDirectOnly);

    SUBCASE("directly")
    {
        reachability.recordConnected(desk, a, Millis{5000});
    }
    SUBCASE("through another gateway")
    {
        reachability.recordBypassed(desk, a, Millis{5000});
    }
    SUBCASE("over a connection from before")
    {
        reachability.recordAnswer(desk);
    }
    CHECK_FALSE(reachability.isOutOfReach(desk));
}

TEST_CASE("a service with many targets is out of reach once several of them could not be reached in a row")
{
    TargetReachability reachability;
    std::set<TargetId> many;
    for (int i = 0; i < 300; ++i) {
        many.insert(TargetId{"t" + std::to_string(i)});
    }
    reachability.setTargets({{desk, many}});
    int count = 0;
    for (const TargetId &target : many) {
        CHECK(reachability.isOutOfReach(desk) == (count >= 6));
        reachability.recordUnreached(desk, target, Millis{1000});
        count += 1;
    }
}

// Guards against a flood of connections to a target that is only slow.
TEST_CASE("a silent target is probed once a second at most")
{
    TargetReachability reachability = threeDesksAndAnEngine();
    std::size_t probes = 0;
    for (std::int64_t at = 10000; at < 13000; at += 40) {
        reachability.recordSilence(desk, a, Millis{at});
        for (const auto &probe : reachability.takeProbes(Millis{at})) {
            CHECK(probe.target == a);
            CHECK_FALSE(probe.isDirectOnly);
            probes += 1;
        }
    }
    CHECK(probes == 3);
}

TEST_CASE("targets that are gone are forgotten")
{
    TargetReachability reachability = threeDesksAndAnEngine();
    reachability.recordUnreached(desk, a, Millis{1000});
    reachability.recordUnreached(desk, b, Millis{1000});
    reachability.recordSilence(desk, c, Millis{1000});
    reachability.setTargets({{desk, {b}}});
    CHECK(reachability.isOutOfReach(desk));
    reachability.takeProbes(Millis{5000});
    CHECK(reachability.takeProbes(Millis{6000}).size() == 1);
    reachability.setTargets({});
    CHECK_FALSE(reachability.isOutOfReach(desk));
    CHECK(reachability.takeProbes(Millis{9000}).empty());
    reachability.recordBypassed(desk, b, Millis{9000});
    CHECK(reachability.cutOffServices().empty());
}

// Guards against a gateway that sends request after request into connections that a silent cut has left.
TEST_CASE("a bypassed target has another target of its service probed at once")
{
    TargetReachability reachability = threeDesksAndAnEngine();
    reachability.recordBypassed(desk, c, Millis{1000});
    const auto probes = reachability.takeProbes(Millis{1000});
    REQUIRE(probes.size() == 1);
    CHECK(probes.front().service == desk);
    CHECK(probes.front().target == a);
    CHECK_FALSE(probes.front().isDirectOnly);
    reachability.recordBypassed(desk, a, Millis{1080});
    CHECK(reachability.isCutOff(desk));
}

TEST_CASE("a target that nobody reached has the next one probed at once, two have all others")
{
    TargetReachability reachability;
    const TargetId d{"d"};
    reachability.setTargets({{desk, {a, b, c, d}}});
    reachability.recordUnreached(desk, a, Millis{10000});
    const auto first = reachability.takeProbes(Millis{10000});
    REQUIRE(first.size() == 1);
    CHECK(first.front().target == b);
    reachability.recordUnreached(desk, b, Millis{10400});
    const auto others = reachability.takeProbes(Millis{10400});
    REQUIRE(others.size() == 2);
    CHECK(others.front().target == c);
    CHECK(others.back().target == d);
}
