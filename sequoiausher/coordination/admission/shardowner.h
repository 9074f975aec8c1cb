#pragma once

// Counts what is in flight on the targets of one shard and chooses targets by these counts. Each shard has one owner
// among the routers; an entry is a router that reserves targets for the requests of its clients.
//
//     ShardOwner owner(shard, OwnerSettings{}, seed, now);
//     owner.setTargets(now, map.targetsOf(shard));
//     owner.setEntries(map.instances());
//     owner.receive(now, from, reserveRequest, outbox);   // outbox: ReserveReply
//
// With any policy, a settled owner grants a target only while the target's count stays within loadBound() of the shard.
// The counts are soft state: each entry reports what it holds, and the report replaces what was counted for the entry.
//
// The load that a target reports itself corrects its count. Reports lag, so a report is compared with the count at the
// time of its measurement. The difference is either work that the owner does not know of (a new owner before the
// entries have reported, streams of a dead entry, another owner in a partition) or work that the owner counts although
// it has ended (an entry whose death was not noticed yet). This difference is added to the count until the next report,
// for at most reportedLoadTtl. The load of a single target is the larger of count and corrected count, the mean is
// taken over the corrected counts.

#include "sequoiausher/coordination/admission/shardmap.h"
#include "sequoiausher/coordination/messages/peermessage.h"

namespace Sequoiausher {

struct OwnerSettings
{
    /** An entry that holds something and sends no message for this long counts as dead. Three report intervals. */
    Millis entryTimeout{15000};
    /** A new owner counts as settled after this long, even if some entries have not reported. */
    Millis settleTime{10000};
    /** Loads reported by targets are ignored once they are older than this. */
    Millis reportedLoadTtl{3000};
    /** A grant younger than this stays counted if a report lacks it: the report may have been sent before the grant. */
    Millis reportGrace{2000};
    /** How long a release is remembered, to ignore a reservation that arrives after its own release. */
    Millis releaseTtl{30000};
    /** Unknown chats count as new only once the owner is this old: a new owner has not seen the existing chats yet. */
    Millis chatWarmupTime{60000};
    /**
     * How long the reservations of an entry are left out of the mean after its connection broke. By then, the targets'
     * reports show whether its streams have ended.
     */
    Millis suspicionTime{2000};
    /** Sent with refusals: the time after which the entry may ask again. */
    Millis retryAfter{1000};
    /**
     * How long a reservation that finds no room waits for a place before it is refused; with 0, it is refused at once.
     * Must be well below the time after which entries repeat an unanswered request.
     */
    Millis maxWaitTime{0};
    /** At most this many reservations wait for a place. */
    std::size_t maxWaiting = 256;
    /** How long a Full answer is remembered and repeated; longer than an entry keeps asking for one reservation. */
    Millis refusalTtl{5000};
    /** Sent with the refusal of a reservation that waited for maxWaitTime: the entry may ask again at once. */
    Millis retryAfterWaiting{1};

    bool operator==(const OwnerSettings &) const = default;
};

/** The owner of one shard: counts its reservations and grants or refuses new ones. */
class ShardOwner
{
public:
    /**
     * How many of a target's places are kept for classes more important than this one. No places are kept from urgent
     * requests, a sixteenth from interactive ones and three sixteenths from background ones, rounded down. Otherwise a
     * freed place would go to the next request that arrives, and an urgent request would wait at one router while other
     * routers send background work. Source: trunk reservation, as in telephone networks (Akinpelu, 1984). The caller
     * passes Background for interactive requests of an organisation above its share, and Urgent for those of an
     * organisation below its share while another is above (organisationshares.h).
     */
    static std::uint32_t keptPlaces(RequestClass requestClass, std::uint32_t capacity);

    ShardOwner(const ShardId &shard, const OwnerSettings &settings, std::uint64_t seed, Millis now);
    ~ShardOwner();
    ShardOwner(const ShardOwner &) = delete;
    ShardOwner &operator=(const ShardOwner &) = delete;

    /** Sets the shard's targets. Leaving targets get no new requests but are counted until they are empty. */
    void setTargets(Millis now, const std::vector<TargetView> &targets);

    /**
     * Sets the live routers. The owner is unsettled until each router of the first call has reported or is missing from
     * a later call.
     */
    void setEntries(const std::vector<InstanceId> &entries);

    /**
     * Sets what is in flight in the whole pool, and the pool's number of targets, both by the last heartbeats. For a
     * pool of several shards: the load of the shard's targets is then also bounded by boundPercent of the pool's
     * mean, unless that leaves no target with room. 0 targets: no such bound.
     */
    void setPoolLoad(std::uint64_t total, std::uint64_t targets);

    /** Removes an entry that is known to have died: its reservations are no longer counted. */
    void dropEntry(const InstanceId &entry);

    /**
     * Call when the connection to the entry broke, since all streams of the entry may have ended. For suspicionTime, or
     * until the entry sends a message, its reservations count on their targets but not in the mean.
     */
    void suspectEntry(Millis now, const InstanceId &entry);

    /** Records the load that a target reported, measured at measuredAt by this process's clock. */
    void reportLoad(const TargetId &target, std::uint32_t load, Millis measuredAt);

    /**
     * Answers with a ReserveReply, with two exceptions: a reservation that was released before it arrived gets no
     * answer, and a reservation that waits for a place is answered later by serveWaiting().
     */
    void receive(Millis now, const InstanceId &from, const ReserveRequest &message, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const Release &message);
    void receive(Millis now, const InstanceId &from, const HoldingsReport &message);

    /**
     * Compares a digest with what is counted for the entry. If both are equal, the digest has all effects of a report.
     * @return whether the entry must be asked for the full report: true if they differ, false if they are equal or the
     *     digest is not newer than the last report or digest accepted.
     */
    bool receive(Millis now, const InstanceId &from, const HoldingsDigest &message);

    /**
     * Grants free places to waiting reservations in the order of waitinglist.h, and refuses those that waited for
     * maxWaitTime. Call after each message and when time has passed.
     */
    void serveWaiting(Millis now, Outbox &outbox);

    /** Drops silent entries and expired records. Call about once a second. */
    void tick(Millis now);

    /** Whether every entry has reported, or settleTime has passed since the start. */
    bool isSettled(Millis now) const;

    /** For heartbeats: the number of live targets and the sum of their corrected counts. */
    ShardSum sum(Millis now) const;

    /** Reservations counted on the target, not corrected by the target's reports. */
    std::uint32_t counted(const TargetId &target) const;

    /** How many reservations wait for a place. */
    std::size_t waiting() const;

    /** How many reservations are counted on all targets. */
    std::size_t holdings() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
