#include "sequoiausher/protocol/settings/configurationchanges.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

std::shared_ptr<const PoolDescription> pool(const std::string &name, const std::vector<TargetDescription> &targets)
{
    return std::make_shared<const PoolDescription>(PoolDescription{PoolId{name}, PoolKind::Service, "", targets});
}

TargetDescription row(const std::string &name, Incarnation incarnation)
{
    return {TargetId{name}, "10.0.0.1:80", DataCentreId{"a"}, LifeNews{incarnation, LifeState::Live}, std::nullopt};
}

} // namespace

TEST_CASE("only pools and rows that differ are changes")
{
    FleetConfiguration before;
    before.pools = {pool("a", {row("a1", 1), row("a2", 1)}), pool("b", {row("b1", 1)}), pool("c", {})};
    const PoolChanges first = poolChanges(nullptr, before);
    CHECK(first.changed == before.pools);
    CHECK(first.targets.size() == 3);
    CHECK(first.removed.empty());

    FleetConfiguration after;
    after.pools = {pool("a", {row("a3", 1), row("a2", 2), row("a1", 1)}), before.pools[1], pool("d", {row("d1", 1)})};
    const PoolChanges changes = poolChanges(&before, after);
    REQUIRE(changes.changed.size() == 2);
    CHECK(changes.changed[0] == after.pools[0]);
    CHECK(changes.changed[1] == after.pools[2]);
    CHECK(changes.targets == std::vector{row("a3", 1), row("a2", 2), row("d1", 1)});
    CHECK(changes.removed == std::vector{PoolId{"c"}});
    CHECK_FALSE(changes.empty());
    CHECK(poolChanges(&after, after).empty());
}

TEST_CASE("the list of routers has changed where there was none, and where another took its place")
{
    FleetConfiguration before;
    before.instances = std::make_shared<const std::vector<InstanceDescription>>();
    CHECK(instancesChanged(nullptr, before));
    CHECK_FALSE(instancesChanged(&before, before));
    FleetConfiguration after = before;
    after.instances = std::make_shared<const std::vector<InstanceDescription>>(1);
    CHECK(instancesChanged(&before, after));
}
