#pragma once

// Confidence intervals for comparing the arms of an experiment: a difference counts only if its interval excludes zero.
//
//     const Interval difference = differenceOfShares(refusedA, allA, refusedB, allB);
//     if (difference.excludesZero()) { ... }

#include "sequoiausher/base/metrics/histogram.h"

#include <cstdint>

namespace Sequoiausher {

/** An interval that contains the true value with the given confidence. */
struct Interval
{
    double low = 0;
    double high = 0;

    bool excludesZero() const
    {
        return this->low > 0 || this->high < 0;
    }
};

/** The normal deviate of a two-sided confidence of 95%. */
inline constexpr double deviate95 = 1.959963984540054;

/**
 * The interval of a share. Source: Wilson, "Probable inference, the law of succession, and statistical inference",
 * 1927. From 0 to 1 if total is 0.
 */
Interval wilsonInterval(std::uint64_t hits, std::uint64_t total, double deviate = deviate95);

/**
 * The interval of share A less share B. Source: Newcombe, "Interval estimation for the difference between independent
 * proportions", 1998, method 10 (from two Wilson intervals).
 */
Interval differenceOfShares(std::uint64_t hitsA,
                            std::uint64_t totalA,
                            std::uint64_t hitsB,
                            std::uint64_t totalB,
                            double deviate = deviate95);

/** Mean, sample variance and number of values of one arm. */
struct SampleSummary
{
    double mean = 0;
    double variance = 0;
    std::uint64_t count = 0;
};

/** The normal interval of mean A less mean B; unbounded if an arm has fewer than two values. */
Interval differenceOfMeans(const SampleSummary &a, const SampleSummary &b, double deviate = deviate95);

/**
 * The interval of a quantile, by the order statistics that the binomial distribution of the ranks leaves, in its normal
 * approximation. Source: Conover, "Practical Nonparametric Statistics", 1999, section 3.2. It is widened by half a
 * bucket (9%) at each end. With too few values for a bound, the lower one is 0 and the upper one infinity.
 */
Interval quantileInterval(const HistogramData &data, double share, double deviate = deviate95);

/** An estimated value with its interval. */
struct Estimate
{
    double value = 0;
    Interval interval;
};

/**
 * The interval of A less B from the intervals of both. Source: Zou and Donner, "Construction of confidence limits about
 * effect measures: a general approach", 2008 (the method of variance estimates recovery).
 */
Interval differenceOfEstimates(const Estimate &a, const Estimate &b);

} // namespace Sequoiausher
