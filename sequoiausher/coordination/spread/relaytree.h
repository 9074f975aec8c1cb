#pragma once

// The tree down which a new document travels. Every router works out the same tree from the same list and the same
// key, so nothing is negotiated, and a new key (each revision has one) gives another tree, which spreads the work.
//
//     const RelayTree tree(view.listed);
//     for (const InstanceId &child : tree.children(self, key, 8, isReachable)) { ... push ... }

#include "sequoiausher/base/identifiers.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** A router that knows of no reason against the peer passes true. */
using ReachableTest = std::function<bool(const InstanceId &)>;

/**
 * A tree of fan-out f over the members in rendezvous order for a key. Its root is no member: whoever learnt the
 * document from the service feeds the first f members, so no single instance is needed for a change to start.
 */
class RelayTree
{
public:
    explicit RelayTree(std::vector<InstanceId> members = {});
    ~RelayTree();
    RelayTree(RelayTree &&) noexcept;
    RelayTree &operator=(RelayTree &&) noexcept;

    /** The members that the root feeds: the first fanOut in order, or in place of each unreachable one its children. */
    std::vector<InstanceId> rootChildren(std::uint64_t key, std::size_t fanOut, const ReachableTest &isReachable) const;

    /** The members that self feeds, unreachable ones replaced likewise; none where self is no member. */
    std::vector<InstanceId>
    children(const InstanceId &self, std::uint64_t key, std::size_t fanOut, const ReachableTest &isReachable) const;

    const std::vector<InstanceId> &members() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
