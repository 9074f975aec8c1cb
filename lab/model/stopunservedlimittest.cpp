#include "lab/model/stopscenarios.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

using namespace Sequoiausher;

namespace {

/** Each leaves the fewest callers unserved in some scenario of lab/bench/stopbench, or nearly. */
constexpr std::array comparedWays{"serve-all",
                                  "by-deadline",
                                  "share-50",
                                  "resumable",
                                  "return-restarted",
                                  "told-by-deadline",
                                  "told-share-50",
                                  "told-resumable",
                                  "shipped-resumable"};

bool isCompared(const NamedStopPolicy &way)
{
    return std::find(comparedWays.begin(), comparedWays.end(), way.name) != comparedWays.end();
}

/** Larger ones take minutes with all ways; lab/bench/stopbench plays them too. */
bool isShort(const StopScenario &scenario)
{
    constexpr std::size_t mostGateways = 7;
    std::size_t gateways = 0;
    for (const std::size_t count : scenario.day.dataCentres) {
        gateways += count;
    }
    return gateways <= mostGateways && scenario.day.callersPerGateway <= StopDay().callersPerGateway;
}

double unservedShare(const StopScenario &scenario, const StopPolicy &policy)
{
    constexpr std::uint64_t seeds = 5;
    std::size_t asked = 0;
    std::size_t unserved = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const StopResult result = playStops(scenario.withSeed(seed), policy);
        asked += result.asked;
        unserved += result.unserved();
    }
    return static_cast<double>(unserved) / static_cast<double>(std::max<std::size_t>(asked, 1));
}

} // namespace

// Guards against a way to stop that leaves more callers without an answer than another one would, by over 1 in 100.
TEST_CASE("no other way to treat requests in a planned stop leaves far fewer callers unserved")
{
    constexpr double mostBehind = 0.01;
    for (const StopScenario &scenario : stopScenarios()) {
        if (!isShort(scenario)) {
            continue;
        }
        CAPTURE(scenario.name);
        std::size_t compared = 0;
        double best = 1;
        std::string bestName;
        for (const NamedStopPolicy &way : otherWays()) {
            if (!isCompared(way)) {
                continue;
            }
            compared += 1;
            const double unserved = unservedShare(scenario, way.policy);
            if (unserved < best) {
                best = unserved;
                bestName = way.name;
            }
        }
        CAPTURE(bestName);
        CHECK(compared == comparedWays.size());
        CHECK(unservedShare(scenario, shippedWay().policy) <= best + mostBehind);
    }
}
