#include "sequoiausher/coordination/limits/retrybudget.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

// Guards against retry storms: without a bound, each failed request is retried, which doubles the load and makes more
// requests fail, so a pool that lost half of its targets never recovers.
TEST_CASE("if all requests fail, retries are a tenth of the requests")
{
    RetryBudget budget({10, 10, 0});
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.countRequest(Millis{i});
        retries += budget.tryRetry(Millis{i}) ? 1 : 0;
    }
    CHECK(retries >= 100);
    CHECK(retries <= 110);
}

TEST_CASE("idle times neither accumulate retries without bound nor prevent them")
{
    RetryBudget budget({10, 2, 0.1});
    CHECK(!budget.tryRetry(Millis{0}));
    CHECK(!budget.tryRetry(Millis{9999}));
    CHECK(budget.tryRetry(Millis{10000}));
    CHECK(!budget.tryRetry(Millis{10000}));
    CHECK(budget.tryRetry(Millis{3600000}));
    CHECK(budget.tryRetry(Millis{3600000}));
    CHECK(!budget.tryRetry(Millis{3600000}));
}

// Guards against load from restarts: a router whose bucket starts full gives a failing pool as many retries again each
// time it starts, however few requests it had.
TEST_CASE("routers that restart all the time retry no more than the percentage and the tokens by time")
{
    constexpr std::uint32_t percent = 10;
    constexpr double perSecond = 0.1;
    constexpr int routers = 7;
    constexpr std::int64_t runMs = 60000;
    for (const std::int64_t lifeMs : {500, 2000, 20000}) {
        CAPTURE(lifeMs);
        int requests = 0;
        int retries = 0;
        for (int router = 0; router < routers; ++router) {
            RetryBudget budget({percent, 10, perSecond});
            // Monotonic clocks do not start with the process.
            const std::int64_t start = 86400000 + router * 70;
            for (std::int64_t at = 0; at < runMs; at += 100) {
                if (at % lifeMs == 0) {
                    budget = RetryBudget({percent, 10, perSecond});
                }
                budget.countRequest(Millis{start + at});
                requests += 1;
                retries += budget.tryRetry(Millis{start + at}) ? 1 : 0;
            }
        }
        const double allowed = requests * percent / 100.0 + routers * perSecond * runMs / 1000;
        CHECK(retries <= allowed);
    }
}
