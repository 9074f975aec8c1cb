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
    CHECK(budget.tryRetry(Millis{0}));
    CHECK(budget.tryRetry(Millis{0}));
    CHECK(!budget.tryRetry(Millis{0}));
    CHECK(budget.tryRetry(Millis{10000}));
    CHECK(!budget.tryRetry(Millis{10000}));
    CHECK(budget.tryRetry(Millis{3600000}));
    CHECK(budget.tryRetry(Millis{3600000}));
    CHECK(!budget.tryRetry(Millis{3600000}));
}
