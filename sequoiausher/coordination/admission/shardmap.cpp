#include "sequoiausher/coordination/admission/shardmap.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <map>

namespace Sequoiausher {

namespace {

/** Source: Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm", 2014. */
std::uint32_t jumpHash(std::uint64_t key, std::uint32_t buckets)
{
    constexpr std::uint64_t multiplier = 2862933555777941757ULL;
    constexpr double range = 2147483648.0;
    std::int64_t bucket = -1;
    std::int64_t next = 0;
    while (next < static_cast<std::int64_t>(buckets)) {
        bucket = next;
        key = key * multiplier + 1;
        const double drawn = static_cast<double>((key >> 33) + 1);
        next = static_cast<std::int64_t>(static_cast<double>(bucket + 1) * (range / drawn));
    }
    return static_cast<std::uint32_t>(bucket);
}

struct ShardedPool
{
    std::shared_ptr<const PoolView> view;
    std::uint32_t shards = 0;
    /** The shard of each target of the view. */
    std::vector<std::uint32_t> shardOf;
};

} // namespace

class ShardMap::Private
{
public:
    bool isOverloaded(const ShardId &shard) const;

    ShardSettings settings;
    std::vector<InstanceId> instances;
    std::vector<std::uint64_t> instanceHashes;
    std::map<PoolId, ShardedPool> pools;
    std::map<ShardId, ShardSum> sums;
};

bool ShardMap::Private::isOverloaded(const ShardId &shard) const
{
    const auto own = this->sums.find(shard);
    if (own == this->sums.end() || own->second.targets == 0) {
        return false;
    }
    std::uint64_t total = 0;
    std::uint64_t targets = 0;
    for (auto sum = this->sums.lower_bound(ShardId{shard.pool, 0});
         sum != this->sums.end() && sum->first.pool == shard.pool;
         ++sum) {
        total += sum->second.inFlight;
        targets += sum->second.targets;
    }
    // Allows one request per target more than the percentage: otherwise the first request of an idle pool would
    // overload its shard.
    return std::uint64_t{own->second.inFlight} * targets * 100
        > (total * this->settings.overflowPercent + targets * 100) * own->second.targets;
}

ShardMap::ShardMap(const ShardSettings &settings) : d(std::make_unique<Private>())
{
    this->d->settings = settings;
    this->d->settings.targetsPerShard = std::max(settings.targetsPerShard, std::uint32_t{1});
}

ShardMap::~ShardMap() = default;

void ShardMap::setInstances(const std::vector<InstanceId> &live)
{
    this->d->instances = live;
    std::sort(this->d->instances.begin(), this->d->instances.end());
    this->d->instanceHashes.clear();
    for (const InstanceId &instance : this->d->instances) {
        this->d->instanceHashes.push_back(hash64(instance.value));
    }
}

const std::vector<InstanceId> &ShardMap::instances() const
{
    return this->d->instances;
}

void ShardMap::setPool(const std::shared_ptr<const PoolView> &view)
{
    ShardedPool sharded{view, 0, {}};
    const auto listed = static_cast<std::uint32_t>(view->targets.size());
    sharded.shards = std::max((listed + this->d->settings.targetsPerShard - 1) / this->d->settings.targetsPerShard,
                              std::uint32_t{1});
    for (const TargetView &target : view->targets) {
        sharded.shardOf.push_back(jumpHash(target.hash, sharded.shards));
    }
    this->d->sums.erase(this->d->sums.lower_bound(ShardId{view->pool, sharded.shards}),
                        this->d->sums.upper_bound(ShardId{view->pool, UINT32_MAX}));
    this->d->pools[view->pool] = std::move(sharded);
}

void ShardMap::removePool(const PoolId &pool)
{
    this->d->pools.erase(pool);
    this->d->sums.erase(this->d->sums.lower_bound(ShardId{pool, 0}),
                        this->d->sums.upper_bound(ShardId{pool, UINT32_MAX}));
}

void ShardMap::recordSum(const ShardSum &sum)
{
    if (sum.shard < this->shardCount(sum.pool)) {
        this->d->sums[ShardId{sum.pool, sum.shard}] = sum;
    }
}

std::optional<ShardSum> ShardMap::sum(const ShardId &shard) const
{
    const auto entry = this->d->sums.find(shard);
    return entry == this->d->sums.end() ? std::nullopt : std::optional(entry->second);
}

std::uint32_t ShardMap::shardCount(const PoolId &pool) const
{
    const auto sharded = this->d->pools.find(pool);
    return sharded == this->d->pools.end() ? 0 : sharded->second.shards;
}

std::uint32_t ShardMap::shardOfTarget(const PoolId &pool, const TargetId &target) const
{
    return jumpHash(hash64(target.value), std::max(this->shardCount(pool), std::uint32_t{1}));
}

std::vector<ShardId> ShardMap::shards() const
{
    std::vector<ShardId> all;
    for (const auto &entry : this->d->pools) {
        for (std::uint32_t shard = 0; shard < entry.second.shards; ++shard) {
            all.push_back(ShardId{entry.first, shard});
        }
    }
    return all;
}

std::vector<TargetView> ShardMap::targetsOf(const ShardId &shard) const
{
    std::vector<TargetView> targets;
    const auto sharded = this->d->pools.find(shard.pool);
    if (sharded == this->d->pools.end()) {
        return targets;
    }
    for (std::size_t i = 0; i < sharded->second.shardOf.size(); ++i) {
        if (sharded->second.shardOf[i] == shard.shard) {
            targets.push_back(sharded->second.view->targets[i]);
        }
    }
    return targets;
}

InstanceId ShardMap::ownerOf(const ShardId &shard) const
{
    const std::uint64_t key = hash64(shard.pool.value, shard.shard);
    const std::vector<std::size_t> order = rendezvousOrder(this->d->instanceHashes, key, 1);
    return order.empty() ? InstanceId{} : this->d->instances[order.front()];
}

std::optional<ShardRoute> ShardMap::routeOf(const PoolId &pool, std::uint64_t chatHash) const
{
    const auto found = this->d->pools.find(pool);
    if (found == this->d->pools.end()) {
        return std::nullopt;
    }
    const ShardedPool &sharded = found->second;
    // The highest weight of any live target of each shard. The shard with the highest weight is the chat's first shard,
    // the next one its second.
    std::vector<std::optional<std::uint64_t>> weights(sharded.shards);
    for (std::size_t i = 0; i < sharded.shardOf.size(); ++i) {
        if (sharded.view->targets[i].description.life.state == LifeState::Live) {
            const std::uint64_t weight = rendezvousWeight(sharded.view->targets[i].hash, chatHash);
            std::optional<std::uint64_t> &known = weights[sharded.shardOf[i]];
            known = std::max(known.value_or(0), weight);
        }
    }
    const auto first = std::max_element(weights.begin(), weights.end());
    if (first == weights.end() || !first->has_value()) {
        return std::nullopt;
    }
    ShardId shard{pool, static_cast<std::uint32_t>(first - weights.begin())};
    if (this->d->isOverloaded(shard)) {
        first->reset();
        const auto second = std::max_element(weights.begin(), weights.end());
        const ShardId other{pool, static_cast<std::uint32_t>(second - weights.begin())};
        if (second->has_value() && !this->d->isOverloaded(other)) {
            shard = other;
        }
    }
    return ShardRoute{shard, this->ownerOf(shard)};
}

} // namespace Sequoiausher
