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

TEST_CASE("a few answers say nothing yet")
{
    RouteDurations durations;
    CHECK_FALSE(durations.shareLongerThan(Millis{200}, "talk", Millis{0}));
    answer(durations, 7, Millis{100}, Millis{1000});
    CHECK_FALSE(durations.shareLongerThan(Millis{200}, "talk", Millis{1000}));
    answer(durations, 1, Millis{300}, Millis{1100});
    CHECK(durations.shareLongerThan(Millis{200}, "talk", Millis{1100}) == 1.0 / 8);
    CHECK(durations.shareLongerThan(Millis{300}, "talk", Millis{1100}) == 0.0);
    CHECK(durations.shareLongerThan(Millis{99}, "talk", Millis{1100}) == 1.0);
    CHECK_FALSE(durations.shareLongerThan(Millis{200}, "look", Millis{1100}));
}

TEST_CASE("a request that was broken off counts where it had taken longer already")
{
    RouteDurations durations;
    answer(durations, 9, Millis{100}, Millis{1000});
    durations.begin("talk", Millis{100});
    durations.end("talk", Millis{100}, false, Millis{1000});
    CHECK(durations.shareLongerThan(Millis{200}, "talk", Millis{1000}) == 1.0 / 10);
    CHECK(durations.shareLongerThan(Millis{900}, "talk", Millis{1000}) == 0.0);
}

// Guards against a stop that expects new streams to be short while all that run have been running for long, because
// their targets turned slow and none of them has ended yet.
TEST_CASE("a request that still runs counts for as long as it has been running")
{
    RouteDurations durations;
    answer(durations, 8, Millis{100}, Millis{1000});
    durations.begin("talk", Millis{1000});
    durations.begin("talk", Millis{2000});
    CHECK(durations.shareLongerThan(Millis{1500}, "talk", Millis{2000}) == 0.0);
    CHECK(durations.shareLongerThan(Millis{1500}, "talk", Millis{4000}) == 2.0 / 10);
    CHECK(durations.shareLongerThan(Millis{2500}, "talk", Millis{4000}) == 1.0 / 9);
    durations.end("talk", Millis{1000}, true, Millis{4000});
    CHECK(durations.shareLongerThan(Millis{2500}, "talk", Millis{4000}) == 1.0 / 9);
}

TEST_CASE("old durations, and those before the latest ones, count no more")
{
    RouteDurations durations;
    answer(durations, 8, Millis{5000}, Millis{10000});
    answer(durations, 8, Millis{200}, Millis{24000});
    CHECK(durations.shareLongerThan(Millis{1000}, "talk", Millis{39000}) == 0.5);
    CHECK(durations.shareLongerThan(Millis{1000}, "talk", Millis{41000}) == 0.0);
    CHECK_FALSE(durations.shareLongerThan(Millis{1000}, "talk", Millis{100000}));
    answer(durations, 1, Millis{5000}, Millis{100000});
    answer(durations, 64, Millis{200}, Millis{100000});
    CHECK(durations.shareLongerThan(Millis{1000}, "talk", Millis{100000}) == 0.0);
}

// Guards against memory that grows with each route that a configuration ever had.
TEST_CASE("routes without requests are forgotten")
{
    RouteDurations durations;
    for (int i = 0; i < 1000; ++i) {
        const Millis now{i * 1000L};
        durations.begin("r-" + std::to_string(i), now);
        durations.end("r-" + std::to_string(i), now, true, now);
    }
    CHECK(durations.size() <= 31);
    durations.begin("talk", Millis{2000000});
    durations.begin("look", Millis{3000000});
    CHECK(durations.size() == 2);
}

TEST_CASE("the longest counts from one whole answer on, and with those that still run")
{
    RouteDurations durations;
    CHECK_FALSE(durations.longest("talk", Millis{0}));
    durations.begin("talk", Millis{0});
    CHECK_FALSE(durations.longest("talk", Millis{500}));
    answer(durations, 1, Millis{200}, Millis{500});
    CHECK(durations.longest("talk", Millis{500}) == Millis{500});
    durations.end("talk", Millis{0}, false, Millis{600});
    CHECK(durations.longest("talk", Millis{5000}) == Millis{600});
    CHECK_FALSE(durations.longest("talk", Millis{40000}));
}
