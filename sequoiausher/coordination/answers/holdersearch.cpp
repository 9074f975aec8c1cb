#include "sequoiausher/coordination/answers/holdersearch.h"

#include <algorithm>

namespace Sequoiausher {

std::optional<InstanceId> successorFor(const InstanceList &list, const ClaimKey &key)
{
    const std::vector<InstanceId> first = list.selectInstances(key, 1);
    return first.empty() ? std::nullopt : std::optional(first.front());
}

void HolderSearch::begin(const ClaimKey &key, const InstanceId &holder, const InstanceList &reachable)
{
    this->claimHolder = holder;
    this->asked = 0;
    // One more than needed, since the holder may be among them.
    this->order = reachable.selectInstances(key, maxSuccessors + 1);
    std::erase(this->order, holder);
    this->order.resize(std::min(this->order.size(), maxSuccessors));
    const bool first = reachable.contains(holder);
    this->order.insert(first ? this->order.begin() : this->order.end(), holder);
}

std::optional<InstanceId> HolderSearch::next()
{
    if (this->asked >= this->order.size()) {
        return std::nullopt;
    }
    return this->order[this->asked++];
}

bool HolderSearch::isLastAskedHolder() const
{
    return this->asked > 0 && this->order[this->asked - 1] == this->claimHolder;
}

} // namespace Sequoiausher
