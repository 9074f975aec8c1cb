#pragma once

// Keeps one request from targets that it would crash: asks the quarantine whether the request may be sent, and records
// whether its targets ended under it.
//
//     CrashGuard guard(context);
//     guard.begin(admitted, head.target, body);
//     if (const auto refusal = guard.refusal(now)) { answer(*refusal); }
//     guard.recordSent(target, now);

#include "sequoiausher/coordination/gateway/suspectkey.h"
#include "sequoiausher/transport/gateway/gatewayadmission.h"

#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** See above. Every later call follows begin(). */
class CrashGuard
{
public:
    /** context outlives this. */
    explicit CrashGuard(GatewayContext &context);

    void begin(const AdmittedRequest &admitted, std::string_view path, std::string_view body);
    /** Returns the answer for a request that is found to crash targets; none where it may be sent. */
    std::optional<GatewayRefusal> refusal(Millis now) const;
    /** The request is sent to the target. */
    void recordSent(const GatewayTarget &target, Millis now);
    /** The target has sent a part of a successful answer. */
    void recordPart(Millis now);
    /** The target lost the connection: starts a check whether it ended while it ran the request. */
    void recordLostTarget(Millis now);
    /** The target's whole answer has arrived. @param status of the answer. */
    void recordAnswer(int status, Millis now);
    /** Whether the gateway may send the request to a further target on its own. */
    bool mayRetry(Millis now) const;
    /** The request's fingerprint, for log lines. */
    std::string fingerprintText() const;

private:
    GatewayContext &context;
    std::string attemptId;
    SuspectedRequest request;
    GatewayTarget target;
    Millis sentAt;
    /** When the present target sent the first part of its answer. */
    std::optional<Millis> firstPartAt;
    bool isPromptRead = false;
    /** The present target may have ended while it ran the request. */
    bool hasLostTarget = false;
};

} // namespace Sequoiausher
