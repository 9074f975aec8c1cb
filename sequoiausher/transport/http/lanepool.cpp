#include "sequoiausher/transport/http/lanepool.h"

#include <algorithm>

namespace Sequoiausher {

LanePool::LanePool(LanePoolOptions options) : limits(options)
{
}

Lane LanePool::lease(const std::string &target, bool freshOnly, Millis now)
{
    const auto found = this->idle.find(target);
    if (found == this->idle.end()) {
        return {++this->lastNumber, false, this->limits.maximumIdlePerTarget == 0};
    }
    std::vector<IdleLane> &lanes = found->second;
    this->dropOld(lanes, now);
    const Millis oldest = freshOnly ? this->limits.justUsedAge : this->limits.maximumIdleAge;
    if (lanes.empty() || now - lanes.back().since > oldest) {
        const bool surplus = lanes.size() >= this->limits.maximumIdlePerTarget;
        if (lanes.empty()) {
            this->idle.erase(found);
        }
        return {++this->lastNumber, false, surplus};
    }
    const Lane lane{lanes.back().number, true, false};
    lanes.pop_back();
    return lane;
}

void LanePool::giveBack(const std::string &target, std::uint64_t number, Millis now)
{
    std::vector<IdleLane> &lanes = this->idle[target];
    this->dropOld(lanes, now);
    if (lanes.size() >= this->limits.maximumIdlePerTarget && !lanes.empty()) {
        lanes.erase(lanes.begin());
    }
    lanes.push_back({number, now});
}

void LanePool::forget(const std::string &target)
{
    this->idle.erase(target);
}

std::size_t LanePool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[target, lanes] : this->idle) {
        count += lanes.size();
    }
    return count;
}

// Lanes are returned in the order of time, so the oldest ones are first.
void LanePool::dropOld(std::vector<IdleLane> &lanes, Millis now) const
{
    const auto young = std::find_if(lanes.begin(), lanes.end(), [this, now](const IdleLane &lane) {
        return now - lane.since <= this->limits.maximumIdleAge;
    });
    lanes.erase(lanes.begin(), young);
}

} // namespace Sequoiausher
