// How far one organisation's surge moves the others, with the fair queue and with a naive one: ten organisations, one
// at ten times its rate, before a pool that carries 160 requests a second. Simulated time, five seeds, medians.
//
// Ratios compare the p95 from arrival to end with the surge to the one without it, over requests that were served;
// what was refused is given beside them, since a queue that refuses many would look quick.

#include "lab/bench/surgefleet.h"
#include "lab/bench/surgesimulation.h"
#include "sequoiausher/coordination/limits/admissionqueue.h"
#include "sequoiausher/coordination/limits/fifoqueue.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>

using namespace Sequoiausher;

namespace {

constexpr std::size_t slots = 64;
constexpr std::size_t maxWaiting = 256;
constexpr double surge = 10;
constexpr int seeds = 5;

constexpr auto urgent = static_cast<std::size_t>(RequestClass::Urgent);
constexpr auto interactive = static_cast<std::size_t>(RequestClass::Interactive);
constexpr auto background = static_cast<std::size_t>(RequestClass::Background);

using MakeQueue = std::function<std::unique_ptr<DispatchQueue>()>;
/** A run of some load, quiet or surging. */
using Simulate = std::function<SurgeResult(double surgeFactor, std::uint64_t seed)>;
/** The values of each figure, one for each seed. */
using Figures = std::map<std::string, std::vector<double>>;

GroupResult joined(const GroupResult &a, const GroupResult &b)
{
    GroupResult both = a;
    both.merge(b);
    return both;
}

/** One router and its queue. */
Simulate alone(const MakeQueue &makeQueue)
{
    return [makeQueue](double surgeFactor, std::uint64_t seed) {
        SurgeSettings settings;
        settings.seed = seed;
        settings.surgeFactor = surgeFactor;
        return simulateSurge(*makeQueue(), settings);
    };
}

/** Seven routers before two targets; latencies are those of the first token. */
Simulate inFleet(const FleetSurgeSettings &fleet)
{
    return [fleet](double surgeFactor, std::uint64_t seed) {
        FleetSurgeSettings settings = fleet;
        settings.load.seed = seed;
        settings.load.surgeFactor = surgeFactor;
        return simulateFleetSurge(settings);
    };
}

void measure(const Simulate &simulate, std::uint64_t seed, const std::string &suffix, Figures &figures)
{
    const SurgeResult quiet = simulate(1, seed);
    const SurgeResult surging = simulate(surge, seed);
    constexpr double tail = 0.95;
    const auto add = [&](const std::string &name, double value) { figures[name + suffix].push_back(value); };
    const GroupResult othersQuiet = joined(quiet.others[urgent], quiet.others[interactive]);
    const GroupResult othersSurge = joined(surging.others[urgent], surging.others[interactive]);
    add("others_p95_ratio", othersSurge.quantile(tail) / othersQuiet.quantile(tail));
    add("others_refused", othersSurge.refusedShare());
    const GroupResult reviewQuiet = joined(quiet.others[urgent], quiet.surging[urgent]);
    const GroupResult reviewSurge = joined(surging.others[urgent], surging.surging[urgent]);
    add("review_day_p95_ratio", reviewSurge.quantile(tail) / reviewQuiet.quantile(tail));
    add("review_day_refused", reviewSurge.refusedShare());
    add("background_shed", joined(surging.others[background], surging.surging[background]).refusedShare());
    if (surging.asked > 0) {
        std::size_t offered = 0;
        for (std::size_t index = 0; index < requestClassCount; ++index) {
            offered += surging.others[index].offered + surging.surging[index].offered;
        }
        add("asked_per_request", static_cast<double>(surging.asked) / static_cast<double>(offered));
    }
    add("surging_refused", joined(surging.surging[urgent], surging.surging[interactive]).refusedShare());
}

/** Prints the median of each figure; false where one could not be measured. */
bool print(const Figures &figures)
{
    bool measured = !figures.empty();
    for (const auto &figure : figures) {
        std::vector<double> values = figure.second;
        measured = measured && std::all_of(values.begin(), values.end(), [](double v) { return std::isfinite(v); });
        std::sort(values.begin(), values.end());
        const bool isRatio = figure.first.find("_ratio") != std::string::npos;
        const bool isCount = figure.first.find("asked") != std::string::npos;
        const char *unit = isCount ? "count" : isRatio ? "ratio" : "share";
        std::printf("figure %s %.3f %s\n", figure.first.c_str(), values[values.size() / 2], unit);
    }
    return measured;
}

} // namespace

int main()
{
    const MakeQueue fair = [] {
        AdmissionQueueSettings settings;
        settings.slots = slots;
        settings.maxWaiting = maxWaiting;
        return std::make_unique<AdmissionQueue>(settings);
    };
    const MakeQueue naive = [] { return std::make_unique<FifoQueue>(slots, maxWaiting); };
    Figures figures;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        measure(alone(fair), seed, "", figures);
        measure(alone(naive), seed, "_naive", figures);
        measure(inFleet({}), seed, "_fleet", figures);
        measure(inFleet({.owner = {}}), seed, "_fleet_no_list", figures);
        measure(inFleet({.tellsOrganisations = false}), seed, "_fleet_no_shares", figures);
        measure(inFleet({.owner = {}, .tellsOrganisations = false}), seed, "_fleet_first_asks", figures);
        measure(inFleet({.owner = {}, .tellsOrganisations = false, .makeQueue = naiveQueue}),
                seed,
                "_fleet_naive",
                figures);
    }
    if (!print(figures)) {
        std::fprintf(stderr, "surgebench: a figure could not be measured\n");
        return 1;
    }
    return 0;
}
