#pragma once

// Writes a snapshot in the text format of Prometheus, version 0.0.4.
//
//     response.write(toPrometheus(metrics.snapshot()), prometheusContentType);
//
// Size: 270 organisations with 3 classes, 3 histograms and 26 lines each would be 63,000 lines per scrape. Therefore
// only the organisations with the most requests have their own series, and the others are summed as `other`. With 20 of
// them a page has at most 21 x 3 x (3 x 26 + 12) = 5,670 lines, plus 90 for each arm. The organisations with their own
// series may change between scrapes; the sum over all series never decreases.

#include "sequoiausher/base/metrics/metrics.h"

#include <cstddef>
#include <string>

namespace Sequoiausher {

inline constexpr const char *prometheusContentType = "text/plain; version=0.0.4; charset=utf-8";

/** The number of organisations with their own series. */
inline constexpr std::size_t shownOrganisations = 20;

/** All metrics with the prefix `sequoiausher_`; times are in seconds, as is usual with Prometheus. */
std::string toPrometheus(const MetricsSnapshot &snapshot, std::size_t organisations = shownOrganisations);

} // namespace Sequoiausher
