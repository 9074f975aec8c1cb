#pragma once

// Finds the request that a result belongs to, and notifies it on the event loop of its own worker.
//
//     registry.add(request, loop, client);
//     registry.tell(request, [outcome](RequestEar &ear) { ear.claimEnded(outcome); });
//     registry.remove(request);

#include "sequoiausher/coordination/admission/reserver.h"
#include "sequoiausher/coordination/claims/claimant.h"
#include "sequoiausher/coordination/limits/dispatchqueue.h"
#include "sequoiausher/coordination/messages/attachmessages.h"

#include <functional>
#include <memory>

class QObject;

namespace Sequoiausher {

/** Receives the events of one request, on the thread of the request's worker. */
class RequestEar
{
public:
    virtual ~RequestEar() = default;

    virtual void claimEnded(const ClaimOutcome &outcome) = 0;
    virtual void reservationEnded(const ReserveResult &result) = 0;
    virtual void queueDecided(const QueueDecision &decision) = 0;
    virtual void attachReplied(const InstanceId &from, const AttachReply &reply) = 0;
    virtual void attachChunk(const AttachChunk &chunk) = 0;
    virtual void attachEnded(const AttachEnd &end) = 0;
    /** The holder of the answer to which this request is attached cannot be reached. */
    virtual void peerLost(const InstanceId &peer) = 0;
};

/** The requests of all workers. Thread-safe; its lock is a leaf. */
class RequestRegistry
{
public:
    using Telling = std::function<void(RequestEar &)>;

    RequestRegistry();
    ~RequestRegistry();

    /** @param loop an object on the worker's thread that outlives the worker's requests. */
    void add(const RequestId &request, QObject *loop, const std::shared_ptr<RequestEar> &ear);
    void remove(const RequestId &request);
    /** Queues the call on the request's thread; it is dropped if the request has ended. From any thread. */
    void tell(const RequestId &request, Telling telling) const;
    void tellAll(const Telling &telling) const;
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
