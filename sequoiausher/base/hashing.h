#pragma once

// Stable hashes (XXH3) and rendezvous order. Routers of different builds must compute the same values from the same
// names, so nothing here depends on std::hash.
//
//     const auto witnesses = rendezvousTop(instances, hash64("key"), 5);

#include "sequoiausher/base/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** XXH3 with 64 bits. */
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/** The claim key of an organisation's idempotency key: XXH3 with 128 bits over both, unambiguously joined. */
ClaimKey claimKeyOf(const OrganisationId &organisation, std::string_view idempotencyKey);

/**
 * The hash of a prompt prefix that an organisation's chats share, by its id or text; 0 only for an empty prefix. It
 * depends on the organisation, because two organisations may use the same id for different prompts.
 */
std::uint64_t prefixHashOf(const OrganisationId &organisation, std::string_view prefix);

/**
 * The weight of member for key; the member with the highest weight comes first.
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
std::uint64_t rendezvousWeight(std::uint64_t memberHash, std::uint64_t keyHash);

/** Maps a hash to (0, 1], uniformly distributed. */
double unitDraw(std::uint64_t hash);

/**
 * The indexes of the `count` members with the highest weight for keyHash, in descending order; all of them if there are
 * fewer. Equal weights are ordered by member hash, so that the order is the same on every router.
 */
std::vector<std::size_t>
rendezvousOrder(const std::vector<std::uint64_t> &memberHashes, std::uint64_t keyHash, std::size_t count);

/** The `count` names with the highest weight for keyHash, in descending order. */
template<typename Name>
std::vector<Name> rendezvousTop(const std::vector<Name> &members, std::uint64_t keyHash, std::size_t count)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(members.size());
    for (const Name &member : members) {
        hashes.push_back(hash64(member.value));
    }
    std::vector<Name> top;
    for (const std::size_t index : rendezvousOrder(hashes, keyHash, count)) {
        top.push_back(members[index]);
    }
    return top;
}

} // namespace Sequoiausher
