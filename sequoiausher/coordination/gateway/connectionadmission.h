#pragma once

// Decides which new connections of callers a gateway takes. One that it has no time for is closed before anything of
// its request is read: its caller then knows that the request did not run, and meets another gateway.
//
// How late the event loop is shows how long a request would wait here. Only a gateway that carries far more than its
// share of the traffic closes connections for that reason: where all are late, no other one has time either.
//
//     ConnectionAdmission admission({.maxConnections = 1900});
//     admission.recordTick(lateness, now);
//     admission.setCrowding(shareOfTraffic, peers.fleetSize(now));
//     if (!admission.hasRoom(openConnections)) { makeRoom(); }
//     if (!admission.admit(openConnections)) { close(descriptor); }
//     const bool closes = !admission.mayKeepOpen(openConnections);

#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <optional>

namespace Sequoiausher {

struct ConnectionAdmissionSettings
{
    /** The most connections of callers at once; 0 for no limit. */
    std::size_t maxConnections = 0;
};

/** See above. Not thread-safe. */
class ConnectionAdmission
{
public:
    explicit ConnectionAdmission(const ConnectionAdmissionSettings &settings);

    void setMaxConnections(std::size_t connections);
    /** Records how much later than due the event loop came to its timer. */
    void recordTick(Millis lateness, Millis now);
    /** @param shareOfTraffic the part of the fleet's requests in flight that this gateway has, 0 to 1. */
    void setCrowding(double shareOfTraffic, std::size_t gateways);
    /** Whether one more connection is within the limit for all. @param open connections of callers that are open. */
    bool hasRoom(std::size_t open) const;
    /** Whether to take a new connection; one that is not taken at once counts as closed. */
    bool admit(std::size_t open);
    /** Whether a connection may stay open after an answer, for further requests. */
    bool mayKeepOpen(std::size_t open) const;
    /** The connections that are taken a second; none for no limit. */
    std::optional<double> limitPerSecond() const;

private:
    void adapt(Millis lateness, double takenPerSecond);

    ConnectionAdmissionSettings settings;
    std::optional<double> perSecond;
    /** The limit counts as reached as long as connections are closed because of it. */
    bool isReached = false;
    std::size_t ticksBelowLimit = 0;
    std::size_t lateTicks = 0;
    bool isCrowded = false;
    /** How many connections may be taken until the next tick. */
    double credit = 0;
    std::size_t takenSinceTick = 0;
    double averagePerSecond = 0;
    Millis tickedAt;
};

} // namespace Sequoiausher
