#include "sequoiausher/coordination/admission/ownedshards.h"

#include <map>

namespace Sequoiausher {

namespace {

constexpr Millis tickInterval{1000};

struct OwnedShard
{
    std::unique_ptr<ShardOwner> owner;
    std::vector<TargetView> targets;
};

} // namespace

class OwnedShards::Private
{
public:
    ShardOwner *find(const PoolId &pool, std::uint32_t shard);

    InstanceId self;
    OwnerSettings settings;
    std::uint64_t seed = 0;
    std::map<ShardId, OwnedShard> shards;
    Millis lastTick;
};

ShardOwner *OwnedShards::Private::find(const PoolId &pool, std::uint32_t shard)
{
    const auto entry = this->shards.find(ShardId{pool, shard});
    return entry == this->shards.end() ? nullptr : entry->second.owner.get();
}

OwnedShards::OwnedShards(InstanceId self, const OwnerSettings &settings, std::uint64_t seed)
    : d(std::make_unique<Private>())
{
    this->d->self = std::move(self);
    this->d->settings = settings;
    this->d->seed = seed;
}

OwnedShards::~OwnedShards() = default;

void OwnedShards::update(Millis now, const ShardMap &map)
{
    std::map<ShardId, OwnedShard> kept;
    for (const ShardId &shard : map.shards()) {
        if (map.ownerOf(shard) != this->d->self) {
            continue;
        }
        OwnedShard &owned = kept[shard];
        const auto known = this->d->shards.find(shard);
        if (known != this->d->shards.end()) {
            owned = std::move(known->second);
        } else {
            owned.owner = std::make_unique<ShardOwner>(shard, this->d->settings, this->d->seed, now);
        }
        owned.targets = map.targetsOf(shard);
        owned.owner->setTargets(now, owned.targets);
        owned.owner->setEntries(map.instances());
    }
    this->d->shards = std::move(kept);
}

void OwnedShards::instanceGone(Millis now, const InstanceId &instance)
{
    for (const auto &entry : this->d->shards) {
        entry.second.owner->dropEntry(now, instance);
    }
}

void OwnedShards::reportLoad(Millis now, const TargetId &target, std::uint32_t load, Millis measuredAt)
{
    for (const auto &entry : this->d->shards) {
        entry.second.owner->reportLoad(now, target, load, measuredAt);
    }
}

void OwnedShards::receive(Millis now, const InstanceId &from, const ReserveRequest &message, Outbox &outbox)
{
    if (ShardOwner *owner = this->d->find(message.pool, message.shard)) {
        owner->receive(now, from, message, outbox);
        return;
    }
    outbox.push_back({from, ReserveReply{message.request, ReserveVerdict::NotOwner, TargetId{}, Millis{}}});
}

void OwnedShards::receive(Millis now, const InstanceId &from, const Release &message)
{
    if (ShardOwner *owner = this->d->find(message.pool, message.shard)) {
        owner->receive(now, from, message);
    }
}

void OwnedShards::receive(Millis now, const InstanceId &from, const HoldingsReport &message)
{
    if (ShardOwner *owner = this->d->find(message.pool, message.shard)) {
        owner->receive(now, from, message);
    }
}

void OwnedShards::tick(Millis now)
{
    this->d->lastTick = now;
    for (const auto &entry : this->d->shards) {
        entry.second.owner->tick(now);
    }
}

Millis OwnedShards::nextDeadline() const
{
    return this->d->shards.empty() ? Millis::never() : this->d->lastTick + tickInterval;
}

std::vector<ShardSum> OwnedShards::sums(Millis now) const
{
    std::vector<ShardSum> all;
    for (const auto &entry : this->d->shards) {
        all.push_back(entry.second.owner->sum(now));
    }
    return all;
}

std::vector<TargetView> OwnedShards::targets() const
{
    std::vector<TargetView> all;
    for (const auto &entry : this->d->shards) {
        all.insert(all.end(), entry.second.targets.begin(), entry.second.targets.end());
    }
    return all;
}

const ShardOwner *OwnedShards::find(const ShardId &shard) const
{
    return this->d->find(shard.pool, shard.shard);
}

} // namespace Sequoiausher
