#include "sequoiausher/coordination/limits/targethealth.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace Sequoiausher {

namespace {

struct Failures
{
    std::uint32_t consecutive = 0;
    /** The length of the last pause; 0 before the first. */
    Millis pause;
    Millis pausedUntil;
    /** When the probe under way times out; std::nullopt without a probe. */
    std::optional<Millis> probeUntil;
};

} // namespace

class TargetHealth::Private
{
public:
    explicit Private(const TargetHealthSettings &healthSettings) : settings(healthSettings)
    {
    }

    bool isPaused(Millis now, const Failures &failures) const
    {
        if (failures.pause == Millis{0}) {
            return false;
        }
        return now < failures.pausedUntil || (failures.probeUntil && now < *failures.probeUntil);
    }

    void startPause(Millis now, Failures &failures) const
    {
        const bool again = failures.pause > Millis{0};
        const Millis next = again ? failures.pause * 2 : this->settings.initialPause;
        failures.pause = std::min(next, this->settings.maxPause);
        failures.pausedUntil = now + failures.pause;
        failures.probeUntil.reset();
    }

    const TargetHealthSettings settings;
    std::unordered_map<TargetId, Failures> targets;
};

TargetHealth::TargetHealth(const TargetHealthSettings &settings) : d(std::make_unique<Private>(settings))
{
}

TargetHealth::~TargetHealth() = default;
TargetHealth::TargetHealth(TargetHealth &&) noexcept = default;
TargetHealth &TargetHealth::operator=(TargetHealth &&) noexcept = default;

bool TargetHealth::allowRequest(Millis now, const TargetId &target)
{
    const auto found = this->d->targets.find(target);
    if (found == this->d->targets.end()) {
        return true;
    }
    Failures &failures = found->second;
    if (this->d->isPaused(now, failures)) {
        return false;
    }
    if (failures.pause > Millis{0}) {
        failures.probeUntil = now + this->d->settings.probeTimeout;
    }
    return true;
}

bool TargetHealth::isPaused(Millis now, const TargetId &target) const
{
    const auto found = this->d->targets.find(target);
    return found != this->d->targets.end() && this->d->isPaused(now, found->second);
}

void TargetHealth::recordSuccess(const TargetId &target)
{
    this->d->targets.erase(target);
}

void TargetHealth::recordFailure(Millis now, const TargetId &target)
{
    Failures &failures = this->d->targets[target];
    ++failures.consecutive;
    // Requests that were sent before the pause may fail during it. They must not double the pause, or one short outage
    // would pause the target for minutes.
    const bool isLate = failures.pause > Millis{0} && now < failures.pausedUntil;
    if (!isLate && failures.consecutive >= this->d->settings.failuresToPause) {
        this->d->startPause(now, failures);
    }
}

void TargetHealth::forget(const TargetId &target)
{
    this->d->targets.erase(target);
}

std::size_t TargetHealth::count() const
{
    return this->d->targets.size();
}

} // namespace Sequoiausher
