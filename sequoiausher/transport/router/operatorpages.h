#pragma once

// The pages by which operators see one router: /status, /metrics and /report.
//
//     if (!answerOperatorPage(exchange, node, metrics)) { ... another page ... }

#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/transport/http/httpexchange.h"
#include "sequoiausher/transport/router/node.h"

namespace Sequoiausher {

/** Answers where the path is one of these pages; returns whether it was. Any thread. */
bool answerOperatorPage(HttpExchange &exchange, const Node &node, const Metrics &metrics);

} // namespace Sequoiausher
