#pragma once

// The limited prompt-prefix cache of a stand-in engine: blocks of consecutive prompt tokens, each named by a hash
// over itself and all blocks before it, the least recently used given up first.
//
//     PrefixCache cache(1024);
//     const auto blocks = prefixBlocks(words);
//     const std::size_t hit = cache.cachedBlocks(blocks) * prefixBlockTokens;
//     cache.store(blocks);

#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace Sequoiausher {

namespace Lab {

/** Tokens in one block of the cache. */
inline constexpr std::size_t prefixBlockTokens = 16;

/** The names of the whole blocks at the start of a prompt; a last part shorter than a block has none. */
std::vector<std::uint64_t> prefixBlocks(const std::vector<std::uint64_t> &tokens);

/** What became of a block. */
enum class CacheChangeKind {
    Stored,
    Evicted,
};

/** One change of the cache's content. */
struct CacheChange
{
    CacheChangeKind kind = CacheChangeKind::Stored;
    std::uint64_t block = 0;

    bool operator==(const CacheChange &) const = default;
};

/** A least-recently-used set of blocks. */
class PrefixCache
{
public:
    /** @param capacity how many blocks fit; 0 caches nothing. */
    explicit PrefixCache(std::size_t capacity);
    ~PrefixCache();
    PrefixCache(PrefixCache &&other) noexcept;
    PrefixCache &operator=(PrefixCache &&other) noexcept;

    /** How many of blocks, from the first on without a gap, are cached. Does not count as a use. */
    std::size_t cachedBlocks(const std::vector<std::uint64_t> &blocks) const;

    /**
     * Stores or renews blocks. The first block of a prompt counts as used last, since a block is worth nothing
     * without those before it. A prompt longer than the cache keeps its start.
     */
    void store(const std::vector<std::uint64_t> &blocks);

    /** The changes since the last call, oldest first. */
    std::vector<CacheChange> takeChanges();

    /** Blocks held, at most the capacity. */
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Lab

template<>
inline constexpr auto nameTable<Lab::CacheChangeKind> = std::to_array<NameEntry<Lab::CacheChangeKind>>({
    {Lab::CacheChangeKind::Stored, "stored"},
    {Lab::CacheChangeKind::Evicted, "evicted"},
});

} // namespace Sequoiausher
