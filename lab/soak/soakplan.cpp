#include "lab/soak/soakplan.h"

#include <algorithm>
#include <random>

namespace Sequoiausher::Lab {

namespace {

/** A fault begins each so often, on the average: several are in progress at most times. */
constexpr std::int64_t usualGapMs = 900;
constexpr std::int64_t shortestMs = 200;
/** One fault in so many strikes the same subject again a moment later. */
constexpr std::uint64_t repeatOneIn = 4;
constexpr std::int64_t repeatGapMs = 700;

} // namespace

std::vector<SoakFault> planFaults(std::uint64_t seed, Millis length, const SoakFleet &fleet)
{
    std::mt19937_64 random(seed);
    const auto between = [&random](std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    };
    const auto &kinds = nameTable<SoakFaultKind>;
    std::vector<SoakFault> faults;
    for (Millis at{between(0, usualGapMs)}; at < length; at += Millis{between(usualGapMs / 4, usualGapMs * 7 / 4)}) {
        SoakFault fault;
        fault.kind = kinds[static_cast<std::size_t>(between(0, static_cast<std::int64_t>(kinds.size()) - 1))].value;
        fault.at = at;
        fault.lasts = Millis{between(shortestMs, fleet.longest.count)};
        fault.subject
            = static_cast<std::size_t>(between(0, static_cast<std::int64_t>(fleet.gateways * fleet.targets) - 1));
        fault.detail = random();
        faults.push_back(fault);
        if (fault.detail % repeatOneIn == 0) {
            fault.at += fault.lasts + Millis{between(1, repeatGapMs)};
            faults.push_back(fault);
        }
    }
    std::stable_sort(faults.begin(), faults.end(), [](const SoakFault &a, const SoakFault &b) { return a.at < b.at; });
    return faults;
}

std::string toText(const SoakFault &fault)
{
    return toText(fault.at) + " " + std::string(nameOf(fault.kind)) + " subject " + std::to_string(fault.subject)
        + " for " + toText(fault.lasts) + " detail " + std::to_string(fault.detail);
}

} // namespace Sequoiausher::Lab
