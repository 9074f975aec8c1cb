#pragma once

// The stops that are played, and the ways to treat requests in them that are compared.
//
//     for (const StopScenario &scenario : stopScenarios()) {
//         playStops(scenario.withSeed(1), shippedWay().policy);
//     }

#include "lab/model/stopmodel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Sequoiausher {

struct StopScenario
{
    std::string name;
    StopDay day;

    StopDay withSeed(std::uint64_t seed) const;
    /** Whether requests become slower after they were taken. */
    bool slowsDown() const;
};

struct NamedStopPolicy
{
    std::string name;
    StopPolicy policy;
};

std::vector<StopScenario> stopScenarios();

/** The policy of the gateway. */
NamedStopPolicy shippedWay();
/** The other ways, one after the other. */
std::vector<NamedStopPolicy> otherWays();

} // namespace Sequoiausher
