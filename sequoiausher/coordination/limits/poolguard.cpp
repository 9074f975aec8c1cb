#include "sequoiausher/coordination/limits/poolguard.h"

#include <algorithm>

namespace Sequoiausher {

PoolGuard::PoolGuard() : health(TargetHealthSettings{})
{
}

std::vector<TargetId>
PoolGuard::pausedTargets(Millis now, const PoolView &pool, const std::vector<TargetId> &excluded) const
{
    std::vector<TargetId> paused;
    bool othersRemain = false;
    for (const TargetView &target : pool.targets) {
        const TargetId &name = target.description.target;
        const bool isLive = target.description.life.state == LifeState::Live;
        if (!isLive || std::find(excluded.begin(), excluded.end(), name) != excluded.end()) {
            continue;
        }
        if (this->health.isPaused(now, name)) {
            paused.push_back(name);
        } else {
            othersRemain = true;
        }
    }
    if (!othersRemain) {
        return {};
    }
    paused.resize(std::min(paused.size(), maxPausedTargets));
    return paused;
}

void PoolGuard::recordAttempt(Millis now, const TargetId &target)
{
    this->health.allowRequest(now, target);
}

void PoolGuard::recordSuccess(const TargetId &target)
{
    this->health.recordSuccess(target);
}

void PoolGuard::recordFailure(Millis now, const TargetId &target)
{
    this->health.recordFailure(now, target);
}

void PoolGuard::forget(const TargetId &target)
{
    this->health.forget(target);
}

RetryBudget &PoolGuard::budget(const PoolId &pool, std::uint32_t percent)
{
    RetryBudgetSettings settings;
    settings.percent = percent;
    return this->budgets.try_emplace(BudgetKey{pool, percent}, settings).first->second;
}

void PoolGuard::countRequest(Millis now, const PoolId &pool, std::uint32_t percent)
{
    this->budget(pool, percent).countRequest(now);
}

bool PoolGuard::tryResend(Millis now, const PoolId &pool, std::uint32_t percent)
{
    return percent > 0 && this->budget(pool, percent).tryRetry(now);
}

} // namespace Sequoiausher
