#include "sequoiausher/state/targets/targettable.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const PoolId pool{"plates"};
const TargetId first{"p1"};

PoolDescription described(LifeNews life)
{
    return {pool, PoolKind::Engine, "plate-7b", {{first, "127.0.0.1:1", DataCentreId{"a"}, life, 8}}};
}

} // namespace

TEST_CASE("a view is immutable and shows what was published")
{
    TargetTable table;
    CHECK(table.pool(pool) == nullptr);
    CHECK(table.applyPool(Millis{0}, described({1, LifeState::Live})));
    CHECK_FALSE(table.applyPool(Millis{1}, described({1, LifeState::Live})));
    const auto before = table.pool(pool);
    CHECK(table.applyNews(Millis{2}, first, {1, LifeState::Leaving}));
    CHECK(before->targets.front().description.life.state == LifeState::Live);
    CHECK(table.pool(pool)->targets.front().description.life.state == LifeState::Leaving);
    table.removePool(pool);
    CHECK(table.pools().empty());
}

TEST_CASE("old news of a target never wins")
{
    // Guards against new work at a target that is leaving. The published document still lists it as live and arrives
    // after the target's own announcement, so the later state must be kept, not the later message.
    struct Case
    {
        LifeNews published;
        LifeNews heard;
        std::optional<LifeState> shown;
    };
    const Case cases[] = {
        {{1, LifeState::Live}, {1, LifeState::Leaving}, LifeState::Leaving},
        {{1, LifeState::Leaving}, {1, LifeState::Live}, LifeState::Leaving},
        {{1, LifeState::Live}, {1, LifeState::Gone}, std::nullopt},
        {{2, LifeState::Live}, {1, LifeState::Gone}, LifeState::Live},
        {{1, LifeState::Gone}, {2, LifeState::Live}, LifeState::Live},
    };
    for (const Case &each : cases) {
        for (const bool newsFirst : {false, true}) {
            TargetTable table;
            if (newsFirst) {
                table.applyNews(Millis{0}, first, each.heard);
            }
            table.applyPool(Millis{1}, described(each.published));
            table.applyNews(Millis{2}, first, each.heard);
            table.applyPool(Millis{3}, described(each.published));
            const auto view = table.pool(pool);
            REQUIRE(view->targets.size() == (each.shown ? 1 : 0));
            CHECK((!each.shown || view->targets.front().description.life.state == *each.shown));
        }
    }
}

TEST_CASE("a new life that one pool's document tells shows in every pool that lists the target")
{
    TargetTable table;
    const PoolId other{"drafts"};
    const auto inOther = [&other](LifeNews life) {
        PoolDescription description = described(life);
        description.pool = other;
        return description;
    };
    const auto shown
        = [&table](const PoolId &name) { return table.pool(name)->targets.front().description.life.state; };
    table.applyPool(Millis{0}, described({1, LifeState::Live}));
    table.applyPool(Millis{0}, inOther({1, LifeState::Leaving}));
    CHECK(shown(pool) == LifeState::Leaving);
    const auto before = table.pool(pool);
    table.applyPool(Millis{1}, inOther({1, LifeState::Leaving}));
    CHECK(table.pool(pool) == before);
    table.applyPool(Millis{2}, inOther({2, LifeState::Live}));
    CHECK(shown(pool) == LifeState::Live);
    // Listed once more and twice more: the number of entries follows the documents.
    table.removePool(other);
    table.applyPool(Millis{3}, described({2, LifeState::Leaving}));
    table.applyPool(Millis{4}, inOther({3, LifeState::Live}));
    CHECK(shown(pool) == LifeState::Live);
}

TEST_CASE("loads of an earlier life or an earlier moment are dropped")
{
    TargetTable table;
    CHECK_FALSE(table.applyLoad(first, {1, 3, Millis{0}}));
    table.applyPool(Millis{0}, described({1, LifeState::Live}));
    CHECK(table.applyLoad(first, {1, 3, Millis{10}}));
    CHECK_FALSE(table.applyLoad(first, {1, 9, Millis{5}}));
    CHECK(table.load(first)->load == 3);
    table.applyNews(Millis{20}, first, {2, LifeState::Live});
    CHECK_FALSE(table.load(first).has_value());
    CHECK_FALSE(table.applyLoad(first, {1, 9, Millis{30}}));
}

TEST_CASE("news of targets that no document ever lists is forgotten in time")
{
    TargetTable table;
    table.applyPool(Millis{0}, described({1, LifeState::Live}));
    for (int i = 0; i < 1100; ++i) {
        table.applyNews(Millis{0}, TargetId{"ghost" + std::to_string(i)}, {1, LifeState::Live});
    }
    for (int i = 0; i < 1100; ++i) {
        table.applyNews(Millis{700000}, TargetId{"later" + std::to_string(i)}, {1, LifeState::Live});
    }
    CHECK_FALSE(table.life(TargetId{"ghost0"}).has_value());
    CHECK(table.life(first).has_value());
}
