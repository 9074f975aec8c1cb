#pragma once

// Divides pools into shards: which shard a target or a chat belongs to, and which router owns the shard.
//
//     map.setInstances(live);
//     map.setPool(view);
//     const ShardRoute route = map.routeOf(pool, chatHash);   // {shard, owner}
//
// Everything is computed from the published lists alone, without history, so routers with the same lists agree. A pool
// of n listed targets has ceil(n / targetsPerShard) shards. A target's shard is a jump consistent hash of the target's
// name, so that growing to n shards moves only one target in n. A stateful hysteresis would also move few targets, but
// routers that started at different times would have different histories and disagree for good. A chat's shard is that
// of the chat's first target in rendezvous order: shards get chats in proportion to their targets, and the division of
// a pool into shards does not change the target of a chat.

#include "sequoiausher/coordination/messages/membershipmessages.h"
#include "sequoiausher/state/targets/targettable.h"

#include <compare>

namespace Sequoiausher {

/** A part of a pool. */
struct ShardId
{
    PoolId pool;
    std::uint32_t shard = 0;

    auto operator<=>(const ShardId &) const = default;
};

struct ShardSettings
{
    /** Approximate number of targets of one shard. docs/design/balance.md has the arithmetic. */
    std::uint32_t targetsPerShard = 16;
    /**
     * A shard is overloaded if its mean load is above this percentage of the pool's mean load plus one request. Its
     * chats then go to their second shard, unless that is overloaded too.
     */
    std::uint32_t overflowPercent = 110;

    bool operator==(const ShardSettings &) const = default;
};

/** Where to ask for a reservation. */
struct ShardRoute
{
    ShardId shard;
    /** Empty if no router is live. */
    InstanceId owner;

    bool operator==(const ShardRoute &) const = default;
};

/** The shards by this router's lists. */
class ShardMap
{
public:
    explicit ShardMap(const ShardSettings &settings);
    ~ShardMap();
    ShardMap(const ShardMap &) = delete;
    ShardMap &operator=(const ShardMap &) = delete;

    /** Sets the live routers, in any order. */
    void setInstances(const std::vector<InstanceId> &live);
    const std::vector<InstanceId> &instances() const;

    /** Adds a pool or replaces its view. */
    void setPool(const std::shared_ptr<const PoolView> &view);
    void removePool(const PoolId &pool);

    /** Records a shard's sum from a heartbeat of its owner. */
    void recordSum(const ShardSum &sum);
    /** The last sum recorded for the shard, or none. */
    std::optional<ShardSum> sum(const ShardId &shard) const;

    /** The number of shards of the pool, 0 if the pool is not known. */
    std::uint32_t shardCount(const PoolId &pool) const;
    std::uint32_t shardOfTarget(const PoolId &pool, const TargetId &target) const;

    /** Every shard of every known pool. */
    std::vector<ShardId> shards() const;

    /** The targets of one shard, including leaving ones. */
    std::vector<TargetView> targetsOf(const ShardId &shard) const;

    /** The router that owns the shard by this router's list; empty if no router is live. */
    InstanceId ownerOf(const ShardId &shard) const;

    /**
     * Where to reserve a target for the chat: in its first shard, or in its second while the first is overloaded by the
     * recorded sums and the second is not.
     * @return none if the pool has no live target.
     */
    std::optional<ShardRoute> routeOf(const PoolId &pool, std::uint64_t chatHash) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
