#pragma once

// Stores the youngest known sum of each shard and selects the sums that the next gossip message carries.
//
//     SumTable sums(Millis{15000});
//     sums.setOwn(now, {{pool, 0, 12, 24}});
//     sums.merge(now, sumFromAPeer);

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/membershipmessages.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/**
 * Sums carry ages rather than times, so clocks of different routers are never compared. Each hop adds an allowance that
 * is longer than a message takes. Without the allowance, a sum that two routers send to each other would seem younger
 * with each echo and might replace the owner's next sum; pool totals would then stop changing.
 *
 * The least recently sent shard goes first. Every owner updates its sums all the time, so with the newest sum first a
 * few shards would fill every message. Not thread-safe.
 */
class SumTable
{
public:
    /** @param lifetime sums that are older are dropped. */
    explicit SumTable(Millis lifetime);
    ~SumTable();

    /** Stores sums that this router counted now; their age is ignored. */
    void setOwn(Millis now, const std::vector<ShardSum> &sums);
    /** Stores a sum from gossip if it is younger than the known one. */
    void merge(Millis now, const ShardSum &sum);
    /** Returns all sums that are younger than the lifetime, with their ages. */
    std::vector<ShardSum> all(Millis now) const;
    /** Returns at most count sums for one message, with their ages; each sum is sent at most sendLimit times. */
    std::vector<ShardSum> takeNews(Millis now, std::size_t count, std::uint32_t sendLimit);
    /** Drops sums that reached the lifetime; at most once a second, to save time. */
    void dropExpired(Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
