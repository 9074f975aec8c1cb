#pragma once

// A day of a service of model engines in simulated time, without any network: many gateways that each choose among the
// targets by late sums of each other's loads and late news of who read which part of a prompt; targets that join empty
// and targets that are replaced one after the other. The decisions are the shipped ones (TargetBoard, PromptParts,
// PrefixDirectory).
//
//     EngineServiceDay day;
//     day.joining = 24;
//     const EngineServiceResult result = playEngineService(day, PolicyKind::RoomRendezvous);
//
// Where it differs from real engines: a request takes its time whatever else runs beside it, caches have room for
// everything, nothing fails, and nobody is refused.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/admissionmessages.h"

#include <cstddef>
#include <cstdint>

namespace Sequoiausher {

/** The load and what serves it. */
struct EngineServiceDay
{
    std::size_t gateways = 70;
    std::size_t targets = 60;
    double perSecond = 760;
    /** So many requests come together on the average: one user's page asks for several things. */
    double together = 3;
    /** Parts that requests of each of three kinds share, each the end of one of four beginnings. */
    std::size_t partsOfKind = 1400;
    /** Empty targets that join at once in the second third of the day. */
    std::size_t joining = 0;
    /** Targets that are replaced by empty ones in the second third, a fifth of them at a time. */
    std::size_t replaced = 0;
    /** The part of all requests that ask for one part in the last third. */
    double heavyUse = 0;
    Millis reportInterval{300};
    Millis length{26000};
    std::uint64_t seed = 1;
};

/** How it went. */
struct EngineServiceResult
{
    std::size_t sent = 0;
    /** Sent to a target that held more than twice the mean of all and three. */
    std::size_t sentAboveLimit = 0;
    /** The largest part of the requests of five seconds that were, of those in which at least twenty were. */
    double worstFiveSeconds = 0;
    /** Sent to a target that had not read the request's shared part before. */
    std::size_t partsRead = 0;
};

/** @param policy how the engines' targets are chosen. */
EngineServiceResult playEngineService(const EngineServiceDay &day, PolicyKind policy);

} // namespace Sequoiausher
