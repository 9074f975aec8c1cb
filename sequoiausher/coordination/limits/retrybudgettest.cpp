#include "sequoiausher/coordination/limits/retrybudget.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

// Symptom: a pool that lost half of its targets never comes back. Sequence: each failed request is tried again, which
// doubles the load, which fails more. Cause: retries without a bound.
TEST_CASE("when everything fails, retries are a tenth of the requests")
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

TEST_CASE("quiet times neither save up without bound nor forbid retries")
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
