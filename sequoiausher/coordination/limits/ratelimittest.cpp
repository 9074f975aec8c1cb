#include "sequoiausher/coordination/limits/ratelimit.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

const OrganisationId acme{"acme"};
constexpr auto urgent = RequestClass::Urgent;
constexpr auto low = RequestClass::Background;

/** Sends requests to a limiter at an even interval, and returns how many are allowed. */
int allowedOf(RateLimiter &limiter, Millis from, Millis to, Millis every)
{
    int allowed = 0;
    for (Millis now = from; now < to; now += every) {
        allowed += limiter.take(now, acme, urgent, 1).allowed ? 1 : 0;
    }
    return allowed;
}

} // namespace

TEST_CASE("without limits all requests are allowed")
{
    RateLimiter limiter;
    CHECK(limiter.take(Millis{0}, acme, urgent, 1e9).allowed);
    limiter.setLimits(acme, {});
    CHECK(limiter.take(Millis{0}, acme, urgent, 1e9).allowed);
}

TEST_CASE("one router allows a burst, then the rate; a refused request is allowed after the retry delay")
{
    RateLimiter limiter;
    limiter.setLimits(acme, {10, 2, {}});
    CHECK(allowedOf(limiter, Millis{0}, Millis{1}, Millis{1}) == 1);
    CHECK(allowedOf(limiter, Millis{1}, Millis{10001}, Millis{10}) <= 20 + 100);
    LimitDecision refused = limiter.take(Millis{10001}, acme, urgent, 1);
    if (refused.allowed) {
        refused = limiter.take(Millis{10001}, acme, urgent, 1);
    }
    REQUIRE(!refused.allowed);
    CHECK(refused.retryAfter <= Millis{100});
    CHECK(limiter.take(Millis{10001} + refused.retryAfter, acme, urgent, 1).allowed);
}

TEST_CASE("urgent requests may use tokens of background requests, but not the reverse")
{
    RateLimiter limiter;
    limiter.setLimits(acme, {100, 1, {5, 5, 5}});
    int allowed = 0;
    for (int i = 0; i < 30; ++i) {
        allowed += limiter.take(Millis{0}, acme, low, 1).allowed ? 1 : 0;
    }
    CHECK(allowed == 5);
    allowed = 0;
    for (int i = 0; i < 30; ++i) {
        allowed += limiter.take(Millis{0}, acme, urgent, 1).allowed ? 1 : 0;
    }
    CHECK(allowed == 10);
}

// Guards against refusing an organisation that is below its limit: its clients keep their connections, so three of ten
// routers get all its requests, and an even share for each router is too little.
TEST_CASE("uneven traffic within the limit is allowed once the fleet's demand is known, and more than the limit is not")
{
    struct Row
    {
        const char *what;
        double demand;
        bool known;
        double least;
        double most;
    };
    const std::vector<Row> rows{
        {"static: only the even shares", 90, false, 0, 45},
        {"known: nearly all", 90, true, 80, 90},
        {"known, demand at three times the limit", 300, true, 80, 105},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        std::vector<RateLimiter> routers(10);
        for (RateLimiter &router : routers) {
            router.setLimits(acme, {100, 2, {}});
            router.setLiveRouters(routers.size());
        }
        int allowed = 0;
        double credit = 0;
        constexpr std::int64_t warm = 20000;
        constexpr std::int64_t end = 60000;
        for (std::int64_t now = 0; now < end; ++now) {
            if (row.known && now % 2000 == 0) {
                double fleet = 0;
                for (RateLimiter &router : routers) {
                    for (const OrganisationDemand &demand : router.collectReports(Millis{now})) {
                        fleet += demand.perSecond;
                    }
                }
                for (RateLimiter &router : routers) {
                    router.setFleetDemand(Millis{now}, {acme, fleet});
                }
            }
            for (credit += row.demand / 1000; credit >= 1; credit -= 1) {
                RateLimiter &router = routers[static_cast<std::size_t>(now % 3)];
                allowed += router.take(Millis{now}, acme, urgent, 1).allowed && now >= warm ? 1 : 0;
            }
        }
        const double perSecond = allowed * 1000.0 / static_cast<double>(end - warm);
        CHECK(perSecond >= row.least);
        CHECK(perSecond <= row.most);
    }
}

TEST_CASE("an outdated sum is not used")
{
    RateLimiter limiter;
    limiter.setLimits(acme, {100, 2, {}});
    limiter.setLiveRouters(10);
    limiter.take(Millis{0}, acme, urgent, 1);
    limiter.setFleetDemand(Millis{0}, {acme, 0.2});
    CHECK(limiter.share(Millis{0}, acme) > 10);
    CHECK(limiter.share(minDemandTtl, acme) == doctest::Approx(10));
}

TEST_CASE("for any events, a router allows no more than the burst and rate of its largest share")
{
    CHECK(rc::check([] {
        RateLimiter limiter;
        const double limit = *rc::gen::inRange(1, 200);
        const auto routers = *rc::gen::inRange<std::size_t>(1, 50);
        limiter.setLimits(acme, {limit, 2, {}});
        limiter.setLiveRouters(routers);
        const double largest = std::min(limit, maxShareToEvenRatio * limit / static_cast<double>(routers));
        Millis now{0};
        double allowed = 0;
        for (int step = 0; step < 300; ++step) {
            now += Millis{*rc::gen::inRange(0, 50)};
            if (*rc::gen::inRange(0, 10) == 0) {
                limiter.setFleetDemand(now, {acme, static_cast<double>(*rc::gen::inRange(0, 300))});
            }
            allowed += limiter.take(now, acme, RequestClass::Interactive, 1).allowed ? 1 : 0;
            const double seconds = static_cast<double>(now.count) / 1000;
            RC_ASSERT(allowed <= std::max(minimumBurst, largest * 2) + largest * seconds + 1e-6);
        }
    }));
}

// Guards against a limit that restarts lift: a router whose buckets start full gives an organisation the burst of its
// share again each time it starts.
TEST_CASE("routers that restart in series allow one burst, the rate, and one request for each start")
{
    constexpr double limit = 70;
    constexpr double burstSeconds = 2;
    constexpr std::size_t routers = 7;
    constexpr std::int64_t runMs = 60000;
    // Monotonic clocks do not start with the process.
    constexpr std::int64_t begin = 86400000;
    for (const std::int64_t lifeMs : {700, 7000, 30000}) {
        CAPTURE(lifeMs);
        int allowed = 0;
        int starts = 0;
        for (std::size_t router = 0; router < routers; ++router) {
            RateLimiter limiter;
            for (std::int64_t now = begin; now < begin + runMs; now += 20) {
                if ((now - begin + static_cast<std::int64_t>(router) * 100) % lifeMs == 0 && now > begin) {
                    limiter = RateLimiter(Millis{now});
                    starts += 1;
                }
                limiter.setLimits(acme, {limit, burstSeconds, {}});
                limiter.setLiveRouters(routers);
                allowed += limiter.take(Millis{now}, acme, urgent, 1).allowed ? 1 : 0;
            }
        }
        CHECK(allowed <= limit * (burstSeconds + runMs / 1000.0) + starts);
    }
}

TEST_CASE("an organisation that sends little is allowed at once by a router that has just started")
{
    RateLimiter limiter(Millis{5000});
    limiter.setLimits(acme, {1, 2, {}});
    limiter.setLiveRouters(100);
    CHECK(limiter.take(Millis{5001}, acme, urgent, 1).allowed);
    const LimitDecision second = limiter.take(Millis{5001}, acme, urgent, 1);
    CHECK_FALSE(second.allowed);
    CHECK(second.retryAfter > Millis{0});
    RateLimiter warm(Millis{5000});
    warm.setLimits(acme, {100, 2, {}});
    CHECK(allowedOf(warm, Millis{8000}, Millis{8001}, Millis{1}) == 1);
    int burst = 1;
    while (warm.take(Millis{8000}, acme, urgent, 1).allowed) {
        burst += 1;
    }
    CHECK(burst == 200);
}
