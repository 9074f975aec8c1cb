#pragma once

// One organisation at ten times its rate on a fleet of real processes: what the others and the review-day reports feel
// of it, and what is shed. First a calm time, then as long a surge, on the same fleet.
//
//     const SurgeFigures figures = runSurge({.limitPerSecond = 6});

#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <cstdint>

namespace Sequoiausher::Lab {

struct SurgePlan
{
    /** Each organisation's limit over the fleet, its rate being 4.5 a second; 0 for none: then the pool itself must
     * shed. */
    std::uint32_t limitPerSecond = 0;
    /** Places of each of the two engines: 16 carry 64 requests a second, 45 of which come before the surge. */
    std::uint32_t capacity = 16;
    Millis calm{6000};
    Millis surge{6000};
    std::uint64_t seed = 1;
};

/** First tokens are measured at the caller, over whole answers. */
struct SurgeFigures
{
    /** Urgent and interactive requests of the nine quiet organisations: p95 in the surge over p95 before it. */
    double othersP95Ratio = 0;
    double othersP95CalmMs = 0;
    double othersRefused = 0;
    /** Urgent requests of everybody. */
    double reviewDayP95Ratio = 0;
    double reviewDayRefused = 0;
    /** Background requests refused in the surge, of everybody. */
    double backgroundShed = 0;
    double surgingRefused = 0;
    std::size_t calls = 0;
    std::size_t refusals = 0;
    std::size_t refusedWithoutRetryAfter = 0;
    /** The longest from a call to its refusal; the rule lets it wait a second in the queue. */
    Millis slowestRefusal;
    std::size_t unanswered = 0;
};

/** Starts a fleet, runs the load and stops the fleet. @throws Error where the fleet does not start. */
SurgeFigures runSurge(const SurgePlan &plan);

} // namespace Sequoiausher::Lab
