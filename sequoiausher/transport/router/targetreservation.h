#pragma once

// Asks for a place on a target of the request's pool, and leaves alone at first those that this router has had bad
// answers from.
//
//     TargetReservation reservation(node, order);
//     reservation.ask(excluded);                                // ends in reservationEnded of the request
//     if (noTarget && reservation.askAgainWithPaused()) return; // there were only targets left alone

#include "sequoiausher/transport/router/sessionorder.h"

#include <vector>

namespace Sequoiausher {

class Node;

/** What one request asks of the owner of its chat's shard. */
class TargetReservation
{
public:
    /** @param node and order outlive it. */
    TargetReservation(Node &node, const SessionOrder &order);

    /** @param excluded targets that cannot take this request at all. */
    void ask(const std::vector<TargetId> &excluded);
    /**
     * After "no target": asks once more where targets were left alone, since all that the chat's shard has may be
     * paused here, and then one of them is tried all the same. False where none was.
     */
    bool askAgainWithPaused();

private:
    void askWithout(std::vector<TargetId> unusable);

    Node &node;
    const SessionOrder &order;
    std::vector<TargetId> excluded;
    bool leftSomeAlone = false;
};

} // namespace Sequoiausher
