#include "lab/engine/prefixcache.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace Sequoiausher::Lab;

namespace {

std::vector<std::uint64_t> tokensFrom(std::uint64_t first, std::size_t count)
{
    std::vector<std::uint64_t> tokens(count);
    std::iota(tokens.begin(), tokens.end(), first);
    return tokens;
}

} // namespace

TEST_CASE("a prompt that goes on shares the blocks of its start, another prompt shares none")
{
    const auto first = prefixBlocks(tokensFrom(1, 40));
    const auto longer = prefixBlocks(tokensFrom(1, 64));
    const auto other = prefixBlocks(tokensFrom(2, 64));
    REQUIRE(first.size() == 2);
    REQUIRE(longer.size() == 4);
    CHECK(longer[0] == first[0]);
    CHECK(longer[1] == first[1]);
    PrefixCache cache(8);
    cache.store(first);
    CHECK(cache.cachedBlocks(longer) == 2);
    CHECK(cache.cachedBlocks(other) == 0);
}

TEST_CASE("the least recently used prompt loses its blocks first, its end before its start")
{
    const auto old = prefixBlocks(tokensFrom(1, 32));
    const auto young = prefixBlocks(tokensFrom(100, 32));
    const auto next = prefixBlocks(tokensFrom(200, 16));
    PrefixCache cache(4);
    cache.store(old);
    cache.store(young);
    cache.takeChanges();
    cache.store(next);
    CHECK(cache.size() == 4);
    CHECK(cache.cachedBlocks(old) == 1);
    CHECK(cache.cachedBlocks(young) == 2);
    const auto changes = cache.takeChanges();
    REQUIRE(changes.size() == 2);
    CHECK(changes[0] == CacheChange{CacheChangeKind::Evicted, old[1]});
    CHECK(changes[1] == CacheChange{CacheChangeKind::Stored, next[0]});
}

TEST_CASE("a prompt longer than the cache keeps its start, and no capacity caches nothing")
{
    const auto blocks = prefixBlocks(tokensFrom(1, 160));
    PrefixCache small(3);
    small.store(blocks);
    CHECK(small.cachedBlocks(blocks) == 3);
    PrefixCache none(0);
    none.store(blocks);
    CHECK(none.size() == 0);
}
