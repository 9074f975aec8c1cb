#pragma once

// A circuit breaker for targets: a router pauses a target after consecutive failures of its own requests.
//
//     TargetHealth health({});
//     if (health.allowRequest(now, target)) { ... }
//     health.recordFailure(now, target);      // or health.recordSuccess(target)
//
// States of a target: healthy; paused, after failuresToPause consecutive failures; then probed, by one request at a
// time. A probe that succeeds makes the target healthy, one that fails doubles the pause. If a probe has no result
// after probeTimeout, another one may start.
//
// The state is that of one router, depends on its own failures only, and saves time only. It never decides that a
// target is gone, that a request did not run, or who owns anything. If all targets of a pool are paused, the caller
// should still send requests, since the cause is more likely the router's own network.

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace Sequoiausher {

struct TargetHealthSettings
{
    std::uint32_t failuresToPause = 3;
    Millis initialPause{500};
    Millis maxPause{30000};
    /** Another probe is allowed if a probe has no result after this time. */
    Millis probeTimeout{10000};
};

class TargetHealth
{
public:
    explicit TargetHealth(const TargetHealthSettings &settings);
    ~TargetHealth();
    TargetHealth(TargetHealth &&) noexcept;
    TargetHealth &operator=(TargetHealth &&) noexcept;

    /** Whether a request may be sent. After a pause, this starts a probe, whose result must be recorded. */
    bool allowRequest(Millis now, const TargetId &target);
    /** Whether the target is paused or being probed. Starts no probe, so it can be used for choosing targets. */
    bool isPaused(Millis now, const TargetId &target) const;
    /** Records that the target answered a request, whatever the answer. */
    void recordSuccess(const TargetId &target);
    /** Records that the target was unreachable, truncated its answer or was silent. Not for refusals by the target. */
    void recordFailure(Millis now, const TargetId &target);
    /** Drops the state of a target that was removed or has a new incarnation. */
    void forget(const TargetId &target);
    /** The number of targets with failures; other targets take no memory. */
    std::size_t count() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
