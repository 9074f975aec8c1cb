#include "sequoiausher/coordination/gateway/targeteligibility.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** The time in which a target accepts or rejects a request that it got; until then the request may be rejected. */
constexpr Millis rejectionDelay{100};
/** Rejections are counted for a little longer than a second, since the target counts them earlier than this gateway. */
constexpr Millis rejectionWindow{1150};

bool isOverBrittleLimit(const TargetState &target, const EligibilityCriteria &criteria, Millis now)
{
    if (criteria.brittleLimit == nullptr) {
        return false;
    }
    const std::optional<BrittleTargetShare> share
        = criteria.brittleLimit->shareOf(target.target.service, target.hash, target.target.slots, now);
    if (!share) {
        return false;
    }
    const std::size_t rejected = target.rejectedWithin(rejectionWindow, now);
    if (target.ownInFlight < share->places) {
        return rejected >= std::max<std::size_t>(share->rejectionsPerSecond, 1);
    }
    return rejected + target.sentWithin(rejectionDelay, now) >= share->rejectionsPerSecond;
}

bool isOverColdLimit(const TargetState &target, const EligibilityCriteria &criteria, Millis now)
{
    if (criteria.coldLimit == nullptr || !target.isCold(now)) {
        return false;
    }
    constexpr Millis second{1000};
    return target.sentWithin(second, now)
        >= criteria.coldLimit->requestsPerSecond(target.target.service, target.hash, now);
}

} // namespace

std::optional<Ineligibility> findLastingIneligibility(const TargetState &target)
{
    if (!target.isListed) {
        return Ineligibility::Unlisted;
    }
    if (target.target.isLeaving || target.hasAnnouncedLeaving) {
        return Ineligibility::Leaving;
    }
    if (target.isEvacuated) {
        return Ineligibility::Evacuated;
    }
    return std::nullopt;
}

std::optional<Ineligibility>
findIneligibility(const TargetState &target, const EligibilityCriteria &criteria, Millis now)
{
    if (const std::optional<Ineligibility> lasting = findLastingIneligibility(target)) {
        return lasting;
    }
    if (target.isMisdirected(now)) {
        return Ineligibility::Misdirected;
    }
    if (!isAllowed(criteria.allowedRegions, target.region)) {
        return Ineligibility::Region;
    }
    if (criteria.softwareVersion && *criteria.softwareVersion != target.target.softwareVersion) {
        return Ineligibility::Version;
    }
    const std::vector<TargetId> &excluded = criteria.excluded;
    if (std::find(excluded.begin(), excluded.end(), target.target.id) != excluded.end()) {
        return Ineligibility::Tried;
    }
    if (now < target.backoffUntil) {
        return Ineligibility::Backoff;
    }
    if (isOverColdLimit(target, criteria, now)) {
        return Ineligibility::Cold;
    }
    if (isOverBrittleLimit(target, criteria, now)) {
        return Ineligibility::Brittle;
    }
    if (target.health.isEjected(now)) {
        return Ineligibility::Failing;
    }
    if (now < target.fullUntil) {
        return Ineligibility::Full;
    }
    return std::nullopt;
}

bool isDoubtful(const TargetState &target, Millis now)
{
    return target.health.isEjected(now) || now < target.fullUntil || target.isMisdirected(now);
}

bool isDisregardable(Ineligibility reason)
{
    return reason == Ineligibility::Failing || reason == Ineligibility::Full || reason == Ineligibility::Misdirected;
}

void IneligibilityCounts::add(Ineligibility reason)
{
    this->counts[static_cast<std::size_t>(reason)] += 1;
}

std::size_t IneligibilityCounts::count(Ineligibility reason) const
{
    return this->counts[static_cast<std::size_t>(reason)];
}

std::string IneligibilityCounts::text() const
{
    std::string all;
    for (const auto &entry : nameTable<Ineligibility>) {
        if (const std::size_t number = this->count(entry.value)) {
            all += (all.empty() ? "" : " ") + std::string(entry.name) + ":" + std::to_string(number);
        }
    }
    return all;
}

} // namespace Sequoiausher
