#pragma once

// The one router that counts what is in flight on the targets of a shard, and chooses targets by these counts.
//
//     ShardOwner owner(shard, OwnerSettings{}, seed, now);
//     owner.setTargets(now, map.targetsOf(shard));
//     owner.setEntries(map.instances());
//     owner.receive(now, from, reserveRequest, outbox);   // outbox: ReserveReply
//
// Whatever the policy, a settled owner grants a target only while its count stays within loadBound() of the shard.
// Counts are soft state: each entry reports what it holds, and the report replaces what was counted for it.
//
// A target's own report corrects the counts. It lags, so it is compared with what was counted when it was measured:
// the difference is work that the owner does not know of (a new owner before the entries have spoken, streams of a dead
// entry, another owner in a partition) or counts too much (a dead entry not yet noticed), and is carried on until the
// next report. A target's bound goes by the larger of count and corrected count, the mean by the corrected ones.

#include "sequoiausher/coordination/admission/shardmap.h"
#include "sequoiausher/coordination/messages/peermessage.h"

namespace Sequoiausher {

struct OwnerSettings
{
    /** An entry that holds something and says nothing for this long is taken for dead. Three report intervals. */
    Millis entryTimeout{15000};
    /** A new owner trusts its counts after this long, though not every entry has reported. */
    Millis settleTime{10000};
    /** Reported loads older than this say nothing. */
    Millis reportedLoadTtl{3000};
    /** A grant younger than this survives a report without it: the report may have been sent before. */
    Millis reportGrace{2000};
    /** How long a release is remembered for a reservation that arrives after it. */
    Millis releaseTtl{30000};
    /** A chat not seen before is taken for new only after this long: a new owner knows no chats. */
    Millis chatWarmupTime{60000};
    /**
     * How long what an entry holds is out of the mean after its connection broke: the targets' reports tell by then
     * what became of its streams.
     */
    Millis suspicionTime{2000};
    /** What a full shard tells the entry. */
    Millis retryAfter{1000};
    /**
     * How long a reservation that finds no room waits for a place before it hears so; 0: it hears so at once. Well
     * below the time after which entries ask again.
     */
    Millis maxWaitTime{0};
    /** At most this many wait. */
    std::size_t maxWaiting = 256;
    /** How long an answer of full is remembered and repeated; longer than an entry asks for one reservation. */
    Millis refusalTtl{5000};
    /** What is told to one that waited so long: it may ask again at once. */
    Millis retryAfterWaiting{1};

    bool operator==(const OwnerSettings &) const = default;
};

/** The counter of one shard. */
class ShardOwner
{
public:
    /**
     * How many of a target's places are kept for classes more important than this one: none from urgent
     * ones, a sixteenth from interactive ones, three sixteenths from background ones, rounded down. Without them a
     * freed place goes to whoever asks first, and an urgent request waits at one router while others send background
     * work. Source: trunk reservation, as in telephone networks (Akinpelu, 1984). The interactive requests of an
     * organisation that holds far more than its share count as background here (organisationshares.h).
     */
    static std::uint32_t keptPlaces(RequestClass requestClass, std::uint32_t capacity);

    ShardOwner(const ShardId &shard, const OwnerSettings &settings, std::uint64_t seed, Millis now);
    ~ShardOwner();
    ShardOwner(const ShardOwner &) = delete;
    ShardOwner &operator=(const ShardOwner &) = delete;

    /** The shard's targets; those that are leaving get nothing new but are counted until they are empty. */
    void setTargets(Millis now, const std::vector<TargetView> &targets);

    /** The live routers. The owner is unsettled until each of those given first has reported or left the list. */
    void setEntries(const std::vector<InstanceId> &entries);

    /**
     * What is in flight in the whole pool by the last heartbeats, where the pool has several shards: the shard's
     * targets are then kept below the multiple of the pool's mean too, unless that leaves no target with room.
     */
    void setPoolLoad(std::uint64_t total, std::uint64_t targets);

    /** The entry is known to have died: what it held is no longer counted. */
    void dropEntry(const InstanceId &entry);

    /**
     * The connection to the entry broke, so its streams may end at once. For a while, or until it is heard again, what
     * it holds counts on its targets but not in the mean.
     */
    void suspectEntry(Millis now, const InstanceId &entry);

    /** What a target said of its load, measured at measuredAt by this process's clock. */
    void reportLoad(const TargetId &target, std::uint32_t load, Millis measuredAt);

    /**
     * Answers with a ReserveReply, but for a reservation that was released before it arrived, and one that waits for a
     * place: serveWaiting() answers that later.
     */
    void receive(Millis now, const InstanceId &from, const ReserveRequest &message, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const Release &message);
    void receive(Millis now, const InstanceId &from, const HoldingsReport &message);

    /**
     * Compares a digest with what is counted for the entry. @return whether a report is wanted, since it could change
     * something; where the two are the same, the digest has all effects of such a report.
     */
    bool receive(Millis now, const InstanceId &from, const HoldingsDigest &message);

    /**
     * Gives places that came free to those that wait, in the order of waitinglist.h, and answers those that waited for
     * too long. Call after each message and when time has passed.
     */
    void serveWaiting(Millis now, Outbox &outbox);

    /** Drops silent entries and old memories. Call about once a second. */
    void tick(Millis now);

    /** Whether the counts are complete as far as the owner can know. */
    bool isSettled(Millis now) const;

    /** For heartbeats: what counts on the live targets. */
    ShardSum sum(Millis now) const;

    /** Reservations counted on the target, whatever the target reports. */
    std::uint32_t counted(const TargetId &target) const;

    /** How many reservations wait for a place. */
    std::size_t waiting() const;

    /** All reservations counted. */
    std::size_t holdings() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
