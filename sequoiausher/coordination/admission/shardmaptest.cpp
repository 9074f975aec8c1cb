#include "sequoiausher/coordination/admission/shardmap.h"

#include "sequoiausher/base/hashing.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const PoolId pool{"plates"};

std::shared_ptr<const PoolView> viewOf(int targets)
{
    auto view = std::make_shared<PoolView>();
    view->pool = pool;
    for (int i = 0; i < targets; ++i) {
        const TargetId target{"t" + std::to_string(i)};
        view->targets.push_back({{target, "", DataCentreId{}, {1, LifeState::Live}, {}}, hash64(target.value)});
    }
    return view;
}

} // namespace

TEST_CASE("a pool of 12 targets is one shard, and every router names the same owner")
{
    ShardMap one{ShardSettings{}};
    ShardMap other{ShardSettings{}};
    one.setInstances({InstanceId{"r1"}, InstanceId{"r2"}, InstanceId{"r3"}});
    other.setInstances({InstanceId{"r3"}, InstanceId{"r2"}, InstanceId{"r1"}});
    CHECK_FALSE(one.routeOf(pool, 1).has_value());
    one.setPool(viewOf(12));
    other.setPool(viewOf(12));
    CHECK(one.shardCount(pool) == 1);
    CHECK(one.routeOf(pool, 1) == other.routeOf(pool, 2));
    CHECK(one.targetsOf({pool, 0}).size() == 12);
    one.removePool(pool);
    CHECK(one.shards().empty());
}

TEST_CASE("adding a shard moves few targets, and shards get chats in proportion to their targets")
{
    ShardMap before{ShardSettings{}};
    ShardMap after{ShardSettings{}};
    before.setPool(viewOf(1008));
    after.setPool(viewOf(1009));
    REQUIRE(before.shardCount(pool) == 63);
    REQUIRE(after.shardCount(pool) == 64);
    int moved = 0;
    const std::shared_ptr<const PoolView> listed = viewOf(1008);
    for (const TargetView &target : listed->targets) {
        const TargetId &name = target.description.target;
        moved += before.shardOfTarget(pool, name) != after.shardOfTarget(pool, name) ? 1 : 0;
    }
    CHECK(moved < 40);
    std::vector<int> chats(after.shardCount(pool));
    for (std::uint64_t chat = 0; chat < 20000; ++chat) {
        chats[after.routeOf(pool, hash64(std::to_string(chat)))->shard.shard] += 1;
    }
    for (const ShardId &shard : after.shards()) {
        const double fair = 20000.0 * static_cast<double>(after.targetsOf(shard).size()) / 1009;
        CHECK(chats[shard.shard] > fair * 0.7);
        CHECK(chats[shard.shard] < fair * 1.3);
    }
}

TEST_CASE("chats of an overloaded shard go to their second shard until the sum of the first falls")
{
    ShardMap map{ShardSettings{}};
    map.setPool(viewOf(64));
    const std::uint32_t first = map.routeOf(pool, 5)->shard.shard;
    for (const ShardId &shard : map.shards()) {
        map.recordSum(ShardSum{pool, shard.shard, 160, 16});
    }
    CHECK(map.routeOf(pool, 5)->shard.shard == first);
    map.recordSum(ShardSum{pool, first, 260, 16});
    const std::uint32_t second = map.routeOf(pool, 5)->shard.shard;
    CHECK(second != first);
    map.recordSum(ShardSum{pool, first, 165, 16});
    CHECK(map.routeOf(pool, 5)->shard.shard == first);
    map.recordSum(ShardSum{pool, 99, 1, 1});
    CHECK_FALSE(map.sum({pool, 99}).has_value());
}
