#pragma once

// Times in microseconds, counted in logarithmic buckets that are less than 1% wide: fine enough to tell what a router
// adds to a first token. The product's own histogram is coarser, since it must be small enough to be sent around.
//
//     LatencyHistogram times;
//     times.add(1234);
//     times.quantile(0.99);    // microseconds

#include <cstdint>
#include <vector>

namespace Sequoiausher::Lab {

/** A histogram that merges exactly. */
class LatencyHistogram
{
public:
    LatencyHistogram();

    /** Adds a time; negative ones count as 0, and ones above some 19 hours as that. */
    void add(std::int64_t micros);
    void merge(const LatencyHistogram &other);
    std::uint64_t count() const;
    /** The time that share of the values do not exceed, within 1% above; 0 where there are none. */
    std::int64_t quantile(double share) const;
    std::int64_t largest() const;

private:
    std::vector<std::uint64_t> buckets;
    std::uint64_t total = 0;
    std::int64_t greatest = 0;
};

} // namespace Sequoiausher::Lab
