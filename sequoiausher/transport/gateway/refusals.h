#pragma once

// Formats the gateway's own answers, which are sent if there is no answer of a target.
//
//     stream->write(ownAnswer(dialect, request, {.status = 503, .reason = "no target is free", .retryAfter =
//     Millis{300}}));

#include "sequoiausher/base/millis.h"
#include "sequoiausher/protocol/gateway/gatewaydialect.h"
#include "sequoiausher/transport/gateway/connectionfields.h"

#include <optional>
#include <string>

namespace Sequoiausher {

/** One answer of the gateway's own. */
struct OwnAnswer
{
    int status = 503;
    /** One sentence for the body. */
    std::string reason;
    /** The time after which a retry may succeed; absent if a retry is of no use. */
    std::optional<Millis> retryAfter;
    /** Whether the connection stays open after the answer. */
    ConnectionFate connection;
    /** The request's method was HEAD, so the answer has no body. */
    bool isHead = false;
};

/** Returns the complete answer, head and body. */
std::string ownAnswer(const GatewayDialect &dialect, const CallerRequest &request, const OwnAnswer &answer);

} // namespace Sequoiausher
