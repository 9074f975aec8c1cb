#include "sequoiausher/base/metrics/intervals.h"

#include <doctest/doctest.h>

#include <limits>

using namespace Sequoiausher;

TEST_CASE("Wilson's interval agrees with published values")
{
    // Newcombe, 1998, table I: 81 of 263 gives 0.2553 to 0.3662; 0 of 20 gives 0 to 0.1611.
    CHECK(wilsonInterval(81, 263).low == doctest::Approx(0.2553).epsilon(0.001));
    CHECK(wilsonInterval(81, 263).high == doctest::Approx(0.3662).epsilon(0.001));
    CHECK(wilsonInterval(0, 20).low == 0);
    CHECK(wilsonInterval(0, 20).high == doctest::Approx(0.1611).epsilon(0.001));
    CHECK(wilsonInterval(0, 0).high == 1);
}

TEST_CASE("the difference of two shares agrees with published values")
{
    // Newcombe, 1998, table II: 56 of 70 less 48 of 80 gives 0.0524 to 0.3339.
    const Interval difference = differenceOfShares(56, 70, 48, 80);
    CHECK(difference.low == doctest::Approx(0.0524).epsilon(0.002));
    CHECK(difference.high == doctest::Approx(0.3339).epsilon(0.002));
    CHECK(difference.excludesZero());
    CHECK(!differenceOfShares(5, 10, 5, 10).excludesZero());
    CHECK(!differenceOfShares(0, 0, 5, 10).excludesZero());
}

TEST_CASE("the difference of two means")
{
    CHECK(differenceOfMeans({10, 4, 100}, {9, 4, 100}).excludesZero());
    CHECK(!differenceOfMeans({10, 4, 5}, {9, 4, 5}).excludesZero());
    CHECK(!differenceOfMeans({10, 0, 1}, {1, 0, 100}).excludesZero());
}

TEST_CASE("the interval of a quantile holds it, and has no end where there are too few values")
{
    Histogram histogram;
    for (int i = 1; i <= 1000; ++i) {
        histogram.add(i);
    }
    const HistogramData data = histogram.data();
    // By the order statistics: ranks 469 to 531 for the median; the buckets add up to one bucket, 19%.
    const Interval median = quantileInterval(data, 0.5);
    CHECK(median.low <= 469);
    CHECK(median.low >= 469 / 1.19);
    CHECK(median.high >= 531);
    CHECK(median.high <= 531 * 1.19);
    Histogram equal;
    for (int i = 0; i < 100; ++i) {
        equal.add(20);
    }
    CHECK(quantileInterval(equal.data(), 0.5).low < 20);
    CHECK(quantileInterval(equal.data(), 0.5).high > 20);
    Histogram few;
    few.add(10);
    CHECK(quantileInterval(few.data(), 0.99).high == std::numeric_limits<double>::infinity());
    CHECK(quantileInterval(HistogramData{}, 0.5).low == 0);
}

TEST_CASE("a difference of estimates adds the distances of their ends by squares")
{
    const Interval difference = differenceOfEstimates({10, {7, 14}}, {4, {1, 8}});
    CHECK(difference.low == doctest::Approx(6 - 5));
    CHECK(difference.high == doctest::Approx(6 + 5));
}
