#include "sequoiausher/coordination/limits/fifoqueue.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace Sequoiausher {

namespace {
constexpr Millis fixedRetryAfter{1000};
} // namespace

class FifoQueue::Private
{
public:
    void dispatchWaiting(Millis now, std::vector<QueueAction> &actions)
    {
        this->paused = now < this->pausedUntil;
        while (!this->waitingRequests.empty() && this->inFlightRequests.size() < this->slots
               && now >= this->pausedUntil) {
            const QueueEntry entry = this->waitingRequests.front();
            this->waitingRequests.pop_front();
            if (now >= entry.dispatchBy) {
                actions.push_back({entry, {QueueVerdict::Refuse, QueueRefusalReason::Deadline, fixedRetryAfter}});
                continue;
            }
            this->inFlightRequests.emplace(entry.request, entry);
            actions.push_back({entry, {QueueVerdict::Dispatch, QueueRefusalReason::None, {}}});
        }
    }

    std::size_t slots = 0;
    std::size_t maxWaiting = 0;
    std::deque<QueueEntry> waitingRequests;
    std::unordered_map<RequestId, QueueEntry> inFlightRequests;
    Millis pausedUntil;
    bool paused = false;
};

FifoQueue::FifoQueue(std::size_t slots, std::size_t maxWaiting) : d(std::make_unique<Private>())
{
    this->d->slots = slots;
    this->d->maxWaiting = maxWaiting;
}

FifoQueue::~FifoQueue() = default;

QueueDecision FifoQueue::offer(Millis now, const QueueEntry &entry, [[maybe_unused]] std::vector<QueueAction> &actions)
{
    if (this->d->waitingRequests.empty() && this->d->inFlightRequests.size() < this->d->slots
        && now >= this->d->pausedUntil) {
        this->d->inFlightRequests.emplace(entry.request, entry);
        return {QueueVerdict::Dispatch, QueueRefusalReason::None, {}};
    }
    if (this->d->waitingRequests.size() >= this->d->maxWaiting) {
        return {QueueVerdict::Refuse, QueueRefusalReason::Full, fixedRetryAfter};
    }
    this->d->waitingRequests.push_back(entry);
    return {QueueVerdict::Queue, QueueRefusalReason::None, {}};
}

void FifoQueue::finish(Millis now, const RequestId &request, std::vector<QueueAction> &actions)
{
    this->d->inFlightRequests.erase(request);
    this->d->dispatchWaiting(now, actions);
}

void FifoQueue::putBack(Millis now,
                        const RequestId &request,
                        Millis retryAfter,
                        [[maybe_unused]] std::vector<QueueAction> &actions)
{
    const auto found = this->d->inFlightRequests.find(request);
    if (found == this->d->inFlightRequests.end()) {
        return;
    }
    this->d->waitingRequests.push_front(found->second);
    this->d->inFlightRequests.erase(found);
    this->d->pausedUntil = now + retryAfter;
    this->d->paused = true;
}

void FifoQueue::cancel(const RequestId &request)
{
    std::erase_if(this->d->waitingRequests, [&request](const QueueEntry &entry) { return entry.request == request; });
}

void FifoQueue::tick(Millis now, std::vector<QueueAction> &actions)
{
    this->d->dispatchWaiting(now, actions);
}

Millis FifoQueue::nextDeadline() const
{
    // Apart from the end of a pause, only a finished request allows another dispatch.
    return this->d->waitingRequests.empty() || !this->d->paused ? Millis::never() : this->d->pausedUntil;
}

std::size_t FifoQueue::waiting() const
{
    return this->d->waitingRequests.size();
}

std::size_t FifoQueue::inFlight() const
{
    return this->d->inFlightRequests.size();
}

} // namespace Sequoiausher
