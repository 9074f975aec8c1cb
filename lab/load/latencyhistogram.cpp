#include "lab/load/latencyhistogram.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstddef>

namespace Sequoiausher::Lab {

namespace {

/** Times below 2^stepBits have a bucket each; above, each doubling is cut into 2^stepBits buckets. */
constexpr int stepBits = 7;
constexpr std::uint64_t stepsPerDoubling = 1U << stepBits;
constexpr int highestBit = 36;
constexpr std::size_t bucketCount = static_cast<std::size_t>(highestBit - stepBits + 1) * stepsPerDoubling;

std::size_t bucketOf(std::uint64_t micros)
{
    if (micros < stepsPerDoubling) {
        return static_cast<std::size_t>(micros);
    }
    const int shift = std::bit_width(micros) - 1 - stepBits;
    const std::uint64_t step = (micros >> shift) - stepsPerDoubling;
    const std::size_t bucket = static_cast<std::size_t>(shift + 1) * stepsPerDoubling + step;
    return std::min(bucket, bucketCount - 1);
}

/** The greatest time of a bucket. */
std::int64_t boundOf(std::size_t bucket)
{
    if (bucket < stepsPerDoubling) {
        return static_cast<std::int64_t>(bucket);
    }
    const std::uint64_t shift = bucket / stepsPerDoubling - 1;
    const std::uint64_t step = bucket % stepsPerDoubling + stepsPerDoubling;
    return static_cast<std::int64_t>(((step + 1) << shift) - 1);
}

} // namespace

LatencyHistogram::LatencyHistogram() : buckets(bucketCount)
{
}

void LatencyHistogram::add(std::int64_t micros)
{
    const std::int64_t time = std::max<std::int64_t>(0, micros);
    ++this->buckets[bucketOf(static_cast<std::uint64_t>(time))];
    ++this->total;
    this->greatest = std::max(this->greatest, time);
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    for (std::size_t i = 0; i < this->buckets.size(); ++i) {
        this->buckets[i] += other.buckets[i];
    }
    this->total += other.total;
    this->greatest = std::max(this->greatest, other.greatest);
}

std::uint64_t LatencyHistogram::count() const
{
    return this->total;
}

std::int64_t LatencyHistogram::quantile(double share) const
{
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(this->total)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < this->buckets.size(); ++i) {
        seen += this->buckets[i];
        if (seen > 0 && seen >= wanted) {
            return std::min(boundOf(i), this->greatest);
        }
    }
    return 0;
}

std::int64_t LatencyHistogram::largest() const
{
    return this->greatest;
}

} // namespace Sequoiausher::Lab
