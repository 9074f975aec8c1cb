#pragma once

// Carries one request on its worker: does what the request's flow says, and tells the flow what came of it.
//
//     auto session = std::make_shared<RequestSession>(context, std::move(order));
//     session->begin();

#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/coordination/rules/decision.h"
#include "sequoiausher/protocol/clientapi/clientrequest.h"
#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/router/node.h"
#include "sequoiausher/transport/router/targetcall.h"

#include <memory>

class QObject;

namespace Sequoiausher {

/** What a worker lends to its requests; outlives them. */
struct SessionContext
{
    Node &node;
    HttpClient &client;
    QObject &loop;
    const Log &log;
    Metrics &metrics;
};

/** A request that the rules let through. */
struct SessionOrder
{
    RequestId request;
    std::shared_ptr<HttpExchange> exchange;
    ClientRequest parsed;
    Decision decision;
    RequestLabels labels;
    std::uint64_t chatHash = 0;
    Millis deadline;
    /** Of the prompt prefix that chats share; 0 where the rule's policy does not look at it. */
    std::uint64_t prefixHash = 0;
};

/** One request. Belongs to its worker's thread. */
class RequestSession : public RequestEar, public std::enable_shared_from_this<RequestSession>
{
public:
    RequestSession(const SessionContext &context, SessionOrder order);
    ~RequestSession() override;
    RequestSession(const RequestSession &) = delete;
    RequestSession &operator=(const RequestSession &) = delete;

    /** Joins a running answer of the same key, or queues, claims and reserves. */
    void begin();
    void tick(Millis now);
    /** Nothing is left to do: the worker lets the session go. */
    bool isDone() const;

    void claimEnded(const ClaimOutcome &outcome) override;
    void reservationEnded(const ReserveResult &result) override;
    void queueDecided(const QueueDecision &decision) override;
    void attachReplied(const AttachReply &reply) override;
    void attachChunk(const AttachChunk &chunk) override;
    void attachEnded(const AttachEnd &end) override;
    void peerLost(const InstanceId &peer) override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
