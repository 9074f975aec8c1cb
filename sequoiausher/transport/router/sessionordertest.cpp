#include "sequoiausher/transport/router/sessionorder.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

namespace {

SessionOrder orderWith(const std::string &key, ClaimMode claim, RetryMode retry)
{
    SessionOrder order;
    order.parsed.idempotencyKey = key;
    order.decision.claim = claim;
    order.decision.retry = retry;
    return order;
}

} // namespace

TEST_CASE("a key is claimed unless there is none or the rule ignores it")
{
    CHECK(claimsKey(orderWith("k", ClaimMode::Optional, RetryMode::Safe)));
    CHECK(claimsKey(orderWith("k", ClaimMode::Required, RetryMode::Safe)));
    CHECK(!claimsKey(orderWith("k", ClaimMode::None, RetryMode::Safe)));
    CHECK(!claimsKey(orderWith("", ClaimMode::Optional, RetryMode::Safe)));
}

TEST_CASE("how often a request may be sent follows from the rule and from its key")
{
    struct Case
    {
        std::string key;
        RetryMode retry;
        bool idempotent;
        int maxDispatches;
    };
    const int several = FlowFacts{}.maxDispatches;
    const std::vector<Case> cases{
        {"", RetryMode::None, false, 1},
        {"", RetryMode::Safe, false, several},
        {"", RetryMode::Idempotent, true, several},
        // A rule cannot vouch for a request that its caller wants run at most once.
        {"k", RetryMode::Idempotent, false, several},
        {"k", RetryMode::None, false, 1},
    };
    for (const Case &expected : cases) {
        CAPTURE(expected.key);
        CAPTURE(nameOf(expected.retry));
        const FlowFacts facts = flowFactsOf(orderWith(expected.key, ClaimMode::Optional, expected.retry));
        CHECK(facts.idempotent == expected.idempotent);
        CHECK(facts.maxDispatches == expected.maxDispatches);
        CHECK(facts.needsClaim == !expected.key.empty());
    }
}

TEST_CASE("only the stream of a chat can be resumed")
{
    SessionOrder order;
    order.parsed.isChat = true;
    CHECK(!flowFactsOf(order).resumable);
    order.parsed.streamed = true;
    CHECK(flowFactsOf(order).resumable);
    order.parsed.isChat = false;
    CHECK(!flowFactsOf(order).resumable);
}
