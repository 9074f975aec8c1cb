#include "sequoiausher/coordination/gateway/targetlist.h"

#include "sequoiausher/coordination/gateway/storeposition.h"

#include <algorithm>
#include <set>

namespace Sequoiausher {

namespace {

/**
 * How many removed targets are remembered for peers that still list them. Peers that lack older removals get the whole
 * list.
 */
constexpr std::size_t maxGoneTargets = 4096;

/**
 * The start time noted for a removed target that this list never contained: later than any other, so that an entry of
 * any incarnation in a restored copy counts as outdated.
 */
constexpr Millis unknownStartTime = Millis::never();

bool isOfEarlierIncarnation(const GatewayTarget &target, const GatewayTarget &current)
{
    return target.bornAt != Millis{0} && target.bornAt < current.bornAt;
}

/**
 * Returns the target as written, with the current incarnation where the entry has none. How long it stays cold is left
 * out: it changes with each heartbeat, and gateways report it to each other while it matters.
 */
GatewayTarget asListed(const GatewayTarget &target, const GatewayTarget &current)
{
    GatewayTarget result = target;
    result.coldFor = Millis{0};
    if (target.bornAt == Millis{0} && current.bornAt != Millis{0}) {
        result.bornAt = current.bornAt;
        result.id = current.id;
    }
    return result;
}

} // namespace

void TargetList::write(const GatewayTarget &target, Revision at)
{
    const TargetId name = listedName(target);
    Entry &entry = this->entries[name];
    this->gone.erase(name);
    if (isOfEarlierIncarnation(target, entry.target)) {
        return;
    }
    this->missingEntryCount -= entry.missingSince ? 1 : 0;
    entry.missingSince.reset();
    entry.removedRevision = 0;
    const GatewayTarget written = asListed(target, entry.target);
    if (entry.changedRevision == 0 || !(entry.target == written)) {
        entry.target = written;
        entry.changedRevision = at;
        this->lastChange = std::max(this->lastChange, at);
    }
}

bool TargetList::isRestoredCopy(const GatewayTarget &target, Revision at) const
{
    const TargetId name = listedName(target);
    const auto isOfIncarnationUpTo
        = [&target](Millis born) { return target.bornAt == Millis{0} || target.bornAt <= born; };
    const auto goneTarget = this->gone.find(name);
    if (goneTarget != this->gone.end()) {
        return eraOf(at) > eraOf(goneTarget->second.removedRevision) && isOfIncarnationUpTo(goneTarget->second.bornAt);
    }
    const auto entry = this->entries.find(name);
    if (entry == this->entries.end() || !isOfIncarnationUpTo(entry->second.target.bornAt)) {
        return false;
    }
    const bool isRemoved = entry->second.removedRevision != 0 && eraOf(at) > eraOf(entry->second.removedRevision);
    return isRemoved
        || (entry->second.target.isLeaving && !target.isLeaving && eraOf(at) > eraOf(entry->second.changedRevision));
}

void TargetList::erase(std::map<TargetId, Entry>::iterator entry, Revision at)
{
    this->missingEntryCount -= entry->second.missingSince ? 1 : 0;
    this->noteGone(entry->first, at, entry->second.target.bornAt);
    this->entries.erase(entry);
}

std::vector<std::map<TargetId, TargetList::Entry>::iterator>
TargetList::writeAll(const std::vector<GatewayTarget> &targets, Revision at)
{
    std::set<TargetId> listed;
    for (const GatewayTarget &target : targets) {
        listed.insert(listedName(target));
        if (!this->isRestoredCopy(target, at)) {
            this->write(target, at);
        }
    }
    std::vector<std::map<TargetId, Entry>::iterator> others;
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        if (!listed.contains(entry->first)) {
            others.push_back(entry);
        }
    }
    return others;
}

void TargetList::replaceAll(const std::vector<GatewayTarget> &targets, Revision at, Millis now)
{
    this->firstFullReadAt = this->firstFullReadAt.value_or(now);
    for (const auto &entry : this->writeAll(targets, at)) {
        this->removeOrKeep(entry, at, now);
    }
    this->noteFirstAnswerAfterReturn(at);
    this->setCompleteUpTo(at);
}

void TargetList::setCompleteUpTo(Revision at)
{
    // A target that was listed only between the two revisions was never seen here, so a peer that has it needs the
    // whole list.
    if (at > this->completeRevision) {
        this->goneCompleteSince = at;
    }
    this->completeRevision = std::max(this->completeRevision, at);
}

// If an answer from before a peer's report were applied, a removed entry would come back or a new one would be removed
// under the revision of the later report, and no peer would report the change again. The visible fault is one gateway
// that sends to a target which left long ago.
bool TargetList::isOutdated(Revision at) const
{
    return at < this->completeRevision;
}

void TargetList::put(const GatewayTarget &target, Revision at)
{
    if (this->isOutdated(at)) {
        return;
    }
    this->noteFirstAnswerAfterReturn(at);
    this->write(target, at);
    this->completeRevision = at;
}

void TargetList::remove(const TargetId &name, Revision at, Millis now)
{
    if (this->isOutdated(at)) {
        return;
    }
    const auto entry = this->entries.find(name);
    // All changes of one answer of the store have the same revision.
    this->noteFirstAnswerAfterReturn(at);
    if (entry != this->entries.end()) {
        this->removeOrKeep(entry, at, now);
    } else {
        // The target was written and removed between two answers; a copy of the store may still list it.
        this->noteGone(name, at, unknownStartTime);
    }
    this->completeRevision = at;
}

void TargetList::removeUnreadable(const TargetId &name, Revision at)
{
    if (this->isOutdated(at)) {
        return;
    }
    const auto entry = this->entries.find(name);
    if (entry != this->entries.end()) {
        this->erase(entry, at);
    }
    this->completeRevision = at;
}

void TargetList::removeOrKeep(std::map<TargetId, Entry>::iterator entry, Revision at, Millis now)
{
    // A target that announced that it leaves is gone, whatever happened to the store.
    if (entry->second.target.isLeaving || this->removesAtOnce(now)) {
        this->erase(entry, at);
    } else if (!entry->second.missingSince) {
        entry->second.missingSince = now;
        entry->second.removedRevision = this->isAfterReturn(at) ? at : 0;
        const Millis settled = this->returnedAt ? *this->returnedAt + expiredEntryGrace : Millis::never();
        entry->second.keptUntil = this->lostAt ? Millis::never() : settled;
        if (entry->second.removedRevision != 0) {
            entry->second.keptUntil = std::min(settled, now + this->leaveBound / lateRemovalBoundDivisor);
        }
        this->missingEntryCount += 1;
    }
}

bool TargetList::isAfterReturn(Revision at) const
{
    return !this->lostAt && this->returnedAt && this->revisionOnReturn != 0 && at > this->revisionOnReturn;
}

void TargetList::noteFirstAnswerAfterReturn(Revision at)
{
    if (this->returnedAt && this->revisionOnReturn == 0) {
        this->revisionOnReturn = at;
    }
}

void TargetList::noteGone(const TargetId &name, Revision at, Millis bornAt)
{
    this->gone[name] = {at, bornAt};
    this->lastChange = std::max(this->lastChange, at);
    if (this->gone.size() <= maxGoneTargets) {
        return;
    }
    const auto oldest = std::min_element(this->gone.begin(), this->gone.end(), [](const auto &a, const auto &b) {
        return a.second.removedRevision < b.second.removedRevision;
    });
    this->goneCompleteSince = oldest->second.removedRevision + 1;
    this->gone.erase(oldest);
}

bool TargetList::removesAtOnce(Millis now) const
{
    if (this->lostAt) {
        return now < *this->lostAt + minStoreOutage;
    }
    return !this->returnedAt || now >= *this->returnedAt + expiredEntryGrace;
}

void TargetList::replaceFromPeer(const std::vector<GatewayTarget> &targets, Revision at)
{
    for (const auto &entry : this->writeAll(targets, at)) {
        this->erase(entry, at);
    }
    this->setCompleteUpTo(at);
}

std::optional<TargetChanges> TargetList::findChangesSince(Revision from) const
{
    if (from == 0 || from < this->goneCompleteSince || this->hasMissing()) {
        return std::nullopt;
    }
    TargetChanges changes{from, this->completeRevision, {}, {}};
    for (const auto &[name, entry] : this->entries) {
        if (entry.changedRevision > from) {
            changes.written.push_back(entry.target);
        }
    }
    for (const auto &[name, goneTarget] : this->gone) {
        if (goneTarget.removedRevision >= from) {
            changes.gone.push_back(name);
        }
    }
    return changes;
}

bool TargetList::apply(const TargetChanges &changes)
{
    if (changes.from > this->completeRevision || changes.to < this->completeRevision) {
        return false;
    }
    for (const TargetId &name : changes.gone) {
        const auto entry = this->entries.find(name);
        if (entry != this->entries.end()) {
            this->erase(entry, changes.to);
        } else {
            this->noteGone(name, changes.to, unknownStartTime);
        }
    }
    for (const GatewayTarget &target : changes.written) {
        this->write(target, changes.to);
    }
    this->completeRevision = changes.to;
    return true;
}

Revision TargetList::shareableRevision() const
{
    constexpr Revision oldRevision = 1;
    return this->hasMissing() ? oldRevision : this->completeRevision;
}

Revision TargetList::lastChangeRevision() const
{
    return this->lastChange;
}

Millis TargetList::lastExpiryAt() const
{
    return this->lastExpiry;
}

void TargetList::storeLost(Millis now)
{
    this->lostAt = this->lostAt.value_or(now);
}

void TargetList::storeReturned(Millis now)
{
    if (this->lostAt && now >= *this->lostAt + minStoreOutage) {
        this->beginGrace(now);
    }
    this->lostAt.reset();
}

void TargetList::beginGrace(Millis now)
{
    this->returnedAt = now;
    this->revisionOnReturn = 0;
    for (auto &[name, entry] : this->entries) {
        if (entry.removedRevision == 0) {
            entry.keptUntil = now + expiredEntryGrace;
        }
    }
}

void TargetList::storeRestored(Millis now)
{
    this->lostAt.reset();
    this->beginGrace(now);
}

void TargetList::setLeaveBound(Millis bound)
{
    this->leaveBound = bound;
}

void TargetList::confirmSettledByPeer(Revision at, Millis askedAt)
{
    if (this->lostAt || !this->returnedAt || askedAt < *this->returnedAt || at < this->completeRevision) {
        return;
    }
    this->returnedAt.reset();
    for (auto &[name, entry] : this->entries) {
        entry.keptUntil = Millis{0};
    }
}

bool TargetList::isSettled(Millis now) const
{
    const bool isPastStartupGrace = this->firstFullReadAt && now >= *this->firstFullReadAt + expiredEntryGrace;
    return isPastStartupGrace && !this->lostAt && this->removesAtOnce(now) && !this->hasMissing();
}

bool TargetList::tick(Millis now)
{
    if (this->lostAt || this->missingEntryCount == 0) {
        return false;
    }
    const std::size_t before = this->entries.size();
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto next = std::next(entry);
        if (entry->second.missingSince && now >= entry->second.keptUntil) {
            this->erase(entry, this->completeRevision);
            this->lastExpiry = now;
        }
        entry = next;
    }
    return this->entries.size() < before;
}

Revision TargetList::revision() const
{
    return this->completeRevision;
}

std::vector<GatewayTarget> TargetList::targets() const
{
    std::vector<GatewayTarget> all;
    all.reserve(this->entries.size());
    for (const auto &[name, entry] : this->entries) {
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
    return this->missingEntryCount > 0;
}

} // namespace Sequoiausher
