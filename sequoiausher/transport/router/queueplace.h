#pragma once

// The queues that a request passes before its target: first the gate of its rule, if the rule limits the requests in
// flight of the organisation, then the queue of the pool.
//
//     QueuePlace place(node, order);
//     const QueueDecision decision = place.enter(begunAt);    // Dispatch: through both
//     place.enterPool();                                      // once the gate has let a waiting request go on
//     place.leave();                                          // at the request's end

#include "sequoiausher/coordination/limits/dispatchqueue.h"
#include "sequoiausher/coordination/limits/rulequeues.h"
#include "sequoiausher/transport/router/sessionorder.h"

#include <optional>

namespace Sequoiausher {

class Node;

/** The places of one request in queues. */
class QueuePlace
{
public:
    /** @param node and order outlive it. */
    QueuePlace(Node &node, const SessionOrder &order);

    /** Enters the first queue. After Queue, the node calls queueDecided() for the queue in which it waits. */
    QueueDecision enter(Millis begunAt);
    QueueDecision enterPool();
    /** Whether the last decision was, or the next one will be, that of the rule's gate. */
    bool isAtGate() const;
    /** Leaves its queues and releases its places for others. */
    void leave();

private:
    QueueEntry entryAt(Millis begunAt) const;
    std::optional<RuleQueueKey> gateOfRule() const;

    Node &node;
    const SessionOrder &order;
    QueueEntry entry;
    std::optional<RuleQueueKey> gate;
    bool atGate = false;
    bool inPool = false;
};

} // namespace Sequoiausher
