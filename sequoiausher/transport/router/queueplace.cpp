#include "sequoiausher/transport/router/queueplace.h"

#include "sequoiausher/transport/router/node.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::size_t bytesPerCost = 4096;

} // namespace

QueuePlace::QueuePlace(Node &theNode, const SessionOrder &theOrder) : node(theNode), order(theOrder)
{
}

QueueEntry QueuePlace::entryAt(Millis begunAt) const
{
    const Millis fleetTime = this->node.settings().limits.queueTime;
    const Millis longest = this->order.decision.limits.queueTime.value_or(fleetTime);
    QueueEntry made;
    made.request = this->order.request;
    made.organisation = this->order.labels.organisation;
    made.requestClass = this->order.parsed.requestClass;
    made.dispatchBy = std::min(this->order.deadline, begunAt + longest);
    made.cost = static_cast<std::uint32_t>(1 + this->order.parsed.promptLength / bytesPerCost);
    return made;
}

std::optional<RuleQueueKey> QueuePlace::gateOfRule() const
{
    const Decision &decision = this->order.decision;
    if (!decision.limits.inFlight) {
        return std::nullopt;
    }
    const auto fleetLength = static_cast<std::uint32_t>(this->node.settings().limits.queueLength);
    return RuleQueueKey{this->order.labels.organisation,
                        decision.document,
                        decision.rule,
                        *decision.limits.inFlight,
                        decision.limits.queueLength.value_or(fleetLength)};
}

QueueDecision QueuePlace::enter(Millis begunAt)
{
    this->entry = this->entryAt(begunAt);
    this->gate = this->gateOfRule();
    if (!this->gate) {
        return this->enterPool();
    }
    this->atGate = true;
    const QueueDecision decision = this->node.enqueueByRule(*this->gate, this->entry);
    return decision.verdict == QueueVerdict::Dispatch ? this->enterPool() : decision;
}

QueueDecision QueuePlace::enterPool()
{
    this->atGate = false;
    this->inPool = true;
    return this->node.enqueue(this->order.decision.pool, this->entry);
}

bool QueuePlace::isAtGate() const
{
    return this->atGate;
}

void QueuePlace::leave()
{
    if (std::exchange(this->inPool, false)) {
        this->node.dequeue(this->order.decision.pool, this->order.request);
    }
    if (this->gate) {
        this->node.dequeueByRule(*this->gate, this->order.request);
        this->gate.reset();
    }
}

} // namespace Sequoiausher
