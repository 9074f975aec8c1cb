#include "sequoiausher/coordination/gateway/targetlist.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

GatewayTarget targetOf(const std::string &name, bool leaving = false)
{
    return {TargetId{name}, PoolId{"desk"}, "10.0.0.1:80", DataCentreId{"a"}, 6, leaving, Millis{0}};
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
