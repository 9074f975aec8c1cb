#include "sequoiausher/coordination/limits/rulequeues.h"

namespace Sequoiausher {

QueueDecision
RuleQueues::offer(Millis now, const RuleQueueKey &key, const QueueEntry &entry, std::vector<QueueAction> &actions)
{
    auto known = this->queues.find(key);
    if (known == this->queues.end()) {
        AdmissionQueueSettings queueSettings;
        queueSettings.slots = key.inFlight;
        queueSettings.maxWaiting = key.queueLength;
        known = this->queues.try_emplace(key, queueSettings).first;
    }
    return known->second.offer(now, entry, actions);
}

void RuleQueues::leave(Millis now, const RuleQueueKey &key, const RequestId &request, std::vector<QueueAction> &actions)
{
    const auto known = this->queues.find(key);
    if (known != this->queues.end()) {
        known->second.cancel(request);
        known->second.finish(now, request, actions);
    }
}

void RuleQueues::tick(Millis now, std::vector<QueueAction> &actions)
{
    for (auto &entry : this->queues) {
        entry.second.tick(now, actions);
    }
    std::erase_if(this->queues,
                  [](const auto &entry) { return entry.second.waiting() == 0 && entry.second.inFlight() == 0; });
}

std::size_t RuleQueues::waiting() const
{
    std::size_t sum = 0;
    for (const auto &entry : this->queues) {
        sum += entry.second.waiting();
    }
    return sum;
}

std::size_t RuleQueues::count() const
{
    return this->queues.size();
}

} // namespace Sequoiausher
