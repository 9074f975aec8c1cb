#pragma once

// The shards that this router owns by its own lists, made and dropped as the lists change.
//
//     owned.update(now, map);                    // after each change of the lists
//     owned.receive(now, from, message, outbox); // ReserveRequest, HoldingsReport, HoldingsDigest
//     gossip.sums = owned.sums(now);

#include "sequoiausher/coordination/admission/shardowner.h"

namespace Sequoiausher {

/** Every ShardOwner of one router. */
class OwnedShards
{
public:
    OwnedShards(InstanceId self, const OwnerSettings &settings, std::uint64_t seed);
    ~OwnedShards();
    OwnedShards(const OwnedShards &) = delete;
    OwnedShards &operator=(const OwnedShards &) = delete;

    /** Takes up what map now gives to this router, drops what it gives to others, and renews targets and entries. */
    void update(Millis now, const ShardMap &map);

    /** Takes over the sums that map heard on heartbeats; call after each heartbeat or about twice a second. */
    void refreshPoolLoads(const ShardMap &map);

    /** The router is known to have died; not for one that is leaving, which still holds its streams. */
    void dropInstance(const InstanceId &instance);

    /** The connection to the router broke: it may have died. */
    void suspectInstance(Millis now, const InstanceId &instance);

    /** What a target said of its load; ignored for targets of other owners. */
    void reportLoad(const TargetId &target, std::uint32_t load, Millis measuredAt);

    /** Answers NotOwner for a shard of another router, and names that router. */
    void receive(Millis now, const InstanceId &from, const ReserveRequest &message, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const Release &message);
    /** Says that digests are taken where the entry asks for it. */
    void receive(Millis now, const InstanceId &from, const HoldingsReport &message, Outbox &outbox);
    /** Asks for the report where it could change something, also for a shard of another router. */
    void receive(Millis now, const InstanceId &from, const HoldingsDigest &message, Outbox &outbox);

    /** Answers the reservations that wait for a place; call after each message and when time has passed. */
    void serveWaiting(Millis now, Outbox &outbox);
    /** Whether any reservation waits for a place. */
    bool hasWaiting() const;

    void tick(Millis now);
    /** When tick() has work next. */
    Millis nextDeadline() const;

    /** For heartbeats. */
    std::vector<ShardSum> sums(Millis now) const;

    /** The targets of all owned shards: those that this router, and no other, asks for their load. */
    std::vector<TargetView> targets() const;

    /** The owner of one shard, or null where this router is not it. */
    const ShardOwner *find(const ShardId &shard) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
