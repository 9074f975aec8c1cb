#pragma once

// A queue that isolates organisations from each other's surges, and sheds requests in a defined order.
//
//     AdmissionQueue queue({.slots = 64, .maxWaiting = 256});
//
// Dispatch order: urgent requests first, then interactive, then background. To prevent starvation, at least one of any
// 8 consecutive dispatches is interactive while interactive requests wait, and at least one of any 33 is background
// while background requests wait. Within a class, organisations share fairly (fairflows.h).
//
// Shedding, when the queue is full: background requests first, then interactive, urgent last. Within a class, the
// newest request of the organisation with the most work waiting is shed, which may be the arriving request.
//
// Deadlines: a request is refused if it is not expected to be dispatched before its dispatchBy, estimated from the
// number of requests ahead of it and the observed service rate. This happens on arrival, or on the first check after
// other requests were put ahead of it, so the caller does not wait until its deadline for a refusal.
//
// Slots: how many requests may be in flight. If the owner of the pool has no room for a request, only requests of the
// same organisation and class are held back (reservationwindows.h), since a pool is full for background requests before
// it is full for urgent ones. The room that the pool has for one of many routers changes continually. So the number of
// slots that the estimates are based on shrinks to the number of requests in flight when a pool is full, and grows by
// one with each round of finished requests.

#include "sequoiausher/coordination/limits/classscheduler.h"
#include "sequoiausher/coordination/limits/dispatchqueue.h"

#include <memory>
#include <optional>

namespace Sequoiausher {

/** The limits of a queue. */
struct AdmissionQueueSettings
{
    /** The maximum number of requests in flight. */
    std::size_t slots = 64;
    /** The maximum number of waiting requests, which take about 300 bytes each. */
    std::size_t maxWaiting = 256;
    /** The interval of checks whether waiting requests can meet their deadlines. */
    Millis checkInterval{50};
    /** The range of the retry delays for refused requests; jitter comes on top. */
    Millis minRetryAfter{1000};
    Millis maxRetryAfter{30000};
};

class AdmissionQueue : public DispatchQueue
{
public:
    explicit AdmissionQueue(const AdmissionQueueSettings &settings);
    ~AdmissionQueue() override;

    QueueDecision offer(Millis now, const QueueEntry &entry, std::vector<QueueAction> &actions) override;
    void finish(Millis now, const RequestId &request, std::vector<QueueAction> &actions) override;
    void granted(Millis now, const RequestId &request, std::vector<QueueAction> &actions) override;
    void putBack(Millis now, const RequestId &request, Millis retryAfter, std::vector<QueueAction> &actions) override;
    void cancel(const RequestId &request) override;
    void tick(Millis now, std::vector<QueueAction> &actions) override;
    Millis nextDeadline() const override;
    std::size_t waiting() const override;
    std::size_t inFlight() const override;

    /** Returns the request as it was offered while it is in flight; std::nullopt otherwise. */
    std::optional<QueueEntry> dispatched(const RequestId &request) const;

    /** The estimated number of requests that the pool has room for from this router, at most the configured slots. */
    std::size_t effectiveSlots() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
