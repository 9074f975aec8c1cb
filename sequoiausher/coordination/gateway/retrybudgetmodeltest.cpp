// A fleet without a network whose gateways start, end, freeze and overlap while the answers of a service fail. All
// repeats of the fleet are counted as the bound reads: in every window, over all lives of all gateways.

#include "sequoiausher/coordination/gateway/retrybudgetshare.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

const PoolId service{"engines"};
constexpr std::int64_t stepMs = 10;
constexpr std::int64_t windowMs = 10000;
constexpr std::ptrdiff_t windowSteps = windowMs / stepMs;
/** How long a gateway that has just started knows few others, and how long until it has surely received of all. */
constexpr std::int64_t firstReportMs = 100;
constexpr std::int64_t fewKnownUntilMs = 400;
constexpr std::int64_t discoveryMs = 2100;
/** Until the others know of a gateway that was added. */
constexpr std::int64_t newsMs = 600;

/** Ends or freezes gateways; the first of them is first, and each next one follows after gap. */
struct Disruption
{
    std::int64_t atMs = 0;
    double fraction = 1;
    std::int64_t gapMs = 0;
    std::int64_t awayMs = 600;
    bool isFreeze = false;
};

struct Scenario
{
    std::size_t gateways = 7;
    double requestsPerSecond = 70;
    RetryBudgetShareSettings bound{0.2, 54, Millis{windowMs}};
    std::int64_t endMs = 34000;
    /** Traffic pauses in this time. */
    std::int64_t quietFromMs = 0;
    std::int64_t quietUntilMs = 0;
    /** All answers fail in this time, so that each gateway sends each repeat that it may. */
    std::int64_t failFromMs = 12000;
    std::int64_t failUntilMs = 30000;
    std::vector<Disruption> disruptions;
    /** Gateways that are added in the middle of the failures. */
    std::size_t added = 0;
    std::int64_t addedAtMs = 15000;
    /** All gateways read a lower slack at this time; windows that start before it are held to the higher one. */
    std::optional<std::int64_t> lowerSlackAtMs;
    double lowerSlack = 0;
};

/** One gateway with its present life. */
struct Gateway
{
    std::unique_ptr<RetryBudgetShare> share;
    std::int64_t bornMs = 0;
    std::int64_t awayUntilMs = 0;
    std::uint32_t unread = 0;
};

struct Count
{
    std::vector<std::uint32_t> requests;
    std::vector<std::uint32_t> repeats;
};

class Fleet
{
public:
    explicit Fleet(const Scenario &day) : scenario(day)
    {
        for (std::size_t i = 0; i < day.gateways; ++i) {
            // Longer ago than the first request, as where all gateways start before the traffic.
            this->start(this->fleet.emplace_back(), -windowMs);
        }
    }

    Count play()
    {
        for (std::int64_t now = 0; now < this->scenario.endMs; now += stepMs) {
            if (now == this->scenario.addedAtMs) {
                this->fleet.resize(this->scenario.gateways + this->scenario.added);
                for (std::size_t i = this->scenario.gateways; i < this->fleet.size(); ++i) {
                    this->start(this->fleet[i], now);
                }
            }
            if (now == this->scenario.lowerSlackAtMs) {
                this->bound.slack = this->scenario.lowerSlack;
                for (Gateway &gateway : this->fleet) {
                    if (gateway.share) {
                        gateway.share->setSettings(this->bound);
                    }
                }
            }
            this->disrupt(now);
            this->count.requests.push_back(0);
            this->count.repeats.push_back(0);
            this->sendRequests(now);
            for (Gateway &gateway : this->fleet) {
                this->act(gateway, now);
            }
        }
        return this->count;
    }

private:
    void start(Gateway &gateway, std::int64_t now)
    {
        gateway.share = std::make_unique<RetryBudgetShare>(this->bound, Millis{now});
        gateway.bornMs = now;
        gateway.awayUntilMs = 0;
        gateway.unread = 0;
    }

    void disrupt(std::int64_t now)
    {
        for (const Disruption &one : this->scenario.disruptions) {
            const auto hit = static_cast<std::int64_t>(one.fraction * static_cast<double>(this->scenario.gateways));
            for (std::int64_t i = 0; i < std::max<std::int64_t>(hit, 1); ++i) {
                if (now != one.atMs + i * one.gapMs) {
                    continue;
                }
                Gateway &gateway = this->fleet[static_cast<std::size_t>(i)];
                if (!one.isFreeze) {
                    gateway.share.reset();
                    gateway.unread = 0;
                }
                gateway.awayUntilMs = now + one.awayMs;
            }
        }
    }

    void sendRequests(std::int64_t now)
    {
        if (now >= this->scenario.quietFromMs && now < this->scenario.quietUntilMs) {
            return;
        }
        this->due += this->scenario.requestsPerSecond * stepMs / 1000;
        for (; this->due >= 1; this->due -= 1) {
            this->count.requests.back() += 1;
            Gateway &gateway = this->fleet[this->random() % this->fleet.size()];
            if (gateway.share || gateway.awayUntilMs > now) {
                gateway.unread += gateway.share ? 1 : 0;
            }
        }
    }

    /** What this gateway knows of the fleet, as its age and the age of the others allow. */
    RetryBudgetFleet knownFleet(const Gateway &gateway, std::int64_t now) const
    {
        const std::int64_t age = now - gateway.bornMs;
        constexpr std::size_t assumed = 12;
        if (this->fleet.size() == 1) {
            return {1, true};
        }
        if (age < firstReportMs) {
            return {assumed, false};
        }
        const bool knowsAdded = now >= this->scenario.addedAtMs + newsMs;
        const std::size_t all = knowsAdded ? this->fleet.size() : this->scenario.gateways;
        return {age < fewKnownUntilMs ? 2 : all, age >= discoveryMs};
    }

    void act(Gateway &gateway, std::int64_t now)
    {
        if (now < gateway.awayUntilMs) {
            return;
        }
        if (!gateway.share) {
            this->start(gateway, now);
        }
        const RetryBudgetFleet known = this->knownFleet(gateway, now);
        for (; gateway.unread > 0; --gateway.unread) {
            gateway.share->countRequest(service, known, Millis{now});
        }
        if (now < this->scenario.failFromMs || now >= this->scenario.failUntilMs) {
            return;
        }
        while (gateway.share->tryRetry(service, known, Millis{now})) {
            this->count.repeats.back() += 1;
        }
    }

    const Scenario &scenario;
    RetryBudgetShareSettings bound;
    std::vector<Gateway> fleet;
    std::mt19937 random{7};
    double due = 0;
    Count count;
};

/** Returns by how many repeats the worst window exceeds the bound; negative where all windows keep to it. */
double worstExcess(const Scenario &day, const Count &count)
{
    const auto sums = [](const std::vector<std::uint32_t> &parts) {
        std::vector<double> all{0};
        for (const std::uint32_t part : parts) {
            all.push_back(all.back() + part);
        }
        return all;
    };
    const std::vector<double> requests = sums(count.requests);
    const std::vector<double> repeats = sums(count.repeats);
    // A window may begin before the first request.
    const auto inWindow = [](const std::vector<double> &all, std::ptrdiff_t from) {
        const auto at = [&all](std::ptrdiff_t step) {
            return all[static_cast<std::size_t>(std::clamp<std::ptrdiff_t>(step, 0, std::ssize(all) - 1))];
        };
        return at(from + windowSteps) - at(from);
    };
    double worst = -day.bound.slack;
    for (std::ptrdiff_t from = 0; from < std::ssize(count.requests); ++from) {
        const double most = std::max({inWindow(requests, from),
                                      inWindow(requests, from - windowSteps / 2),
                                      inWindow(requests, from - windowSteps)});
        const bool isLowered = from * stepMs >= day.lowerSlackAtMs.value_or(day.endMs);
        const double slack = isLowered ? day.lowerSlack : day.bound.slack;
        worst = std::max(worst, inWindow(repeats, from) - most * day.bound.ratio - slack);
    }
    return worst;
}

double playExcess(const Scenario &day)
{
    return worstExcess(day, Fleet(day).play());
}

Scenario fleetOf(std::size_t gateways)
{
    Scenario day;
    day.gateways = gateways;
    day.requestsPerSecond = 10.0 * static_cast<double>(gateways);
    day.bound.slack = gateways > 60 ? 2.6 * static_cast<double>(gateways) : 54;
    return day;
}

} // namespace

// Guards against a service that gets up to twice its retries while gateways are killed. This happens if the next life
// of a gateway has the whole share again, although its predecessor used it up within the same window.
TEST_CASE("gateways that are killed at any instant keep to the fleet's retry budget over all their lives")
{
    for (const std::size_t gateways : {1, 7, 66}) {
        for (const double fraction : {0.01, 0.5, 1.0}) {
            for (std::int64_t after = 0; after <= 9500; after += 500) {
                CAPTURE(gateways);
                CAPTURE(fraction);
                CAPTURE(after);
                Scenario day = fleetOf(gateways);
                day.disruptions = {{.atMs = day.failFromMs + after, .fraction = fraction}};
                CHECK(playExcess(day) <= 0);
            }
        }
    }
}

// Guards against repeats that grow with the number of restarts in a window, as in a fleet that crashes again and again.
TEST_CASE("gateways that are killed in series keep to the fleet's retry budget")
{
    for (const std::size_t gateways : {1, 7, 66}) {
        for (const std::int64_t gap : {700, 1500, 3000}) {
            CAPTURE(gateways);
            CAPTURE(gap);
            Scenario day = fleetOf(gateways);
            for (std::int64_t at = day.failFromMs; at < day.failUntilMs; at += gap) {
                day.disruptions.push_back({.atMs = at, .fraction = 1, .awayMs = 300});
            }
            CHECK(playExcess(day) <= 0);
        }
    }
}

// Guards against a large fleet of which each gateway takes a share that is meant for a few, since it has just started.
TEST_CASE("three hundred gateways that are killed keep to the fleet's retry budget")
{
    for (const double slack : {54.0, 640.0}) {
        for (const std::int64_t gap : {0, 20}) {
            for (const std::int64_t after : {1000, 5000}) {
                CAPTURE(slack);
                CAPTURE(gap);
                CAPTURE(after);
                Scenario day = fleetOf(300);
                day.bound.slack = slack;
                day.disruptions = {{.atMs = day.failFromMs + after, .fraction = 1, .gapMs = gap}};
                CHECK(playExcess(day) <= 0);
            }
        }
    }
}

// Guards against gateways that wake and count what callers sent before they froze as requests of this moment.
TEST_CASE("gateways that freeze keep to the fleet's retry budget")
{
    for (const std::size_t gateways : {1, 7, 66}) {
        for (const double fraction : {0.01, 0.5, 1.0}) {
            for (std::int64_t after = -8000; after <= 8000; after += 1000) {
                CAPTURE(gateways);
                CAPTURE(fraction);
                CAPTURE(after);
                Scenario day = fleetOf(gateways);
                day.disruptions
                    = {{.atMs = day.failFromMs + after, .fraction = fraction, .awayMs = 8000, .isFreeze = true}};
                CHECK(playExcess(day) <= 0);
            }
        }
    }
}

// Guards against shares that were computed for fewer gateways than there are by now.
TEST_CASE("a fleet that grows while answers fail keeps to its retry budget")
{
    for (const std::size_t gateways : {7, 66}) {
        for (std::int64_t at = 10000; at <= 20000; at += 500) {
            CAPTURE(gateways);
            CAPTURE(at);
            Scenario day = fleetOf(gateways);
            day.added = gateways / 2;
            day.addedAtMs = at;
            CHECK(playExcess(day) <= 0);
        }
    }
}

// Guards against repeats of requests from before a pause that are paid for together with those after it.
TEST_CASE("a fleet keeps to its retry budget around a pause of its traffic")
{
    for (const std::int64_t from : {6000, 11000, 14000}) {
        for (const std::int64_t killed : {11000, 15000, 20000}) {
            CAPTURE(from);
            CAPTURE(killed);
            Scenario day = fleetOf(7);
            day.quietFromMs = from;
            day.quietUntilMs = from + 7000;
            day.disruptions = {{.atMs = killed, .fraction = 1}};
            CHECK(playExcess(day) <= 0);
        }
    }
}

// Guards against restarts of a fleet in which the slack is less than one retry for each gateway.
TEST_CASE("a large fleet with few requests and a small slack keeps to its retry budget when it is killed")
{
    for (const double rate : {0.5, 1.0, 3.0}) {
        CAPTURE(rate);
        Scenario day = fleetOf(300);
        day.requestsPerSecond = rate * static_cast<double>(day.gateways);
        day.bound.slack = 54;
        day.disruptions = {{.atMs = day.failFromMs + 4000, .fraction = 1}};
        CHECK(playExcess(day) <= 0);
    }
}

TEST_CASE("a lower bound holds for all windows after it was read")
{
    for (std::int64_t at = 11000; at <= 16000; at += 500) {
        CAPTURE(at);
        Scenario day = fleetOf(7);
        day.lowerSlackAtMs = at;
        day.lowerSlack = 15;
        day.disruptions = {{.atMs = at + 1000, .fraction = 0.5}};
        CHECK(playExcess(day) <= 0);
    }
}

// Guards against instants and mixtures that the other cases leave out.
TEST_CASE("random mixtures of kills, freezes, additions and pauses keep to the fleet's retry budget")
{
    std::mt19937 random{39};
    const auto draw = [&random](std::int64_t low, std::int64_t high) {
        return low + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(high - low + 1));
    };
    const auto drawStep = [&draw](std::int64_t low, std::int64_t high) { return draw(low, high) / stepMs * stepMs; };
    constexpr int days = 400;
    for (int number = 0; number < days; ++number) {
        CAPTURE(number);
        Scenario day = fleetOf(static_cast<std::size_t>(std::array{1, 2, 7, 10, 66}[random() % 5]));
        day.requestsPerSecond *= static_cast<double>(draw(1, 20)) / 10;
        day.failFromMs = drawStep(3000, 18000);
        day.failUntilMs = day.failFromMs + drawStep(500, 15000);
        for (std::int64_t left = draw(1, 5); left > 0; --left) {
            day.disruptions.push_back({.atMs = day.failFromMs + drawStep(-2000, 10000),
                                       .fraction = static_cast<double>(draw(1, 10)) / 10,
                                       .gapMs = draw(0, 1) * drawStep(10, 800),
                                       .awayMs = drawStep(100, 6000),
                                       .isFreeze = draw(0, 3) == 0});
        }
        if (draw(0, 3) == 0) {
            day.added = day.gateways / 2;
            day.addedAtMs = drawStep(2000, 20000);
        }
        if (draw(0, 3) == 0) {
            day.quietFromMs = drawStep(2000, 20000);
            day.quietUntilMs = day.quietFromMs + drawStep(1000, 12000);
        }
        CHECK(playExcess(day) <= 0);
    }
}

// Guards against a budget that is kept by sending no retries.
TEST_CASE("a fleet without restarts uses most of its retry budget")
{
    for (const std::size_t gateways : {1, 7, 66, 300}) {
        for (const double slack : {54.0, 2.6 * static_cast<double>(gateways)}) {
            CAPTURE(gateways);
            CAPTURE(slack);
            Scenario day = fleetOf(gateways);
            day.bound.slack = slack;
            const Count count = Fleet(day).play();
            double repeats = 0;
            for (const std::uint32_t part : count.repeats) {
                repeats += part;
            }
            const double seconds = static_cast<double>(day.failUntilMs - day.failFromMs) / 1000;
            CHECK(repeats >= 0.5 * day.bound.ratio * day.requestsPerSecond * seconds);
        }
    }
}
