#include "sequoiausher/cli/reporthtml.h"

#include "sequoiausher/cli/reporttext.h"
#include "sequoiausher/cli/svgplot.h"

#include <cmath>

namespace Sequoiausher {

namespace {

constexpr const char *head = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta name="color-scheme" content="light dark">
<title>sequoiausher report</title>
<style>
:root { --ink: #1c2024; --paper: #ffffff; --faint: #d5d9de; --clear: #0b6b3a;
  --a0: #1f5fbf; --a1: #c2410c; --a2: #0f7a5a; --a3: #8b2fb0; --a4: #8a6d00; --a5: #b0215c; }
@media (prefers-color-scheme: dark) {
  :root { --ink: #e6e8eb; --paper: #15181c; --faint: #3a4048; --clear: #5fd39a;
    --a0: #7fb2ff; --a1: #ff9b66; --a2: #5fd3b0; --a3: #d99bf5; --a4: #e5c558; --a5: #ff8fba; }
}
body { background: var(--paper); color: var(--ink); font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 70em;
  padding: 0 1em; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border-bottom: 1px solid var(--faint); padding: .25em .7em; text-align: right; white-space: nowrap; }
th:first-child, td:first-child { text-align: left; }
td.clear { color: var(--clear); font-weight: bold; }
.plots { display: flex; flex-wrap: wrap; gap: 1em; }
svg { flex: 1 1 28em; max-width: 40em; }
svg text { fill: var(--ink); font: 13px sans-serif; }
svg .grid { stroke: var(--faint); }
svg .axis { stroke: var(--ink); }
svg polyline { fill: none; }
svg .arm0 { stroke: var(--a0); } svg .arm1 { stroke: var(--a1); stroke-dasharray: 7 3; }
svg .arm2 { stroke: var(--a2); stroke-dasharray: 2 3; } svg .arm3 { stroke: var(--a3); stroke-dasharray: 9 3 2 3; }
svg .arm4 { stroke: var(--a4); stroke-dasharray: 12 4; } svg .arm5 { stroke: var(--a5); stroke-dasharray: 4 2; }
svg polyline, svg line[class^=arm] { stroke-width: 2.2; }
svg circle { fill: var(--paper); stroke-width: 2.2; stroke-dasharray: none !important; }
</style>
</head>
<body>
<h1>sequoiausher report</h1>
)";

std::string cell(const char *tag, const std::string &text, const std::string &look = "")
{
    const std::string attribute = look.empty() ? "" : " class=\"" + look + "\"";
    return "<" + std::string(tag) + attribute + ">" + escaped(text) + "</" + tag + ">";
}

std::string rowOf(const char *tag, const std::vector<std::string> &cells)
{
    std::string row = "<tr>";
    for (const std::string &text : cells) {
        row += cell(tag, text);
    }
    return row + "</tr>\n";
}

std::string figureRow(const FigureRow &row)
{
    std::string text = "<tr>" + cell("td", row.name) + cell("td", row.unit);
    for (std::size_t i = 0; i < row.cells.size(); ++i) {
        const FigureCell &figure = row.cells[i];
        text += cell("td", figureText(figure.value));
        if (i > 0) {
            const bool clear = figure.interval && figure.interval->excludesZero();
            text += cell("td", figureText(figure.difference), clear ? "clear" : "")
                + cell("td", intervalText(figure.interval), clear ? "clear" : "");
        }
    }
    return text + "</tr>\n";
}

std::string figureTable(const ExperimentReport &report)
{
    std::vector<std::string> headCells{"figure", "unit"};
    for (std::size_t i = 0; i < report.arms.size(); ++i) {
        headCells.push_back(report.arms[i]);
        if (i > 0) {
            headCells.push_back(report.arms[i] + " less " + report.arms.front());
            headCells.emplace_back("95% interval");
        }
    }
    std::string table = "<div class=\"scroll\"><table>\n" + rowOf("th", headCells);
    for (const FigureRow &row : report.rows) {
        table += figureRow(row);
    }
    return table + "</table></div>\n";
}

std::string distribution(const ExperimentReport &report, const std::string &title, Measure measure)
{
    std::vector<PlotLine> lines;
    for (std::size_t i = 0; i < report.arms.size(); ++i) {
        lines.push_back({report.arms[i], report.data[i].measures.at(static_cast<std::size_t>(measure))});
    }
    return distributionPlot(title, lines);
}

/** Differences in percent of the first arm's value, so that figures of different units share an axis. */
std::string differences(const ExperimentReport &report)
{
    constexpr double percent = 100;
    std::vector<PlotInterval> rows;
    for (const FigureRow &row : report.rows) {
        const std::optional<double> first = row.cells.front().value;
        for (std::size_t i = 1; i < row.cells.size(); ++i) {
            const FigureCell &figure = row.cells[i];
            if (!first || *first == 0 || !figure.difference || !figure.interval) {
                continue;
            }
            const double scale = percent / *first;
            const std::string name = report.arms.size() > 2 ? row.name + ", " + report.arms[i] : row.name;
            const Interval interval{figure.interval->low * scale, figure.interval->high * scale};
            rows.push_back({name, *figure.difference * scale, interval, i});
        }
    }
    return intervalPlot("Differences to " + report.arms.front() + " with 95% intervals", rows);
}

std::string experimentHtml(const ExperimentReport &report)
{
    return "<h2>Experiment " + escaped(report.name) + "</h2>\n" + figureTable(report) + "<div class=\"plots\">\n"
        + distribution(report, "First token: share of requests below", Measure::FirstToken)
        + distribution(report, "Between tokens: share of gaps below", Measure::BetweenTokens) + differences(report)
        + "</div>\n";
}

} // namespace

std::string
reportHtml(const std::vector<ExperimentReport> &experiments, const MetricsSnapshot &snapshot, const std::string &source)
{
    std::string page = head;
    page += "<p>" + escaped(source)
        + ". Bold differences have an interval without zero. Intervals take requests for independent; quantiles are "
          "exact within 9%.</p>\n";
    if (experiments.empty()) {
        page += "<p>No rule names an experiment that had requests.</p>\n";
    }
    for (const ExperimentReport &experiment : experiments) {
        page += experimentHtml(experiment);
    }
    page += "<h2>Organisations</h2>\n<div class=\"scroll\"><table>\n" + rowOf("th", seriesHead());
    for (const auto &entry : snapshot.series) {
        page += rowOf("td", seriesCells(entry.first, entry.second));
    }
    return page + "</table></div>\n</body>\n</html>\n";
}

} // namespace Sequoiausher
