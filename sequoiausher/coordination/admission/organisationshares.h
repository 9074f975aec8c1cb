#pragma once

// What each organisation holds of a shard, and whether that is far above an even share.
//
//     shares.add(organisation);
//     if (shares.isAboveShare(organisation, capacity)) { grant it no place that is kept for others }
//
// Organisations are known by a short hash of their name, 0 for none told; the hash fits into bytes of a reservation
// that were padding. Two that share a hash share a share: one in 65536 does with a given other. What an owner learnt
// from reports of entries tells no organisation and is not counted here.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace Sequoiausher {

/** What stands for an organisation in reservations; never 0. */
std::uint16_t organisationHash(std::string_view name);

/** The counts of one shard. Not thread-safe. */
class OrganisationShares
{
public:
    /**
     * How many even shares an organisation may hold before it counts as above. At one, the quiet ones of a fleet would
     * pass it by chance: with a mean of two requests each, one in four at any time, with two shares one in a hundred.
     */
    static constexpr std::uint64_t maxEvenShares = 2;

    void add(std::uint16_t organisation);
    void remove(std::uint16_t organisation);

    /**
     * Whether it holds at least maxEvenShares times the capacity divided by the organisations that hold something; with
     * one or two of these never.
     */
    bool isAboveShare(std::uint16_t organisation, std::uint64_t capacity) const;

    /** Whether any of them is. */
    bool isAnyAboveShare(std::uint64_t capacity) const;

    /** Whether it holds less than the capacity divided by the organisations that hold something; never for 0. */
    bool isBelowShare(std::uint16_t organisation, std::uint64_t capacity) const;

private:
    std::map<std::uint16_t, std::size_t> held;
};

} // namespace Sequoiausher
