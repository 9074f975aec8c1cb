#pragma once

// The platform's list of instances, with the hashes by which the witnesses of a key are selected.
//
//     const InstanceList list = makeInstanceList({InstanceId{"r1"}, InstanceId{"r2"}});
//     const std::vector<InstanceId> five = list.selectInstances(key, 5);

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/base/identifiers.h"

#include <cstdint>
#include <vector>

namespace Sequoiausher {

/** Instances sorted by name, without duplicates; built by makeInstanceList. */
struct InstanceList
{
    std::vector<InstanceId> names;
    std::vector<std::uint64_t> hashes;

    bool operator==(const InstanceList &) const = default;

    bool contains(const InstanceId &instance) const;
    /** The count instances with the highest rendezvous weight for key, highest first. */
    std::vector<InstanceId> selectInstances(const ClaimKey &key, std::size_t count) const;
    /** Whether selectInstances(key, count) contains instance. */
    bool isSelected(const InstanceId &instance, const ClaimKey &key, std::size_t count) const;
};

/** The hash of a key that is passed to rendezvousWeight and rendezvousOrder. */
std::uint64_t rendezvousHash(const ClaimKey &key);

/** Sorts names, removes duplicates, and hashes each name. */
InstanceList makeInstanceList(std::vector<InstanceId> names);

} // namespace Sequoiausher
