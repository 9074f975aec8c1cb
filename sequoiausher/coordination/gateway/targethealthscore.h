#pragma once

// Whether one target fails too often to get more requests, judged by the outcomes of the requests sent to it. There are
// no health checks: after an ejection time that grows, the target gets requests again. If they fail too, it is ejected
// again.
//
//     TargetHealthScore health;
//     health.recordFailure(now, FailureWeight::Heavy);
//     if (health.isEjected(now)) { ... }

#include "sequoiausher/base/millis.h"

#include <cstdint>

namespace Sequoiausher {

/** How strongly a failure indicates that the target is unhealthy. */
enum class FailureWeight {
    /** An answer with an error status: plain services give some at all times. */
    Light,
    /** No answer, or an answer that was cut off or corrupted. */
    Heavy,
};

/** The health of one target, as one gateway sees it. Not thread-safe. */
class TargetHealthScore
{
public:
    void recordSuccess(Millis now);
    void recordFailure(Millis now, FailureWeight weight);
    /** Records that a peer has ejected the target. The ejection counts only where this gateway's own requests fail too.
     */
    void recordPeerSuspicion(Millis now);

    /** Whether requests should go to other targets. */
    bool isEjected(Millis now) const;
    /**
     * Whether this gateway's own requests have ejected the target. Only this is reported to peers: if suspicions by
     * peers were reported too, gateways would renew each other's suspicions without end.
     */
    bool isEjectedByOwnRequests(Millis now) const;
    /** Whether its last answers were lost, so that others may be lost without a sign. */
    bool isLosingAnswers() const;

private:
    void eject(Millis now);

    double failureRate = 0;
    std::uint32_t heavyFailuresSinceSuccess = 0;
    std::uint32_t ejections = 0;
    Millis ejectedUntil;
    Millis suspectedByPeersUntil;
};

} // namespace Sequoiausher
