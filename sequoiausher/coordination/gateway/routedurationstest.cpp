#include "sequoiausher/coordination/gateway/routedurations.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

void answer(RouteDurations &durations, int count, Millis duration, Millis now)
{
    for (int i = 0; i < count; ++i) {
        durations.begin("talk", now - duration);
        durations.end("talk", now - duration, true, now);
    }
}

} // namespace

TEST_CASE("the longest of a few answers says nothing yet")
{
    RouteDurations durations;
    CHECK_FALSE(durations.longest("talk", Millis{0}));
    answer(durations, 7, Millis{100}, Millis{1000});
    CHECK_FALSE(durations.longest("talk", Millis{1000}));
    answer(durations, 1, Millis{300}, Millis{1100});
    CHECK(durations.longest("talk", Millis{1100}) == Millis{300});
    CHECK_FALSE(durations.longest("look", Millis{1100}));
}

TEST_CASE("a request that was broken off counts by its time, not as an answer")
{
    RouteDurations durations;
    answer(durations, 7, Millis{100}, Millis{1000});
    durations.begin("talk", Millis{100});
    durations.end("talk", Millis{100}, false, Millis{1000});
    CHECK_FALSE(durations.longest("talk", Millis{1000}));
    answer(durations, 1, Millis{100}, Millis{1000});
    CHECK(durations.longest("talk", Millis{1000}) == Millis{900});
}

// Guards against a stop that takes new streams for short while all that run have been running for long, because their
// targets turned slow and none of them has ended yet.
TEST_CASE("a request that still runs counts for as long as it has been running")
{
    RouteDurations durations;
    answer(durations, 8, Millis{100}, Millis{1000});
    durations.begin("talk", Millis{1000});
    durations.begin("talk", Millis{2000});
    CHECK(durations.longest("talk", Millis{4000}) == Millis{3000});
    durations.end("talk", Millis{1000}, true, Millis{4000});
    CHECK(durations.longest("talk", Millis{4000}) == Millis{3000});
    CHECK(durations.longest("talk", Millis{6000}) == Millis{4000});
}

TEST_CASE("a duration is forgotten after one to two windows")
{
    RouteDurations durations;
    answer(durations, 8, Millis{5000}, Millis{10000});
    answer(durations, 8, Millis{200}, Millis{24000});
    CHECK(durations.longest("talk", Millis{29000}) == Millis{5000});
    answer(durations, 8, Millis{200}, Millis{40000});
    CHECK(durations.longest("talk", Millis{40000}) == Millis{200});
    CHECK_FALSE(durations.longest("talk", Millis{100000}));
}
