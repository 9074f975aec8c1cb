#pragma once

// The gateway's own answers: what it says where no target's answer can be given.
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
    /** One sentence for whoever reads the body. */
    std::string reason;
    /** When to come back, where that is of use. */
    std::optional<Millis> retryAfter;
    /** What becomes of the connection after it. */
    ConnectionFate connection;
    /** The request was HEAD: no body. */
    bool isHead = false;
};

/** The whole answer, head and body. */
std::string ownAnswer(const GatewayDialect &dialect, const CallerRequest &request, const OwnAnswer &answer);

} // namespace Sequoiausher
