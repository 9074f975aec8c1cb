#pragma once

// The targets that the platform's store lists, as one gateway has them, kept up to date by a first list and events.
// Entries lapse while the store is away, since targets cannot renew them, and come back about two seconds after its
// return; a gateway that believed the gap would send all traffic to the few that were quick. So what is missing during
// an outage or shortly after stays usable, and what is still missing then is gone. What the store removes once it is
// back leaves within the bound all the same, and where a peer reached the store all the while there was no outage.
//
//     TargetList list;
//     list.replaceAll(targets, revision, now);
//     list.storeLost(now);
//     list.removed(TargetId{"i-1"}, revision, now);       // stays: the store was away
//     list.storeReturned(now);
//     list.tick(now + Millis{3000});                      // gone now
//
// Revisions are positions of the store (storeposition.h). After a return from a copy the store lists targets as they
// were when the copy was made: who has left since, or said so, stays out until it is written again.
//
// Gateways that do not read the store learn it from one that does, by changes since the revision that they have:
//
//     if (const auto changes = list.changesSince(revisionOfPeer)) { send(*changes); }
//     otherList.apply(changes);

#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"

#include <map>
#include <optional>
#include <vector>

namespace Sequoiausher {

/**
 * Entries lapse after three heartbeats of several hundred milliseconds at least, so an absence of the store that was
 * shorter than this one took none with it. A call that fails once delays no news of a target that left.
 */
inline constexpr Millis minStoreOutage{2000};
/** How long after the store's return an entry that lapsed may take to come back: two seconds, and a call's delay. */
inline constexpr Millis expiredEntryGrace{2300};
/** The part of the bound for leaving targets for which an entry that the store removes after its return is kept. */
inline constexpr std::int64_t lateRemovalBoundDivisor = 2;

/** What becomes of a list between two revisions of the store. */
struct TargetChanges
{
    /** For lists that are complete up to here, or later. */
    Revision from = 0;
    Revision to = 0;
    std::vector<GatewayTarget> written;
    /** By the names under which the platform listed them. */
    std::vector<TargetId> gone;

    bool operator==(const TargetChanges &) const = default;
};

/** The list. Not thread-safe. */
class TargetList
{
public:
    /** Everything that the store lists at revision. */
    void replaceAll(const std::vector<GatewayTarget> &targets, Revision at, Millis now);
    /**
     * An entry was written; at is the revision up to which the store's answer tells all. An answer from before what is
     * known already, here or in the next two, changes nothing: a peer has told of later changes. One of an earlier life
     * than the known one changes nothing: a target that starts again behind a cut has its old life's last words arrive
     * after its own first. One that tells no life is of the known one.
     */
    void put(const GatewayTarget &target, Revision at);
    /** The entry of that name was removed. */
    void remove(const TargetId &name, Revision at, Millis now);
    /**
     * What lies under that name cannot be read: it names no target. Unlike one that lapsed it is not kept during an
     * outage, since the store had it written.
     */
    void removeUnreadable(const TargetId &name, Revision at);

    /** A peer that reaches the store says that this is all, where this gateway does not reach it. */
    void replaceFromPeer(const std::vector<GatewayTarget> &targets, Revision at);

    /**
     * What a list that is complete up to from lacks; nothing where that cannot be told, since from is too long ago, or
     * an entry is only kept since it may come back: a listener that had it and the present revision would keep it. What
     * did not come back after an outage is gone at the revision that the list had then, so peers that have the
     * same revision may lack it too.
     */
    std::optional<TargetChanges> findChangesSince(Revision from) const;
    /** Takes over changes, unless they begin after what this list has or end before; whether it did. */
    bool apply(const TargetChanges &changes);
    /**
     * Up to which revision a gateway without any list may take this one for complete: an old one, which everybody
     * else's replaces, where an entry is only kept since it may come back.
     */
    Revision shareableRevision() const;
    /** The revision at which an entry was last written or removed. */
    Revision changedAt() const;
    /** When tick() last let entries go. */
    Millis lastExpiryAt() const;

    /** Within so long after the store's word no leaving target may get anything. */
    void setLeaveBound(Millis bound);
    /**
     * A peer whose list has been settled ever since vouches for it up to at, in a report that answers one of askedAt:
     * the store was there, only this gateway did not reach it, so no entry has lapsed.
     */
    void confirmSettledByPeer(Revision at, Millis askedAt);
    /** Whether the store was never away lately, as far as this gateway knows: nothing is missing that may come back. */
    bool isSettled(Millis now) const;

    /** A call to the store failed. */
    void storeLost(Millis now);
    /** The store has come back from a copy: entries that it lacks may be written again, as after an outage. */
    void storeRestored(Millis now);
    /** A call to the store was answered again. */
    void storeReturned(Millis now);
    /** Lets go of entries that did not come back in time; true where there were any. */
    bool tick(Millis now);

    /** The store's revision up to which the list is complete. */
    Revision revision() const;
    /** Everything known and not gone, in the order of names. */
    std::vector<GatewayTarget> targets() const;
    bool empty() const;
    /** Whether any entry is only kept since it may come back. */
    bool hasMissing() const;

private:
    struct Entry
    {
        GatewayTarget target;
        /** Since when the store does not list it any more. */
        std::optional<Millis> missingSince;
        /** Until when it may come back. */
        Millis keptUntil;
        /** The store's revision at which it was removed though the store was there; 0 where it may have lapsed. */
        Revision removedAt = 0;
        /** The store's revision at which this value was learnt. */
        Revision changedAt = 0;
    };
    struct Gone
    {
        Revision at = 0;
        Millis bornAt;
    };

    /** From now on entries that are missing may come back for a while. */
    void beginGrace(Millis now);
    bool isGraceOver(Millis now) const;
    /** Whether what is removed at that revision went after the store's return, and so cannot have lapsed before. */
    bool isAfterReturn(Revision at) const;
    bool isOutdated(Revision at) const;
    void write(const GatewayTarget &target, Revision at);
    /** Whether a list of a later era than the target's last word shows it as it was before. */
    bool isRestoredCopy(const GatewayTarget &target, Revision at) const;
    /** Writes all of them; the entries that are not among them. */
    std::vector<std::map<TargetId, Entry>::iterator> writeAll(const std::vector<GatewayTarget> &targets, Revision at);
    void erase(std::map<TargetId, Entry>::iterator entry, Revision at);
    /** An answer of the store that tells all up to at: the first one after its return tells of its absence. */
    void noteReturn(Revision at);
    void removeOrKeep(std::map<TargetId, Entry>::iterator entry, Revision at, Millis now);
    void noteGone(const TargetId &name, Revision at, Millis bornAt);
    /** The list is complete up to at, without what happened on the way. */
    void setCompleteUpTo(Revision at);

    /** By the names under which the platform lists them. */
    std::map<TargetId, Entry> entries;
    /** Names of targets that are gone, with the revision at which they went and their last life. */
    std::map<TargetId, Gone> gone;
    /** What went before this revision is forgotten. */
    Revision goneCompleteSince = 0;
    /** Entries that are only kept since they may come back. */
    std::size_t missingEntryCount = 0;
    Revision completeRevision = 0;
    Revision lastChange = 0;
    Millis lastExpiry;
    Millis leaveBound{2000};
    std::optional<Millis> lostAt;
    std::optional<Millis> returnedAt;
    /** What the first answer after the store's return told all up to; 0 before it. */
    Revision revisionOnReturn = 0;
    /** When the store was first heard of. */
    std::optional<Millis> firstFullReadAt;
};

} // namespace Sequoiausher
