#pragma once

// A snapshot of a router's metrics as JSON, written by the router at /report and read by `sequoiausher report`.
//
//     exchange.respond(200, headers, reportJson(metrics.snapshot()));
//     all.merge(parseReport(body, "router at 127.0.0.1:7001"));

#include "sequoiausher/base/metrics/metrics.h"

#include <string>

namespace Sequoiausher {

std::string reportJson(const MetricsSnapshot &snapshot);

/** @throws Error at step Decode, with peer, where text is not what reportJson() writes. */
MetricsSnapshot parseReport(const std::string &text, const std::string &peer);

} // namespace Sequoiausher
