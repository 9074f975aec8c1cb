#include "sequoiausher/coordination/admission/ownedshards.h"

#include <algorithm>
#include <deque>
#include <map>
#include <variant>

namespace Sequoiausher {

namespace {

constexpr Millis tickInterval{1000};
// The routers' lists may disagree for seconds: other routers may send messages for a shard this long before this router
// notices that it owns the shard.
constexpr Millis earlyMessageTtl{5000};
// Reached only in a flood of messages. Further messages are dropped, and the next reports correct the counts.
constexpr std::size_t maxEarlyMessages = 20000;

struct OwnedShard
{
    std::unique_ptr<ShardOwner> owner;
    std::vector<TargetView> targets;
};

/** A message for a shard that this router does not own yet. */
struct EarlyMessage
{
    Millis receivedAt;
    InstanceId from;
    std::variant<Release, HoldingsReport> message;
};

} // namespace

class OwnedShards::Private
{
public:
    template<typename Message>
    void receive(Millis now, const InstanceId &from, const Message &message);
    void replay(Millis now, const ShardId &shard, ShardOwner &owner) const;
    ShardOwner *find(const PoolId &pool, std::uint32_t shard);

    InstanceId self;
    OwnerSettings settings;
    std::uint64_t seed = 0;
    std::map<ShardId, OwnedShard> shards;
    /** The owners of the shards that this router does not own. */
    std::map<ShardId, InstanceId> otherOwners;
    std::deque<EarlyMessage> earlyMessages;
    Millis lastTick;
};

template<typename Message>
void OwnedShards::Private::receive(Millis now, const InstanceId &from, const Message &message)
{
    if (ShardOwner *owner = this->find(message.pool, message.shard)) {
        owner->receive(now, from, message);
        return;
    }
    // Entries that notice an owner's death before this router does send their reports to this router at once. If this
    // router dropped them, the ShardOwner that it creates later would stay unsettled until settleTime is over.
    if (this->earlyMessages.size() < maxEarlyMessages) {
        this->earlyMessages.push_back(EarlyMessage{now, from, message});
    }
}

void OwnedShards::Private::replay(Millis now, const ShardId &shard, ShardOwner &owner) const
{
    for (const EarlyMessage &kept : this->earlyMessages) {
        const auto apply = [&](const auto &message) {
            if (message.pool == shard.pool && message.shard == shard.shard) {
                owner.receive(now, kept.from, message);
            }
        };
        if (now < kept.receivedAt + earlyMessageTtl) {
            std::visit(apply, kept.message);
        }
    }
}

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
    this->d->otherOwners.clear();
    for (const ShardId &shard : map.shards()) {
        InstanceId ownerId = map.ownerOf(shard);
        if (ownerId != this->d->self) {
            this->d->otherOwners[shard] = std::move(ownerId);
            continue;
        }
        OwnedShard &owned = kept[shard];
        const auto known = this->d->shards.find(shard);
        const bool isNew = known == this->d->shards.end();
        if (!isNew) {
            owned = std::move(known->second);
        } else {
            owned.owner = std::make_unique<ShardOwner>(shard, this->d->settings, this->d->seed, now);
        }
        owned.targets = map.targetsOf(shard);
        owned.owner->setTargets(now, owned.targets);
        owned.owner->setEntries(map.instances());
        if (isNew) {
            this->d->replay(now, shard, *owned.owner);
        }
    }
    this->d->shards = std::move(kept);
}

void OwnedShards::refreshPoolLoads(const ShardMap &map)
{
    for (const auto &entry : this->d->shards) {
        const std::uint32_t shards = map.shardCount(entry.first.pool);
        if (shards < 2) {
            entry.second.owner->setPoolLoad(0, 0);
            continue;
        }
        std::uint64_t total = 0;
        std::uint64_t targets = 0;
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            const std::optional<ShardSum> sum = map.sum(ShardId{entry.first.pool, shard});
            total += sum ? sum->inFlight : 0;
            targets += sum ? sum->targets : 0;
        }
        entry.second.owner->setPoolLoad(total, targets);
    }
}

void OwnedShards::dropInstance(const InstanceId &instance)
{
    for (const auto &entry : this->d->shards) {
        entry.second.owner->dropEntry(instance);
    }
}

void OwnedShards::suspectInstance(Millis now, const InstanceId &instance)
{
    for (const auto &entry : this->d->shards) {
        entry.second.owner->suspectEntry(now, instance);
    }
}

void OwnedShards::reportLoad(const TargetId &target, std::uint32_t load, Millis measuredAt)
{
    for (const auto &entry : this->d->shards) {
        entry.second.owner->reportLoad(target, load, measuredAt);
    }
}

void OwnedShards::receive(Millis now, const InstanceId &from, const ReserveRequest &message, Outbox &outbox)
{
    if (ShardOwner *owner = this->d->find(message.pool, message.shard)) {
        owner->receive(now, from, message, outbox);
        return;
    }
    const auto other = this->d->otherOwners.find(ShardId{message.pool, message.shard});
    InstanceId ownerId = other == this->d->otherOwners.end() ? InstanceId{} : other->second;
    outbox.push_back(
        {from, ReserveReply{message.request, ReserveVerdict::NotOwner, TargetId{}, Millis{}, std::move(ownerId)}});
}

void OwnedShards::receive(Millis now, const InstanceId &from, const Release &message)
{
    this->d->receive(now, from, message);
}

void OwnedShards::receive(Millis now, const InstanceId &from, const HoldingsReport &message, Outbox &outbox)
{
    this->d->receive(now, from, message);
    if (message.wantsAnswer && this->d->find(message.pool, message.shard) != nullptr) {
        outbox.push_back({from, HoldingsAnswer{message.pool, message.shard, false}});
    }
}

void OwnedShards::receive(Millis now, const InstanceId &from, const HoldingsDigest &message, Outbox &outbox)
{
    // A shard without an owner here may be one that this router lost by its own list and may own again soon. The report
    // is then kept as an early message; the digest alone would not show what the entry holds.
    ShardOwner *owner = this->d->find(message.pool, message.shard);
    if (owner == nullptr || owner->receive(now, from, message)) {
        outbox.push_back({from, HoldingsAnswer{message.pool, message.shard, true}});
    }
}

void OwnedShards::serveWaiting(Millis now, Outbox &outbox)
{
    for (const auto &entry : this->d->shards) {
        entry.second.owner->serveWaiting(now, outbox);
    }
}

bool OwnedShards::hasWaiting() const
{
    return std::any_of(this->d->shards.begin(), this->d->shards.end(), [](const auto &entry) {
        return entry.second.owner->waiting() > 0;
    });
}

void OwnedShards::tick(Millis now)
{
    this->d->lastTick = now;
    for (const auto &entry : this->d->shards) {
        entry.second.owner->tick(now);
    }
    while (!this->d->earlyMessages.empty() && now >= this->d->earlyMessages.front().receivedAt + earlyMessageTtl) {
        this->d->earlyMessages.pop_front();
    }
}

Millis OwnedShards::nextDeadline() const
{
    return this->d->shards.empty() && this->d->earlyMessages.empty() ? Millis::never()
                                                                     : this->d->lastTick + tickInterval;
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
