#include "sequoiausher/coordination/claims/instancelist.h"

#include <algorithm>

namespace Sequoiausher {

std::uint64_t rendezvousHash(const ClaimKey &key)
{
    return key.high ^ key.low;
}

bool InstanceList::contains(const InstanceId &instance) const
{
    return std::binary_search(this->names.begin(), this->names.end(), instance);
}

std::vector<InstanceId> InstanceList::selectInstances(const ClaimKey &key, std::size_t count) const
{
    std::vector<InstanceId> members;
    for (const std::size_t index : rendezvousOrder(this->hashes, rendezvousHash(key), count)) {
        members.push_back(this->names[index]);
    }
    return members;
}

bool InstanceList::isSelected(const InstanceId &instance, const ClaimKey &key, std::size_t count) const
{
    const auto order = rendezvousOrder(this->hashes, rendezvousHash(key), count);
    return std::any_of(order.begin(), order.end(), [&](std::size_t index) { return this->names[index] == instance; });
}

InstanceList makeInstanceList(std::vector<InstanceId> names)
{
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    InstanceList list;
    for (const InstanceId &name : names) {
        list.hashes.push_back(hash64(name.value));
    }
    list.names = std::move(names);
    return list;
}

} // namespace Sequoiausher
