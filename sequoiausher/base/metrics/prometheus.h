#pragma once

// Writes a snapshot in Prometheus' text format, version 0.0.4.
//
//     response.write(toPrometheus(metrics.snapshot()), prometheusContentType);
//
// The bound: 270 organisations with 3 classes, 3 histograms and 26 lines each would be 63,000 lines a scrape. The
// organisations with the most requests have series of their own, the rest are summed as `other`; with 20 of them a
// page has at most 21 x 3 x (3 x 26 + 12) = 5,670 lines, plus 90 for each arm. Which organisations are shown may
// change from scrape to scrape as counts grow; the sum over all series never shrinks.

#include "sequoiausher/base/metrics/metrics.h"

#include <cstddef>
#include <string>

namespace Sequoiausher {

inline constexpr const char *prometheusContentType = "text/plain; version=0.0.4; charset=utf-8";

/** Organisations with series of their own. */
inline constexpr std::size_t shownOrganisations = 20;

/** Every metric with the prefix `sequoiausher_`; times in seconds, as Prometheus asks. */
std::string toPrometheus(const MetricsSnapshot &snapshot, std::size_t organisations = shownOrganisations);

} // namespace Sequoiausher
