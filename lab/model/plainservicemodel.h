#pragma once

// A day of a plain service in simulated time, without any network: many gateways that each choose among few targets by
// what they last heard of each other, targets with a few places and a short queue, callers that come back once after a
// refusal. The gateways' decisions are the shipped ones (TargetBoard, LoadShedder), so a policy is judged here within
// a second of a whole day on many machines.
//
//     PlainServiceDay day;
//     day.load = {{Millis{0}, 300}, {Millis{5000}, 700}, {Millis{12000}, 300}};
//     const PlainServiceResult result = playPlainService(day, {PolicyKind::LeastExpected, true});
//
// Where it differs from real machines: a request reaches its target at once and none is lost; no target fails; every
// gateway hears the others' loads as they were one report ago, in one sum.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/admissionmessages.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Sequoiausher {

/** From a moment on, so many new requests a second, Poisson. */
struct LoadStep
{
    Millis from;
    double perSecond = 0;
};

/** From a moment on, so many of the targets take requests. */
struct TargetStep
{
    Millis from;
    std::size_t targets = 0;
};

/** The load and what serves it. */
struct PlainServiceDay
{
    std::size_t gateways = 75;
    std::size_t targets = 3;
    std::uint32_t places = 6;
    std::uint32_t queue = 24;
    /** Time of work: lognormal with this mean and deviation of its logarithm; one in a hundred takes five times it. */
    double workMs = 30;
    double workSpread = 0.5;
    std::vector<LoadStep> load{{Millis{0}, 300}};
    /** So many requests come together on the average: one user's page asks for several things. */
    double together = 3;
    /** What callers add to each answer's time: their way to the gateway, and new connections. */
    double wayMs = 6;
    std::vector<TargetStep> changes;
    Millis aim{150};
    /** Callers wait so long, and come back once. */
    Millis patience{2500};
    Millis reportInterval{300};
    /** The time that a message between a gateway and the admission owner takes. */
    double ownerWayMs = 2;
    /** The owner's process ends here, and another gateway owns the service from ownerBackAt on; 0 for never. */
    double ownerEndsAt = 0;
    double ownerBackAt = 0;
    /** A target's work takes slowTimes as long for this fraction of the time, drawn anew every slowPeriodMs. */
    double slowShare = 0;
    double slowTimes = 2.5;
    double slowPeriodMs = 600;
    /** The relative traffic of each organisation; one organisation where it is empty. */
    std::vector<double> organisations;
    /** This fraction of the requests may run more than once. */
    double idempotentShare = 0;
    /** From a moment on, the traffic of the first organisation is multiplied. */
    std::vector<LoadStep> surges;
    Millis length{30000};
    std::uint64_t seed = 1;
};

/** How the gateways decide. */
struct PlainServicePolicy
{
    PolicyKind choice = PolicyKind::LeastExpected;
    bool sheds = true;
    /** Everybody sees every queue as it is now, and sheds what cannot be in time: no fleet can do better. */
    bool knowsAll = false;
    /** Gateways ask the service's admission owner for a place before they send a request. */
    bool asksOwner = false;
    /** The limit for second copies of idempotent requests, in percent of all requests; only with an owner. */
    std::uint16_t hedgePercent = 0;
};

/** What became of the callers' requests. */
struct PlainServiceResult
{
    std::size_t asked = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    /** Refused twice, or with too little time left to come back. */
    std::size_t refused = 0;
    /** Sent to a target that had no room. */
    std::size_t bounced = 0;
    /** Of these, those that another target had room for. */
    std::size_t bouncedBesideRoom = 0;
    /** Requests of the organisations other than the first, and those of them that were answered in time. */
    std::size_t askedByOthers = 0;
    std::size_t inTimeOfOthers = 0;
    /** Second copies that were sent, and those that answered first. */
    std::size_t hedges = 0;
    std::size_t hedgesWon = 0;
    /** The answer times of idempotent requests and of all others, in ms. */
    std::vector<double> idempotentMs;
    std::vector<double> otherMs;
    /** Requests of each organisation, and those that were answered at all. */
    std::vector<std::size_t> askedBy;
    std::vector<std::size_t> answeredOf;

    double partInTime() const
    {
        return this->asked == 0 ? 0 : static_cast<double>(this->inTime) / static_cast<double>(this->asked);
    }
};

PlainServiceResult playPlainService(const PlainServiceDay &day, const PlainServicePolicy &policy);

} // namespace Sequoiausher
