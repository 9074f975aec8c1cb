#include "sequoiausher/coordination/membership/reachability.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const InstanceId self{"self"};
const InstanceId peer{"peer"};

} // namespace

TEST_CASE("a suspected router becomes unreachable only after the timeout, and each kind of evidence clears this")
{
    Reachability reachability(self, 5, Millis{3000});
    reachability.setListed({self, peer});
    reachability.suspect(Millis{0}, peer);
    reachability.tick(Millis{2999});
    CHECK(reachability.isReachable(peer));
    reachability.tick(Millis{3000});
    CHECK_FALSE(reachability.isReachable(peer));
    CHECK(reachability.takeChanged().size() == 1);

    SUBCASE("a direct message")
    {
        reachability.confirmAlive(peer);
    }
    SUBCASE("a refutation")
    {
        reachability.merge(Millis{3001}, {peer, 0, 1, false});
    }
    SUBCASE("a later life")
    {
        reachability.setIncarnation(peer, 1);
    }
    CHECK(reachability.isReachable(peer));
    CHECK(reachability.takeChanged().size() == 1);
    reachability.tick(Millis{9000});
    CHECK(reachability.isReachable(peer));
}

TEST_CASE("old suspicions are ignored, and a router refutes suspicions of itself")
{
    Reachability reachability(self, 5, Millis{3000});
    reachability.setListed({self, peer});
    reachability.merge(Millis{0}, {peer, 2, 3, false});
    for (const ReachNews &old : {ReachNews{peer, 2, 2, true}, ReachNews{peer, 1, 9, true}}) {
        reachability.merge(Millis{0}, old);
    }
    reachability.tick(Millis{5000});
    CHECK(reachability.isReachable(peer));
    reachability.takeNews(10, 1);
    reachability.merge(Millis{0}, {self, 5, 0, true});
    const auto news = reachability.takeNews(10, 1);
    REQUIRE(news.size() == 1);
    CHECK(news[0] == ReachNews{self, 5, 1, false});
    reachability.merge(Millis{0}, {self, 6, 0, true});
    CHECK(reachability.takeNews(10, 1).empty());
}
