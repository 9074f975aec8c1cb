#include "sequoiausher/transport/router/sessionorder.h"

namespace Sequoiausher {

bool claimsKey(const SessionOrder &order)
{
    return !order.parsed.idempotencyKey.empty() && order.decision.claim != ClaimMode::None;
}

FlowFacts flowFactsOf(const SessionOrder &order)
{
    FlowFacts facts;
    facts.needsClaim = claimsKey(order);
    facts.idempotent = order.decision.retry == RetryMode::Idempotent && !facts.needsClaim;
    facts.resumable = order.parsed.isChat && order.parsed.streamed;
    facts.deadline = order.deadline;
    facts.maxDispatches = order.decision.retry == RetryMode::None ? 1 : FlowFacts{}.maxDispatches;
    return facts;
}

TargetRequest targetRequestOf(const SessionOrder &order, Millis firstByteTimeout)
{
    const HttpExchange &exchange = *order.exchange;
    TargetRequest request;
    request.request = order.request;
    request.method = exchange.method();
    request.path = exchange.path() + (exchange.query().empty() ? "" : "?" + exchange.query());
    request.headers = exchange.headers();
    // The caller's key is between the caller and this fleet.
    request.headers.remove("Authorization");
    request.headers.set("X-Priority", std::to_string(order.decision.priority));
    request.headers.set("X-Chat-Id", order.parsed.chat);
    request.body = exchange.body();
    request.isChat = order.parsed.isChat;
    request.streamed = order.parsed.streamed;
    request.firstByteTimeout = firstByteTimeout;
    request.deadline = order.deadline;
    return request;
}

} // namespace Sequoiausher
