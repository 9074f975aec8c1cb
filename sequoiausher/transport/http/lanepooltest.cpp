#include "sequoiausher/transport/http/lanepool.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("a lane carries one call at a time, and the one used last comes first")
{
    LanePool lanes({});
    const Lane first = lanes.lease("a", false, Millis{0});
    const Lane second = lanes.lease("a", false, Millis{0});
    CHECK(first.number != second.number);
    lanes.giveBack("a", first.number, Millis{1});
    lanes.giveBack("a", second.number, Millis{2});
    CHECK(lanes.lease("b", false, Millis{3}).used == false);
    CHECK(lanes.lease("a", false, Millis{3}).number == second.number);
    CHECK(lanes.lease("a", false, Millis{3}).number == first.number);
    CHECK(lanes.idleCount() == 0);
}

TEST_CASE("an idle lane is not used once it is too old")
{
    // Guards against a request that gets no answer until its first-byte timeout: its connection was idle for so long
    // that a device in between has forgotten it.
    LanePool lanes({.maximumIdleAge = Millis{1000}, .justUsedAge = Millis{50}, .maximumIdlePerTarget = 2});
    lanes.giveBack("a", lanes.lease("a", false, Millis{0}).number, Millis{0});
    CHECK(!lanes.lease("a", true, Millis{51}).used);
    CHECK(lanes.lease("a", true, Millis{50}).used);
    lanes.giveBack("a", 1, Millis{100});
    CHECK(!lanes.lease("a", false, Millis{1101}).used);
    CHECK(lanes.idleCount() == 0);
}

TEST_CASE("a target keeps no more idle lanes than it may")
{
    LanePool lanes({.maximumIdleAge = Millis{1000}, .justUsedAge = Millis{50}, .maximumIdlePerTarget = 2});
    for (std::uint64_t number = 1; number <= 3; ++number) {
        lanes.giveBack("a", number, Millis{static_cast<std::int64_t>(number)});
    }
    CHECK(lanes.idleCount() == 2);
    CHECK(lanes.lease("a", true, Millis{500}).surplus);
    lanes.forget("a");
    CHECK(lanes.idleCount() == 0);
}
