#pragma once

// One queue before one pool, with several organisations of which one may surge: a discrete-event run in simulated
// time, the same for every queue that is given.
//
//     AdmissionQueue queue(...);
//     const SurgeResult quiet = simulateSurge(queue, settings);
//
// Each organisation's arrivals and service times come from a generator of its own, so that the others send exactly
// the same with and without the surge, whatever the queue.

#include "sequoiausher/coordination/limits/dispatchqueue.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Sequoiausher {

/** The load and the pool. */
struct SurgeSettings
{
    int organisations = 10;
    /** Requests a second of each organisation, Poisson. */
    double perSecond = 11.2;
    /** By how much the first organisation's rate is multiplied. */
    double surgeFactor = 1;
    /** The part of the requests that is urgent, and background. */
    double urgentPart = 0.1;
    double backgroundPart = 0.2;
    /** Mean time in flight, exponential, beyond the least. */
    double leastServiceMs = 100;
    double meanExtraServiceMs = 300;
    /** The extra time is even between none and twice its mean, as with answers of a bounded length. */
    bool evenService = false;
    /** The callers' patience by class, in the order of the classes. */
    std::array<Millis, requestClassCount> patience{Millis{20000}, Millis{10000}, Millis{60000}};
    Millis duration{300000};
    std::uint64_t seed = 1;
};

/** One request of the load. */
struct SurgeArrival
{
    QueueEntry entry;
    Millis at;
    Millis service;
    /** Whether it is of the organisation that surges. */
    bool surging = false;
};

/** Every request of the load, by time of arrival. */
std::vector<SurgeArrival> surgeArrivals(const SurgeSettings &settings);

/** What one group of requests saw. */
struct GroupResult
{
    /** Arrival to end, or to the first token where several routers run, in milliseconds, of each that was served. */
    std::vector<double> latenciesMs;
    std::size_t offered = 0;
    std::size_t refused = 0;

    /** The share below which they lie, exact; not a number where none was served. */
    double quantile(double share) const;
    /** Not a number where none was offered. */
    double refusedShare() const;
    void merge(const GroupResult &other);
};

/** The groups: the surging organisation and the others, by class. */
struct SurgeResult
{
    std::array<GroupResult, requestClassCount> surging;
    std::array<GroupResult, requestClassCount> others;
    std::size_t mostWaiting = 0;
    /** Reservations sent to the owner, where several routers run. */
    std::size_t asked = 0;
};

/** Runs the load against queue until every request is served or refused. */
SurgeResult simulateSurge(DispatchQueue &queue, const SurgeSettings &settings);

} // namespace Sequoiausher
