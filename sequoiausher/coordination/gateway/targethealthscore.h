#pragma once

// Whether one target fails too often to be sent more, by what became of the requests sent there. Nothing is probed: a
// target that is kept away from is tried again by one request after a growing pause.
//
//     TargetHealthScore health;
//     health.failed(now, FailureWeight::Heavy);
//     if (health.isEjected(now)) { ... }

#include "sequoiausher/base/millis.h"

#include <cstdint>

namespace Sequoiausher {

/** How much a failure says of the target. */
enum class FailureWeight {
    /** An answer that says it failed: plain services give some at all times. */
    Light,
    /** No answer, or one that was cut or spoilt. */
    Heavy,
};

/** The health of one target, as one gateway sees it. Not thread-safe. */
class TargetHealthScore
{
public:
    void recordSuccess(Millis now);
    void recordFailure(Millis now, FailureWeight weight);
    /** A peer keeps away from the target. */
    void recordPeerSuspicion(Millis now);

    /** Whether requests should go elsewhere. */
    bool isEjected(Millis now) const;

private:
    void eject(Millis now);

    double failureRate = 0;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0;
    Millis ejectedUntil;
};

} // namespace Sequoiausher
