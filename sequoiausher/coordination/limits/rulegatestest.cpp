#include "sequoiausher/coordination/limits/rulegates.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

QueueEntry entryOf(std::uint64_t id, RequestClass requestClass)
{
    QueueEntry entry;
    entry.request = RequestId{id, id};
    entry.organisation = OrganisationId{"large"};
    entry.requestClass = requestClass;
    return entry;
}

const RuleGate gate{OrganisationId{"large"}, "rules/fleet", "plates", 2, 1};

} // namespace

TEST_CASE("an organisation has at most then.in_flight at once, and the next goes on when one ends")
{
    RuleGates gates;
    std::vector<QueueAction> actions;
    const Millis now{1000};
    CHECK(gates.offer(now, gate, entryOf(1, RequestClass::Interactive), actions).verdict == QueueVerdict::Dispatch);
    CHECK(gates.offer(now, gate, entryOf(2, RequestClass::Interactive), actions).verdict == QueueVerdict::Dispatch);
    CHECK(gates.offer(now, gate, entryOf(3, RequestClass::Interactive), actions).verdict == QueueVerdict::Queue);
    // Another organisation's gate is its own.
    RuleGate other = gate;
    other.organisation = OrganisationId{"small"};
    CHECK(gates.offer(now, other, entryOf(4, RequestClass::Interactive), actions).verdict == QueueVerdict::Dispatch);
    gates.leave(now, gate, RequestId{1, 1}, actions);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].entry.request == RequestId{3, 3});
    CHECK(actions[0].decision.verdict == QueueVerdict::Dispatch);
}

TEST_CASE("above then.queue_length the least important one is refused at once, with a time to come back")
{
    RuleGates gates;
    std::vector<QueueAction> actions;
    const Millis now{1000};
    gates.offer(now, gate, entryOf(1, RequestClass::Urgent), actions);
    gates.offer(now, gate, entryOf(2, RequestClass::Urgent), actions);
    CHECK(gates.offer(now, gate, entryOf(3, RequestClass::Background), actions).verdict == QueueVerdict::Queue);
    CHECK(gates.offer(now, gate, entryOf(4, RequestClass::Urgent), actions).verdict == QueueVerdict::Queue);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].entry.request == RequestId{3, 3});
    CHECK(actions[0].decision.verdict == QueueVerdict::Refuse);
    CHECK(actions[0].decision.retryAfter > Millis{0});
}

TEST_CASE("an empty gate takes no memory")
{
    RuleGates gates;
    std::vector<QueueAction> actions;
    gates.offer(Millis{1}, gate, entryOf(1, RequestClass::Urgent), actions);
    gates.tick(Millis{2}, actions);
    CHECK(gates.count() == 1);
    gates.leave(Millis{3}, gate, RequestId{1, 1}, actions);
    gates.tick(Millis{4}, actions);
    CHECK(gates.count() == 0);
}
