#include "sequoiausher/coordination/admission/recentrequests.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("requests are remembered from when they were first added")
{
    RecentRequests requests;
    requests.add(Millis{1}, {0, 1});
    requests.add(Millis{2}, {0, 2});
    requests.add(Millis{3}, {0, 1});
    CHECK(requests.contains({0, 1}));
    CHECK(!requests.contains({0, 3}));
    requests.forgetUntil(Millis{1});
    CHECK(!requests.contains({0, 1}));
    CHECK(requests.contains({0, 2}));
}
