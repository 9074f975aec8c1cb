#pragma once

// A report as one self-contained HTML page: tables and SVG plots, no network, no scripts, for light and dark screens.
//
//     std::ofstream(file) << reportHtml(compareArms(merged), merged, "7 routers, 2026-03-01T08:15:30Z");

#include "sequoiausher/cli/armreport.h"

#include <string>

namespace Sequoiausher {

/** @param source one line that states where the figures come from. */
std::string reportHtml(const std::vector<ExperimentReport> &experiments,
                       const MetricsSnapshot &snapshot,
                       const std::string &source);

} // namespace Sequoiausher
