#pragma once

// The operator of a soak: publishes versions of the configuration, each a small change of the one before, and keeps
// what callers may ask for in step.
//
//     SoakOperator operator_(store, judge);
//     operator_.publishFirst();
//     operator_.addRoute(Millis::monotonicNow());

#include "lab/soak/calldraw.h"
#include "lab/soak/soakjudge.h"
#include "lab/soak/soakstore.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Sequoiausher::Lab {

/** See above. */
class SoakOperator
{
public:
    SoakOperator(SoakStore &store, SoakJudge &judge);

    /** Has targets of all services bear so many requests a second while they are cold, in all later versions. */
    void limitCold(Millis coldTime, std::uint32_t requestsPerSecond);
    /** Adds routes of streams that allow longer than the grace of a planned stop, in all later versions. */
    void addLongStreams();
    void publishFirst();
    /** Writes entries of another writer, under names that no target has, before those of all targets. */
    void writeOddNames();
    /** Writes the newest version once more: the store has lost it. */
    void publishAgain();
    void addRoute();
    void dropRoute();
    /** Moves the route of plain questions to the other plain service, or back. */
    void moveRoute();
    void changeTimeout(std::uint64_t choice);
    /** Takes the oldest key of an organisation away and gives it another; callers go on with the old one for a while.
     */
    void revokeKey(std::uint64_t choice);

    const SoakOffer &offer() const;

private:
    void publish();

    SoakStore &store;
    SoakJudge &judge;
    GatewayConfiguration configuration;
    /** The first so many routes are never dropped. */
    std::size_t lastingRoutes = 4;
    SoakOffer offered;
    std::uint32_t made = 0;
};

} // namespace Sequoiausher::Lab
