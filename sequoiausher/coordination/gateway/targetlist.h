#pragma once

// The targets that the platform's store lists, as one gateway has them, kept up to date by a first list and events.
// Entries expire during an outage of the store, since targets cannot renew them, and are written again within about two
// seconds after the store's return. A gateway that took the incomplete list at face value would send all traffic to the
// few targets that were written first. So an entry that is missing during an outage or shortly after stays usable, and
// is removed if it is still missing then. An entry that the store removes after its return is still removed within the
// leave bound. If a peer reached the store during the whole time, there was no outage.
//
//     TargetList list;
//     list.replaceAll(targets, revision, now);
//     list.storeLost(now);
//     list.remove(TargetId{"i-1"}, revision, now);        // kept: the store was unavailable
//     list.storeReturned(now);
//     list.tick(now + Millis{3000});                      // removed now
//
// Revisions are positions of the store (storeposition.h). After the store was restored from a copy, it lists targets as
// they were when the copy was made. A target that has left or announced that it leaves since then stays removed or
// leaving until its entry is written again.
//
// A gateway that does not read the store gets changes since its own revision from a gateway that does:
//
//     if (const auto changes = list.findChangesSince(revisionOfPeer)) { send(*changes); }
//     otherList.apply(changes);

#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"

#include <map>
#include <optional>
#include <vector>

namespace Sequoiausher {

/**
 * Entries expire after three heartbeats, each of several hundred milliseconds at least, so none expires in a shorter
 * outage of the store than this. A single failed call therefore delays no removal of a target.
 */
inline constexpr Millis minStoreOutage{2000};
/** How long after the store's return an expired entry may take to be written again: two seconds and a call's delay. */
inline constexpr Millis expiredEntryGrace{2300};
/** An entry that the store removes after its return is kept for at most the leave bound divided by this. */
inline constexpr std::int64_t lateRemovalBoundDivisor = 2;

/** The changes of a list between two revisions of the store. */
struct TargetChanges
{
    /** The changes apply to lists that are complete up to this revision or a later one. */
    Revision from = 0;
    Revision to = 0;
    std::vector<GatewayTarget> written;
    /** The listed names of the removed targets. */
    std::vector<TargetId> gone;

    bool operator==(const TargetChanges &) const = default;
};

/** The list of targets. Not thread-safe. */
class TargetList
{
public:
    /** Replaces the list by all targets that the store lists at the revision. */
    void replaceAll(const std::vector<GatewayTarget> &targets, Revision at, Millis now);
    /**
     * Writes an entry; at is the revision up to which the store's answer is complete. Here and in the next two
     * functions an answer from before the revision of this list changes nothing, because a peer has reported later
     * changes. An entry of an earlier incarnation than the current one changes nothing: if a target restarts during a
     * network partition, the last entries of its old incarnation may arrive after the first entry of the new one. An
     * entry without an incarnation belongs to the current one.
     */
    void put(const GatewayTarget &target, Revision at);
    /**
     * Removes the entry of that name. During and shortly after an outage of the store it is kept as missing for a
     * while, unless the target announced that it leaves.
     */
    void remove(const TargetId &name, Revision at, Millis now);
    /**
     * Removes the entry of that name, because its stored value cannot be read and names no target. Unlike an expired
     * entry it is not kept during an outage, because the store contains the unreadable value.
     */
    void removeUnreadable(const TargetId &name, Revision at);

    /** Replaces the list by that of a peer which reaches the store while this gateway does not. */
    void replaceFromPeer(const std::vector<GatewayTarget> &targets, Revision at);

    /**
     * Finds the changes that a list which is complete up to the given revision lacks. Returns none if that revision is
     * 0 or too old, or if an entry is only kept because it may come back: a receiver that has this entry and gets the
     * current revision would keep the entry. An entry that did not come back after an outage is removed at the revision
     * that the list had then. So the changes include removals at the given revision itself, because a peer with that
     * revision may lack them.
     */
    std::optional<TargetChanges> findChangesSince(Revision from) const;
    /**
     * Applies the changes, unless they begin after this list's revision or end before it. @return whether they were
     * applied.
     */
    bool apply(const TargetChanges &changes);
    /**
     * The revision up to which a gateway without any list may take this list as complete. While an entry is only kept
     * because it may come back, this is an old revision, so that the list of any other gateway replaces this one.
     */
    Revision shareableRevision() const;
    /** The revision at which an entry last changed or was removed. */
    Revision lastChangeRevision() const;
    /** When tick() last removed missing entries. */
    Millis lastExpiryAt() const;

    /** Sets the time after the store's update within which a leaving target must no longer get requests. */
    void setLeaveBound(Millis bound);
    /**
     * Records a peer's confirmation of the list up to a revision, in a report that answers this gateway's report of
     * askedAt. The peer's list has been settled during the whole time, so the store was available and only this gateway
     * did not reach it. Hence no entry has expired.
     */
    void confirmSettledByPeer(Revision at, Millis askedAt);
    /** Whether this gateway knows of no recent outage of the store, so that no missing entry may come back. */
    bool isSettled(Millis now) const;

    /** Records that a call to the store failed. */
    void storeLost(Millis now);
    /**
     * Records that the store was restored from a copy: entries that it lacks may be written again, as after an outage.
     */
    void storeRestored(Millis now);
    /** Records that a call to the store was answered again. */
    void storeReturned(Millis now);
    /** Removes entries that did not come back in time. @return whether there were any. */
    bool tick(Millis now);

    /** The store's revision up to which the list is complete. */
    Revision revision() const;
    /** All targets that are known and not removed, ordered by name. */
    std::vector<GatewayTarget> targets() const;
    bool empty() const;
    /** Whether any entry is only kept because it may come back. */
    bool hasMissing() const;

private:
    struct Entry
    {
        GatewayTarget target;
        /** Since when the store no longer lists the entry. */
        std::optional<Millis> missingSince;
        /** Until when the entry may come back. */
        Millis keptUntil;
        /**
         * The store's revision at which the entry was removed while the store was available; 0 where it may have
         * expired.
         */
        Revision removedRevision = 0;
        /** The store's revision at which this value was learnt. */
        Revision changedRevision = 0;
    };
    struct Gone
    {
        Revision removedRevision = 0;
        Millis bornAt;
    };

    /** Starts the time in which missing entries may come back. */
    void beginGrace(Millis now);
    /**
     * Whether a removed entry needs no grace, because no outage long enough for entries to expire is in progress or has
     * just ended, and the store was not just restored from a copy.
     */
    bool removesAtOnce(Millis now) const;
    /**
     * Whether a removal at that revision came after the store's return, so that the entry cannot have expired before.
     */
    bool isAfterReturn(Revision at) const;
    bool isOutdated(Revision at) const;
    void write(const GatewayTarget &target, Revision at);
    /**
     * Whether the entry comes from a later era and shows the target as it was before it was removed or announced that
     * it leaves.
     */
    bool isRestoredCopy(const GatewayTarget &target, Revision at) const;
    /** Writes all targets. @return the entries that are not among them. */
    std::vector<std::map<TargetId, Entry>::iterator> writeAll(const std::vector<GatewayTarget> &targets, Revision at);
    void erase(std::map<TargetId, Entry>::iterator entry, Revision at);
    /**
     * Remembers at as the revision of the first answer after the store's return, which covers the outage; later answers
     * change nothing.
     */
    void noteFirstAnswerAfterReturn(Revision at);
    void removeOrKeep(std::map<TargetId, Entry>::iterator entry, Revision at, Millis now);
    void noteGone(const TargetId &name, Revision at, Millis bornAt);
    /** Sets the list complete up to at, without the changes in between. */
    void setCompleteUpTo(Revision at);

    /** By listed name. */
    std::map<TargetId, Entry> entries;
    /** Listed names of removed targets, with the revision of the removal and the last incarnation. */
    std::map<TargetId, Gone> gone;
    /** Removals before this revision are forgotten. */
    Revision goneCompleteSince = 0;
    /** The number of entries that are only kept because they may come back. */
    std::size_t missingEntryCount = 0;
    Revision completeRevision = 0;
    Revision lastChange = 0;
    Millis lastExpiry;
    Millis leaveBound{2000};
    std::optional<Millis> lostAt;
    std::optional<Millis> returnedAt;
    /** The revision up to which the first answer after the store's return was complete; 0 before that answer. */
    Revision revisionOnReturn = 0;
    /** When the store was first read. */
    std::optional<Millis> firstFullReadAt;
};

} // namespace Sequoiausher
