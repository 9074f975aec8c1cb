#pragma once

// What a request brings to the worker that carries it, and what follows from it for the request's flow and for its call
// to a target.
//
//     const SessionOrder order{request, exchange, parsed, decision, labels, chatHash, deadline};
//     RequestFlow flow(flowFactsOf(order));
//     TargetCall call(client, targetRequestOf(order, firstByteTimeout), listener);

#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/coordination/flow/requestflow.h"
#include "sequoiausher/coordination/rules/decision.h"
#include "sequoiausher/protocol/clientapi/clientrequest.h"
#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/router/targetcall.h"

#include <memory>

namespace Sequoiausher {

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

/** Whether the request's idempotency key is claimed before the request is sent to a target. */
bool claimsKey(const SessionOrder &order);

/** What the request's flow must know. */
FlowFacts flowFactsOf(const SessionOrder &order);

/** The call to a target; order.exchange must be set. */
TargetRequest targetRequestOf(const SessionOrder &order, Millis firstByteTimeout);

} // namespace Sequoiausher
