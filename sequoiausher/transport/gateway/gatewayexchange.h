#pragma once

// One request of a caller, from its whole body to its whole answer: who may ask, where it goes, what happens when a
// target fails, and what the caller hears.
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

/** One request. */
class GatewayExchange : public GatewayCallUser
{
public:
    /** context and caller outlive it. @param receivedAt when the request was read. */
    GatewayExchange(GatewayContext &context, CallerSide &caller, HttpHead head, std::string body, Millis receivedAt);
    ~GatewayExchange() override;
    GatewayExchange(const GatewayExchange &) = delete;
    GatewayExchange &operator=(const GatewayExchange &) = delete;

    void start();
    /** Looks at the times that are over. */
    void tick(Millis now);
    /** The gateway ends: the caller hears what is known of its request. */
    void endForStop();
    /** The caller left: its target stops too. */
    void callerGone();
    /** The caller took what was written. */
    void callerDrained();
    bool isOver() const;

    void answerBegan(const HttpHead &head, const TargetAnswer &answer) override;
    void answerBytes(std::string bytes) override;
    void answerComplete() override;
    void callFailed(AttemptEnd end) override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
