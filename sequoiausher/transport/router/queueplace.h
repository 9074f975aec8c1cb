#pragma once

// A request's way through the queues before its target: first the gate of its rule, where the rule bounds what the
// organisation has in flight, then the queue of the pool.
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

/** The places that one request has in queues. */
class QueuePlace
{
public:
    /** @param node and order outlive it. */
    QueuePlace(Node &node, const SessionOrder &order);

    /** Takes its place. With Queue the node's queueDecided() follows, for the queue in which it waits. */
    QueueDecision enter(Millis begunAt);
    QueueDecision enterPool();
    /** Whether the last decision was, or the next one is, that of the rule's gate. */
    bool isAtGate() const;
    /** Gives up what it has: it waits no longer, and others may go on in its place. */
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
