#pragma once

// Finds the request that a result belongs to, and tells it on the event loop of its own worker.
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

/** One request, as the node speaks to it; always on the thread of the request's worker. */
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
    /** The holder that this request is attached to cannot be reached. */
    virtual void peerLost(const InstanceId &peer) = 0;
};

/** The requests of all workers. Thread-safe; its lock is a leaf. */
class RequestRegistry
{
public:
    using Telling = std::function<void(RequestEar &)>;

    RequestRegistry();
    ~RequestRegistry();

    /** @param loop an object of the worker's thread that outlives the worker's requests. */
    void add(const RequestId &request, QObject *loop, const std::shared_ptr<RequestEar> &ear);
    void remove(const RequestId &request);
    /** Calls telling on the request's thread, soon; not at all where the request is over. From any thread. */
    void tell(const RequestId &request, Telling telling) const;
    void tellAll(const Telling &telling) const;
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
