#pragma once

// The youngest known sum of each shard, as it travels on gossip.
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
 * Sums carry ages rather than times, so no two clocks are compared. Each hop adds an allowance that is longer than a
 * message takes: without it a sum that two routers tell each other would grow younger with each echo and might replace
 * the owner's next one, which would show as pool totals that stand still. Every owner counts anew all the time, so the
 * shard not sent for longest goes first: with the newest first, a few shards would take every message. Not thread-safe.
 */
class SumTable
{
public:
    /** @param lifetime a sum older than this is forgotten. */
    explicit SumTable(Millis lifetime);
    ~SumTable();

    void setOwn(Millis now, const std::vector<ShardSum> &sums);
    void merge(Millis now, const ShardSum &sum);
    std::vector<ShardSum> all(Millis now) const;
    /** At most count sums for one message, with their ages. */
    std::vector<ShardSum> takeNews(Millis now, std::size_t count, std::uint32_t sendLimit);
    void dropExpired(Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
