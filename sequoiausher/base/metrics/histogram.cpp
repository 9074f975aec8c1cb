#include "sequoiausher/base/metrics/histogram.h"

#include <algorithm>
#include <cmath>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/accumulators/statistics/variance.hpp>

namespace Sequoiausher {

namespace {

namespace Accumulators = boost::accumulators;

using Moments = Accumulators::accumulator_set<double,
                                              Accumulators::stats<Accumulators::tag::count,
                                                                  Accumulators::tag::sum,
                                                                  Accumulators::tag::min,
                                                                  Accumulators::tag::max,
                                                                  Accumulators::tag::mean,
                                                                  Accumulators::tag::variance>>;

} // namespace

double bucketBound(std::size_t bucket)
{
    return smallestBucketMs * std::exp2(static_cast<double>(bucket) / static_cast<double>(bucketsPerDoubling));
}

std::size_t bucketOf(double milliseconds)
{
    if (!(milliseconds > smallestBucketMs)) {
        return 0;
    }
    const double position = std::log2(milliseconds / smallestBucketMs) * static_cast<double>(bucketsPerDoubling);
    // Rounding may put a time that equals a bound one bucket too high; the small subtraction corrects this.
    constexpr double rounding = 1e-9;
    const double bucket = std::ceil(position - rounding);
    return static_cast<std::size_t>(std::min(bucket, static_cast<double>(bucketCount - 1)));
}

double HistogramData::quantile(double share) const
{
    if (this->count == 0) {
        return 0;
    }
    const double wanted = std::clamp(share, 0.0, 1.0) * static_cast<double>(this->count);
    double below = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        below += static_cast<double>(this->buckets[bucket]);
        if (below >= wanted && this->buckets[bucket] > 0) {
            // The middle of the bucket on the logarithmic scale halves the greatest error.
            const double middle = bucketBound(bucket) / std::exp2(0.5 / static_cast<double>(bucketsPerDoubling));
            return std::clamp(middle, this->smallest, this->largest);
        }
    }
    return this->largest;
}

double HistogramData::variance() const
{
    return this->count < 2 ? 0 : this->squares / static_cast<double>(this->count - 1);
}

void HistogramData::merge(const HistogramData &other)
{
    if (other.count == 0) {
        return;
    }
    if (this->count == 0) {
        *this = other;
        return;
    }
    const double mine = static_cast<double>(this->count);
    const double theirs = static_cast<double>(other.count);
    const double distance = other.mean - this->mean;
    this->squares += other.squares + distance * distance * mine * theirs / (mine + theirs);
    this->mean += distance * theirs / (mine + theirs);
    this->count += other.count;
    this->sum += other.sum;
    this->smallest = std::min(this->smallest, other.smallest);
    this->largest = std::max(this->largest, other.largest);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        this->buckets[bucket] += other.buckets[bucket];
    }
}

class Histogram::Private
{
public:
    Moments moments;
    std::array<std::uint64_t, bucketCount> buckets{};
};

Histogram::Histogram() : d(std::make_unique<Private>())
{
}

Histogram::~Histogram() = default;
Histogram::Histogram(Histogram &&) noexcept = default;
Histogram &Histogram::operator=(Histogram &&) noexcept = default;

void Histogram::add(double milliseconds)
{
    const double value = milliseconds > 0 ? milliseconds : 0;
    this->d->moments(value);
    ++this->d->buckets[bucketOf(value)];
}

HistogramData Histogram::data() const
{
    HistogramData data;
    data.buckets = this->d->buckets;
    data.count = Accumulators::count(this->d->moments);
    if (data.count == 0) {
        return data;
    }
    data.sum = Accumulators::sum(this->d->moments);
    data.mean = Accumulators::mean(this->d->moments);
    // Boost computes the variance of the population.
    data.squares = Accumulators::variance(this->d->moments) * static_cast<double>(data.count);
    data.smallest = (Accumulators::min)(this->d->moments);
    data.largest = (Accumulators::max)(this->d->moments);
    return data;
}

} // namespace Sequoiausher
