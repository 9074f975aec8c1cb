#include "sequoiausher/cli/svgplot.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Sequoiausher {

namespace {

constexpr double width = 640;
constexpr double left = 60;
constexpr double right = 620;
constexpr double top = 40;
constexpr double plotHeight = 220;
constexpr double rowHeight = 26;
constexpr double labelWidth = 250;

std::string number(double value)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << value;
    return out.str();
}

std::string shortNumber(double value)
{
    std::ostringstream out;
    constexpr double thousand = 1000;
    if (value >= thousand) {
        out << std::fixed << std::setprecision(0) << value;
    } else {
        out << std::setprecision(3) << value;
    }
    return out.str();
}

std::string textAt(double x, double y, const std::string &anchor, const std::string &text)
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\" text-anchor=\"" + anchor + "\">" + escaped(text)
        + "</text>\n";
}

std::string lineFrom(double x1, double y1, double x2, double y2, const std::string &look)
{
    return "<line class=\"" + look + "\" x1=\"" + number(x1) + "\" y1=\"" + number(y1) + "\" x2=\"" + number(x2)
        + "\" y2=\"" + number(y2) + "\"/>\n";
}

std::string look(std::size_t arm)
{
    return "arm" + std::to_string(arm % armLooks);
}

std::string opening(const std::string &title, double height)
{
    return "<svg viewBox=\"0 0 " + number(width) + " " + number(height) + "\" role=\"img\" aria-label=\""
        + escaped(title) + "\">\n" + textAt(left, top / 2, "start", title);
}

/** Decades that hold every value of every line. */
struct Decades
{
    double low = 0;
    double high = 0;

    double x(double milliseconds) const
    {
        const double place
            = (std::log10(std::max(milliseconds, smallestBucketMs)) - this->low) / (this->high - this->low);
        return left + std::clamp(place, 0.0, 1.0) * (right - left);
    }
};

Decades decadesOf(const std::vector<PlotLine> &lines)
{
    double smallest = bucketBound(bucketCount - 1);
    double largest = smallestBucketMs;
    for (const PlotLine &line : lines) {
        if (line.data.count > 0) {
            smallest = std::min(smallest, std::max(line.data.smallest, smallestBucketMs));
            largest = std::max(largest, line.data.largest);
        }
    }
    const double low = std::floor(std::log10(smallest));
    return {low, std::max(std::ceil(std::log10(largest)), low + 1)};
}

std::string axes(const Decades &decades)
{
    const double bottom = top + plotHeight;
    std::string svg;
    for (double decade = decades.low; decade <= decades.high; ++decade) {
        const double x = decades.x(std::pow(10, decade));
        svg += lineFrom(x, top, x, bottom, "grid")
            + textAt(x, bottom + 18, "middle", shortNumber(std::pow(10, decade)));
    }
    for (const int share : {0, 25, 50, 75, 100}) {
        const double y = bottom - plotHeight * share / 100;
        svg += lineFrom(left, y, right, y, "grid") + textAt(left - 8, y + 4, "end", std::to_string(share) + "%");
    }
    return svg + textAt(right, bottom + 36, "end", "ms");
}

std::string curve(const PlotLine &line, const Decades &decades, std::size_t arm)
{
    const double bottom = top + plotHeight;
    std::string points;
    std::uint64_t below = 0;
    for (std::size_t bucket = 0; bucket < bucketCount && below < line.data.count; ++bucket) {
        if (line.data.buckets.at(bucket) == 0) {
            continue;
        }
        const auto add = [&](double milliseconds) {
            const double share = static_cast<double>(below) / static_cast<double>(line.data.count);
            points += number(decades.x(milliseconds)) + "," + number(bottom - plotHeight * share) + " ";
        };
        add(bucket == 0 ? smallestBucketMs : bucketBound(bucket - 1));
        below += line.data.buckets.at(bucket);
        add(bucketBound(bucket));
    }
    return "<polyline class=\"" + look(arm) + "\" points=\"" + points + "\"/>\n";
}

double largestEnd(const std::vector<PlotInterval> &rows)
{
    double largest = 1;
    for (const PlotInterval &row : rows) {
        for (const double end : {row.value, row.interval.low, row.interval.high}) {
            if (std::isfinite(end)) {
                largest = std::max(largest, std::abs(end));
            }
        }
    }
    return largest;
}

} // namespace

std::string escaped(const std::string &text)
{
    std::string safe;
    for (const char c : text) {
        switch (c) {
        case '&':
            safe += "&amp;";
            break;
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '"':
            safe += "&quot;";
            break;
        default:
            safe += c;
        }
    }
    return safe;
}

std::string distributionPlot(const std::string &title, const std::vector<PlotLine> &lines)
{
    const bool any = std::any_of(lines.begin(), lines.end(), [](const PlotLine &line) { return line.data.count > 0; });
    if (!any) {
        return "";
    }
    const Decades decades = decadesOf(lines);
    const double legendTop = top + plotHeight + 36;
    std::string svg = opening(title, legendTop + rowHeight * static_cast<double>(lines.size())) + axes(decades);
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const double y = legendTop + rowHeight * static_cast<double>(i) + 8;
        svg += curve(lines[i], decades, i) + lineFrom(left, y, left + 36, y, look(i))
            + textAt(
                   left + 44, y + 4, "start", lines[i].name + ", " + std::to_string(lines[i].data.count) + " samples");
    }
    return svg + "</svg>\n";
}

std::string intervalPlot(const std::string &title, const std::vector<PlotInterval> &rows)
{
    if (rows.empty()) {
        return "";
    }
    const double end = largestEnd(rows);
    const double bottom = top + rowHeight * static_cast<double>(rows.size());
    const double middle = (labelWidth + right) / 2;
    const double half = (right - labelWidth) / 2;
    const auto x = [&](double value) { return middle + half * std::clamp(value / end, -1.0, 1.0); };
    std::string svg = opening(title, bottom + 30) + lineFrom(middle, top, middle, bottom, "axis");
    svg += textAt(x(-end), bottom + 20, "start", "-" + shortNumber(end) + "%")
        + textAt(middle, bottom + 20, "middle", "0") + textAt(x(end), bottom + 20, "end", "+" + shortNumber(end) + "%");
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const double y = top + rowHeight * (static_cast<double>(i) + 0.5);
        svg += textAt(labelWidth - 10, y + 4, "end", rows[i].name);
        svg += lineFrom(x(rows[i].interval.low), y, x(rows[i].interval.high), y, look(rows[i].arm));
        svg += "<circle class=\"" + look(rows[i].arm) + "\" cx=\"" + number(x(rows[i].value)) + "\" cy=\"" + number(y)
            + "\" r=\"4\"/>\n";
    }
    return svg + "</svg>\n";
}

} // namespace Sequoiausher
