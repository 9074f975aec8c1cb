#pragma once

// Several routers before one full pool, one organisation of which surges: real queues, reservers and owners, messages
// that take their time, all in simulated time.
//
//     FleetSurgeSettings settings;
//     settings.load.surgeFactor = 10;
//     const SurgeResult surging = simulateFleetSurge(settings);
//
// The defaults are those of the scenario with real processes (lab/scenarios/surgescenario.h): ten organisations of 4.5
// requests a second, two targets of 16 places, about half a second for a request, so that a tenfold surge offers 133 %.
// Latencies are those of the first token.

#include "lab/bench/surgesimulation.h"
#include "sequoiausher/coordination/admission/shardowner.h"
#include "sequoiausher/coordination/limits/dispatchqueue.h"

#include <functional>
#include <memory>

namespace Sequoiausher {

/** The load of the scenario with real processes. */
SurgeSettings scenarioLoad();

/** The queue that a router makes for a pool, with its default bounds. */
std::unique_ptr<DispatchQueue> fairQueue();
/** One line for everybody, which goes on when the owner may have room again; as naive as can be. */
std::unique_ptr<DispatchQueue> naiveQueue();

/** The fleet before the pool. */
struct FleetSurgeSettings
{
    SurgeSettings load = scenarioLoad();
    int routers = 7;
    int targets = 2;
    std::uint32_t capacity = 16;
    Millis messageDelay{1};
    /** How often a router looks at its deadlines, as the node does. */
    Millis tickEvery{20};
    /** The longest pause of a queue after the owner said full, as the node sets it. */
    Millis longestPause{50};
    /** From grant to first token: even between the two. */
    Millis shortestFirstToken{40};
    Millis longestFirstToken{90};
    /** As the node sets it by default. */
    OwnerSettings owner{.maxWaitTime = Millis{100}};
    /** Whether reservations tell whose they are. */
    bool tellsOrganisations = true;
    /** The queue of each router. */
    std::function<std::unique_ptr<DispatchQueue>()> makeQueue = fairQueue;
};

/** Runs the load until every request is served or refused. */
SurgeResult simulateFleetSurge(const FleetSurgeSettings &settings);

} // namespace Sequoiausher
