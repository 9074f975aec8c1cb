#pragma once

// A service of model engines in simulated time, without any network, whose caches are empty at first: engines that read
// prompts one after the other, at speeds that differ and change, and many gateways that place requests by late reports
// or ask one owner. The decisions are the shipped ones (TargetBoard, PromptParts, EngineOwner, shortestFirstPriority).
//
//     PromptReadingDay day;
//     const PromptReadingResult result = playPromptReading(day, {QueueOrder::ShortestFirst, true});
//
// Beside that, answers can be lost without a sign, gateways can decide alone for a time or ask a second owner, and
// targets can join, leave, or count as unusable.
//
// Where it differs from real engines: a prompt is read whole before the next one, running streams do not slow reading
// down, caches have room for everything, and nobody comes back.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/targetoccupancy.h"
#include "sequoiausher/coordination/rules/decision.h"

#include <cstddef>
#include <cstdint>

namespace Sequoiausher {

/** Something that holds for a time, for a share of the gateways or targets. */
struct ModelDisruption
{
    Millis from;
    Millis until;
    double share = 0;

    bool isOn(double atMs) const
    {
        return atMs >= static_cast<double>(this->from.count) && atMs < static_cast<double>(this->until.count);
    }
};

/** The load and what serves it. */
struct PromptReadingDay
{
    std::size_t gateways = 122;
    std::size_t targets = 90;
    double perSecond = 565;
    /** So many requests come together on the average: one user's page asks for several things. */
    double together = 3;
    double tokensPerMs = 44.2;
    /** Work takes 1.3 times as long at every third target, and slowTimes as long for a share of the time. */
    double slowShare = 0.15;
    double slowTimes = 2.5;
    double slowPeriodMs = 600;
    Millis reportInterval{300};
    /** The time that a message between a gateway and the owner takes. */
    double ownerWayMs = 2;
    /** The owner's process ends here, and another gateway owns the service from ownerBackAt on; 0 for never. */
    double ownerEndsAt = 0;
    double ownerBackAt = 0;
    /** This share of the conversations, which are the requests with the longest streams, is about one document. */
    double hotShare = 0;
    /** These targets lose lostShare of the answers; gateways get no sign of that until the callers leave. */
    ModelDisruption losing;
    double lostShare = 0;
    /** These gateways ask no owner. */
    ModelDisruption alone;
    /** These gateways ask another owner than the rest. */
    ModelDisruption divided;
    /** These targets are not usable for the owner, and go on with the requests that they have. */
    ModelDisruption unusable;
    /** These targets leave the list at the beginning, and go on with the requests that they have until the end. */
    ModelDisruption leaving;
    /** These targets are listed from the beginning on only. */
    ModelDisruption joining;
    /** Requests count towards the limit from here on. */
    Millis judgedFrom{0};
    Millis length{4000};
    std::uint64_t seed = 1;
};

/** How the gateways decide. */
struct PromptReadingPolicy
{
    QueueOrder order = QueueOrder::Class;
    bool asksOwner = false;
    /** Targets tell how long work takes there at the moment, and the owner goes by it. */
    bool tellsSpeed = true;
    /** Targets announce how many requests they hold. */
    bool tellsLoad = true;
    /** How owners estimate what targets hold. */
    OccupancySettings occupancy;
};

/** What became of the requests. */
struct PromptReadingResult
{
    std::size_t sent = 0;
    /** The first event came later than the aim of the request's kind. */
    std::size_t late = 0;
    /** The longest time to a first event, in ms. */
    double longestMs = 0;
    /** Sent to a target that held more than twice the mean of all and three. */
    std::size_t sentAboveLimit = 0;
    /** The largest part of the requests of five seconds that was sent above that limit. */
    double worstFiveSeconds = 0;
    /** Refused by the owner. */
    std::size_t refused = 0;
    /** Tokens of shared parts that were read, and those of them that another target had read before. */
    std::uint64_t sharedTokensRead = 0;
    std::uint64_t readAgain = 0;
    /** Tokens of shared parts that were copied from other targets. */
    std::uint64_t copied = 0;

    double shareLate() const
    {
        return this->sent == 0 ? 0 : static_cast<double>(this->late) / static_cast<double>(this->sent);
    }
    double shareAboveLimit() const
    {
        return this->sent == 0 ? 0 : static_cast<double>(this->sentAboveLimit) / static_cast<double>(this->sent);
    }
};

PromptReadingResult playPromptReading(const PromptReadingDay &day, const PromptReadingPolicy &policy);

} // namespace Sequoiausher
