#pragma once

// Executes one request on its worker: performs the actions of the request's flow and reports their results to it.
//
//     auto session = std::make_shared<RequestSession>(context, std::move(order));
//     session->begin();

#include "sequoiausher/transport/router/requestregistry.h"
#include "sequoiausher/transport/router/sessioncontext.h"
#include "sequoiausher/transport/router/sessionorder.h"

#include <memory>

namespace Sequoiausher {

/** One request. Belongs to its worker's thread. */
class RequestSession : public RequestEar, public std::enable_shared_from_this<RequestSession>
{
public:
    RequestSession(const SessionContext &context, SessionOrder order);
    ~RequestSession() override;
    RequestSession(const RequestSession &) = delete;
    RequestSession &operator=(const RequestSession &) = delete;

    /** Attaches to a running answer of the same key, or queues, claims and reserves. */
    void begin();
    void tick(Millis now);
    /** Ends the request since the router ends, with an answer that says whether it was run. */
    void cutOff(Millis now);
    /** Whether the session has ended, so that the worker may release it. */
    bool isDone() const;

    void claimEnded(const ClaimOutcome &outcome) override;
    void reservationEnded(const ReserveResult &result) override;
    void queueDecided(const QueueDecision &decision) override;
    void attachReplied(const InstanceId &from, const AttachReply &reply) override;
    void attachChunk(const AttachChunk &chunk) override;
    void attachEnded(const AttachEnd &end) override;
    void peerLost(const InstanceId &peer) override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
