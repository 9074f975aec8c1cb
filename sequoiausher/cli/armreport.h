#pragma once

// The arms of each experiment side by side: every figure with the difference to the first arm and its interval.
//
//     for (const ExperimentReport &experiment : compareArms(merged)) {
//         for (const FigureRow &row : experiment.rows) { ... }
//     }
//
// Arms are ordered by name, and the first is the one that others are compared with. The intervals take the requests for
// independent; turns of one chat are not quite, so a bare exclusion of zero is a hint, not a proof.

#include "sequoiausher/base/metrics/intervals.h"
#include "sequoiausher/base/metrics/metrics.h"

#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher {

/** One arm's part in a row; what is not known is empty. */
struct FigureCell
{
    std::optional<double> value;
    /** This arm less the first, and its interval of 95%. */
    std::optional<double> difference;
    std::optional<Interval> interval;
};

/** One figure over all arms. */
struct FigureRow
{
    std::string name;
    /** ms, %, or empty for plain numbers. */
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
/** Dispatches to the busiest target over the mean of all that had any; none without dispatches. */
std::optional<double> skewOf(const SeriesData &data);
/** Percent of part in whole; none where whole is 0. */
std::optional<double> percentOf(std::uint64_t part, std::uint64_t whole);

} // namespace Sequoiausher
