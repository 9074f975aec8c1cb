#include "sequoiausher/coordination/gateway/targetlist.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

GatewayTarget targetOf(const std::string &name, bool leaving = false)
{
    return {TargetId{name}, PoolId{"desk"}, "10.0.0.1:80", DataCentreId{"a"}, 6, leaving};
}

} // namespace

// Symptom: a target that had left got requests for two seconds more than it may.
// Events: a single call to the store fails; just then a target's entry is removed for good.
// Cause: each failed call counted as an absence in which entries lapse.
TEST_CASE("a call that fails once delays no removal")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    list.storeLost(Millis{1000});
    list.storeReturned(Millis{1200});
    list.removed(TargetId{"a"}, 6, Millis{1250});
    CHECK(list.targets() == std::vector{targetOf("b")});
}

TEST_CASE("a peer's list replaces one that cannot be kept up to date")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    list.storeLost(Millis{1000});
    list.adopt({targetOf("b"), targetOf("c")}, 9);
    CHECK(list.targets() == std::vector{targetOf("b"), targetOf("c")});
    CHECK(list.revision() == 9);
}

TEST_CASE("an entry that is removed while the store is well is gone at once")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    list.removed(TargetId{"a"}, 6, Millis{10});
    CHECK(list.targets() == std::vector{targetOf("b")});
    CHECK(list.revision() == 6);
}

// Symptom: after an outage of the store all requests went to one target, the others idle.
// Events: the store is away for eight seconds, so entries lapse; it returns, and lists one entry for a second.
// Cause: the list without the lapsed entries was believed.
TEST_CASE("entries that lapse while the store is away stay for about two seconds after its return")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b"), targetOf("c", true)}, 5, Millis{0});
    list.storeLost(Millis{1000});
    list.storeReturned(Millis{9000});
    list.replaceAll({targetOf("b")}, 9, Millis{9000});
    CHECK(list.targets() == std::vector{targetOf("a"), targetOf("b")});
    CHECK(list.hasMissing());
    CHECK_FALSE(list.tick(Millis{11000}));
    SUBCASE("and go on as before when they come back")
    {
        list.put(targetOf("a"), 10);
        CHECK_FALSE(list.tick(Millis{12000}));
        CHECK(list.targets() == std::vector{targetOf("a"), targetOf("b")});
    }
    SUBCASE("and are gone after it")
    {
        CHECK(list.tick(Millis{11300}));
        CHECK(list.targets() == std::vector{targetOf("b")});
        list.removed(TargetId{"b"}, 11, Millis{12000});
        CHECK(list.empty());
    }
}

TEST_CASE("a list that follows another by its changes is the same after each of them")
{
    TargetList first;
    TargetList second;
    first.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    CHECK_FALSE(first.changesSince(0));
    second.adopt(first.targets(), first.revision());
    const auto follow = [&] {
        const auto changes = first.changesSince(second.revision());
        REQUIRE(changes);
        CHECK(second.apply(*changes));
        CHECK(second.targets() == first.targets());
        CHECK(second.revision() == first.revision());
        return changes->written.size() + changes->gone.size();
    };
    first.put(targetOf("c"), 6);
    CHECK(follow() == 1);
    first.put(targetOf("a", true), 7);
    first.removed(TargetId{"b"}, 8, Millis{10});
    CHECK(follow() == 2);
    first.put(targetOf("d"), 12);
    first.removed(TargetId{"a"}, 12, Millis{20});
    // What went at the follower's own revision is told once more.
    CHECK(follow() == 3);
    // One that is removed and written again in the same answer of the store is there.
    first.removed(TargetId{"d"}, 13, Millis{30});
    first.put(targetOf("d"), 13);
    follow();
    CHECK(second.targets().size() == 2);
    CHECK(first.changesSince(13)->gone.empty());
    // Old and far changes are left alone.
    CHECK_FALSE(second.apply({20, 21, {}, {}}));
    CHECK_FALSE(second.apply({3, 12, {}, {TargetId{"c"}}}));
    CHECK(second.targets().size() == 2);
}

// Symptom: gateways that rest while a hub reads the store went on sending to a dead target after an outage of the
// store. Events: its entry lapses during the outage and is let go two seconds after the return, with no change in the
// store. Cause: peers were told of changes by the store's revision alone, which had not moved.
TEST_CASE("what does not come back after an outage is gone for peers too")
{
    TargetList first;
    TargetList second;
    first.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    first.storeLost(Millis{1000});
    first.storeReturned(Millis{5000});
    first.removed(TargetId{"b"}, 6, Millis{5010});
    second.adopt(first.targets(), first.revision());
    CHECK(second.targets().size() == 2);
    CHECK(first.tick(Millis{5000} + lapsedEntryGrace));
    CHECK(first.letGoAt() == Millis{5000} + lapsedEntryGrace);
    CHECK(second.apply(*first.changesSince(second.revision())));
    CHECK(second.targets() == std::vector{targetOf("a")});
}

// Symptom: a gateway sent requests to a target three seconds after it had gone, while all others had dropped it.
// Events: the target goes; a hub that started after that, or missed a stretch of the store's history, tells a gateway
// whose list is older what changed since. Cause: the hub had never seen the target, so it did not name it as gone.
TEST_CASE("who did not see all of a stretch tells the whole list, not the changes in it")
{
    TargetList behind;
    behind.replaceAll({targetOf("a"), targetOf("gone")}, 8, Millis{0});
    SUBCASE("since it started after it")
    {
        TargetList fresh;
        fresh.replaceAll({targetOf("a"), targetOf("new")}, 10, Millis{0});
        CHECK_FALSE(fresh.changesSince(8));
        CHECK(fresh.changesSince(10));
    }
    SUBCASE("since it read the list again")
    {
        TargetList jumped;
        jumped.replaceAll({targetOf("a")}, 5, Millis{0});
        jumped.replaceAll({targetOf("a"), targetOf("new")}, 10, Millis{0});
        CHECK_FALSE(jumped.changesSince(8));
        jumped.adopt({targetOf("a")}, 14);
        CHECK_FALSE(jumped.changesSince(12));
        CHECK(jumped.changesSince(14));
    }
    SUBCASE("but passes on what it was told of targets that it never had")
    {
        TargetList third;
        third.replaceAll({targetOf("a")}, 5, Millis{0});
        CHECK(third.apply({5, 10, {}, {TargetId{"gone"}}}));
        REQUIRE(third.changesSince(8));
        CHECK(behind.apply(*third.changesSince(8)));
        CHECK(behind.targets() == std::vector{targetOf("a")});
    }
}

// Symptom: gateways that rest sent requests to a target for seconds after it had gone. Events: a hub comes back from a
// cut; within its grace the target's entry is removed for good, and the hub keeps it, since it may only have lapsed. It
// tells what changed up to the present revision. Cause: the listener was then as new as everybody, and was told no
// more.
TEST_CASE("who keeps an entry that may be gone tells nothing, but a list of old to those who have none")
{
    TargetList hub;
    hub.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    CHECK(hub.revisionToTell() == 5);
    hub.storeLost(Millis{1000});
    hub.storeReturned(Millis{5000});
    hub.removed(TargetId{"b"}, 6, Millis{5010});
    hub.put(targetOf("c"), 7);
    CHECK(hub.hasMissing());
    CHECK_FALSE(hub.changesSince(5));
    CHECK(hub.revisionToTell() == 1);
    SUBCASE("until it is let go")
    {
        CHECK(hub.tick(Millis{5000} + lapsedEntryGrace));
        REQUIRE(hub.changesSince(5));
        CHECK(hub.changesSince(5)->gone == std::vector{TargetId{"b"}});
    }
    SUBCASE("until it is back")
    {
        hub.put(targetOf("b"), 8);
        CHECK_FALSE(hub.hasMissing());
        CHECK(hub.changesSince(7));
    }
    CHECK(hub.revisionToTell() >= 7);
}
