#include "lab/soak/fleetfaults.h"

#include <random>

namespace Sequoiausher::Lab {

namespace {

constexpr std::int64_t shortestGapMs = 150;
constexpr std::int64_t longestGapMs = 2400;
constexpr std::int64_t shortestMs = 200;
constexpr std::int64_t longestMs = 5000;
constexpr std::int64_t mostSubjects = 1000;

} // namespace

std::vector<FleetFault> planFleetFaults(std::uint64_t seed, Millis length)
{
    std::mt19937_64 random(seed);
    const auto between = [&random](std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    };
    const auto &kinds = nameTable<FleetFaultKind>;
    std::vector<FleetFault> faults;
    for (Millis at{between(0, longestGapMs)}; at < length; at += Millis{between(shortestGapMs, longestGapMs)}) {
        FleetFault fault;
        fault.kind = kinds[static_cast<std::size_t>(between(0, static_cast<std::int64_t>(kinds.size()) - 1))].value;
        fault.at = at;
        fault.lasts = Millis{between(shortestMs, longestMs)};
        fault.subject = static_cast<std::size_t>(between(0, mostSubjects));
        fault.detail = random();
        faults.push_back(fault);
    }
    return faults;
}

std::string toText(const FleetFault &fault)
{
    return toText(fault.at) + " " + std::string(nameOf(fault.kind)) + " subject " + std::to_string(fault.subject)
        + " for " + toText(fault.lasts) + " detail " + std::to_string(fault.detail);
}

} // namespace Sequoiausher::Lab
