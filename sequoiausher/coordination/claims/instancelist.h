#pragma once

// The platform's list of instances, with the hashes that the choice of a key's witnesses needs.
//
//     const InstanceList list = makeInstanceList({InstanceId{"r1"}, InstanceId{"r2"}});
//     const std::vector<InstanceId> five = list.selectInstances(key, 5);

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/base/identifiers.h"

#include <cstdint>
#include <vector>

namespace Sequoiausher {

/** Instances in the order of their names, without duplicates; built by makeInstanceList. */
struct InstanceList
{
    std::vector<InstanceId> names;
    std::vector<std::uint64_t> hashes;

    bool operator==(const InstanceList &) const = default;

    bool contains(const InstanceId &instance) const;
    /** The count instances that come first for key by rendezvous, best first. */
    std::vector<InstanceId> selectInstances(const ClaimKey &key, std::size_t count) const;
    /** Whether instance is among them. */
    bool isSelected(const InstanceId &instance, const ClaimKey &key, std::size_t count) const;
};

/** The hash by which a key's witnesses are ordered, for rendezvousWeight. */
std::uint64_t witnessHash(const ClaimKey &key);

/** Sorts names, drops duplicates, and hashes them. */
InstanceList makeInstanceList(std::vector<InstanceId> names);

} // namespace Sequoiausher
