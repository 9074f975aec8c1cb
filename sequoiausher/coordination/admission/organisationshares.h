#pragma once

// Counts what each organisation holds in a shard and compares the count with an even share.
//
//     shares.add(organisation);
//     if (shares.isAboveShare(organisation, capacity)) { grant no place that is kept for others }
//
// An organisation is identified by a short hash of its name; 0 means that the organisation is not known. The hash fits
// into bytes of a reservation that were padding. Two organisations with the same hash are counted as one; for a given
// pair, the probability is 1 in 65536. Holdings that an owner counts from the reports of entries have no organisation
// and are not counted here.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace Sequoiausher {

/** The hash that identifies an organisation in reservations; never 0. */
std::uint16_t organisationHash(std::string_view name);

/** The counts of one shard. Not thread-safe. */
class OrganisationShares
{
public:
    /**
     * An organisation that holds at least this many even shares counts as above its share. With 1, organisations with
     * few requests would be above by chance: at a mean of two requests each, one in four of them at any time. With 2,
     * it is one in a hundred.
     */
    static constexpr std::uint64_t aboveShareFactor = 2;

    void add(std::uint16_t organisation);
    void remove(std::uint16_t organisation);

    /**
     * Whether the organisation holds at least aboveShareFactor times the capacity divided by the number of
     * organisations that hold something. Never true with one or two such organisations while the shard holds at most
     * its capacity. With a capacity of 0, true for each organisation that holds something.
     */
    bool isAboveShare(std::uint16_t organisation, std::uint64_t capacity) const;

    /** Whether any organisation is above its share. */
    bool isAnyAboveShare(std::uint64_t capacity) const;

    /**
     * Whether the organisation holds less than the capacity divided by the number of organisations that hold something.
     * Never true for 0.
     */
    bool isBelowShare(std::uint16_t organisation, std::uint64_t capacity) const;

private:
    std::map<std::uint16_t, std::size_t> held;
};

} // namespace Sequoiausher
