#pragma once

// What keeps a pool in trouble from being given more of it by this router: targets whose calls fail one after another
// are left alone for a while (TargetHealth), and a resend needs a token of its pool's budget (RetryBudget).
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

/** At most this many targets are named in a reservation as left alone: the names travel to the owner. */
inline constexpr std::size_t maxPausedTargets = 16;

/** One router's own view, made of its own calls; saves time and work, and decides no safety. Not thread-safe. */
class PoolGuard
{
public:
    PoolGuard();

    /**
     * The targets of the pool that are left alone now, beside those excluded already; at most maxPausedTargets.
     * @return nothing where no other live target would remain: that all fail is more likely the router's own network,
     *         so one is tried all the same.
     */
    std::vector<TargetId> pausedTargets(Millis now, const PoolView &pool, const std::vector<TargetId> &excluded) const;

    /** A request is sent; after a pause it is the probe. */
    void recordAttempt(Millis now, const TargetId &target);
    void recordSuccess(const TargetId &target);
    /** The target could not be reached, broke off or was silent. */
    void recordFailure(Millis now, const TargetId &target);
    /** The target's life changed: what failed before says nothing of it. */
    void forget(const TargetId &target);

    /** Counts a first try in the pool by a rule with this budget, in percent of first tries. */
    void countRequest(Millis now, const PoolId &pool, std::uint32_t percent);
    /** Whether one resend may be sent; it is then paid for. Never with 0 percent. */
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
