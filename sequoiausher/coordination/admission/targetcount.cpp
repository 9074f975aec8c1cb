#include "sequoiausher/coordination/admission/targetcount.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

// Counts are remembered for this long, to be compared with reports that lag.
constexpr Millis historySpan{3000};

} // namespace

TargetCount::TargetCount(Millis now)
{
    this->history.push_back(PastCount{now, 0});
}

void TargetCount::change(Millis now, int delta)
{
    this->current += delta;
    this->history.push_back(PastCount{now, this->current});
    while (this->history.size() > 1 && this->history[1].since + historySpan <= now) {
        this->history.pop_front();
    }
}

void TargetCount::adjustCounted(int delta)
{
    this->current += delta;
    this->uncountedLoad -= delta;
    for (PastCount &past : this->history) {
        past.counted += delta;
    }
}

void TargetCount::report(std::uint32_t load, Millis measuredAt)
{
    if (this->reportedAt && *this->reportedAt >= measuredAt) {
        return;
    }
    std::int64_t countedThen = this->history.front().counted;
    for (const PastCount &past : this->history) {
        if (past.since <= measuredAt) {
            countedThen = past.counted;
        }
    }
    this->lastLoad = load;
    this->reportedAt = measuredAt;
    this->uncountedLoad = std::int64_t{load} - countedThen;
}

std::uint32_t TargetCount::counted() const
{
    return static_cast<std::uint32_t>(this->current);
}

std::uint32_t TargetCount::reported() const
{
    return this->reportedAt ? this->lastLoad : this->counted();
}

std::uint32_t TargetCount::estimate(Millis oldest) const
{
    const bool fresh = this->reportedAt && *this->reportedAt >= oldest;
    return static_cast<std::uint32_t>(std::max(this->current + (fresh ? this->uncountedLoad : 0), std::int64_t{0}));
}

} // namespace Sequoiausher
