#include "sequoiausher/coordination/gateway/targethealthscore.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("two requests without an answer eject the target, for a longer time each time")
{
    TargetHealthScore health;
    health.recordFailure(Millis{0}, FailureWeight::Heavy);
    CHECK_FALSE(health.isEjected(Millis{0}));
    health.recordFailure(Millis{0}, FailureWeight::Heavy);
    CHECK(health.isEjected(Millis{399}));
    CHECK_FALSE(health.isEjected(Millis{400}));
    health.recordFailure(Millis{400}, FailureWeight::Heavy);
    CHECK(health.isEjected(Millis{1199}));
    CHECK_FALSE(health.isEjected(Millis{1200}));
    health.recordSuccess(Millis{1200});
    health.recordFailure(Millis{1300}, FailureWeight::Heavy);
    CHECK_FALSE(health.isEjected(Millis{1300}));
}

TEST_CASE("the usual failure rate of a service ejects no target")
{
    TargetHealthScore health;
    for (int i = 0; i < 1000; ++i) {
        if (i % 7 == 0) {
            health.recordFailure(Millis{i}, FailureWeight::Light);
        } else {
            health.recordSuccess(Millis{i});
        }
        CHECK_FALSE(health.isEjected(Millis{i}));
    }
    for (int i = 0; i < 8; ++i) {
        health.recordFailure(Millis{2000}, FailureWeight::Light);
    }
    CHECK(health.isEjected(Millis{2000}));
}

TEST_CASE("what peers suspect ejects a target that fails here too, and is not told to others")
{
    TargetHealthScore health;
    health.recordPeerSuspicion(Millis{0});
    CHECK_FALSE(health.isEjected(Millis{0}));
    health.recordFailure(Millis{100}, FailureWeight::Heavy);
    health.recordPeerSuspicion(Millis{100});
    CHECK(health.isEjected(Millis{599}));
    CHECK_FALSE(health.isEjectedByOwnRequests(Millis{100}));
    CHECK_FALSE(health.isEjected(Millis{600}));
    health.recordPeerSuspicion(Millis{700});
    health.recordFailure(Millis{700}, FailureWeight::Heavy);
    CHECK(health.isEjectedByOwnRequests(Millis{1099}));
    CHECK(health.isEjected(Millis{1199}));
    CHECK_FALSE(health.isEjectedByOwnRequests(Millis{1100}));
    health.recordSuccess(Millis{1100});
    CHECK_FALSE(health.isEjected(Millis{1100}));
}
