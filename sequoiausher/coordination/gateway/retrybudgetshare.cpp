#include "sequoiausher/coordination/gateway/retrybudgetshare.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace Sequoiausher {

namespace {

/**
 * A window is counted in this many parts. Requests are summed over one part less than a window and retries over one
 * part more, so that the bound holds for a window that starts in the middle of a part.
 */
constexpr std::int64_t partsPerWindow = 20;
/**
 * The fraction of the ratio that is used. A tenth is kept in reserve because requests arrive at a target some
 * milliseconds after they are counted here, and because they are unevenly spread over time.
 */
constexpr double usedRatioFraction = 0.9;
/** The fraction of the slack that is used; the rest is reserved for gateways that are not known yet. */
constexpr double usedSlackFraction = 0.8;

/** A sliding count that is kept per part of a window. */
struct SlidingCount
{
    struct Part
    {
        std::int64_t number = 0;
        std::uint32_t count = 0;
    };

    void add(std::int64_t number)
    {
        if (this->held.empty() || this->held.back().number != number) {
            this->held.push_back({number, 0});
        }
        this->held.back().count += 1;
        this->total += 1;
    }

    /** Returns the count over the span newest parts, of which number is the last; drops older parts. */
    std::uint32_t sumRecent(std::int64_t number, std::int64_t span)
    {
        while (!this->held.empty() && this->held.front().number <= number - span) {
            this->total -= this->held.front().count;
            this->held.pop_front();
        }
        return this->total;
    }

    std::deque<Part> held;
    std::uint32_t total = 0;
};

struct Counts
{
    SlidingCount requests;
    SlidingCount retries;
};

} // namespace

class RetryBudgetShare::Private
{
public:
    std::int64_t partNumberAt(Millis now) const
    {
        return now.count / std::max<std::int64_t>(this->settings.window.count / partsPerWindow, 1);
    }

    RetryBudgetShareSettings settings;
    std::unordered_map<PoolId, Counts> counts;
};

RetryBudgetShare::RetryBudgetShare(const RetryBudgetShareSettings &settings) : d(std::make_unique<Private>())
{
    this->d->settings = settings;
}

RetryBudgetShare::~RetryBudgetShare() = default;

void RetryBudgetShare::setSettings(const RetryBudgetShareSettings &settings)
{
    this->d->settings = settings;
}

void RetryBudgetShare::countRequest(const PoolId &service, Millis now)
{
    const std::int64_t part = this->d->partNumberAt(now);
    SlidingCount &requests = this->d->counts[service].requests;
    requests.add(part);
    requests.sumRecent(part, partsPerWindow);
}

bool RetryBudgetShare::tryRetry(const PoolId &service, std::size_t gateways, Millis now)
{
    if (this->remaining(service, gateways, now) < 1) {
        return false;
    }
    this->d->counts[service].retries.add(this->d->partNumberAt(now));
    return true;
}

double RetryBudgetShare::remaining(const PoolId &service, std::size_t gateways, Millis now)
{
    const std::int64_t part = this->d->partNumberAt(now);
    Counts &counts = this->d->counts[service];
    const double requests = counts.requests.sumRecent(part, partsPerWindow - 1);
    const double retries = counts.retries.sumRecent(part, partsPerWindow + 1);
    const double slack
        = this->d->settings.slack * usedSlackFraction / static_cast<double>(std::max<std::size_t>(gateways, 1));
    return requests * this->d->settings.ratio * usedRatioFraction + slack - retries;
}

} // namespace Sequoiausher
