#pragma once

// Seven routers that each see a sliver of the load and twelve engines, as real processes: how evenly the requests fall
// on the engines, by what the engines themselves recorded.
//
//     const BalanceFigures bounded = runBalance({.policy = "bounded-rendezvous", .faults = true});

#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Sequoiausher::Lab {

struct BalancePlan
{
    std::string policy = "bounded-rendezvous";
    std::uint32_t boundPercent = 125;
    Millis span{8000};
    /** An engine is taken off the list at 2/8 of the span and put back at 4/8, a router is killed at 5/8. */
    bool faults = false;
    std::uint64_t seed = 1;
};

struct BalanceFigures
{
    /** Admissions at which the mean was at least four, outside of the tolerated window after the kill. */
    std::size_t admissions = 0;
    /** Over them, the largest (requests on the chosen engine before the new one) / mean of the listed engines. */
    double maxOverMean = 0;
    /** The same over the tolerated window alone. */
    double maxOverMeanAfterKill = 0;
    /** Share of admissions above ceil(1.25 x mean) + 1, whatever the rule's bound: one request may be ending at the
     * engine as the next is sent.
     */
    double aboveBound = 0;
    /** Share of prompt tokens found cached. */
    double reuse = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t refusedWithoutRetryAfter = 0;
    /** Broken off: those that the killed router carried. */
    std::size_t broken = 0;
};

/** From the kill of a router until its streams have ended at the engines, and its counts are corrected. */
inline constexpr Millis killWindow{3000};

/** Starts a fleet, runs the load and stops the fleet. @throws Error where the fleet does not start. */
BalanceFigures runBalance(const BalancePlan &plan);

} // namespace Sequoiausher::Lab
