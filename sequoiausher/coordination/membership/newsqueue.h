#pragma once

// Chooses which news rides on the next message: bounded in number, least often sent first, the most recent first among
// equals, each at most a number of times that grows with the logarithm of the fleet's size.
//
//     NewsQueue<TargetId> queue;
//     queue.add(target);                              // new, or changed: starts over
//     for (const TargetId &id : queue.take(16, limit)) { ... }

#include <algorithm>
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
        this->entries[key] = Entry{0, ++this->clock};
    }

    void remove(const Key &key)
    {
        this->entries.erase(key);
    }

    /** At most count keys for one message; each is counted as sent, and dropped once sent sendLimit times. */
    std::vector<Key> take(std::size_t count, std::uint32_t sendLimit)
    {
        std::vector<typename Entries::iterator> order;
        order.reserve(this->entries.size());
        for (auto at = this->entries.begin(); at != this->entries.end(); ++at) {
            order.push_back(at);
        }
        const std::size_t taken = std::min(count, order.size());
        std::partial_sort(order.begin(),
                          order.begin() + static_cast<std::ptrdiff_t>(taken),
                          order.end(),
                          [](const auto &a, const auto &b) {
                              return a->second.sends != b->second.sends ? a->second.sends < b->second.sends
                                                                        : a->second.addedAt > b->second.addedAt;
                          });
        std::vector<Key> keys;
        for (std::size_t i = 0; i < taken; ++i) {
            keys.push_back(order[i]->first);
            if (++order[i]->second.sends >= sendLimit) {
                this->entries.erase(order[i]);
            }
        }
        return keys;
    }

    std::size_t size() const
    {
        return this->entries.size();
    }

private:
    struct Entry
    {
        std::uint32_t sends = 0;
        std::uint64_t addedAt = 0;
    };
    using Entries = std::map<Key, Entry>;

    Entries entries;
    std::uint64_t clock = 0;
};

} // namespace Sequoiausher
