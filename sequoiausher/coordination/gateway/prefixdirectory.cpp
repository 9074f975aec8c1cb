#include "sequoiausher/coordination/gateway/prefixdirectory.h"

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

/** A part in steady use is announced again after the TTL divided by this, so that peers do not forget it. */
constexpr std::int64_t repeatTtlDivisor = 4;
/** The maximum number of placements in one report; the others follow in the next report. */
constexpr std::size_t maxUpdatesPerReport = 256;
/**
 * Updates that are kept for peers that request them rarely. Older placements are announced again after a quarter of
 * their TTL.
 */
constexpr std::size_t maxKeptUpdates = 2048;

struct PlacementUpdate
{
    GatewayPlacement placement;
    InstanceId from;
    UpdateScope scope = UpdateScope::Own;
};

struct Holder
{
    TargetId target;
    Millis lastUsedAt;
    /** When the placement was last announced to peers; absent before the first time. */
    std::optional<Millis> announcedAt;
};

struct Entry
{
    std::uint64_t part = 0;
    std::vector<Holder> holders;
};

} // namespace

class PrefixDirectory::Private
{
public:
    using EntryList = std::list<Entry>;

    Entry &findOrAdd(std::uint64_t part)
    {
        const auto found = this->entryOfPart.find(part);
        if (found != this->entryOfPart.end()) {
            this->entries.splice(this->entries.begin(), this->entries, found->second);
            return *found->second;
        }
        this->entries.push_front({part, {}});
        this->entryOfPart.emplace(part, this->entries.begin());
        if (this->entryOfPart.size() > this->settings.maxParts) {
            this->entryOfPart.erase(this->entries.back().part);
            this->entries.pop_back();
        }
        return this->entries.front();
    }

    Holder &findOrAddHolder(Entry &entry, const TargetId &target, Millis now)
    {
        std::erase_if(entry.holders, [this, now](const Holder &h) { return now - h.lastUsedAt > this->settings.ttl; });
        const auto found = std::find_if(
            entry.holders.begin(), entry.holders.end(), [&target](const Holder &h) { return h.target == target; });
        if (found != entry.holders.end()) {
            return *found;
        }
        if (entry.holders.size() >= this->settings.maxHolders) {
            const auto oldest
                = std::min_element(entry.holders.begin(), entry.holders.end(), [](const Holder &a, const Holder &b) {
                      return a.lastUsedAt < b.lastUsedAt;
                  });
            entry.holders.erase(oldest);
        }
        return entry.holders.emplace_back(Holder{target, now, std::nullopt});
    }

    PrefixDirectorySettings settings;
    /** The most recently used part comes first. */
    EntryList entries;
    std::unordered_map<std::uint64_t, EntryList::iterator> entryOfPart;
    void addUpdate(PlacementUpdate update)
    {
        this->updates.push_back(std::move(update));
        if (this->updates.size() > maxKeptUpdates) {
            this->updates.pop_front();
            this->firstUpdateNumber += 1;
        }
    }

    std::deque<PlacementUpdate> updates;
    /** The sequence number of the first element of updates. */
    std::uint64_t firstUpdateNumber = 0;
    /** The sequence number of the next update for each peer. */
    std::map<InstanceId, std::uint64_t> nextUpdateFor;
};

PrefixDirectory::PrefixDirectory(const PrefixDirectorySettings &settings) : d(std::make_unique<Private>())
{
    this->d->settings = settings;
}

PrefixDirectory::~PrefixDirectory() = default;

void PrefixDirectory::recordSent(std::uint64_t part, const TargetId &target, Millis now)
{
    Holder &holder = this->d->findOrAddHolder(this->d->findOrAdd(part), target, now);
    holder.lastUsedAt = now;
    const bool isUpdateDue
        = !holder.announcedAt || now - *holder.announcedAt > this->d->settings.ttl / repeatTtlDivisor;
    if (isUpdateDue) {
        holder.announcedAt = now;
        this->d->addUpdate({{part, target}, {}, UpdateScope::Own});
    }
}

void PrefixDirectory::recordPeerPlacement(const InstanceId &peer,
                                          std::uint64_t part,
                                          const TargetId &target,
                                          Millis now,
                                          UpdateScope scope)
{
    Holder &holder = this->d->findOrAddHolder(this->d->findOrAdd(part), target, now);
    holder.lastUsedAt = now;
    // The peer announced this placement to all gateways, or this gateway passes it on.
    holder.announcedAt = now;
    if (scope != UpdateScope::Own) {
        this->d->addUpdate({{part, target}, peer, scope});
    }
}

void PrefixDirectory::removeHolder(std::uint64_t part, const TargetId &target)
{
    const auto found = this->d->entryOfPart.find(part);
    if (found != this->d->entryOfPart.end()) {
        std::erase_if(found->second->holders, [&target](const Holder &h) { return h.target == target; });
    }
}

std::vector<TargetId> PrefixDirectory::holders(std::uint64_t part, Millis now) const
{
    std::vector<TargetId> targets;
    const auto found = this->d->entryOfPart.find(part);
    if (found == this->d->entryOfPart.end()) {
        return targets;
    }
    for (const Holder &holder : found->second->holders) {
        if (now - holder.lastUsedAt <= this->d->settings.ttl) {
            targets.push_back(holder.target);
        }
    }
    return targets;
}

std::vector<GatewayPlacement> PrefixDirectory::takeUpdates(const InstanceId &peer, UpdateScope scope)
{
    std::vector<GatewayPlacement> due;
    std::uint64_t &next = this->d->nextUpdateFor[peer];
    next = std::max(next, this->d->firstUpdateNumber);
    while (next < this->d->firstUpdateNumber + this->d->updates.size() && due.size() < maxUpdatesPerReport) {
        const PlacementUpdate &update = this->d->updates[next - this->d->firstUpdateNumber];
        next += 1;
        if (update.scope <= scope && update.from != peer) {
            due.push_back(update.placement);
        }
    }
    return due;
}

std::size_t PrefixDirectory::size() const
{
    return this->d->entryOfPart.size();
}

} // namespace Sequoiausher
