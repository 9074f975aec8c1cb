#include "sequoiausher/coordination/limits/retrybudget.h"

#include <algorithm>

namespace Sequoiausher {

RetryBudget::RetryBudget(const RetryBudgetSettings &budget) : settings(budget)
{
}

void RetryBudget::countRequest(Millis now)
{
    constexpr double percentScale = 100;
    this->fill(now, this->settings.percent / percentScale);
}

bool RetryBudget::tryRetry(Millis now)
{
    this->fill(now, 0);
    // The sum of ten times 0.1 may be slightly less than 1.
    constexpr double tolerance = 1e-9;
    if (this->tokens + tolerance < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

void RetryBudget::fill(Millis now, double earned)
{
    constexpr double msPerSecond = 1000;
    const Millis passed = std::max(Millis{0}, now - this->filledAt.value_or(now));
    const double byTime = static_cast<double>(passed.count) * this->settings.perSecond / msPerSecond;
    this->tokens = std::min(this->settings.maxTokens, this->tokens + earned + byTime);
    this->filledAt = std::max(this->filledAt.value_or(now), now);
}

} // namespace Sequoiausher
