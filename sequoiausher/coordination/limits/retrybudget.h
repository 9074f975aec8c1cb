#pragma once

// How many retries a router may send to a pool: a share of its first tries, so that a pool in trouble is not given
// more work by those who try again.
//
//     RetryBudget budget({.percent = 10});
//     budget.countRequest(now);
//     if (budget.tryRetry(now)) { ... }
//
// The budget bounds load only. Whether a request may be sent again at all is decided elsewhere: never where it may
// have run and is not idempotent.

#include "sequoiausher/base/millis.h"

#include <cstdint>

namespace Sequoiausher {

struct RetryBudgetSettings
{
    /** Retries for each hundred first tries. */
    std::uint32_t percent = 10;
    /** At most this many retries are saved up, and as many are there at the start. */
    double maxTokens = 10;
    /** Retries that come in for each second whatever the traffic, or a quiet router could never retry. */
    double perSecond = 0.1;
};

/** The budget for one pool. Not thread-safe. */
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings);

    /** Counts a first try. */
    void countRequest(Millis now);
    /** Whether one retry may be sent; it is then paid for. */
    bool tryRetry(Millis now);

private:
    void fill(Millis now, double tokens);

    RetryBudgetSettings settings;
    double tokens = 0;
    Millis filledAt;
};

} // namespace Sequoiausher
