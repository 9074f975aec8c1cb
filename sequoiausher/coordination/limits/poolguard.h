#pragma once

// Protects a failing pool from additional load by this router: targets are paused after consecutive failures
// (TargetHealth), and each resend takes a token of the pool's budget (RetryBudget).
//
//     PoolGuard guard;
//     wanted.excluded = guard.pausedTargets(now, *view, flowExcluded);
//     guard.recordAttempt(now, target);  guard.recordSuccess(target);  guard.recordFailure(now, target);
//     guard.countRequest(now, pool, 10);  if (guard.tryResend(now, pool, 10)) { ... }

#include "sequoiausher/coordination/limits/retrybudget.h"
#include "sequoiausher/coordination/limits/targethealth.h"
#include "sequoiausher/state/targets/targettable.h"

#include <map>
#include <vector>

namespace Sequoiausher {

/** The maximum number of paused targets in a reservation, bounded since their names are sent to the owner. */
inline constexpr std::size_t maxPausedTargets = 16;

/**
 * The state of pools by this router's own calls. It saves time and work only; correctness never depends on it. Not
 * thread-safe.
 */
class PoolGuard
{
public:
    PoolGuard();

    /**
     * Returns the live targets of the pool that are paused now and not in excluded, at most maxPausedTargets.
     * @return nothing if no other live target would remain. If all targets fail, the cause is more likely the router's
     * own network, so requests are still sent.
     */
    std::vector<TargetId> pausedTargets(Millis now, const PoolView &pool, const std::vector<TargetId> &excluded) const;

    /** Records that a request is sent. The first one after a pause is the probe. */
    void recordAttempt(Millis now, const TargetId &target);
    /** Records that the target answered. */
    void recordSuccess(const TargetId &target);
    /** Records that the target could not be reached, truncated its answer or was silent. */
    void recordFailure(Millis now, const TargetId &target);
    /** Drops the failures of a target that was restarted or removed. */
    void forget(const TargetId &target);

    /** Counts a first attempt in the pool. @param percent the budget of the rule, in percent of first attempts. */
    void countRequest(Millis now, const PoolId &pool, std::uint32_t percent);
    /** Takes one resend from the budget; false if there is none left, and always with 0 percent. */
    bool tryResend(Millis now, const PoolId &pool, std::uint32_t percent);

private:
    struct BudgetKey
    {
        PoolId pool;
        std::uint32_t percent = 0;

        auto operator<=>(const BudgetKey &) const = default;
    };

    RetryBudget &budget(const PoolId &pool, std::uint32_t percent);

    TargetHealth health;
    std::map<BudgetKey, RetryBudget> budgets;
};

} // namespace Sequoiausher
