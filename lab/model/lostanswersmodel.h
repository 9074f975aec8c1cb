#pragma once

// A day of a service of model engines most of which lose their answers, in simulated time, without any network: some of
// the lost answers end their connections, and of the others nothing is heard, so their requests count as in flight
// until their callers leave. The choice of targets, their health and the shedding are the shipped ones (TargetBoard,
// LoadShedder); what a gateway may do beyond them is a policy of the model.
//
//     LostAnswersPolicy policy;
//     policy.overdue.weight = 1;
//     const LostAnswersResult result = playLostAnswers(LostAnswersDay(), policy);
//
// Where it differs from real engines: a request's time depends on how many run beside it when it begins and on nothing
// else, prompts have no parts in common, and callers ask once unless they are refused.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/targetstate.h"

#include <cstddef>
#include <cstdint>

namespace Sequoiausher {

/** The load and what serves it. */
struct LostAnswersDay
{
    std::size_t gateways = 7;
    std::size_t targets = 12;
    /** Targets that lose their answers in the crowded time. */
    std::size_t losing = 8;
    double lostShare = 0.98;
    /** Of the lost answers, those of which nothing is heard. */
    double silentShare = 0.5;
    double quietPerSecond = 150;
    double crowdedPerSecond = 900;
    /** Requests that a target runs at once; others wait there. */
    std::size_t places = 24;
    /** What a request takes alone. Twice of it with so many beside it. */
    double aloneMs = 110;
    double doubledBy = 8;
    Millis crowdedFrom{4000};
    Millis crowdedUntil{16000};
    Millis length{20000};
    Millis reportInterval{300};
    std::uint64_t seed = 1;
};

/** What gateways do while targets lose answers. */
struct LostAnswersPolicy
{
    OverdueRequests overdue;
    /** The shipped shedding by answer times. */
    bool sheds = false;
    /** Refuses what would go to a target with more than this multiple of the mean, and two; 0 for no cap. */
    double cap = 0;
    /** Of the requests, those that may go to targets that lose answers. */
    double trialShare = 1;
    /** Knows which targets lose answers, and how many requests each has; refuses what finds no free place. */
    bool knowsAll = false;
};

/** How it went in the crowded time. */
struct LostAnswersResult
{
    std::size_t asked = 0;
    /** Answered before its caller left. */
    std::size_t served = 0;
    /** Refusals at once; one caller may get several. */
    std::size_t refusals = 0;
    std::size_t sent = 0;
    /** Sent to targets that lose answers. */
    std::size_t sentToLosing = 0;
    /** The largest part of the requests of five seconds sent to targets that held over twice the mean and three. */
    double worstFiveSeconds = 0;
    /** What answered requests took on the average, in milliseconds. */
    double meanAnswerMs = 0;
};

LostAnswersResult playLostAnswers(const LostAnswersDay &day, const LostAnswersPolicy &policy);

} // namespace Sequoiausher
