#pragma once

// A histogram of durations that can be merged exactly over workers and routers.
//
//     Histogram firstToken;
//     firstToken.add(123.5);                           // milliseconds
//     const HistogramData seen = firstToken.data();
//     const double p95 = seen.quantile(0.95);
//
// Why fixed buckets: Boost.Accumulators' quantile estimators (extended_p_square) keep a few moving markers, which
// cannot be merged: the p95 of a fleet does not follow from the p95 of its routers. Counts in fixed buckets can be
// added, and yield a quantile within half a bucket, 9% of its value. Count, sum, extremes and variance are computed by
// Boost.Accumulators and merged by the formula of Chan, Golub and LeVeque (1979).

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace Sequoiausher {

/** Four buckets for each doubling, so a bucket is 19% wide; from 0.1 ms to some 14 minutes. */
inline constexpr std::size_t bucketsPerDoubling = 4;
inline constexpr std::size_t bucketDoublings = 23;
inline constexpr std::size_t bucketCount = bucketsPerDoubling * bucketDoublings;
inline constexpr double smallestBucketMs = 0.1;

/** The upper bound of a bucket in milliseconds; the last bucket also contains everything above its bound. */
double bucketBound(std::size_t bucket);

/** The bucket of a time. Times below the smallest bound, and NaN, are in bucket 0. */
std::size_t bucketOf(double milliseconds);

/** The contents of a histogram, as plain data that can be merged. */
struct HistogramData
{
    std::array<std::uint64_t, bucketCount> buckets{};
    std::uint64_t count = 0;
    double sum = 0;
    double mean = 0;
    /** The sum of squared distances from the mean. */
    double squares = 0;
    double smallest = 0;
    double largest = 0;

    /** The quantile in milliseconds, within 9%; 0 if there are no values. @param share from 0 to 1. */
    double quantile(double share) const;
    /** The sample variance; 0 for fewer than two values. */
    double variance() const;
    /** Adds the contents of the other histogram. */
    void merge(const HistogramData &other);
};

/** Collects values. Not thread-safe. */
class Histogram
{
public:
    Histogram();
    ~Histogram();
    Histogram(Histogram &&) noexcept;
    Histogram &operator=(Histogram &&) noexcept;

    /** Adds a time in milliseconds; negative ones and NaN count as 0. */
    void add(double milliseconds);
    HistogramData data() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
