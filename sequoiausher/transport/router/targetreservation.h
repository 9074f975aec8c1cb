#pragma once

// Reserves a place on a target of the request's pool. At first avoids the targets that failed requests of this router.
//
//     TargetReservation reservation(node, order);
//     reservation.ask(excluded);                                // ends in reservationEnded of the request
//     if (noTarget && reservation.askAgainWithPaused()) return; // there were only targets left alone

#include "sequoiausher/transport/router/sessionorder.h"

#include <vector>

namespace Sequoiausher {

class Node;

/** The reservation of one request at the owner of its chat's shard. */
class TargetReservation
{
public:
    /** @param node and order outlive it. */
    TargetReservation(Node &node, const SessionOrder &order);

    /** @param excluded targets that cannot serve this request. */
    void ask(const std::vector<TargetId> &excluded);
    /**
     * After "no target": repeats the request without avoiding targets, since all those of the chat's shard may be
     * avoided here. @return false if none was avoided.
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
