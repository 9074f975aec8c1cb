#include "sequoiausher/coordination/gateway/repeatshare.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace Sequoiausher;

// Symptom: a service in trouble got half as many requests again as its callers sent.
// Events: all of a service's answers fail for some seconds; each of seven gateways sends every request once more.
// Cause: each gateway took the fleet's whole allowance for its own.
TEST_CASE("all gateways together keep the fleet's bound in every window")
{
    constexpr std::size_t gateways = 7;
    constexpr double ratio = 0.2;
    constexpr double slack = 54;
    const PoolId service{"desk"};
    std::deque<RepeatShare> fleet;
    for (std::size_t i = 0; i < gateways; ++i) {
        fleet.emplace_back(RepeatShareSettings{ratio, slack, Millis{10000}});
    }
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> repeats;
    for (std::int64_t time = 0; time < 40000; time += 10) {
        // Traffic that stops and starts again, where a window may hold the repeats of more requests than its own.
        const bool quiet = time > 12000 && time < 20000;
        RepeatShare &one = fleet[static_cast<std::size_t>(time / 10) % gateways];
        if (!quiet) {
            one.countRequest(service, Millis{time});
            requests.push_back(time);
        }
        if (one.tryRepeat(service, gateways, Millis{time})) {
            repeats.push_back(time);
        }
    }
    CHECK(repeats.size() > requests.size() / 10);
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
        CHECK(countIn(repeats, from) <= allowed * ratio + slack);
    }
}

TEST_CASE("services are counted apart")
{
    RepeatShare share({.ratio = 0.2, .slack = 2, .window = Millis{10000}});
    CHECK(share.tryRepeat(PoolId{"a"}, 1, Millis{0}));
    CHECK_FALSE(share.tryRepeat(PoolId{"a"}, 1, Millis{0}));
    CHECK(share.tryRepeat(PoolId{"b"}, 1, Millis{0}));
}
