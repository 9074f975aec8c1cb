#pragma once

// Which part of a pool a target or a chat belongs to, and which router owns that part.
//
//     map.setInstances(live);
//     map.setPool(view);
//     const ShardRoute route = map.routeOf(pool, chatHash);   // {shard, owner}
//
// Everything is computed from the published lists alone, without history, so routers with the same lists agree. A pool
// of n listed targets has ceil(n / targetsPerShard) shards. A target's shard comes from its name by jump consistent
// hash, so that one shard more moves only one target in so many; that is what a stateful hysteresis would buy, but
// routers that started at different times would remember different histories and disagree for good. A chat's shard
// is that of its first target in rendezvous order: shards get chats in proportion to their targets, and how a pool is
// cut does not change where a chat goes.

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
    /** How many targets one owner counts, about. docs/design/balance.md has the arithmetic. */
    std::uint32_t targetsPerShard = 16;
    /** A shard whose mean is above this share of the pool's mean, in percent, sends its chats to their second shard. */
    std::uint32_t overflowPercent = 110;

    bool operator==(const ShardSettings &) const = default;
};

/** Where to ask for a reservation. */
struct ShardRoute
{
    ShardId shard;
    /** Empty where no router is live. */
    InstanceId owner;

    bool operator==(const ShardRoute &) const = default;
};

/** The shards by the lists that this router knows. */
class ShardMap
{
public:
    explicit ShardMap(const ShardSettings &settings);
    ~ShardMap();
    ShardMap(const ShardMap &) = delete;
    ShardMap &operator=(const ShardMap &) = delete;

    /** The live routers, in any order. */
    void setInstances(const std::vector<InstanceId> &live);
    const std::vector<InstanceId> &instances() const;

    /** A pool's view, new or changed. */
    void setPool(const std::shared_ptr<const PoolView> &view);
    void removePool(const PoolId &pool);

    /** What an owner said on a heartbeat. */
    void recordSum(const ShardSum &sum);
    /** The last sum heard of the shard, or none. */
    std::optional<ShardSum> sum(const ShardId &shard) const;

    /** 0 where the pool is not known. */
    std::uint32_t shardCount(const PoolId &pool) const;
    std::uint32_t shardOfTarget(const PoolId &pool, const TargetId &target) const;

    /** Every shard of every known pool. */
    std::vector<ShardId> shards() const;

    /** The targets of one shard, leaving ones too. */
    std::vector<TargetView> targetsOf(const ShardId &shard) const;

    /** The router that owns the shard by this list; empty where none is live. */
    InstanceId ownerOf(const ShardId &shard) const;

    /**
     * Where the chat asks: its first shard, or its second while the first is overfull by the sums heard.
     * @return none where the pool has no live target.
     */
    std::optional<ShardRoute> routeOf(const PoolId &pool, std::uint64_t chatHash) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
