#pragma once

// Selects the routers that a retry asks for the answer of an earlier attempt: the holder that the claim names, and, if
// the holder no longer has the answer, the routers to which it would have handed the answer over when it stopped.
//
//     HolderSearch search;
//     search.begin(key, holder, makeInstanceList(reachable));
//     std::optional<InstanceId> asked = search.next();     // the holder
//     asked = search.next();                               // the holder does not have the answer: a successor
//     ... std::nullopt: all were asked, the outcome is unknown
//
// A stopping router hands each kept answer over to the live router with the highest rendezvous weight for the key. No
// message is needed to announce the new place of an answer, since a searching router computes the same order. A moved
// answer is kept by the router that had the highest weight among the live routers when the previous one stopped. The
// search therefore finds the answer unless more than maxSuccessors - 1 routers of higher weight were missing at that
// time, because they were stopping too or were not on the list of the previous router.

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/coordination/claims/instancelist.h"

#include <optional>
#include <vector>

namespace Sequoiausher {

/** The number of routers asked in addition to the holder. */
inline constexpr std::size_t maxSuccessors = 3;

/** The router of list to which the answer of key is handed over; std::nullopt if the list is empty. */
std::optional<InstanceId> successorFor(const InstanceList &list, const ClaimKey &key);

/** The search for one answer. A plain state machine. */
class HolderSearch
{
public:
    /** @param reachable the routers believed to be reachable; if the holder is not among them, it is asked last. */
    void begin(const ClaimKey &key, const InstanceId &holder, const InstanceList &reachable);
    /** The router to ask next; std::nullopt if all were asked. */
    std::optional<InstanceId> next();
    /**
     * Whether the router asked last is the holder. Only the holder may state that an attempt did not run. Another
     * router has only the answers that were handed over to it, so its statement must never free the key.
     */
    bool isLastAskedHolder() const;

private:
    InstanceId claimHolder;
    std::vector<InstanceId> order;
    std::size_t asked = 0;
};

} // namespace Sequoiausher
