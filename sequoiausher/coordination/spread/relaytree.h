#pragma once

// Computes the tree along which a new document is sent. Every router computes the same tree from the same list and key,
// so routers need not negotiate. Each revision has its own key and so another tree, which spreads the work.
//
//     const RelayTree tree(view.listed);
//     for (const InstanceId &child : tree.children(self, key, 8, isReachable)) { ... push ... }

#include "sequoiausher/base/identifiers.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** Returns whether a peer can be reached; a router without evidence against the peer returns true. */
using ReachableTest = std::function<bool(const InstanceId &)>;

/**
 * A tree of fan-out f over the members in rendezvous order for a key. Its root is not a member: any router that read
 * the document from the service sends it to the first f members, so no single instance is needed to start a change.
 */
class RelayTree
{
public:
    explicit RelayTree(std::vector<InstanceId> members = {});
    ~RelayTree();
    RelayTree(RelayTree &&) noexcept;
    RelayTree &operator=(RelayTree &&) noexcept;

    /** Returns the members that the root sends to: the first fanOut, each unreachable one replaced by its children. */
    std::vector<InstanceId> rootChildren(std::uint64_t key, std::size_t fanOut, const ReachableTest &isReachable) const;

    /**
     * Returns the members that self sends to, with the same replacement; none if self is not a member. An empty self is
     * the root, as in rootChildren().
     */
    std::vector<InstanceId>
    children(const InstanceId &self, std::uint64_t key, std::size_t fanOut, const ReachableTest &isReachable) const;

    const std::vector<InstanceId> &members() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
