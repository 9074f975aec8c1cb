#pragma once

// Limits how often a router resends requests to a pool (here called retries): to a share of its first attempts, so that
// retries do not overload a failing pool.
//
//     RetryBudget budget({.percent = 10});
//     budget.countRequest(now);
//     if (budget.tryRetry(now)) { ... }
//
// The budget bounds load only. The caller decides whether a request may be resent at all: a request that may have run
// must not be, unless it is idempotent.

#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <optional>

namespace Sequoiausher {

struct RetryBudgetSettings
{
    /** Retries per hundred first attempts. */
    std::uint32_t percent = 10;
    /** The capacity of the token bucket. One retry takes one token. */
    double maxTokens = 10;
    /** Tokens added per second regardless of traffic. Without these, a router with little traffic could never retry. */
    double perSecond = 0.1;
};

/**
 * The budget for one pool. It starts without tokens, so that a router that restarts often has no more retries than one
 * that does not. Not thread-safe.
 */
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings);

    /** Counts a first attempt. */
    void countRequest(Millis now);
    /** Takes a token for one retry; false if there is none. */
    bool tryRetry(Millis now);

private:
    void fill(Millis now, double earned);

    RetryBudgetSettings settings;
    double tokens = 0;
    std::optional<Millis> filledAt;
};

} // namespace Sequoiausher
