#include "sequoiausher/coordination/gateway/callerwaitestimator.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("a caller that retries has less time left than callers that ask for the first time")
{
    CallerWaitEstimator estimator;
    CHECK(estimator.estimateWaited("a", Millis{2500}, Millis{1000}) == Millis{0});
    CHECK(estimator.estimateWaited("a", Millis{2100}, Millis{1400}) == Millis{400});
    CHECK(estimator.estimateWaited("b", Millis{900}, Millis{1400}) == Millis{0});
    CHECK(estimator.estimateWaited("a", Millis{2600}, Millis{1500}) == Millis{0});
}

TEST_CASE("the longest timeout of a route expires when its callers use shorter ones")
{
    CallerWaitEstimator estimator;
    estimator.estimateWaited("a", Millis{9000}, Millis{0});
    CHECK(estimator.estimateWaited("a", Millis{2000}, Millis{29000}) == Millis{7000});
    CHECK(estimator.estimateWaited("a", Millis{2000}, Millis{31000}) == Millis{7000});
    CHECK(estimator.estimateWaited("a", Millis{2000}, Millis{62000}) == Millis{0});
    CHECK(estimator.estimateWaited("a", Millis{1500}, Millis{63000}) == Millis{500});
    CHECK(estimator.estimateWaited("a", Millis{1500}, Millis{200000}) == Millis{0});
}
