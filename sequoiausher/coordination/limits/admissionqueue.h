#pragma once

// The queue that keeps one organisation's surge away from the others, and sheds in a stated order.
//
//     AdmissionQueue queue({.slots = 64, .maxWaiting = 256});
//
// Served: urgent first, then interactive, then background; but of any 8 dispatches in a row while interactive
// requests wait at least one is interactive, and of any 33 while background ones wait at least one is background, so
// nothing starves. Within a class organisations share fairly (fairflows.h).
//
// Shed, when it is full: background first, then interactive, urgent last. Within a class the organisation with most
// work waiting loses its newest request; this may be the one that arrives.
//
// Refused at once: a request that would not go on before its dispatchBy, by the number that would be served before it
// and the observed rate. It hears so on arrival, or on the first tick at which others that came before it have made
// it so; it is never held until its time is up.
//
// Slots: how many requests may be in flight. When the owner of the pool says that there is no room, this holds back
// the request's organisation and class alone (reservationwindows.h): a pool is full for background work before it is for urgent
// requests. What the router can count on, for the estimates, shrinks to what is in flight and grows again by one for
// each round of finished requests, since what the pool gives to one of many routers changes all the time.

#include "sequoiausher/coordination/limits/classscheduler.h"
#include "sequoiausher/coordination/limits/dispatchqueue.h"

#include <memory>
#include <optional>

namespace Sequoiausher {

/** Bounds of a queue. */
struct AdmissionQueueSettings
{
    /** At most this many in flight at once. */
    std::size_t slots = 64;
    /** At most this many waiting; memory is some 300 bytes for each. */
    std::size_t maxWaiting = 256;
    /** How often waiting requests are checked against their time. */
    Millis checkInterval{50};
    /** Bounds of what a refused caller is told. */
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

    /** The request as it was offered, while it is dispatched and not done; none otherwise. */
    std::optional<QueueEntry> dispatched(const RequestId &request) const;

    /** What this router can count on at present, at most its slots. */
    std::size_t slots() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
