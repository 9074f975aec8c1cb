#include "sequoiausher/base/metrics/intervals.h"

#include <cmath>
#include <limits>

namespace Sequoiausher {

namespace {

double shareOf(std::uint64_t hits, std::uint64_t total)
{
    return total == 0 ? 0.5 : static_cast<double>(hits) / static_cast<double>(total);
}

} // namespace

Interval wilsonInterval(std::uint64_t hits, std::uint64_t total, double deviate)
{
    if (total == 0) {
        return {0, 1};
    }
    const double n = static_cast<double>(total);
    const double share = shareOf(hits, total);
    const double square = deviate * deviate;
    const double centre = (share + square / (2 * n)) / (1 + square / n);
    const double half = deviate / (1 + square / n) * std::sqrt(share * (1 - share) / n + square / (4 * n * n));
    return {std::fmax(0, centre - half), std::fmin(1, centre + half)};
}

Interval
differenceOfShares(std::uint64_t hitsA, std::uint64_t totalA, std::uint64_t hitsB, std::uint64_t totalB, double deviate)
{
    const double a = shareOf(hitsA, totalA);
    const double b = shareOf(hitsB, totalB);
    const Interval ofA = wilsonInterval(hitsA, totalA, deviate);
    const Interval ofB = wilsonInterval(hitsB, totalB, deviate);
    const double below = std::hypot(a - ofA.low, ofB.high - b);
    const double above = std::hypot(ofA.high - a, b - ofB.low);
    return {a - b - below, a - b + above};
}

Interval differenceOfMeans(const SampleSummary &a, const SampleSummary &b, double deviate)
{
    if (a.count < 2 || b.count < 2) {
        return {-std::numeric_limits<double>::infinity(), std::numeric_limits<double>::infinity()};
    }
    const double error
        = std::sqrt(a.variance / static_cast<double>(a.count) + b.variance / static_cast<double>(b.count));
    const double difference = a.mean - b.mean;
    return {difference - deviate * error, difference + deviate * error};
}

Interval quantileInterval(const HistogramData &data, double share, double deviate)
{
    constexpr double none = std::numeric_limits<double>::infinity();
    if (data.count == 0) {
        return {0, none};
    }
    // A value may lie anywhere in its bucket, up to half a bucket from the estimate of the histogram.
    const double halfBucket = std::exp2(0.5 / bucketsPerDoubling);
    const double half = deviate * std::sqrt(share * (1 - share) / static_cast<double>(data.count));
    const double low = share - half <= 0 ? 0 : data.quantile(share - half) / halfBucket;
    return {low, share + half >= 1 ? none : data.quantile(share + half) * halfBucket};
}

Interval differenceOfEstimates(const Estimate &a, const Estimate &b)
{
    const double difference = a.value - b.value;
    const double below = std::hypot(a.value - a.interval.low, b.interval.high - b.value);
    const double above = std::hypot(a.interval.high - a.value, b.value - b.interval.low);
    return {difference - below, difference + above};
}

} // namespace Sequoiausher
