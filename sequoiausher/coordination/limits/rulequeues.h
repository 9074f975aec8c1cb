#pragma once

// What one organisation may have in flight by one rule, in this router: a queue of its own before the pool's queue, so
// that an organisation at its limit waits for its own requests and takes no place from others.
//
//     RuleQueues queues;
//     const QueueDecision decision = queues.offer(now, key, entry, actions);
//     queues.leave(now, key, request, actions);        // at the request's end, however it ended
//
// Each gate is an AdmissionQueue with as many slots as the rule allows in flight: urgent first, background shed first.
// A gate where nothing waits or runs takes no memory. A rule whose numbers change gets a new gate; what went through
// the old one ends there.

#include "sequoiausher/coordination/limits/admissionqueue.h"

#include <compare>
#include <map>

namespace Sequoiausher {

/** Which gate: the organisation, the rule that decided, and its numbers. */
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
    /** A request arrives before its gate; see DispatchQueue::offer(). */
    QueueDecision
    offer(Millis now, const RuleQueueKey &key, const QueueEntry &entry, std::vector<QueueAction> &actions);
    /** The request waits no more or is done with its target; lets the next one through. */
    void leave(Millis now, const RuleQueueKey &key, const RequestId &request, std::vector<QueueAction> &actions);
    /** Refuses those whose time cannot be met any more, and drops queues that are empty. */
    void tick(Millis now, std::vector<QueueAction> &actions);
    std::size_t waiting() const;
    std::size_t count() const;

private:
    std::map<RuleQueueKey, AdmissionQueue> queues;
};

} // namespace Sequoiausher
