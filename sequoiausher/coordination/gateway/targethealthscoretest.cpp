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
