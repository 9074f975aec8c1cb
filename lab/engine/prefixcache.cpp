#include "lab/engine/prefixcache.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <list>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace Sequoiausher::Lab {

std::vector<std::uint64_t> prefixBlocks(const std::vector<std::uint64_t> &tokens)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t before = 0;
    for (std::size_t start = 0; start + prefixBlockTokens <= tokens.size(); start += prefixBlockTokens) {
        const auto *bytes = reinterpret_cast<const char *>(tokens.data() + start);
        before = hash64(std::string_view(bytes, prefixBlockTokens * sizeof(std::uint64_t)), before);
        blocks.push_back(before);
    }
    return blocks;
}

class PrefixCache::Private
{
public:
    explicit Private(std::size_t blocks) : capacity(blocks)
    {
    }

    void evictOldest();

    std::size_t capacity;
    std::list<std::uint64_t> byUse;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
    std::vector<CacheChange> changes;
};

PrefixCache::PrefixCache(std::size_t capacity) : d(std::make_unique<Private>(capacity))
{
}

PrefixCache::~PrefixCache() = default;
PrefixCache::PrefixCache(PrefixCache &&other) noexcept = default;
PrefixCache &PrefixCache::operator=(PrefixCache &&other) noexcept = default;

std::size_t PrefixCache::cachedBlocks(const std::vector<std::uint64_t> &blocks) const
{
    std::size_t count = 0;
    while (count < blocks.size() && this->d->places.contains(blocks[count])) {
        ++count;
    }
    return count;
}

void PrefixCache::store(const std::vector<std::uint64_t> &blocks)
{
    const std::size_t kept = std::min(blocks.size(), this->d->capacity);
    for (std::size_t i = kept; i > 0; --i) {
        const std::uint64_t block = blocks[i - 1];
        const auto known = this->d->places.find(block);
        if (known != this->d->places.end()) {
            this->d->byUse.splice(this->d->byUse.begin(), this->d->byUse, known->second);
            continue;
        }
        if (this->d->places.size() == this->d->capacity) {
            this->d->evictOldest();
        }
        this->d->byUse.push_front(block);
        this->d->places.emplace(block, this->d->byUse.begin());
        this->d->changes.push_back({CacheChangeKind::Stored, block});
    }
}

void PrefixCache::Private::evictOldest()
{
    const std::uint64_t oldest = this->byUse.back();
    this->byUse.pop_back();
    this->places.erase(oldest);
    this->changes.push_back({CacheChangeKind::Evicted, oldest});
}

std::vector<CacheChange> PrefixCache::takeChanges()
{
    return std::exchange(this->d->changes, {});
}

std::size_t PrefixCache::size() const
{
    return this->d->places.size();
}

} // namespace Sequoiausher::Lab
