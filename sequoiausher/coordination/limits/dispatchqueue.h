#pragma once

// The queue of a router in front of one pool: who goes on to a target now, who waits, and who is refused.
//
//     AdmissionQueue queue(settings);
//     std::vector<QueueAction> actions;
//     const QueueDecision decision = queue.offer(now, {request, organisation, RequestClass::Urgent, by, 1}, actions);
//     // decision is for request; actions are for others, such as one that was shed to make room
//     queue.finish(now, request, actions);      // its target is done: the next ones go on
//
// A queue is a plain state machine: not thread-safe, the caller locks (LockRank::Limits).

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/base/requestclass.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Sequoiausher {

/** One request that wants to go on. */
struct QueueEntry
{
    RequestId request;
    OrganisationId organisation;
    RequestClass requestClass = RequestClass::Interactive;
    /** The point in time after which going on makes no sense: the caller's deadline less the time to answer. */
    Millis dispatchBy = Millis::never();
    /** The work it brings, such as its prompt in thousands of tokens; at least 1. */
    std::uint32_t cost = 1;
};

enum class QueueVerdict {
    Dispatch,
    Queue,
    /** Not run: answer the caller at once. */
    Refuse,
};

template<>
inline constexpr auto nameTable<QueueVerdict> = std::to_array<NameEntry<QueueVerdict>>({
    {QueueVerdict::Dispatch, "dispatch"},
    {QueueVerdict::Queue, "queue"},
    {QueueVerdict::Refuse, "refuse"},
});

enum class RefuseReason {
    None,
    /** The queue is full, and others come before this one. */
    Full,
    /** It would not go on before its dispatchBy. */
    Deadline,
};

template<>
inline constexpr auto nameTable<RefuseReason> = std::to_array<NameEntry<RefuseReason>>({
    {RefuseReason::None, "none"},
    {RefuseReason::Full, "full"},
    {RefuseReason::Deadline, "deadline"},
});

/** What is decided for a request. */
struct QueueDecision
{
    QueueVerdict verdict = QueueVerdict::Queue;
    RefuseReason reason = RefuseReason::None;
    /** With Refuse: when to come back. */
    Millis retryAfter;
};

/** What is decided for a request that waited. */
struct QueueAction
{
    QueueEntry entry;
    QueueDecision decision;
};

/** The interface of all queues, so that disciplines can be compared under the same load. */
class DispatchQueue
{
public:
    virtual ~DispatchQueue() = default;

    /** A request arrives. Its id must not be queued or in flight already. */
    virtual QueueDecision offer(Millis now, const QueueEntry &entry, std::vector<QueueAction> &actions) = 0;
    /** A dispatched request is done with its target, however it ended. Unknown ids have no effect. */
    virtual void finish(Millis now, const RequestId &request, std::vector<QueueAction> &actions) = 0;
    /** The owner of the pool gave a dispatched request its place. Unknown ids have no effect. */
    virtual void granted(Millis /*now*/, const RequestId & /*request*/, std::vector<QueueAction> & /*actions*/)
    {
    }
    /**
     * The owner of the pool had no room for a dispatched request: it waits again, first of its organisation and
     * class, and no other of these goes on before retryAfter has passed.
     */
    virtual void putBack(Millis now, const RequestId &request, Millis retryAfter, std::vector<QueueAction> &actions)
        = 0;
    /** The caller of a waiting request went away. Unknown ids have no effect. */
    virtual void cancel(const RequestId &request) = 0;
    /** Refuses those whose time cannot be met any more, and goes on after a pause. */
    virtual void tick(Millis now, std::vector<QueueAction> &actions) = 0;
    /** When tick() has something to do next; Millis::never() where nobody waits. */
    virtual Millis nextDeadline() const = 0;
    virtual std::size_t waiting() const = 0;
    virtual std::size_t inFlight() const = 0;
};

} // namespace Sequoiausher
