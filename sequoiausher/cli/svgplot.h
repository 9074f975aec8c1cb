#pragma once

// Plots as SVG text, for a page that needs neither network nor scripts. Colours come from the page's CSS (classes
// arm0 to arm5), and each arm has a dash pattern too, so that a plot reads without colours.
//
//     page += distributionPlot("First token", {{"tight", data}});

#include "sequoiausher/base/metrics/histogram.h"
#include "sequoiausher/base/metrics/intervals.h"

#include <string>
#include <vector>

namespace Sequoiausher {

/** How many arms have a look of their own; further ones begin again. */
inline constexpr std::size_t armLooks = 6;

/** One line of a distribution plot. */
struct PlotLine
{
    std::string name;
    HistogramData data;
};

/** One row of an interval plot. */
struct PlotInterval
{
    std::string name;
    double value = 0;
    Interval interval;
    /** Which arm's look. */
    std::size_t arm = 0;
};

/** Text that is safe in HTML and SVG. */
std::string escaped(const std::string &text);

/** The share of values below each time, on a logarithmic axis; empty where no line has values. */
std::string distributionPlot(const std::string &title, const std::vector<PlotLine> &lines);

/** Values with their intervals around zero, in percent of the first arm's value; empty without rows. */
std::string intervalPlot(const std::string &title, const std::vector<PlotInterval> &rows);

} // namespace Sequoiausher
