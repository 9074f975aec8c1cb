#pragma once

// Whom a retry asks for the answer of an earlier attempt: the holder that the claim names, and where that does not know
// it any more, the routers to which it would have handed the answer when it stopped.
//
//     HolderSearch search;
//     search.begin(key, holder, makeInstanceList(reachable));
//     std::optional<InstanceId> asked = search.next();     // the holder
//     asked = search.next();                               // it does not know: a successor
//     ... std::nullopt: nobody knows, the outcome is unknown
//
// A router that stops gives each kept answer to the first of the live routers by rendezvous of the key, so no message
// is needed to say where an answer went: whoever looks for it computes the same order. An answer that moved on is with
// a router that was first when its last keeper stopped, of those that were live then. So it is found unless more than
// maxSuccessors - 1 of the routers before it were missing then: leaving themselves, or not on the keeper's list.

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/coordination/claims/instancelist.h"

#include <optional>
#include <vector>

namespace Sequoiausher {

/** How many routers are asked beside the holder. */
inline constexpr std::size_t maxSuccessors = 3;

/** The router of list that takes the answer of key over; std::nullopt where the list is empty. */
std::optional<InstanceId> successorFor(const InstanceList &list, const ClaimKey &key);

/** One search for one answer. A plain state machine. */
class HolderSearch
{
public:
    /** @param reachable the routers that seem to answer; where the holder is not among them, it is asked last. */
    void begin(const ClaimKey &key, const InstanceId &holder, const InstanceList &reachable);
    /** Whom to ask next; std::nullopt where all were asked. */
    std::optional<InstanceId> next();
    /**
     * Whether the one asked last is the holder. Only the holder may say that an attempt did not run: another router
     * knows what was handed to it and nothing else, so its word must never free the key.
     */
    bool isLastAskedHolder() const;

private:
    InstanceId claimHolder;
    std::vector<InstanceId> order;
    std::size_t asked = 0;
};

} // namespace Sequoiausher
