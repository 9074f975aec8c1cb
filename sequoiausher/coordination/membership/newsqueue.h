#pragma once

// Chooses which news rides on the next message: bounded in number, least often sent first, the most recent first among
// equals, each at most a number of times that grows with the logarithm of the fleet's size.
//
//     NewsQueue<TargetId> queue;
//     queue.add(target);                              // new, or changed: starts over
//     for (const TargetId &id : queue.take(16, limit)) { ... }

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Sequoiausher {

/**
 * The names about which there is news to tell. The number of sends at which news is dropped follows Das, Gupta and
 * Motivala, "SWIM", 2002: a multiple of log n reaches all with high probability.
 */
template<typename Key>
class NewsQueue
{
public:
    /** There is news about key; what was sent about it before no longer counts. */
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

    /** At most count keys for one message; each is counted as sent, and dropped once sent sendLimit times. */
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
    /** Where a key stands; the lowest is sent next. */
    struct Rank
    {
        std::uint32_t sends = 0;
        /** Falls with each addition, and is unique. */
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
