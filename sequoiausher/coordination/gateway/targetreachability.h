#pragma once

// Whether this gateway reaches the targets itself, as far as its connections show. A gateway may lose its paths to some
// or all targets of a service while callers, the store and other gateways still reach it. Its failures alone do not
// tell that from failing targets; a connection that another gateway opens at the same moment does. So each connection
// that fails or takes long is also opened through another gateway, and what comes first is recorded here:
//
//     TargetReachability reachability;
//     reachability.recordConnected(service, target, now);      // this gateway itself has reached the target
//     reachability.recordBypassed(service, target, now);       // another gateway has, and this one has not
//     reachability.recordUnreached(service, target, now);      // nobody has
//     if (!reachability.isDirect(service, target, now)) { connect through another gateway first; }
//
// Two bypassed connections without a direct one between them mean that the service is cut off from here; the first one
// has a second one opened at once, without a request. A direct connection that is opened to find out ends that. No
// decision depends on what other gateways report about themselves, which would be late: a gateway that is cut off as
// well says so when it is asked.

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Sequoiausher {

/** What this gateway reaches. Not thread-safe. */
class TargetReachability
{
public:
    /** Sets the targets that requests of each service may go to. */
    void setTargets(const std::map<PoolId, std::set<TargetId>> &targets);

    /** Records that a direct connection to the target was opened. */
    void recordConnected(const PoolId &service, const TargetId &target, Millis now);
    /** Records that another gateway reached the target while this one did not. */
    void recordBypassed(const PoolId &service, const TargetId &target, Millis now);
    /** Records that neither this gateway nor any that it asked reached the target. */
    void recordUnreached(const PoolId &service, const TargetId &target, Millis now);
    /** Records that the target sent something, over any connection. */
    void recordAnswer(const PoolId &service);
    /**
     * Records that a target with a direct connection has been silent for longer than usual. A connection to it is then
     * due to be opened, which shows whether the target or the path is silent.
     */
    void recordSilence(const PoolId &service, const TargetId &target, Millis now);

    /** Whether connections to the target should be opened directly. */
    bool isDirect(const PoolId &service, const TargetId &target, Millis now) const;
    /** Whether this gateway reaches no target of the service itself. */
    bool isCutOff(const PoolId &service) const;
    /** Whether nobody reaches any target of the service, so that a request would be refused after vain attempts. */
    bool isOutOfReach(const PoolId &service) const;
    /** The services that are cut off. */
    std::vector<PoolId> cutOffServices() const;

    /** A connection that is to be opened without a request. */
    struct Probe
    {
        PoolId service;
        TargetId target;
        /** Only a direct connection is of interest. */
        bool isDirectOnly = false;
    };
    /** Takes the probes that are due. */
    std::vector<Probe> takeProbes(Millis now);

private:
    struct Service
    {
        std::set<TargetId> targets;
        /** Connections that were bypassed since the last direct one. */
        std::size_t bypasses = 0;
        bool isCutOff = false;
        /** Targets that nobody reached since anybody reached one. */
        std::set<TargetId> unreached;
        Millis lastProbeAt;
        /** The target of the last probe, so that the next one goes to another target. */
        TargetId lastProbed;
        /** Targets that are due to be probed at once. */
        std::set<TargetId> suspected;
    };

    static bool isOutOfReach(const Service &service);
    /** The target after the given one, in turn. */
    static TargetId nextTarget(const Service &service, const TargetId &after);
    /** Has the target probed, unless it was lately. */
    void suspect(Service &service, const TargetId &target, Millis now);

    std::map<PoolId, Service> services;
    /** Until when a target counts as bypassed. */
    std::map<TargetId, Millis> bypassedUntil;
    std::map<TargetId, Millis> suspectedAt;
};

} // namespace Sequoiausher
