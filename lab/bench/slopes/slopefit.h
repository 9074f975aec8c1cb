#pragma once

// A straight line through measured values, as docs/CAPACITY.md multiplies it: what a role costs per target, per
// message or per router, and how well a line describes it.
//
//     const SlopeFit fit = fitSlope({{10, 5100}, {100, 50200}, {1000, 500900}});
//     fit.slope;    // about 500 for each

#include <vector>

namespace Sequoiausher {

/** One run: how large the thing was, and what it cost. */
struct SlopeSample
{
    double size = 0;
    double cost = 0;
};

/** cost = intercept + slope * size, near enough. */
struct SlopeFit
{
    double slope = 0;
    double intercept = 0;
    /** The root of the mean square distance from the line, as a share of the mean cost; 0 is a perfect line. */
    double residual = 0;
};

/**
 * The line with the least sum of squared distances.
 * @throws std::invalid_argument with samples of fewer than two sizes.
 */
SlopeFit fitSlope(const std::vector<SlopeSample> &samples);

} // namespace Sequoiausher
