#pragma once

// Formats and parses a snapshot of a router's metrics as JSON: the router's page /report, read by `sequoiausher
// report`.
//
//     exchange.respond(200, headers, reportJson(metrics.snapshot()));
//     all.merge(parseReport(body, "router at 127.0.0.1:7001"));

#include "sequoiausher/base/metrics/metrics.h"

#include <string>

namespace Sequoiausher {

std::string reportJson(const MetricsSnapshot &snapshot);

/** @throws Error(Step::Decode, peer, ...) if text is not in the format of reportJson(). */
MetricsSnapshot parseReport(const std::string &text, const std::string &peer);

} // namespace Sequoiausher
