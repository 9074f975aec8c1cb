#pragma once

// The naive queue: one line for everybody, the last one refused when it is full. It is what the fair queue is
// measured against, and a policy for those who want to compare on live traffic.
//
//     FifoQueue queue(64, 256);

#include "sequoiausher/coordination/limits/dispatchqueue.h"

#include <memory>

namespace Sequoiausher {

/** First come, first served. */
class FifoQueue : public DispatchQueue
{
public:
    /** At most slots requests in flight and maxWaiting waiting. */
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
