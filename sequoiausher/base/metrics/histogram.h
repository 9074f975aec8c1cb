#pragma once

// A histogram of times that can be merged exactly across workers and routers.
//
//     Histogram firstToken;
//     firstToken.add(123.5);                           // milliseconds
//     const HistogramData seen = firstToken.data();
//     const double p95 = seen.quantile(0.95);
//
// Why fixed buckets: Boost.Accumulators' quantile estimators (extended_p_square) keep a handful of moving markers,
// which cannot be merged: the p95 of a fleet is not to be had from the p95 of its routers. Counts in fixed buckets
// add up, and give a quantile within half a bucket, 9% of its value. Count, sum, extremes and variance come from
// Boost.Accumulators, and merge by the formula of Chan, Golub and LeVeque (1979).

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

/** The upper bound of a bucket in milliseconds; the last one's holds everything above as well. */
double bucketBound(std::size_t bucket);

/** The bucket that holds a time. Times below the smallest bound, and what is not a number, are in bucket 0. */
std::size_t bucketOf(double milliseconds);

/** What a histogram has seen; plain data that merges. */
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

    /** The time below which share of the values lie, in milliseconds, within 9%; 0 where there are none. */
    double quantile(double share) const;
    /** The sample variance; 0 where there are fewer than two values. */
    double variance() const;
    /** Adds what other has seen. */
    void merge(const HistogramData &other);
};

/** Collects values. Not thread-safe: the caller locks. */
class Histogram
{
public:
    Histogram();
    ~Histogram();
    Histogram(Histogram &&) noexcept;
    Histogram &operator=(Histogram &&) noexcept;

    /** Adds one time in milliseconds; negative ones and what is not a number count as 0. */
    void add(double milliseconds);
    HistogramData data() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
