#pragma once

// A fleet in discrete time whose targets end as soon as they begin an answer to a request with a certain prompt part,
// beside sound requests, targets that end by chance and gateways that restart. No network.
//
//     CrashingPartDay day;
//     day.gateways = 40;
//     const CrashingPartFigures figures = playDay(day);

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/crashjudge.h"

#include <cstddef>
#include <cstdint>

namespace Sequoiausher {

/** Where the crashing part stands in a prompt. */
enum class CrashingPartPlace {
    First,
    Middle,
    LastShared,
    /** Another place in each request. */
    Any,
};

template<>
inline constexpr auto nameTable<CrashingPartPlace> = std::to_array<NameEntry<CrashingPartPlace>>({
    {CrashingPartPlace::First, "first"},
    {CrashingPartPlace::Middle, "middle"},
    {CrashingPartPlace::LastShared, "last shared"},
    {CrashingPartPlace::Any, "any"},
});

/** What is played. */
struct CrashingPartDay
{
    CrashJudgement judgement = CrashJudgement::Kept;
    std::size_t gateways = 7;
    /** 0 where all gateways report to all. */
    std::size_t hubs = 0;
    std::size_t targets = 12;
    double requestsPerSecond = 70;
    /** Prompt parts that crash targets, all of one organisation. */
    std::size_t crashingParts = 1;
    /** Requests a second with a part that crashes targets. */
    double crashingPerSecond = 2;
    CrashingPartPlace place = CrashingPartPlace::LastShared;
    /** The part is sound until the requests have been sent for this long. */
    Millis soundUntil;
    double chanceEndsPerSecond = 0;
    /** At 5 s and 15 s this many of the targets end, one each 50 ms. */
    std::size_t seriesOfEnds = 0;
    double restartsPerSecond = 0;
    Millis length{30000};
    std::uint64_t seed = 1;
};

/** What came of it. */
struct CrashingPartFigures
{
    /** The most targets that ended under one part. */
    std::size_t endedUnderPart = 0;
    /** Requests with a part that were sent later than reports need after the third target had ended under it. */
    std::size_t sentAfterReports = 0;
    /** The same from the contact window of the users' rules after the fifth target had ended. */
    std::size_t sentAfterContact = 0;
    /** Sound requests of the same organisation, which share the other parts, from the first end on. */
    std::size_t besideAsked = 0;
    std::size_t besideRefused = 0;
    /** All other sound requests. */
    std::size_t othersAsked = 0;
    std::size_t othersRefused = 0;
    /** The most entries that one report had. */
    std::size_t mostReportEntries = 0;
};

CrashingPartFigures playDay(const CrashingPartDay &day);

} // namespace Sequoiausher
