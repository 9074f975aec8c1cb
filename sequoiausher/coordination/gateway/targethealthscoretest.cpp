#include "sequoiausher/coordination/gateway/targethealthscore.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("two requests without an answer keep others away, for longer each time")
{
    TargetHealthScore health;
    health.failed(Millis{0}, FailureWeight::Heavy);
    CHECK_FALSE(health.isAvoided(Millis{0}));
    health.failed(Millis{0}, FailureWeight::Heavy);
    CHECK(health.isAvoided(Millis{399}));
    CHECK_FALSE(health.isAvoided(Millis{400}));
    health.failed(Millis{400}, FailureWeight::Heavy);
    CHECK(health.isAvoided(Millis{1199}));
    CHECK_FALSE(health.isAvoided(Millis{1200}));
    health.succeeded(Millis{1200});
    health.failed(Millis{1300}, FailureWeight::Heavy);
    CHECK_FALSE(health.isAvoided(Millis{1300}));
}

TEST_CASE("failures that a service always has keep nobody away")
{
    TargetHealthScore health;
    for (int i = 0; i < 1000; ++i) {
        if (i % 7 == 0) {
            health.failed(Millis{i}, FailureWeight::Light);
        } else {
            health.succeeded(Millis{i});
        }
        CHECK_FALSE(health.isAvoided(Millis{i}));
    }
    for (int i = 0; i < 8; ++i) {
        health.failed(Millis{2000}, FailureWeight::Light);
    }
    CHECK(health.isAvoided(Millis{2000}));
}
