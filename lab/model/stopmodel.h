#pragma once

// Planned stops of gateways in simulated time, without any network. Which requests a gateway begins while it stops, and
// what it knows of their durations, are the shipped decisions (StopSchedule, RouteDurations); around them are callers
// with kept and with new connections, a balancer that learns of a stop by asking for readiness, and targets.
//
//     StopDay day;
//     day.stops = {{Millis{20000}, 0}};
//     const StopResult result = playStops(day, StopPolicy());
//
// Every caller has its own sequence of requests, pauses and durations, which is the same for all policies. Where it
// differs from real gateways: targets have places for everything, a stopping gateway's peers know of it at once, and
// requests are neither sent a second time by the gateway nor carried by tunnels.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/stopschedule.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Sequoiausher {

/** A request to stop, sent to the process that runs at that time. */
struct PlannedStop
{
    Millis at;
    std::size_t gateway = 0;
};

/** A fleet, its callers and its stops. */
struct StopDay
{
    /** How many gateways each data centre has. */
    std::vector<std::size_t> dataCentres = {2, 2, 2, 1};
    std::size_t callersPerGateway = 48;
    /** How often a caller that gets no answer may ask again. */
    int retries = 1;
    std::vector<PlannedStop> stops;
    /** How many times slower than usual targets are. */
    double slowness = 1;
    /** The same from a given time on, also for what is in flight then. */
    double slownessAfter = 1;
    Millis slowerFrom = Millis::never();
    StopTimes times = {Millis{8000}, Millis{3000}};
    std::uint64_t seed = 1;
};

/** What a gateway does with a request that comes while it stops. */
enum class StopWay {
    /** Begins it. */
    ServeAll,
    /** Refuses it. */
    RefuseAll,
    /** Begins what must end before the cut by its deadline. */
    ByDeadline,
    /** As StopSchedule decides with the limits of the policy. */
    ByDurations,
};

/** What gateways do in a stop. */
struct StopPolicy
{
    StopWay way = StopWay::ByDurations;
    OverrunLimits limits;
    /** Begins all resumable streams in the notice. */
    bool beginsResumable = false;
    /** Keeps the listener after the notice while requests are in hand and no other gateway goes on. */
    bool keepsListener = true;
    /** When a refused caller may come back at the earliest, if another gateway goes on; at twice of it at the latest.
     */
    Millis retryElsewhere{10};
    /** The same where none goes on. */
    Millis retryWhenAllStop{1000};
    /** Counts that time from the end of the grace. */
    bool returnsAfterRestart = true;
    /** Where no other gateway of the data centre goes on, counts the time elsewhere from the end of the notice. */
    bool returnsAfterNotice = true;
};

/**
 * What became of the requests of the callers in data centres with a stop, on routes that allow more time than the
 * grace, first sent from just before the first stop until the last one is over. What no gateway could serve in time is
 * left out.
 */
struct StopResult
{
    std::size_t asked = 0;
    /** Answered whole, at the first attempt or a later one. */
    std::size_t served = 0;
    /** Of these, those that began within the aim after the first attempt, and were not cut off in between. */
    std::size_t servedInTime = 0;
    /** Refused once at least. */
    std::size_t refused = 0;
    /** Never served; the last attempt was refused. */
    std::size_t endedRefused = 0;
    /** Cut off once at least. */
    std::size_t cut = 0;
    /** Never served; the last attempt was cut off. */
    std::size_t endedCut = 0;
    /** Never served; found no gateway at the last attempt. */
    std::size_t endedUnconnected = 0;
    /** Never served since the time was over, with an attempt in flight. */
    std::size_t endedLate = 0;
    /** Of all requests, those cut off and read too late to be excused by the end of the grace. */
    std::size_t lost = 0;
    /** Of all requests on routes that allow less time, those not served for another reason than their time. */
    std::size_t shortUnserved = 0;
    /** Attempts, those that found no gateway included. */
    std::size_t attempts = 0;

    std::size_t unserved() const
    {
        return this->asked - this->served;
    }
};

StopResult playStops(const StopDay &day, const StopPolicy &policy);

} // namespace Sequoiausher
