#include "sequoiausher/coordination/limits/fifoqueue.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace Sequoiausher {

namespace {
constexpr Millis naiveRetryAfter{1000};
} // namespace

class FifoQueue::Private
{
public:
    void pump(Millis now, std::vector<QueueAction> &actions)
    {
        this->paused = now < this->pausedUntil;
        while (!this->line.empty() && this->flying.size() < this->slots && now >= this->pausedUntil) {
            const QueueEntry entry = this->line.front();
            this->line.pop_front();
            if (now >= entry.dispatchBy) {
                actions.push_back({entry, {QueueVerdict::Refuse, RefuseReason::Deadline, naiveRetryAfter}});
                continue;
            }
            this->flying.emplace(entry.request, entry);
            actions.push_back({entry, {QueueVerdict::Dispatch, RefuseReason::None, {}}});
        }
    }

    std::size_t slots = 0;
    std::size_t maxWaiting = 0;
    std::deque<QueueEntry> line;
    std::unordered_map<RequestId, QueueEntry> flying;
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
    if (this->d->line.empty() && this->d->flying.size() < this->d->slots && now >= this->d->pausedUntil) {
        this->d->flying.emplace(entry.request, entry);
        return {QueueVerdict::Dispatch, RefuseReason::None, {}};
    }
    if (this->d->line.size() >= this->d->maxWaiting) {
        return {QueueVerdict::Refuse, RefuseReason::Full, naiveRetryAfter};
    }
    this->d->line.push_back(entry);
    return {QueueVerdict::Queue, RefuseReason::None, {}};
}

void FifoQueue::finish(Millis now, const RequestId &request, std::vector<QueueAction> &actions)
{
    this->d->flying.erase(request);
    this->d->pump(now, actions);
}

void FifoQueue::putBack(Millis now,
                        const RequestId &request,
                        Millis retryAfter,
                        [[maybe_unused]] std::vector<QueueAction> &actions)
{
    const auto found = this->d->flying.find(request);
    if (found == this->d->flying.end()) {
        return;
    }
    this->d->line.push_front(found->second);
    this->d->flying.erase(found);
    this->d->pausedUntil = now + retryAfter;
    this->d->paused = true;
}

void FifoQueue::cancel(const RequestId &request)
{
    std::erase_if(this->d->line, [&request](const QueueEntry &entry) { return entry.request == request; });
}

void FifoQueue::tick(Millis now, std::vector<QueueAction> &actions)
{
    this->d->pump(now, actions);
}

Millis FifoQueue::nextDeadline() const
{
    // But for the end of a pause, only the end of a request lets anybody go on.
    return this->d->line.empty() || !this->d->paused ? Millis::never() : this->d->pausedUntil;
}

std::size_t FifoQueue::waiting() const
{
    return this->d->line.size();
}

std::size_t FifoQueue::inFlight() const
{
    return this->d->flying.size();
}

} // namespace Sequoiausher
