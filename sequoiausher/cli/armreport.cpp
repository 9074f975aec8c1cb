#include "sequoiausher/cli/armreport.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

constexpr double percent = 100;

const HistogramData &measureOf(const SeriesData &data, Measure measure)
{
    return data.measures.at(static_cast<std::size_t>(measure));
}

/** A row whose cells come from one function of the arm, and one of the arm and the first. */
template<typename Value, typename Difference>
FigureRow
rowOf(const ExperimentReport &report, FigureRow row, const Value &valueOf, const Difference &differenceIntervalOf)
{
    const SeriesData &first = report.data.front();
    const std::optional<double> firstValue = valueOf(first);
    for (std::size_t i = 0; i < report.data.size(); ++i) {
        FigureCell cell{valueOf(report.data[i]), std::nullopt, std::nullopt};
        if (i > 0 && cell.value && firstValue) {
            cell.difference = *cell.value - *firstValue;
            cell.interval = differenceIntervalOf(report.data[i], first);
        }
        row.cells.push_back(cell);
    }
    return row;
}

std::optional<Interval> noInterval(const SeriesData & /*arm*/, const SeriesData & /*first*/)
{
    return std::nullopt;
}

std::optional<Interval> inPercent(const Interval &interval)
{
    return Interval{interval.low * percent, interval.high * percent};
}

FigureRow
countRow(const ExperimentReport &report, const std::string &name, std::uint64_t (*countOf)(const SeriesData &))
{
    FigureRow row{name, "", {}};
    for (const SeriesData &data : report.data) {
        row.cells.push_back({static_cast<double>(countOf(data)), std::nullopt, std::nullopt});
    }
    return row;
}

FigureRow quantileRow(const ExperimentReport &report, const std::string &name, Measure measure, double share)
{
    const auto valueOf = [&](const SeriesData &data) -> std::optional<double> {
        const HistogramData &histogram = measureOf(data, measure);
        return histogram.count == 0 ? std::nullopt : std::optional<double>(histogram.quantile(share));
    };
    const auto estimateOf = [&](const SeriesData &data) {
        const HistogramData &histogram = measureOf(data, measure);
        return Estimate{histogram.quantile(share), quantileInterval(histogram, share)};
    };
    return rowOf(report, {name, "ms", {}}, valueOf, [&](const SeriesData &arm, const SeriesData &first) {
        return std::optional<Interval>(differenceOfEstimates(estimateOf(arm), estimateOf(first)));
    });
}

SampleSummary summaryOf(const SeriesData &data)
{
    const auto count = static_cast<double>(data.cachedShares);
    if (data.cachedShares < 2) {
        return {data.cachedShareSum, 0, data.cachedShares};
    }
    const double mean = data.cachedShareSum / count;
    const double squares = data.cachedShareSquares - count * mean * mean;
    return {mean, std::max(squares, 0.0) / (count - 1), data.cachedShares};
}

FigureRow reuseRow(const ExperimentReport &report)
{
    const auto valueOf = [](const SeriesData &data) -> std::optional<double> {
        return data.cachedShares == 0 ? std::nullopt : std::optional<double>(summaryOf(data).mean * percent);
    };
    return rowOf(report,
                 {"cache reuse (mean share of a prompt)", "%", {}},
                 valueOf,
                 [](const SeriesData &arm, const SeriesData &first) {
                     return inPercent(differenceOfMeans(summaryOf(arm), summaryOf(first)));
                 });
}

FigureRow shareRow(const ExperimentReport &report,
                   const std::string &name,
                   std::uint64_t (*hitsOf)(const SeriesData &),
                   std::uint64_t (*allOf)(const SeriesData &))
{
    return rowOf(
        report,
        {name, "%", {}},
        [&](const SeriesData &data) { return percentOf(hitsOf(data), allOf(data)); },
        [&](const SeriesData &arm, const SeriesData &first) {
            return inPercent(differenceOfShares(hitsOf(arm), allOf(arm), hitsOf(first), allOf(first)));
        });
}

std::uint64_t requestsOf(const SeriesData &data)
{
    return data.requests();
}

std::uint64_t retriesOf(const SeriesData &data)
{
    return data.retries;
}

std::uint64_t firstTokensOf(const SeriesData &data)
{
    return measureOf(data, Measure::FirstToken).count;
}

std::uint64_t betweenTokensOf(const SeriesData &data)
{
    return measureOf(data, Measure::BetweenTokens).count;
}

void fillRows(ExperimentReport &report)
{
    constexpr double half = 0.5;
    constexpr double most = 0.95;
    constexpr double nearlyAll = 0.99;
    report.rows = {
        countRow(report, "requests", requestsOf),
        countRow(report, "first token, samples", firstTokensOf),
        quantileRow(report, "first token p50", Measure::FirstToken, half),
        quantileRow(report, "first token p95", Measure::FirstToken, most),
        quantileRow(report, "first token p99", Measure::FirstToken, nearlyAll),
        countRow(report, "between tokens, samples", betweenTokensOf),
        quantileRow(report, "between tokens p50", Measure::BetweenTokens, half),
        quantileRow(report, "between tokens p95", Measure::BetweenTokens, most),
        reuseRow(report),
        shareRow(report, "refusals (of requests)", refusals, requestsOf),
        shareRow(report, "retries (of dispatches)", retriesOf, dispatchesOf),
        rowOf(report, {"skew (busiest target over mean)", "", {}}, skewOf, noInterval),
    };
}

} // namespace

std::vector<ExperimentReport> compareArms(const MetricsSnapshot &snapshot)
{
    std::vector<ExperimentReport> reports;
    for (const auto &entry : snapshot.arms) {
        if (reports.empty() || reports.back().name != entry.first.experiment) {
            reports.push_back({entry.first.experiment, {}, {}, {}});
        }
        reports.back().arms.push_back(entry.first.arm);
        reports.back().data.push_back(entry.second);
    }
    for (ExperimentReport &report : reports) {
        fillRows(report);
    }
    return reports;
}

std::uint64_t refusals(const SeriesData &data)
{
    std::uint64_t count = 0;
    for (const Outcome outcome :
         {Outcome::RefusedLimit, Outcome::RefusedFull, Outcome::RefusedDeadline, Outcome::RefusedNoQuorum}) {
        count += data.outcomes.at(static_cast<std::size_t>(outcome));
    }
    return count;
}

std::uint64_t dispatchesOf(const SeriesData &data)
{
    std::uint64_t count = 0;
    for (const auto &entry : data.dispatches) {
        count += entry.second;
    }
    return count;
}

std::optional<double> skewOf(const SeriesData &data)
{
    if (data.dispatches.empty()) {
        return std::nullopt;
    }
    const auto busiest = std::max_element(data.dispatches.begin(),
                                          data.dispatches.end(),
                                          [](const auto &a, const auto &b) { return a.second < b.second; });
    const double mean = static_cast<double>(dispatchesOf(data)) / static_cast<double>(data.dispatches.size());
    return static_cast<double>(busiest->second) / mean;
}

std::optional<double> percentOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? std::nullopt
                      : std::optional<double>(percent * static_cast<double>(part) / static_cast<double>(whole));
}

} // namespace Sequoiausher
