#include "lab/load/latencyhistogram.h"

#include <doctest/doctest.h>

using namespace Sequoiausher::Lab;

TEST_CASE("quantiles are within 1% above the exact ones, and merging loses nothing")
{
    LatencyHistogram odd;
    LatencyHistogram even;
    for (std::int64_t i = 1; i <= 100000; ++i) {
        (i % 2 == 0 ? even : odd).add(i * 7);
    }
    odd.merge(even);
    CHECK(odd.count() == 100000);
    CHECK(odd.largest() == 700000);
    for (const int percent : {1, 50, 95, 99, 100}) {
        const std::int64_t exact = 7000LL * percent;
        CAPTURE(percent);
        CHECK(odd.quantile(percent / 100.0) >= exact);
        CHECK(odd.quantile(percent / 100.0) <= exact + exact / 100 + 1);
    }
}

TEST_CASE("extremes have a bucket too")
{
    LatencyHistogram times;
    CHECK(times.quantile(0.5) == 0);
    times.add(-5);
    CHECK(times.quantile(1) == 0);
    times.add(std::int64_t{1} << 50);
    CHECK(times.quantile(0) == 0);
    CHECK(times.largest() == std::int64_t{1} << 50);
}
