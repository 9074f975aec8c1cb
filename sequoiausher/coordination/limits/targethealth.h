#pragma once

// Which targets a router leaves alone for a while, because its own requests to them failed one after another.
//
//     TargetHealth health({});
//     if (health.allowRequest(now, target)) { ... }
//     health.recordFailure(now, target);      // or health.recordSuccess(target)
//
// States of a target: tried freely; paused after failuresToPause failures in a row; then one request at a time as a
// probe: its success ends the matter, its failure doubles the pause. A probe that never ends counts as failed after
// the probe limit.
//
// This is one router's own view, made of its own failures, and saves time only. It never decides that a target is
// gone, that a request did not run, or who owns anything. Where every target of a pool is paused, the caller should
// try one all the same: a pause of everything is more likely the router's own network.

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
    /** A probe without result is given up after this. */
    Millis probeTimeout{10000};
};

class TargetHealth
{
public:
    explicit TargetHealth(const TargetHealthSettings &settings);
    ~TargetHealth();
    TargetHealth(TargetHealth &&) noexcept;
    TargetHealth &operator=(TargetHealth &&) noexcept;

    /** Whether a request may be sent. After a pause true counts as the probe: report how it ended. */
    bool allowRequest(Millis now, const TargetId &target);
    /** Whether the target is left alone now; does not start a probe. For choosing among targets. */
    bool isPaused(Millis now, const TargetId &target) const;
    /** A request came through: the target answered, whatever it said. */
    void recordSuccess(const TargetId &target);
    /** The target could not be reached, broke off or was silent. Not for refusals by the target. */
    void recordFailure(Millis now, const TargetId &target);
    /** The target is gone from the lists, or came back as another incarnation. */
    void forget(const TargetId &target);
    /** Targets with failures; the others take no memory. */
    std::size_t count() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
