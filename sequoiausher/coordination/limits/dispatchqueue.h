#pragma once

// The queue of a router in front of one pool: it decides which requests are dispatched, which wait and which are
// refused.
// A request that a queue dispatches starts its reservation. It is sent to a target only once the reservation is granted
// (Dispatch in flowaction.h).
//
//     AdmissionQueue queue(settings);
//     std::vector<QueueAction> actions;
//     const QueueDecision decision = queue.offer(now, {request, organisation, RequestClass::Urgent, by, 1}, actions);
//     // decision is for this request; actions are for others, such as one that was shed to make room
//     queue.finish(now, request, actions);      // the target is done with the request: others are dispatched
//
// A queue is a state machine without I/O. Not thread-safe: the caller must hold a lock (LockRank::Limits).

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/base/requestclass.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Sequoiausher {

/** One request to be dispatched. */
struct QueueEntry
{
    RequestId request;
    OrganisationId organisation;
    RequestClass requestClass = RequestClass::Interactive;
    /** The latest useful time to dispatch the request: the caller's deadline less the time to answer. */
    Millis dispatchBy = Millis::never();
    /** The work that the request causes, such as its prompt in thousands of tokens; at least 1. */
    std::uint32_t cost = 1;
};

enum class QueueVerdict {
    Dispatch,
    Queue,
    /** Do not run the request, and answer the caller immediately. */
    Refuse,
};

template<>
inline constexpr auto nameTable<QueueVerdict> = std::to_array<NameEntry<QueueVerdict>>({
    {QueueVerdict::Dispatch, "dispatch"},
    {QueueVerdict::Queue, "queue"},
    {QueueVerdict::Refuse, "refuse"},
});

enum class QueueRefusalReason {
    None,
    /** The queue is full, and the other requests take precedence. */
    Full,
    /** The request would not be dispatched before its dispatchBy. */
    Deadline,
};

template<>
inline constexpr auto nameTable<QueueRefusalReason> = std::to_array<NameEntry<QueueRefusalReason>>({
    {QueueRefusalReason::None, "none"},
    {QueueRefusalReason::Full, "full"},
    {QueueRefusalReason::Deadline, "deadline"},
});

/** The decision about a request. */
struct QueueDecision
{
    QueueVerdict verdict = QueueVerdict::Queue;
    QueueRefusalReason reason = QueueRefusalReason::None;
    /** With Refuse: the delay after which the caller may retry. */
    Millis retryAfter;
};

/** The decision about a request that waited. */
struct QueueAction
{
    QueueEntry entry;
    QueueDecision decision;
};

/** The interface of all queues, so that queueing disciplines can be compared under the same load. */
class DispatchQueue
{
public:
    virtual ~DispatchQueue() = default;

    /** Decides about a new request. Its id must not be queued or in flight. */
    virtual QueueDecision offer(Millis now, const QueueEntry &entry, std::vector<QueueAction> &actions) = 0;
    /** Ends a dispatched request, whatever its result. Unknown ids have no effect. */
    virtual void finish(Millis now, const RequestId &request, std::vector<QueueAction> &actions) = 0;
    /** The owner of the pool granted the reservation of a dispatched request. Unknown ids have no effect. */
    virtual void granted(Millis /*now*/, const RequestId & /*request*/, std::vector<QueueAction> & /*actions*/)
    {
    }
    /**
     * The owner of the pool had no room for a dispatched request. The request waits again, as the first of its
     * organisation and class, and no request of these is dispatched before retryAfter has passed.
     */
    virtual void putBack(Millis now, const RequestId &request, Millis retryAfter, std::vector<QueueAction> &actions)
        = 0;
    /** Removes a waiting request whose caller has disconnected. Unknown ids have no effect. */
    virtual void cancel(const RequestId &request) = 0;
    /** Refuses requests that cannot meet their deadlines, and resumes dispatching after a pause. */
    virtual void tick(Millis now, std::vector<QueueAction> &actions) = 0;
    /** Returns when tick() must be called next; Millis::never() if no request waits. */
    virtual Millis nextDeadline() const = 0;
    virtual std::size_t waiting() const = 0;
    virtual std::size_t inFlight() const = 0;
};

} // namespace Sequoiausher
