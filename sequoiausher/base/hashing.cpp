#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <string>

#include <xxhash.h>

namespace Sequoiausher {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

ClaimKey claimKeyOf(const OrganisationId &organisation, std::string_view idempotencyKey)
{
    // The leading length distinguishes ("ab", "c") from ("a", "bc").
    std::string joined = std::to_string(organisation.value.size()) + ":" + organisation.value;
    joined += idempotencyKey;
    const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
    return ClaimKey{hash.high64, hash.low64};
}

std::uint64_t prefixHashOf(const OrganisationId &organisation, std::string_view prefix)
{
    if (prefix.empty()) {
        return 0;
    }
    return std::max(hash64(prefix, hash64(organisation.value)), std::uint64_t{1});
}

std::uint64_t rendezvousWeight(std::uint64_t memberHash, std::uint64_t keyHash)
{
    // The finaliser of SplitMix64 over both hashes: cheap enough for thousands of members per request.
    std::uint64_t mixed = memberHash ^ (keyHash * 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

double unitDraw(std::uint64_t hash)
{
    // The number of bits that a double represents exactly.
    constexpr unsigned int droppedBits = 11;
    constexpr double steps = 9007199254740992.0;
    return (static_cast<double>(hash >> droppedBits) + 1) / steps;
}

std::vector<std::size_t>
rendezvousOrder(const std::vector<std::uint64_t> &memberHashes, std::uint64_t keyHash, std::size_t count)
{
    std::vector<std::uint64_t> weights(memberHashes.size());
    std::transform(memberHashes.begin(), memberHashes.end(), weights.begin(), [keyHash](std::uint64_t member) {
        return rendezvousWeight(member, keyHash);
    });
    std::vector<std::size_t> order(memberHashes.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const std::size_t kept = std::min(count, order.size());
    const auto before = [&](std::size_t a, std::size_t b) {
        return weights[a] != weights[b] ? weights[a] > weights[b] : memberHashes[a] > memberHashes[b];
    };
    if (kept == order.size()) {
        std::sort(order.begin(), order.end(), before);
    } else {
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(), before);
    }
    order.resize(kept);
    return order;
}

} // namespace Sequoiausher
