#include "sequoiausher/coordination/spread/relaytree.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** Adds the children of place (0 is the root, member i stands at place i + 1), stepping over unreachable ones. */
void addChildren(std::size_t place,
                 std::size_t fanOut,
                 const std::vector<InstanceId> &inOrder,
                 const ReachableTest &isReachable,
                 std::vector<InstanceId> &children)
{
    std::vector<std::size_t> places{place};
    while (!places.empty()) {
        const std::size_t parent = places.back();
        places.pop_back();
        for (std::size_t i = 1; i <= fanOut; ++i) {
            const std::size_t child = parent * fanOut + i;
            if (child > inOrder.size()) {
                break;
            }
            if (isReachable(inOrder[child - 1])) {
                children.push_back(inOrder[child - 1]);
            } else {
                places.push_back(child);
            }
        }
    }
}

} // namespace

class RelayTree::Private
{
public:
    std::vector<InstanceId> members;
    std::vector<std::uint64_t> hashes;
};

RelayTree::RelayTree(std::vector<InstanceId> members) : d(new Private{std::move(members), {}})
{
    this->d->hashes.reserve(this->d->members.size());
    for (const InstanceId &member : this->d->members) {
        this->d->hashes.push_back(hash64(member.value));
    }
}
RelayTree::~RelayTree() = default;
RelayTree::RelayTree(RelayTree &&) noexcept = default;
RelayTree &RelayTree::operator=(RelayTree &&) noexcept = default;

std::vector<InstanceId>
RelayTree::rootChildren(std::uint64_t key, std::size_t fanOut, const ReachableTest &isReachable) const
{
    return this->children(InstanceId{}, key, fanOut, isReachable);
}

std::vector<InstanceId> RelayTree::children(const InstanceId &self,
                                            std::uint64_t key,
                                            std::size_t fanOut,
                                            const ReachableTest &isReachable) const
{
    std::vector<InstanceId> inOrder;
    inOrder.reserve(this->d->members.size());
    for (const std::size_t index : rendezvousOrder(this->d->hashes, key, this->d->members.size())) {
        inOrder.push_back(this->d->members[index]);
    }
    std::size_t place = 0;
    if (!self.empty()) {
        const auto found = std::find(inOrder.begin(), inOrder.end(), self);
        if (found == inOrder.end()) {
            return {};
        }
        place = static_cast<std::size_t>(found - inOrder.begin()) + 1;
    }
    std::vector<InstanceId> children;
    addChildren(place, fanOut, inOrder, isReachable, children);
    return children;
}

const std::vector<InstanceId> &RelayTree::members() const
{
    return this->d->members;
}

} // namespace Sequoiausher
