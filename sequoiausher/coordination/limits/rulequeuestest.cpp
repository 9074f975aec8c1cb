#include "sequoiausher/coordination/limits/rulequeues.h"

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

const RuleQueueKey key{OrganisationId{"large"}, "rules/fleet", "plates", 2, 1};

} // namespace

TEST_CASE("an organisation has at most then.in_flight requests in flight, and the next is dispatched when one ends")
{
    RuleQueues queues;
    std::vector<QueueAction> actions;
    const Millis now{1000};
    CHECK(queues.offer(now, key, entryOf(1, RequestClass::Interactive), actions).verdict == QueueVerdict::Dispatch);
    CHECK(queues.offer(now, key, entryOf(2, RequestClass::Interactive), actions).verdict == QueueVerdict::Dispatch);
    CHECK(queues.offer(now, key, entryOf(3, RequestClass::Interactive), actions).verdict == QueueVerdict::Queue);
    // Another organisation has a queue of its own.
    RuleQueueKey other = key;
    other.organisation = OrganisationId{"small"};
    CHECK(queues.offer(now, other, entryOf(4, RequestClass::Interactive), actions).verdict == QueueVerdict::Dispatch);
    queues.leave(now, key, RequestId{1, 1}, actions);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].entry.request == RequestId{3, 3});
    CHECK(actions[0].decision.verdict == QueueVerdict::Dispatch);
}

TEST_CASE("above then.queue_length the least important request is refused immediately, with a retry delay")
{
    RuleQueues queues;
    std::vector<QueueAction> actions;
    const Millis now{1000};
    queues.offer(now, key, entryOf(1, RequestClass::Urgent), actions);
    queues.offer(now, key, entryOf(2, RequestClass::Urgent), actions);
    CHECK(queues.offer(now, key, entryOf(3, RequestClass::Background), actions).verdict == QueueVerdict::Queue);
    CHECK(queues.offer(now, key, entryOf(4, RequestClass::Urgent), actions).verdict == QueueVerdict::Queue);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].entry.request == RequestId{3, 3});
    CHECK(actions[0].decision.verdict == QueueVerdict::Refuse);
    CHECK(actions[0].decision.retryAfter > Millis{0});
}

TEST_CASE("an empty queue is removed on the next tick")
{
    RuleQueues queues;
    std::vector<QueueAction> actions;
    queues.offer(Millis{1}, key, entryOf(1, RequestClass::Urgent), actions);
    queues.tick(Millis{2}, actions);
    CHECK(queues.count() == 1);
    queues.leave(Millis{3}, key, RequestId{1, 1}, actions);
    queues.tick(Millis{4}, actions);
    CHECK(queues.count() == 0);
}
