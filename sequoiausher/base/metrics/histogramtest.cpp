#include "sequoiausher/base/metrics/histogram.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

using namespace Sequoiausher;

TEST_CASE("a value lies at or below its bucket's bound and above the one before")
{
    for (std::size_t bucket = 1; bucket < bucketCount; ++bucket) {
        CHECK(bucketOf(bucketBound(bucket)) == bucket);
        CHECK(bucketOf(bucketBound(bucket - 1) * 1.0001) == bucket);
    }
    CHECK(bucketOf(0) == 0);
    CHECK(bucketOf(std::numeric_limits<double>::quiet_NaN()) == 0);
    CHECK(bucketOf(1e18) == bucketCount - 1);
}

TEST_CASE("quantiles are within a tenth of the exact ones, however the values were split and merged")
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> times(4, 1.2);
    std::vector<double> values;
    std::vector<Histogram> workers(5);
    Histogram whole;
    for (int i = 0; i < 20000; ++i) {
        values.push_back(times(random));
        workers[random() % workers.size()].add(values.back());
        whole.add(values.back());
    }
    std::sort(values.begin(), values.end());
    HistogramData merged;
    for (const Histogram &worker : workers) {
        merged.merge(worker.data());
    }
    for (const double share : {0.5, 0.9, 0.95, 0.99}) {
        const double exact = values[static_cast<std::size_t>(share * static_cast<double>(values.size()))];
        CHECK(std::abs(merged.quantile(share) / exact - 1) < 0.1);
        CHECK(merged.quantile(share) == doctest::Approx(whole.data().quantile(share)));
    }
    CHECK(merged.count == values.size());
    CHECK(merged.mean == doctest::Approx(whole.data().mean));
    CHECK(merged.variance() == doctest::Approx(whole.data().variance()));
    CHECK(merged.smallest == values.front());
    CHECK(merged.largest == values.back());
}

TEST_CASE("an empty histogram has no surprises")
{
    HistogramData empty = Histogram().data();
    CHECK(empty.quantile(0.5) == 0);
    CHECK(empty.variance() == 0);
    empty.merge(HistogramData{});
    CHECK(empty.count == 0);
}
