#pragma once

// The pages of one router for operators: /status, /metrics and /report.
//
//     if (!answerOperatorPage(exchange, node, metrics)) { ... another page ... }

#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/transport/http/httpexchange.h"
#include "sequoiausher/transport/router/node.h"

namespace Sequoiausher {

/** Answers if the path is one of these pages. @return whether it was. From any thread. */
bool answerOperatorPage(HttpExchange &exchange, const Node &node, const Metrics &metrics);

} // namespace Sequoiausher
