#pragma once

// Selects the news that the next gossip message carries: a bounded number of items, least often sent first, and the
// most recent first among those sent equally often. Each item is sent at most sendLimit times, a number that grows with
// the logarithm of the fleet's size.
//
//     NewsQueue<TargetId> queue;
//     queue.add(target);                              // new or changed: its count of sends starts at 0
//     for (const TargetId &id : queue.take(16, sendLimit)) { ... }

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Sequoiausher {

/**
 * The keys whose news still has to be sent. The number of sends after which news is dropped follows Das, Gupta and
 * Motivala, "SWIM", 2002: with a multiple of log n sends, news reaches all n routers with high probability.
 */
template<typename Key>
class NewsQueue
{
public:
    /** Queues news about key; earlier sends of the key no longer count. */
    void add(const Key &key)
    {
        this->remove(key);
        this->insert(key, Rank{0, --this->recencyCounter});
    }

    void remove(const Key &key)
    {
        const auto found = this->ranks.find(key);
        if (found != this->ranks.end()) {
            this->order.erase(found->second);
            this->ranks.erase(found);
        }
    }

    /** Returns at most count keys for one message. Each counts as sent, and is dropped after sendLimit sends. */
    std::vector<Key> take(std::size_t count, std::uint32_t sendLimit)
    {
        std::vector<Key> keys;
        std::vector<Rank> taken;
        for (auto at = this->order.begin(); at != this->order.end() && keys.size() < count; ++at) {
            taken.push_back(at->first);
            keys.push_back(at->second);
        }
        for (std::size_t i = 0; i < keys.size(); ++i) {
            this->remove(keys[i]);
            if (taken[i].sends + 1 < sendLimit) {
                this->insert(keys[i], Rank{taken[i].sends + 1, taken[i].recency});
            }
        }
        return keys;
    }

    std::size_t size() const
    {
        return this->ranks.size();
    }

private:
    /** Position of a key in the queue; the lowest rank is sent next. */
    struct Rank
    {
        std::uint32_t sends = 0;
        /** Decreases with each addition, and is unique. */
        std::int64_t recency = 0;

        auto operator<=>(const Rank &) const = default;
    };

    std::map<Rank, Key> order;
    std::map<Key, Rank> ranks;
    std::int64_t recencyCounter = 0;

    void insert(const Key &key, const Rank &rank)
    {
        this->order.emplace(rank, key);
        this->ranks.emplace(key, rank);
    }
};

} // namespace Sequoiausher
