#include "lab/model/stopmodel.h"

#include "lab/model/stopscenarios.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

constexpr std::uint64_t seeds = 5;

StopScenario scenarioNamed(const std::string &name)
{
    for (const StopScenario &each : stopScenarios()) {
        if (each.name == name) {
            return each;
        }
    }
    FAIL("no scenario is named " << name);
    return {};
}

NamedStopPolicy wayNamed(const std::string &name)
{
    for (const NamedStopPolicy &each : otherWays()) {
        if (each.name == name) {
            return each;
        }
    }
    FAIL("no way is named " << name);
    return {};
}

double unservedShare(const StopScenario &scenario, const NamedStopPolicy &way)
{
    std::size_t asked = 0;
    std::size_t unserved = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const StopResult result = playStops(scenario.withSeed(seed), way.policy);
        asked += result.asked;
        unserved += result.unserved();
    }
    return static_cast<double>(unserved) / static_cast<double>(std::max<std::size_t>(asked, 1));
}

} // namespace

TEST_CASE("a day of stops is the same for the same seed")
{
    const StopScenario scenario = scenarioNamed("series1500");
    const StopResult one = playStops(scenario.withSeed(1), shippedWay().policy);
    const StopResult same = playStops(scenario.withSeed(1), shippedWay().policy);
    CHECK(one.asked == same.asked);
    CHECK(one.served == same.served);
    CHECK(one.attempts == same.attempts);
}

TEST_CASE("every request that is counted ends in one way")
{
    for (const StopScenario &scenario : {scenarioNamed("series300-slow3"), scenarioNamed("all-slowing6")}) {
        const StopResult result = playStops(scenario.withSeed(1), shippedWay().policy);
        CHECK(result.asked > 100);
        CHECK(result.unserved() == result.endedRefused + result.endedCut + result.endedUnconnected + result.endedLate);
        CHECK(result.servedInTime <= result.served);
        CHECK(result.attempts >= result.asked);
    }
}

// Guards against requests that a stop cuts off although they came too late to be excused by its end. Where durations
// change after a request was taken, nobody could have known.
TEST_CASE("a planned stop loses no request that the gateway took")
{
    for (const StopScenario &scenario : stopScenarios()) {
        if (scenario.slowsDown()) {
            continue;
        }
        CAPTURE(scenario.name);
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(seed);
            CHECK(playStops(scenario.withSeed(seed), shippedWay().policy).lost == 0);
        }
    }
}

TEST_CASE("serving all that comes until the cut loses requests")
{
    std::size_t lost = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        lost += playStops(scenarioNamed("series1500").withSeed(seed), wayNamed("serve-all").policy).lost;
    }
    CHECK(lost > 0);
}

TEST_CASE("deciding by the durations of the route serves callers that the deadline alone would refuse")
{
    for (const std::string name : {"lone", "data-centre", "series1500", "all", "fresh"}) {
        CAPTURE(name);
        const StopScenario scenario = scenarioNamed(name);
        CHECK(unservedShare(scenario, shippedWay()) < unservedShare(scenario, wayNamed("by-deadline")) - 0.05);
    }
}
