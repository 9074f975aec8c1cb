#include "sequoiausher/cli/reporttext.h"

#include "sequoiausher/cli/texttable.h"

#include <cmath>
#include <iomanip>
#include <sstream>

namespace Sequoiausher {

namespace {

constexpr double half = 0.5;
constexpr double most = 0.95;
constexpr std::size_t organisationsShown = 30;

std::string verdict(const FigureCell &cell)
{
    if (!cell.interval) {
        return "";
    }
    return cell.interval->excludesZero() ? "clear" : "not clear";
}

std::string experimentText(const ExperimentReport &report)
{
    std::string text = "experiment " + report.name + "\n";
    std::vector<std::string> head{"FIGURE", "UNIT"};
    for (std::size_t i = 0; i < report.arms.size(); ++i) {
        head.push_back(report.arms[i]);
        if (i > 0) {
            head.push_back(report.arms[i] + " - " + report.arms.front());
            head.emplace_back("95% INTERVAL");
            head.emplace_back("VERDICT");
        }
    }
    TextTable table(head);
    for (const FigureRow &row : report.rows) {
        std::vector<std::string> line{row.name, row.unit};
        for (std::size_t i = 0; i < row.cells.size(); ++i) {
            line.push_back(figureText(row.cells[i].value));
            if (i > 0) {
                line.push_back(figureText(row.cells[i].difference));
                line.push_back(intervalText(row.cells[i].interval));
                line.push_back(verdict(row.cells[i]));
            }
        }
        table.add(line);
    }
    return text + table.toText();
}

std::string csvCell(const std::string &text)
{
    if (text.find_first_of(",\"\n") == std::string::npos) {
        return text;
    }
    std::string quoted = "\"";
    for (const char c : text) {
        quoted += c == '"' ? "\"\"" : std::string(1, c);
    }
    return quoted + "\"";
}

std::string csvNumber(const std::optional<double> &value)
{
    if (!value) {
        return "";
    }
    std::ostringstream out;
    out << std::setprecision(10) << *value;
    return out.str();
}

std::string csvLine(const std::vector<std::string> &cells)
{
    std::string line;
    for (const std::string &cell : cells) {
        line += (line.empty() ? "" : ",") + csvCell(cell);
    }
    return line + "\n";
}

std::string seriesCsv(const SeriesKey &key, const SeriesData &data)
{
    const std::string requestClass(nameOf(key.requestClass));
    const auto write = [&](const std::string &figure, const std::string &unit, const std::optional<double> &value) {
        return csvLine(
            {"organisation", key.organisation.value, requestClass, figure, unit, csvNumber(value), "", "", ""});
    };
    const HistogramData &firstToken = data.measures.at(static_cast<std::size_t>(Measure::FirstToken));
    const auto quantile = [&](double share) {
        return firstToken.count == 0 ? std::nullopt : std::optional<double>(firstToken.quantile(share));
    };
    return write("requests", "", static_cast<double>(data.requests())) + write("first token p50", "ms", quantile(half))
        + write("first token p95", "ms", quantile(most))
        + write("refusals (of requests)", "%", percentOf(refusals(data), data.requests()))
        + write("retries", "", static_cast<double>(data.retries))
        + write("cache reuse (tokens)", "%", percentOf(data.cachedTokens, data.promptTokens));
}

} // namespace

std::string figureText(double value)
{
    constexpr double large = 100;
    constexpr double small = 1;
    std::ostringstream out;
    if (std::isinf(value)) {
        return value > 0 ? "inf" : "-inf";
    }
    const double size = std::abs(value);
    const int digits = value == std::floor(value) || size >= large ? 0 : (size >= small ? 1 : 3);
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string figureText(const std::optional<double> &value)
{
    return value ? figureText(*value) : "";
}

std::string intervalText(const std::optional<Interval> &interval)
{
    return interval ? figureText(interval->low) + " to " + figureText(interval->high) : "";
}

std::vector<std::string> seriesHead()
{
    return {"ORGANISATION", "CLASS", "REQUESTS", "FIRST TOKEN P50 ms", "P95 ms", "REFUSED %", "RETRIES", "REUSE %"};
}

std::vector<std::string> seriesCells(const SeriesKey &key, const SeriesData &data)
{
    const HistogramData &firstToken = data.measures.at(static_cast<std::size_t>(Measure::FirstToken));
    const bool timed = firstToken.count > 0;
    return {key.organisation.value,
            std::string(nameOf(key.requestClass)),
            std::to_string(data.requests()),
            timed ? figureText(firstToken.quantile(half)) : "",
            timed ? figureText(firstToken.quantile(most)) : "",
            figureText(percentOf(refusals(data), data.requests())),
            std::to_string(data.retries),
            figureText(percentOf(data.cachedTokens, data.promptTokens))};
}

std::string reportText(const std::vector<ExperimentReport> &experiments, const MetricsSnapshot &snapshot)
{
    std::string text;
    for (const ExperimentReport &experiment : experiments) {
        text += experimentText(experiment) + "\n";
    }
    TextTable table(seriesHead());
    std::size_t shown = 0;
    for (const auto &entry : snapshot.series) {
        if (shown < organisationsShown) {
            table.add(seriesCells(entry.first, entry.second));
            ++shown;
        }
    }
    text += table.toText();
    if (snapshot.series.size() > shown) {
        text += "and " + std::to_string(snapshot.series.size() - shown) + " more; --csv has all\n";
    }
    return text;
}

std::string reportCsv(const std::vector<ExperimentReport> &experiments, const MetricsSnapshot &snapshot)
{
    std::string text = csvLine({"scope", "name", "part", "figure", "unit", "value", "difference", "low", "high"});
    for (const ExperimentReport &experiment : experiments) {
        for (const FigureRow &row : experiment.rows) {
            for (std::size_t i = 0; i < row.cells.size(); ++i) {
                const FigureCell &cell = row.cells[i];
                const auto low = cell.interval ? std::optional<double>(cell.interval->low) : std::nullopt;
                const auto high = cell.interval ? std::optional<double>(cell.interval->high) : std::nullopt;
                text += csvLine({"experiment",
                                 experiment.name,
                                 experiment.arms[i],
                                 row.name,
                                 row.unit,
                                 csvNumber(cell.value),
                                 csvNumber(cell.difference),
                                 csvNumber(low),
                                 csvNumber(high)});
            }
        }
    }
    for (const auto &entry : snapshot.series) {
        text += seriesCsv(entry.first, entry.second);
    }
    return text;
}

} // namespace Sequoiausher
