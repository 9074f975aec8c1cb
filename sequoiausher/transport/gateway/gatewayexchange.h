#pragma once

// Handles one request of a caller, from its complete body to its complete answer: admission, the choice of a target,
// retries after failures, and the answer.
//
//     GatewayExchange exchange(context, caller, head, body);
//     exchange.start();

#include "sequoiausher/coordination/gateway/attempttimeout.h"
#include "sequoiausher/coordination/gateway/retrydecision.h"
#include "sequoiausher/transport/gateway/calleranswer.h"
#include "sequoiausher/transport/gateway/gatewaycall.h"
#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The body of a request, with the memory that it holds. */
struct ReceivedBody
{
    std::string bytes;
    /** Null for a request without a body. */
    std::unique_ptr<BodyReservation> memory;
    /** From the head of the request to its last byte. */
    Millis transferTime;
};

/** One request. */
class GatewayExchange : public GatewayCallUser
{
public:
    /** context and caller outlive this. @param receivedAt when the request was read. */
    GatewayExchange(GatewayContext &context, CallerSide &caller, HttpHead head, ReceivedBody body, Millis receivedAt);
    ~GatewayExchange() override;
    GatewayExchange(const GatewayExchange &) = delete;
    GatewayExchange &operator=(const GatewayExchange &) = delete;

    void start();
    /** Checks all time limits. */
    void tick(Millis now);
    /** Answers with what is known of the request, because the gateway is about to end. */
    void endForStop();
    /** The caller disconnected. Cancels the request at its target. */
    void callerGone();
    /** The caller has read everything that was written. */
    void callerDrained();
    bool isOver() const;
    /** Returns the bytes of the answer that the kernel keeps because the caller reads too slowly. */
    std::size_t heldBackBytes() const;

    void answerBegan(const HttpHead &head, const TargetAnswer &answer) override;
    void answerBytes(std::string bytes) override;
    void answerComplete() override;
    void callFailed(AttemptEnd end) override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
