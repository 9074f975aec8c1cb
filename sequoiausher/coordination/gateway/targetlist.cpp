#include "sequoiausher/coordination/gateway/targetlist.h"

#include <algorithm>
#include <set>

namespace Sequoiausher {

void TargetList::replaceAll(const std::vector<GatewayTarget> &targets, Revision at, Millis now)
{
    std::set<TargetId> listed;
    for (const GatewayTarget &target : targets) {
        listed.insert(target.id);
        this->entries[target.id] = {target, std::nullopt};
    }
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto next = std::next(entry);
        if (!listed.contains(entry->first)) {
            this->drop(entry, now);
        }
        entry = next;
    }
    this->known = std::max(this->known, at);
}

void TargetList::put(const GatewayTarget &target, Revision at)
{
    this->entries[target.id] = {target, std::nullopt};
    this->known = std::max(this->known, at);
}

void TargetList::removed(const TargetId &target, Revision at, Millis now)
{
    const auto entry = this->entries.find(target);
    if (entry != this->entries.end()) {
        this->drop(entry, now);
    }
    this->known = std::max(this->known, at);
}

void TargetList::drop(std::map<TargetId, Entry>::iterator entry, Millis now)
{
    // One that said it would leave has left, whatever the store went through.
    if (entry->second.target.isLeaving || this->isGraceOver(now)) {
        this->entries.erase(entry);
    } else if (!entry->second.missingSince) {
        entry->second.missingSince = now;
    }
}

bool TargetList::isGraceOver(Millis now) const
{
    if (this->lostAt) {
        return now < *this->lostAt + shortestLapse;
    }
    return !this->returnedAt || now >= *this->returnedAt + lapsedEntryGrace;
}

void TargetList::adopt(const std::vector<GatewayTarget> &targets, Revision at)
{
    this->entries.clear();
    for (const GatewayTarget &target : targets) {
        this->entries[target.id] = {target, std::nullopt};
    }
    this->known = std::max(this->known, at);
}

void TargetList::storeLost(Millis now)
{
    this->lostAt = this->lostAt.value_or(now);
}

void TargetList::storeReturned(Millis now)
{
    if (this->lostAt && now >= *this->lostAt + shortestLapse) {
        this->returnedAt = now;
    }
    this->lostAt.reset();
}

bool TargetList::tick(Millis now)
{
    if (this->lostAt || !this->isGraceOver(now)) {
        return false;
    }
    return std::erase_if(this->entries, [](const auto &entry) { return entry.second.missingSince.has_value(); }) > 0;
}

Revision TargetList::revision() const
{
    return this->known;
}

std::vector<GatewayTarget> TargetList::targets() const
{
    std::vector<GatewayTarget> all;
    all.reserve(this->entries.size());
    for (const auto &[id, entry] : this->entries) {
        all.push_back(entry.target);
    }
    return all;
}

bool TargetList::empty() const
{
    return this->entries.empty();
}

bool TargetList::hasMissing() const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [](const auto &entry) {
        return entry.second.missingSince.has_value();
    });
}

} // namespace Sequoiausher
