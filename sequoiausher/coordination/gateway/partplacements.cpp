#include "sequoiausher/coordination/gateway/partplacements.h"

#include <algorithm>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

struct Holding
{
    Millis usedAt;
    /** Placed requests that have neither begun nor ended. */
    std::uint32_t waiting = 0;
    bool isRead = false;
};

struct Part
{
    std::map<TargetId, Holding> holdings;
    /** The part's place in the order of use. */
    std::list<std::uint64_t>::iterator order;
};

} // namespace

class PartPlacements::Private
{
public:
    explicit Private(const PartPlacementSettings &bounds) : settings(bounds)
    {
    }

    Holding &use(std::uint64_t part, const TargetId &target, Millis now)
    {
        const auto [found, isNew] = this->parts.try_emplace(part);
        if (isNew) {
            found->second.order = this->order.insert(this->order.end(), part);
            if (this->parts.size() > this->settings.maxParts) {
                this->parts.erase(this->order.front());
                this->order.pop_front();
            }
        } else {
            this->order.splice(this->order.end(), this->order, found->second.order);
        }
        Holding &holding = found->second.holdings[target];
        if (now - holding.usedAt > this->settings.ttl) {
            holding.isRead = false;
        }
        holding.usedAt = now;
        return holding;
    }

    PartState stateOf(const Holding &holding, Millis now) const
    {
        if (holding.isRead && now - holding.usedAt <= this->settings.ttl) {
            return PartState::Read;
        }
        return holding.waiting > 0 ? PartState::Reading : PartState::Absent;
    }

    PartPlacementSettings settings;
    std::unordered_map<std::uint64_t, Part> parts;
    /** The least recently used part first. */
    std::list<std::uint64_t> order;
};

PartPlacements::PartPlacements(const PartPlacementSettings &settings) : d(std::make_unique<Private>(settings))
{
}

PartPlacements::~PartPlacements() = default;
PartPlacements::PartPlacements(PartPlacements &&other) noexcept = default;
PartPlacements &PartPlacements::operator=(PartPlacements &&other) noexcept = default;

void PartPlacements::recordPlaced(std::uint64_t part, const TargetId &target, Millis now)
{
    this->d->use(part, target, now).waiting += 1;
}

void PartPlacements::recordRead(std::uint64_t part, const TargetId &target, Millis now)
{
    Holding &holding = this->d->use(part, target, now);
    holding.waiting -= std::min<std::uint32_t>(holding.waiting, 1);
    holding.isRead = true;
}

void PartPlacements::recordEnded(std::uint64_t part, const TargetId &target)
{
    const auto found = this->d->parts.find(part);
    if (found == this->d->parts.end()) {
        return;
    }
    const auto holding = found->second.holdings.find(target);
    if (holding == found->second.holdings.end()) {
        return;
    }
    holding->second.waiting -= std::min<std::uint32_t>(holding->second.waiting, 1);
    if (holding->second.waiting == 0 && !holding->second.isRead) {
        found->second.holdings.erase(holding);
    }
}

PartState PartPlacements::find(std::uint64_t part, const TargetId &target, Millis now) const
{
    const auto found = this->d->parts.find(part);
    if (found == this->d->parts.end()) {
        return PartState::Absent;
    }
    const auto holding = found->second.holdings.find(target);
    return holding != found->second.holdings.end() ? this->d->stateOf(holding->second, now) : PartState::Absent;
}

std::vector<TargetId> PartPlacements::readers(std::uint64_t part, Millis now) const
{
    std::vector<TargetId> all;
    const auto found = this->d->parts.find(part);
    if (found == this->d->parts.end()) {
        return all;
    }
    for (const auto &[target, holding] : found->second.holdings) {
        if (this->d->stateOf(holding, now) == PartState::Read) {
            all.push_back(target);
        }
    }
    return all;
}

std::size_t PartPlacements::size() const
{
    return this->d->parts.size();
}

} // namespace Sequoiausher
