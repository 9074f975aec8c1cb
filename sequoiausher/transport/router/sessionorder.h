#pragma once

// A request as a worker gets it, and what follows from it for the request's flow and its call to a target.
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

/** A request that the rules admitted. */
struct SessionOrder
{
    RequestId request;
    std::shared_ptr<HttpExchange> exchange;
    ClientRequest parsed;
    Decision decision;
    RequestLabels labels;
    std::uint64_t chatHash = 0;
    Millis deadline;
    /** The hash of the prompt prefix that chats share; 0 if the rule's policy does not use it. */
    std::uint64_t prefixHash = 0;
};

/** Whether the request's idempotency key is claimed before the request is sent to a target. */
bool claimsKey(const SessionOrder &order);

/** Returns the facts for the request's flow. */
FlowFacts flowFactsOf(const SessionOrder &order);

/** Returns the request for a target; order.exchange must be set. */
TargetRequest targetRequestOf(const SessionOrder &order, Millis firstByteTimeout);

} // namespace Sequoiausher
