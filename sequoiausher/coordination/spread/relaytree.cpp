#include "sequoiausher/coordination/spread/relaytree.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** Adds the children of place, with unreachable ones replaced by theirs. 0 is the root; order[i] is at place i + 1. */
void addChildren(std::size_t place,
                 std::size_t fanOut,
                 const std::vector<std::size_t> &order,
                 const std::vector<InstanceId> &members,
                 const ReachableTest &isReachable,
                 std::vector<InstanceId> &children)
{
    std::vector<std::size_t> places{place};
    while (!places.empty()) {
        const std::size_t parent = places.back();
        places.pop_back();
        for (std::size_t i = 1; i <= fanOut; ++i) {
            const std::size_t child = parent * fanOut + i;
            if (child > order.size()) {
                break;
            }
            const InstanceId &member = members[order[child - 1]];
            if (isReachable(member)) {
                children.push_back(member);
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

    /**
     * Returns a member's place in rendezvous order, counted from 1, without sorting: most places have no children, and
     * then children() needs no order.
     */
    std::size_t placeOf(std::size_t member, std::uint64_t key) const
    {
        const std::uint64_t hash = this->hashes[member];
        const std::uint64_t weight = rendezvousWeight(hash, key);
        const auto before = std::count_if(this->hashes.begin(), this->hashes.end(), [=](std::uint64_t other) {
            const std::uint64_t otherWeight = rendezvousWeight(other, key);
            return otherWeight != weight ? otherWeight > weight : other > hash;
        });
        return static_cast<std::size_t>(before) + 1;
    }
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
    const std::vector<InstanceId> &members = this->d->members;
    std::size_t place = 0;
    if (!self.empty()) {
        const auto &hashes = this->d->hashes;
        const auto found = std::find(hashes.begin(), hashes.end(), hash64(self.value));
        if (found == hashes.end()) {
            return {};
        }
        place = this->d->placeOf(static_cast<std::size_t>(found - hashes.begin()), key);
    }
    if (place * fanOut + 1 > members.size()) {
        return {};
    }
    const auto order = rendezvousOrder(this->d->hashes, key, members.size());
    std::vector<InstanceId> children;
    addChildren(place, fanOut, order, members, isReachable, children);
    return children;
}

const std::vector<InstanceId> &RelayTree::members() const
{
    return this->d->members;
}

} // namespace Sequoiausher
