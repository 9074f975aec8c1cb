#include "sequoiausher/coordination/gateway/retrybudgetshare.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace Sequoiausher;

// Guards against a failing service that receives one and a half times the requests of its callers. When all its answers
// fail for some seconds, each of seven gateways retries every request. This happens if each gateway uses the whole
// bound of the fleet.
TEST_CASE("all gateways together stay within the fleet's bound in every window")
{
    constexpr std::size_t gateways = 7;
    constexpr double ratio = 0.2;
    constexpr double slack = 54;
    const PoolId service{"desk"};
    std::deque<RetryBudgetShare> fleet;
    for (std::size_t i = 0; i < gateways; ++i) {
        fleet.emplace_back(RetryBudgetShareSettings{ratio, slack, Millis{10000}});
    }
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> retries;
    for (std::int64_t time = 0; time < 40000; time += 10) {
        // Traffic stops and starts again, so a window may contain retries of requests outside it.
        const bool quiet = time > 12000 && time < 20000;
        RetryBudgetShare &one = fleet[static_cast<std::size_t>(time / 10) % gateways];
        if (!quiet) {
            one.countRequest(service, Millis{time});
            requests.push_back(time);
        }
        if (one.tryRetry(service, gateways, Millis{time})) {
            retries.push_back(time);
        }
    }
    CHECK(retries.size() > requests.size() / 10);
    const auto countIn = [](const std::vector<std::int64_t> &times, std::int64_t from) {
        std::size_t count = 0;
        for (const std::int64_t time : times) {
            count += time >= from && time < from + 10000 ? 1 : 0;
        }
        return static_cast<double>(count);
    };
    for (std::int64_t from = 0; from < 30000; from += 100) {
        CAPTURE(from);
        const double allowed
            = std::max({countIn(requests, from), countIn(requests, from - 5000), countIn(requests, from - 10000)});
        CHECK(countIn(retries, from) <= allowed * ratio + slack);
    }
}

TEST_CASE("services are counted separately")
{
    RetryBudgetShare share({.ratio = 0.2, .slack = 2, .window = Millis{10000}});
    CHECK(share.tryRetry(PoolId{"a"}, 1, Millis{0}));
    CHECK_FALSE(share.tryRetry(PoolId{"a"}, 1, Millis{0}));
    CHECK(share.tryRetry(PoolId{"b"}, 1, Millis{0}));
}
