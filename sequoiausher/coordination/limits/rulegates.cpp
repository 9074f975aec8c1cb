#include "sequoiausher/coordination/limits/rulegates.h"

namespace Sequoiausher {

QueueDecision
RuleGates::offer(Millis now, const RuleGate &gate, const QueueEntry &entry, std::vector<QueueAction> &actions)
{
    auto known = this->gates.find(gate);
    if (known == this->gates.end()) {
        AdmissionQueueSettings bounds;
        bounds.slots = gate.inFlight;
        bounds.maxWaiting = gate.queueLength;
        known = this->gates.try_emplace(gate, bounds).first;
    }
    return known->second.offer(now, entry, actions);
}

void RuleGates::leave(Millis now, const RuleGate &gate, const RequestId &request, std::vector<QueueAction> &actions)
{
    const auto known = this->gates.find(gate);
    if (known != this->gates.end()) {
        known->second.cancel(request);
        known->second.finish(now, request, actions);
    }
}

void RuleGates::tick(Millis now, std::vector<QueueAction> &actions)
{
    for (auto &entry : this->gates) {
        entry.second.tick(now, actions);
    }
    std::erase_if(this->gates,
                  [](const auto &entry) { return entry.second.waiting() == 0 && entry.second.inFlight() == 0; });
}

std::size_t RuleGates::waiting() const
{
    std::size_t sum = 0;
    for (const auto &entry : this->gates) {
        sum += entry.second.waiting();
    }
    return sum;
}

std::size_t RuleGates::count() const
{
    return this->gates.size();
}

} // namespace Sequoiausher
