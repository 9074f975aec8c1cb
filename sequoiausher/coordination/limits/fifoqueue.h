#pragma once

// A first-in, first-out queue for all organisations and classes, which refuses arriving requests when it is full. It is
// the baseline for measurements of the fair queue.
//
//     FifoQueue queue(64, 256);

#include "sequoiausher/coordination/limits/dispatchqueue.h"

#include <memory>

namespace Sequoiausher {

/** First come, first served. */
class FifoQueue : public DispatchQueue
{
public:
    /** Allows at most slots requests in flight and maxWaiting requests waiting. */
    FifoQueue(std::size_t slots, std::size_t maxWaiting);
    ~FifoQueue() override;

    QueueDecision offer(Millis now, const QueueEntry &entry, std::vector<QueueAction> &actions) override;
    void finish(Millis now, const RequestId &request, std::vector<QueueAction> &actions) override;
    void putBack(Millis now, const RequestId &request, Millis retryAfter, std::vector<QueueAction> &actions) override;
    void cancel(const RequestId &request) override;
    void tick(Millis now, std::vector<QueueAction> &actions) override;
    Millis nextDeadline() const override;
    std::size_t waiting() const override;
    std::size_t inFlight() const override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
