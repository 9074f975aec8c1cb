#include "sequoiausher/coordination/gateway/targetoccupancy.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Sequoiausher {

namespace {

/** A request without the beginning of an answer for this long is overdue. */
constexpr Millis overdueAfter{250};
/** An announcement counts for this long: targets in use begin an answer several times a second. */
constexpr Millis announcementTtl{1500};
/** The weight of one announcement: each differs from the count by the requests that are on their way. */
constexpr double announcementWeight = 0.4;
/** The weight of one announcement in the evidence of a service, whose targets announce tens of times a second. */
constexpr double evidenceWeight = 0.1;
/** The mean age of the reported requests when they are known: one report, one relay by a hub, half of an interval. */
constexpr Millis reportAge{450};
/** The time over which differences between reports and counts are averaged; in one of them chance decides. */
constexpr double reportAverageMs = 1000;
/** Reports and counts differ by about one request without any others. */
constexpr double reportTolerance = 1;

} // namespace

OverdueEvidence::OverdueEvidence(const OccupancySettings &settings) : fraction(1 - settings.overdueWeight)
{
}

void OverdueEvidence::record(double goneFraction)
{
    this->fraction += (goneFraction - this->fraction) * evidenceWeight;
}

double OverdueEvidence::goneFraction() const
{
    return this->fraction;
}

TargetOccupancy::TargetOccupancy(const OccupancySettings &with) : settings(with)
{
}

void TargetOccupancy::add(Millis now)
{
    this->count += 1;
    this->unanswered.insert(now);
}

void TargetOccupancy::recordBegun(Millis grantedAt)
{
    const auto found = this->unanswered.find(grantedAt);
    if (found != this->unanswered.end()) {
        this->unanswered.erase(found);
    }
}

void TargetOccupancy::remove(Millis grantedAt, bool hasBegun)
{
    if (!hasBegun) {
        const auto found = this->unanswered.find(grantedAt);
        if (found == this->unanswered.end()) {
            return;
        }
        this->unanswered.erase(found);
    }
    this->count -= std::min<std::uint32_t>(this->count, 1);
}

void TargetOccupancy::recordAnnounced(std::uint32_t held, OverdueEvidence &evidence, Millis now)
{
    if (!this->settings.usesAnnouncements) {
        return;
    }
    const double excess = static_cast<double>(held) - this->count;
    const double others = std::max(excess, 0.0);
    const bool isFirst = !this->isAnnounced(now);
    this->othersAnnounced
        = isFirst ? others : this->othersAnnounced + (others - this->othersAnnounced) * announcementWeight;
    const double late = this->overdue(now);
    this->goneFraction = late > 0 ? std::clamp(-excess / late, 0.0, 1.0) : evidence.goneFraction();
    if (late > 0) {
        evidence.record(this->goneFraction);
    }
    this->announcedAt = now;
}

void TargetOccupancy::recordReported(std::uint32_t reported, Millis now)
{
    this->history.emplace_back(now, this->count);
    while (this->history.size() > 1 && this->history[1].first <= now - reportAge) {
        this->history.pop_front();
    }
    if (now - this->history.front().first < reportAge) {
        return;
    }
    const double excess = static_cast<double>(reported) - this->history.front().second;
    const double elapsedMs = this->reportedAt ? static_cast<double>((now - *this->reportedAt).count) : reportAverageMs;
    const double weight = 1 - std::exp(-elapsedMs / reportAverageMs);
    this->othersReported += (excess - this->othersReported) * weight;
    this->reportedAt = now;
}

void TargetOccupancy::forgetOthers()
{
    this->othersAnnounced = 0;
    this->announcedAt.reset();
    this->history.clear();
    this->othersReported = 0;
    this->reportedAt.reset();
}

std::uint32_t TargetOccupancy::counted() const
{
    return this->count;
}

std::uint32_t TargetOccupancy::overdue(Millis now) const
{
    return static_cast<std::uint32_t>(
        std::distance(this->unanswered.begin(), this->unanswered.upper_bound(now - overdueAfter)));
}

bool TargetOccupancy::isAnnounced(Millis now) const
{
    return this->announcedAt && now - *this->announcedAt < announcementTtl;
}

double TargetOccupancy::othersHeld(Millis now) const
{
    if (this->isAnnounced(now)) {
        return this->othersAnnounced;
    }
    return this->settings.usesReports ? std::max(this->othersReported - reportTolerance, 0.0) : 0;
}

std::uint32_t TargetOccupancy::estimate(const OverdueEvidence &evidence, Millis now) const
{
    const double fraction = this->isAnnounced(now) ? this->goneFraction : evidence.goneFraction();
    return this->correctedCount(this->overdue(now) * fraction, now);
}

std::uint32_t TargetOccupancy::least(Millis now) const
{
    return this->correctedCount(this->overdue(now), now);
}

std::uint32_t TargetOccupancy::correctedCount(double gone, Millis now) const
{
    const double corrected = std::max(this->count - gone, 0.0) + this->othersHeld(now);
    return static_cast<std::uint32_t>(std::lround(corrected));
}

} // namespace Sequoiausher
