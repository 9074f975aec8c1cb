#include "sequoiausher/coordination/gateway/targetoccupancy.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

TargetOccupancy withRequests(std::uint32_t count, Millis at)
{
    TargetOccupancy occupancy;
    for (std::uint32_t i = 0; i < count; ++i) {
        occupancy.add(at);
    }
    return occupancy;
}

} // namespace

TEST_CASE("the estimate is the count while nothing speaks against it")
{
    OverdueEvidence evidence;
    TargetOccupancy occupancy = withRequests(3, Millis{1000});
    CHECK(occupancy.estimate(evidence, Millis{1100}) == 3);
    occupancy.recordBegun(Millis{1000});
    occupancy.remove(Millis{1000}, true);
    CHECK(occupancy.counted() == 2);
    CHECK(occupancy.estimate(evidence, Millis{1100}) == 2);
}

// Guards against requests whose answers were lost without a sign that count as load until they are given up.
TEST_CASE("requests that the target does not hold any more count no longer once it announces what it holds")
{
    OverdueEvidence evidence;
    TargetOccupancy occupancy = withRequests(10, Millis{1000});
    occupancy.recordAnnounced(2, evidence, Millis{2000});
    CHECK(occupancy.estimate(evidence, Millis{2000}) == 2);
    occupancy.add(Millis{2010});
    CHECK(occupancy.estimate(evidence, Millis{2010}) == 3);
}

// Guards against a target that gets everything because it announces less than it holds.
TEST_CASE("an announcement takes nothing away from requests that are not overdue")
{
    OverdueEvidence evidence;
    TargetOccupancy occupancy = withRequests(10, Millis{1000});
    occupancy.recordAnnounced(0, evidence, Millis{1100});
    CHECK(occupancy.estimate(evidence, Millis{1100}) == 10);
    for (int i = 0; i < 10; ++i) {
        occupancy.recordBegun(Millis{1000});
    }
    occupancy.recordAnnounced(0, evidence, Millis{2000});
    CHECK(occupancy.estimate(evidence, Millis{2000}) == 10);
}

// Guards against a count below zero when requests end that were granted before the target was listed anew.
TEST_CASE("requests of an earlier listing end without an effect on those of this one")
{
    OverdueEvidence evidence;
    TargetOccupancy occupancy = withRequests(1, Millis{2000});
    occupancy.remove(Millis{1000}, false);
    CHECK(occupancy.counted() == 1);
    occupancy.remove(Millis{1000}, true);
    CHECK(occupancy.counted() == 0);
    CHECK(occupancy.estimate(evidence, Millis{3000}) == 0);
    CHECK(occupancy.least(Millis{3000}) == 0);
}

// Guards against targets that are crowded by requests which another gateway has granted.
TEST_CASE("requests that were not granted here count by the target's announcement")
{
    OverdueEvidence evidence;
    TargetOccupancy occupancy = withRequests(2, Millis{1000});
    occupancy.recordAnnounced(9, evidence, Millis{1100});
    CHECK(occupancy.estimate(evidence, Millis{1100}) == 9);
    CHECK(occupancy.estimate(evidence, Millis{1100} + Millis{1500}) < 9);
    occupancy.forgetOthers();
    CHECK(occupancy.estimate(evidence, Millis{1100}) == 2);
}

TEST_CASE("requests that were not granted here count by the reports where targets announce nothing")
{
    OverdueEvidence evidence;
    TargetOccupancy occupancy = withRequests(2, Millis{1000});
    for (Millis now{1000}; now < Millis{5000}; now += Millis{50}) {
        occupancy.recordBegun(Millis{1000});
        occupancy.recordReported(9, now);
    }
    CHECK(occupancy.estimate(evidence, Millis{5000}) >= 7);
    CHECK(occupancy.estimate(evidence, Millis{5000}) <= 9);
}

// Load: a burst ends. Guards against reports of the burst that pass for requests of others.
TEST_CASE("reports that are older than the count add nothing to it")
{
    OverdueEvidence evidence;
    TargetOccupancy occupancy = withRequests(20, Millis{1000});
    for (int i = 0; i < 20; ++i) {
        occupancy.recordBegun(Millis{1000});
    }
    for (Millis now{1000}; now < Millis{2000}; now += Millis{50}) {
        occupancy.recordReported(20, now);
    }
    for (int i = 0; i < 18; ++i) {
        occupancy.remove(Millis{1000}, true);
    }
    for (Millis now{2000}; now < Millis{3000}; now += Millis{50}) {
        occupancy.recordReported(now < Millis{2450} ? 20 : 2, now);
        CHECK(occupancy.estimate(evidence, now) <= 3);
    }
}

// Guards against a target that has fallen silent and looks full by requests that it has finished.
TEST_CASE("the announcements of the other targets tell how overdue requests count at a silent one")
{
    OverdueEvidence evidence;
    const TargetOccupancy silent = withRequests(10, Millis{1000});
    for (int i = 0; i < 50; ++i) {
        TargetOccupancy other = withRequests(10, Millis{1000});
        other.recordAnnounced(1, evidence, Millis{2000});
    }
    CHECK(silent.estimate(evidence, Millis{2000}) == 1);
    for (int i = 0; i < 50; ++i) {
        TargetOccupancy slow = withRequests(10, Millis{1000});
        slow.recordAnnounced(10, evidence, Millis{2000});
    }
    CHECK(silent.estimate(evidence, Millis{2000}) == 10);
}

TEST_CASE("overdue requests count in part where nothing is announced")
{
    const OverdueEvidence evidence;
    const TargetOccupancy occupancy = withRequests(10, Millis{1000});
    CHECK(occupancy.estimate(evidence, Millis{1249}) == 10);
    CHECK(occupancy.estimate(evidence, Millis{1250}) == 4);
}
