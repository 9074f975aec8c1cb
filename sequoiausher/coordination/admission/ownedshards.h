#pragma once

// The shards that this router owns by its own lists. Their ShardOwner objects are created and destroyed as the lists
// change.
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

    /** Starts to own the shards that map assigns to this router, drops all others, and updates targets and entries. */
    void update(Millis now, const ShardMap &map);

    /**
     * Passes the pools' loads, summed from the heartbeats in map, to the owners. Call after each heartbeat or about
     * twice a second.
     */
    void refreshPoolLoads(const ShardMap &map);

    /** Removes a router that is known to have died. Not for a leaving router, which still holds its streams. */
    void dropInstance(const InstanceId &instance);

    /** Call when the connection to the router broke, since the router may have died. */
    void suspectInstance(Millis now, const InstanceId &instance);

    /** Records the load that a target reported; ignored for targets of other owners. */
    void reportLoad(const TargetId &target, std::uint32_t load, Millis measuredAt);

    /** For a shard of another router, answers NotOwner with the name of that router. */
    void receive(Millis now, const InstanceId &from, const ReserveRequest &message, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const Release &message);
    /** If the entry wants an answer, answers that this router accepts digests. */
    void receive(Millis now, const InstanceId &from, const HoldingsReport &message, Outbox &outbox);
    /** Asks for the full report if the digest differs from the counts, or if the shard is another router's. */
    void receive(Millis now, const InstanceId &from, const HoldingsDigest &message, Outbox &outbox);

    /** Grants or refuses waiting reservations where possible. Call after each message and when time has passed. */
    void serveWaiting(Millis now, Outbox &outbox);
    /** Whether any reservation waits for a place. */
    bool hasWaiting() const;

    void tick(Millis now);
    /** When tick() has work next. */
    Millis nextDeadline() const;

    /** For heartbeats. */
    std::vector<ShardSum> sums(Millis now) const;

    /**
     * The targets of all owned shards. Only their owner queries their load, unless the owner cannot be reached or
     * answers late (Reserver::targetsNeedingLoad()).
     */
    std::vector<TargetView> targets() const;

    /** The owner of the shard, or null if this router does not own the shard. */
    const ShardOwner *find(const ShardId &shard) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
