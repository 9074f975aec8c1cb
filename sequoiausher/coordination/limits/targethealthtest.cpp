#include "sequoiausher/coordination/limits/targethealth.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const TargetId plate{"plate-1"};

/** A target paused at 0 for 500 ms. */
TargetHealth paused()
{
    TargetHealth health({3, Millis{500}, Millis{1500}, Millis{10000}});
    for (int i = 0; i < 3; ++i) {
        health.recordFailure(Millis{0}, plate);
    }
    return health;
}

} // namespace

TEST_CASE("a target is paused after three consecutive failures, not after fewer")
{
    TargetHealth health({});
    for (int i = 0; i < 10; ++i) {
        health.recordFailure(Millis{0}, plate);
        health.recordFailure(Millis{0}, plate);
        health.recordSuccess(plate);
    }
    CHECK(health.allowRequest(Millis{0}, plate));
    CHECK(health.count() == 0);
    TargetHealth other = paused();
    CHECK(!other.allowRequest(Millis{499}, plate));
    CHECK(other.isPaused(Millis{499}, plate));
    CHECK(!other.isPaused(Millis{500}, plate));
}

TEST_CASE("after the pause there is one probe at a time: success ends the pause, failure doubles it up to the maximum")
{
    TargetHealth health = paused();
    CHECK(health.allowRequest(Millis{500}, plate));
    CHECK(!health.allowRequest(Millis{501}, plate));
    SUBCASE("success")
    {
        health.recordSuccess(plate);
        CHECK(health.allowRequest(Millis{501}, plate));
        CHECK(health.allowRequest(Millis{501}, plate));
    }
    SUBCASE("failure")
    {
        health.recordFailure(Millis{600}, plate);
        CHECK(!health.allowRequest(Millis{1599}, plate));
        CHECK(health.allowRequest(Millis{1600}, plate));
        health.recordFailure(Millis{1700}, plate);
        CHECK(!health.allowRequest(Millis{3199}, plate));
        CHECK(health.allowRequest(Millis{3200}, plate));
    }
    SUBCASE("forgotten with its target")
    {
        health.forget(plate);
        CHECK(health.allowRequest(Millis{501}, plate));
    }
}

// Guards against a recovered target without traffic for minutes: the connection of the probe is silent, so the probe
// has no result, and it must not prevent further probes for ever.
TEST_CASE("a probe without a result times out")
{
    TargetHealth health = paused();
    CHECK(health.allowRequest(Millis{500}, plate));
    CHECK(!health.allowRequest(Millis{10499}, plate));
    CHECK(health.allowRequest(Millis{10500}, plate));
}

// Guards against an outage of one second that pauses a target for half a minute: thirty requests in flight fail at the
// same time, and each of them doubled the pause.
TEST_CASE("failures during a pause do not lengthen it")
{
    TargetHealth health = paused();
    for (int i = 0; i < 30; ++i) {
        health.recordFailure(Millis{10}, plate);
    }
    CHECK(health.allowRequest(Millis{500}, plate));
}
