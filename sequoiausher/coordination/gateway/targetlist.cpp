#include "sequoiausher/coordination/gateway/targetlist.h"

#include "sequoiausher/coordination/gateway/storeposition.h"

#include <algorithm>
#include <set>

namespace Sequoiausher {

namespace {

/** Targets that are gone are remembered for peers that still have them; beyond so many those get the whole list. */
constexpr std::size_t mostGone = 4096;

/** The last life of a target of which no word told. */
constexpr Millis anyLife = Millis::never();

bool isOfEarlierLife(const GatewayTarget &target, const GatewayTarget &known)
{
    return target.bornAt != Millis{0} && target.bornAt < known.bornAt;
}

/** The target as written, in the known life where it tells none. */
GatewayTarget inKnownLife(const GatewayTarget &target, const GatewayTarget &known)
{
    GatewayTarget living = target;
    if (target.bornAt == Millis{0} && known.bornAt != Millis{0}) {
        living.bornAt = known.bornAt;
        living.id = known.id;
    }
    return living;
}

} // namespace

void TargetList::write(const GatewayTarget &target, Revision at)
{
    const TargetId name = listedName(target);
    Entry &entry = this->entries[name];
    this->gone.erase(name);
    if (isOfEarlierLife(target, entry.target)) {
        return;
    }
    this->missingCount -= entry.missingSince ? 1 : 0;
    entry.missingSince.reset();
    entry.removedAt = 0;
    const GatewayTarget written = inKnownLife(target, entry.target);
    if (entry.changedAt == 0 || !(entry.target == written)) {
        entry.target = written;
        entry.changedAt = at;
        this->lastChange = std::max(this->lastChange, at);
    }
}

bool TargetList::isCopied(const GatewayTarget &target, Revision at) const
{
    const TargetId name = listedName(target);
    const auto isOfLifeUpTo = [&target](Millis born) { return target.bornAt == Millis{0} || target.bornAt <= born; };
    const auto left = this->gone.find(name);
    if (left != this->gone.end()) {
        return eraOf(at) > eraOf(left->second.at) && isOfLifeUpTo(left->second.bornAt);
    }
    const auto entry = this->entries.find(name);
    if (entry == this->entries.end() || !isOfLifeUpTo(entry->second.target.bornAt)) {
        return false;
    }
    const bool isRemoved = entry->second.removedAt != 0 && eraOf(at) > eraOf(entry->second.removedAt);
    return isRemoved
        || (entry->second.target.isLeaving && !target.isLeaving && eraOf(at) > eraOf(entry->second.changedAt));
}

void TargetList::erase(std::map<TargetId, Entry>::iterator entry, Revision at)
{
    this->missingCount -= entry->second.missingSince ? 1 : 0;
    this->noteGone(entry->first, at, entry->second.target.bornAt);
    this->entries.erase(entry);
}

std::vector<std::map<TargetId, TargetList::Entry>::iterator>
TargetList::writeAll(const std::vector<GatewayTarget> &targets, Revision at)
{
    std::set<TargetId> listed;
    for (const GatewayTarget &target : targets) {
        listed.insert(listedName(target));
        if (!this->isCopied(target, at)) {
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
    this->firstReadAt = this->firstReadAt.value_or(now);
    for (const auto &entry : this->writeAll(targets, at)) {
        this->drop(entry, at, now);
    }
    this->noteReturn(at);
    this->jumpedTo(at);
}

void TargetList::jumpedTo(Revision at)
{
    // A target that came and went in between was never seen here: whoever has it must get the whole list.
    if (at > this->known) {
        this->goneKnownSince = at;
    }
    this->known = std::max(this->known, at);
}

// What goes wrong where an answer from before a peer's word is believed: an entry that went comes back, or a new one
// goes, under the revision of the later word, and no peer tells of it again. It shows as one gateway that sends to a
// target that has left long since.
bool TargetList::isOutdated(Revision at) const
{
    return at < this->known;
}

void TargetList::put(const GatewayTarget &target, Revision at)
{
    if (this->isOutdated(at)) {
        return;
    }
    this->noteReturn(at);
    this->write(target, at);
    this->known = at;
}

void TargetList::removed(const TargetId &name, Revision at, Millis now)
{
    if (this->isOutdated(at)) {
        return;
    }
    const auto entry = this->entries.find(name);
    // All changes of one answer come with its revision.
    this->noteReturn(at);
    if (entry != this->entries.end()) {
        this->drop(entry, at, now);
    } else {
        // It came and went between two answers; a copy of the store may still list it.
        this->noteGone(name, at, anyLife);
    }
    this->known = at;
}

void TargetList::unreadable(const TargetId &name, Revision at)
{
    if (this->isOutdated(at)) {
        return;
    }
    const auto entry = this->entries.find(name);
    if (entry != this->entries.end()) {
        this->erase(entry, at);
    }
    this->known = at;
}

void TargetList::drop(std::map<TargetId, Entry>::iterator entry, Revision at, Millis now)
{
    // One that said it would leave has left, whatever the store went through.
    if (entry->second.target.isLeaving || this->isGraceOver(now)) {
        this->erase(entry, at);
    } else if (!entry->second.missingSince) {
        entry->second.missingSince = now;
        entry->second.removedAt = this->isAfterReturn(at) ? at : 0;
        const Millis settled = this->returnedAt ? *this->returnedAt + lapsedEntryGrace : Millis::never();
        entry->second.keptUntil = this->lostAt ? Millis::never() : settled;
        if (entry->second.removedAt != 0) {
            entry->second.keptUntil = std::min(settled, now + this->leaveBound / lateRemovalParts);
        }
        this->missingCount += 1;
    }
}

bool TargetList::isAfterReturn(Revision at) const
{
    return !this->lostAt && this->returnedAt && this->returnedWith != 0 && at > this->returnedWith;
}

void TargetList::noteReturn(Revision at)
{
    if (this->returnedAt && this->returnedWith == 0) {
        this->returnedWith = at;
    }
}

void TargetList::noteGone(const TargetId &name, Revision at, Millis bornAt)
{
    this->gone[name] = {at, bornAt};
    this->lastChange = std::max(this->lastChange, at);
    if (this->gone.size() <= mostGone) {
        return;
    }
    const auto oldest = std::min_element(
        this->gone.begin(), this->gone.end(), [](const auto &a, const auto &b) { return a.second.at < b.second.at; });
    this->goneKnownSince = oldest->second.at + 1;
    this->gone.erase(oldest);
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
    for (const auto &entry : this->writeAll(targets, at)) {
        this->erase(entry, at);
    }
    this->jumpedTo(at);
}

std::optional<TargetChanges> TargetList::changesSince(Revision from) const
{
    if (from == 0 || from < this->goneKnownSince || this->hasMissing()) {
        return std::nullopt;
    }
    TargetChanges changes{from, this->known, {}, {}};
    for (const auto &[name, entry] : this->entries) {
        if (entry.changedAt > from) {
            changes.written.push_back(entry.target);
        }
    }
    for (const auto &[name, left] : this->gone) {
        if (left.at >= from) {
            changes.gone.push_back(name);
        }
    }
    return changes;
}

bool TargetList::apply(const TargetChanges &changes)
{
    if (changes.from > this->known || changes.to < this->known) {
        return false;
    }
    for (const TargetId &name : changes.gone) {
        const auto entry = this->entries.find(name);
        if (entry != this->entries.end()) {
            this->erase(entry, changes.to);
        } else {
            this->noteGone(name, changes.to, anyLife);
        }
    }
    for (const GatewayTarget &target : changes.written) {
        this->write(target, changes.to);
    }
    this->known = changes.to;
    return true;
}

Revision TargetList::revisionToTell() const
{
    constexpr Revision old = 1;
    return this->hasMissing() ? old : this->known;
}

Revision TargetList::changedAt() const
{
    return this->lastChange;
}

Millis TargetList::letGoAt() const
{
    return this->lastLetGo;
}

void TargetList::storeLost(Millis now)
{
    this->lostAt = this->lostAt.value_or(now);
}

void TargetList::storeReturned(Millis now)
{
    if (this->lostAt && now >= *this->lostAt + shortestLapse) {
        this->beginGrace(now);
    }
    this->lostAt.reset();
}

void TargetList::beginGrace(Millis now)
{
    this->returnedAt = now;
    this->returnedWith = 0;
    for (auto &[name, entry] : this->entries) {
        if (entry.removedAt == 0) {
            entry.keptUntil = now + lapsedEntryGrace;
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

void TargetList::peerIsSettled(Revision at, Millis askedAt)
{
    if (this->lostAt || !this->returnedAt || askedAt < *this->returnedAt || at < this->known) {
        return;
    }
    this->returnedAt.reset();
    for (auto &[name, entry] : this->entries) {
        entry.keptUntil = Millis{0};
    }
}

bool TargetList::isSettled(Millis now) const
{
    const bool isLongThere = this->firstReadAt && now >= *this->firstReadAt + lapsedEntryGrace;
    return isLongThere && !this->lostAt && this->isGraceOver(now) && !this->hasMissing();
}

bool TargetList::tick(Millis now)
{
    if (this->lostAt || this->missingCount == 0) {
        return false;
    }
    const std::size_t before = this->entries.size();
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto next = std::next(entry);
        if (entry->second.missingSince && now >= entry->second.keptUntil) {
            this->erase(entry, this->known);
            this->lastLetGo = now;
        }
        entry = next;
    }
    return this->entries.size() < before;
}

Revision TargetList::revision() const
{
    return this->known;
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
    return this->missingCount > 0;
}

} // namespace Sequoiausher
