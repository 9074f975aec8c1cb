#pragma once

// Compares the arms of each experiment: every figure with its difference to the first arm and the confidence interval.
//
//     for (const ExperimentReport &experiment : compareArms(merged)) {
//         for (const FigureRow &row : experiment.rows) { ... }
//     }
//
// Arms are ordered by name; the others are compared with the first. The intervals assume independent requests. Turns of
// one chat are not fully independent, so an interval that barely excludes zero does not prove a difference.

#include "sequoiausher/base/metrics/intervals.h"
#include "sequoiausher/base/metrics/metrics.h"

#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher {

/** The figure of one arm in a row; unknown values are empty. */
struct FigureCell
{
    std::optional<double> value;
    /** The difference to the first arm, and its 95% confidence interval. */
    std::optional<double> difference;
    std::optional<Interval> interval;
};

/** One figure of all arms. */
struct FigureRow
{
    std::string name;
    /** The unit: ms, %, or empty for plain numbers. */
    std::string unit;
    std::vector<FigureCell> cells;
};

/** One experiment. */
struct ExperimentReport
{
    std::string name;
    std::vector<std::string> arms;
    std::vector<SeriesData> data;
    std::vector<FigureRow> rows;
};

/** Experiments by name. */
std::vector<ExperimentReport> compareArms(const MetricsSnapshot &snapshot);

/** Requests refused with the fleet's own limits, deadline or quorum as the cause. */
std::uint64_t refusals(const SeriesData &data);
/** Dispatches to all targets. */
std::uint64_t dispatchesOf(const SeriesData &data);
/** Dispatches to the busiest target divided by the mean of all targets that had any; absent without dispatches. */
std::optional<double> skewOf(const SeriesData &data);
/** The percentage of part in whole; absent if whole is 0. */
std::optional<double> percentOf(std::uint64_t part, std::uint64_t whole);

} // namespace Sequoiausher
