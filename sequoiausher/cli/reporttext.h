#pragma once

// A report as text for a terminal and as CSV for other programs.
//
//     out << reportText(compareArms(merged), merged);

#include "sequoiausher/cli/armreport.h"

#include <string>

namespace Sequoiausher {

std::string reportText(const std::vector<ExperimentReport> &experiments, const MetricsSnapshot &snapshot);

/**
 * A line for each figure of each arm, and of each organisation and class:
 * scope,name,part,figure,unit,value,difference,low,high. What is not known is empty; an open end is inf.
 */
std::string reportCsv(const std::vector<ExperimentReport> &experiments, const MetricsSnapshot &snapshot);

/** Formats a value; small values have more decimal places. */
std::string figureText(double value);
std::string figureText(const std::optional<double> &value);
std::string intervalText(const std::optional<Interval> &interval);

/** The figures of an organisation's class, in the order of seriesHead(). */
std::vector<std::string> seriesCells(const SeriesKey &key, const SeriesData &data);
std::vector<std::string> seriesHead();

} // namespace Sequoiausher
