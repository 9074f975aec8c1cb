#pragma once

// Limits the requests that an organisation has in flight by one rule in this router. Each limit has a queue in front of
// the pool's queue, so an organisation at its limit waits for its own requests and does not delay others.
//
//     RuleQueues queues;
//     const QueueDecision decision = queues.offer(now, key, entry, actions);
//     queues.leave(now, key, request, actions);        // when the request ends, whatever its result
//
// Each queue is an AdmissionQueue with as many slots as the rule allows in flight: urgent requests are dispatched
// first, background requests are shed first. A queue with neither waiting requests nor requests in flight is removed by
// tick(). If the limits of a rule change, a new queue is used, and requests that are already in the old queue stay
// there until they end.

#include "sequoiausher/coordination/limits/admissionqueue.h"

#include <compare>
#include <map>

namespace Sequoiausher {

/** Identifies a queue: the organisation, the rule that decided, and the limits of the rule. */
struct RuleQueueKey
{
    OrganisationId organisation;
    std::string document;
    std::string rule;
    std::uint32_t inFlight = 0;
    std::uint32_t queueLength = 0;

    auto operator<=>(const RuleQueueKey &) const = default;
};

/** The queues of one router. Not thread-safe. */
class RuleQueues
{
public:
    /** Offers a request to its queue; see DispatchQueue::offer(). */
    QueueDecision
    offer(Millis now, const RuleQueueKey &key, const QueueEntry &entry, std::vector<QueueAction> &actions);
    /** Removes a request that no longer waits or is done with its target, and dispatches the next one. */
    void leave(Millis now, const RuleQueueKey &key, const RequestId &request, std::vector<QueueAction> &actions);
    /**
     * Refuses requests that cannot meet their deadlines, and removes queues with neither waiting requests nor requests
     * in flight.
     */
    void tick(Millis now, std::vector<QueueAction> &actions);
    std::size_t waiting() const;
    std::size_t count() const;

private:
    std::map<RuleQueueKey, AdmissionQueue> queues;
};

} // namespace Sequoiausher
