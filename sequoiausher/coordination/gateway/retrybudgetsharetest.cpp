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
        fleet.emplace_back(RetryBudgetShareSettings{ratio, slack, Millis{10000}}, Millis{0});
    }
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> retries;
    for (std::int64_t time = 0; time < 40000; time += 10) {
        // Traffic stops and starts again, so a window may contain retries of requests outside it.
        const bool quiet = time > 12000 && time < 20000;
        RetryBudgetShare &one = fleet[static_cast<std::size_t>(time / 10) % gateways];
        if (!quiet) {
            one.countRequest(service, {gateways}, Millis{time});
            requests.push_back(time);
        }
        if (one.tryRetry(service, {gateways}, Millis{time})) {
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

namespace {

constexpr RetryBudgetFleet single{.gateways = 1};

void countRequests(RetryBudgetShare &share, const PoolId &service, int count, const RetryBudgetFleet &fleet, Millis now)
{
    for (int i = 0; i < count; ++i) {
        share.countRequest(service, fleet, now);
    }
}

int countRetries(RetryBudgetShare &share, const PoolId &service, const RetryBudgetFleet &fleet, Millis now)
{
    int count = 0;
    while (share.tryRetry(service, fleet, now)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("services are counted separately")
{
    RetryBudgetShare share({.ratio = 0.2, .slack = 2, .window = Millis{10000}}, Millis{0});
    countRequests(share, PoolId{"a"}, 10, single, Millis{0});
    CHECK_FALSE(share.tryRetry(PoolId{"b"}, single, Millis{0}));
    CHECK(share.tryRetry(PoolId{"a"}, single, Millis{0}));
    CHECK_FALSE(share.tryRetry(PoolId{"a"}, single, Millis{0}));
    countRequests(share, PoolId{"b"}, 10, single, Millis{0});
    CHECK(share.tryRetry(PoolId{"b"}, single, Millis{0}));
}

// Guards against a restart that gives a gateway its share of the slack again.
TEST_CASE("a gateway that has just started sends no retry")
{
    RetryBudgetShare share({.ratio = 0.2, .slack = 54, .window = Millis{10000}}, Millis{5000});
    CHECK_FALSE(share.tryRetry(PoolId{"a"}, single, Millis{5000}));
}

// Guards against callers of a service with few requests who get no retry because requests alone earn one.
TEST_CASE("time earns the share of the slack, a part of it at once and the rest in each window")
{
    constexpr RetryBudgetFleet seven{.gateways = 7};
    const PoolId service{"a"};
    RetryBudgetShare share({.ratio = 0.2, .slack = 70, .window = Millis{10000}}, Millis{0});
    CHECK_FALSE(share.tryRetry(service, seven, Millis{2400}));
    CHECK(share.tryRetry(service, seven, Millis{2500}));
    CHECK(countRetries(share, service, seven, Millis{60000}) == 4);
    CHECK(countRetries(share, service, seven, Millis{65000}) == 2);
    CHECK(countRetries(share, service, seven, Millis{70000}) == 2);
}

// Guards against a large fleet none of whose gateways may ever save up one whole retry.
TEST_CASE("a share of the slack of about one retry is saved up whole")
{
    constexpr RetryBudgetFleet many{.gateways = 100};
    const PoolId service{"a"};
    RetryBudgetShare share({.ratio = 0.2, .slack = 130, .window = Millis{10000}}, Millis{0});
    for (int i = 0; i < 10; ++i) {
        share.countRequest(service, many, Millis{0});
    }
    CHECK(share.tryRetry(service, many, Millis{0}));
}

// Guards against gateways that divide the slack among the few that they know shortly after their start.
TEST_CASE("a gateway that does not know all others uses no share of the slack")
{
    constexpr RetryBudgetFleet few{.gateways = 2, .isComplete = false};
    const PoolId service{"a"};
    RetryBudgetShare share({.ratio = 0.2, .slack = 54, .window = Millis{10000}}, Millis{0});
    CHECK_FALSE(share.tryRetry(service, few, Millis{60000}));
    countRequests(share, service, 100, few, Millis{60000});
    CHECK(countRetries(share, service, few, Millis{60000}) == 6);
    CHECK(countRetries(share, service, {.gateways = 7}, Millis{60000}) == 0);
}

TEST_CASE("savings are limited by the share of the slack and by the requests of the last window")
{
    const PoolId service{"a"};
    RetryBudgetShare share({.ratio = 0.2, .slack = 70, .window = Millis{10000}}, Millis{0});
    countRequests(share, service, 10000, {.gateways = 7}, Millis{0});
    // The requests are not of the last window any more, so only the share of the slack is left.
    CHECK(countRetries(share, service, {.gateways = 7}, Millis{20000}) == 4);

    countRequests(share, service, 10000, {.gateways = 7}, Millis{30000});
    CHECK(countRetries(share, service, {.gateways = 100}, Millis{60000}) == 0);
}

// Guards against a gateway that goes on with the savings of an older bound.
TEST_CASE("a lower bound applies to what was saved up before")
{
    const PoolId service{"a"};
    RetryBudgetShare share({.ratio = 0.2, .slack = 54, .window = Millis{10000}}, Millis{0});
    countRequests(share, service, 1000, single, Millis{0});
    share.setSettings({.ratio = 0.2, .slack = 10, .window = Millis{10000}});
    CHECK(countRetries(share, service, single, Millis{20000}) == 4);
}
