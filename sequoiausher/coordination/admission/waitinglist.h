#pragma once

// The reservations that found no room in a shard and wait at its owner for a free place.
//
//     for (const WaitingReservation &refused : list.add({from, request, now + maxWaitTime})) { answer Full }
//     list.serve([&](const WaitingReservation &next) { return tryToGrant(next); });
//     for (const WaitingReservation &late : list.takeExpired(now)) { answer Full }
//
// Without the list, a freed place would go to the router that asks next. Then neither classes nor shares would hold
// across routers, and a surge of one organisation would delay the first token of the others although each router's
// queue is fair.
//
// The order of service is that of a router's own queue: classes take turns (classscheduler.h), and organisations share
// fairly within a class (fairflows.h). The list is soft state: each reservation leaves after a short time, and its
// router, which still has the request, may ask again. If the list is lost, the routers ask again too. Waiting
// reservations are not counted on a target.

#include "sequoiausher/coordination/messages/admissionmessages.h"

#include <functional>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** A reservation that waits for a place. */
struct WaitingReservation
{
    InstanceId from;
    ReserveRequest message;
    /** When the reservation is refused if it has no place by then. */
    Millis deadline;
};

/** The waiting reservations of one shard. Not thread-safe. */
class WaitingList
{
public:
    explicit WaitingList(std::size_t maxWaiting);
    ~WaitingList();
    WaitingList(const WaitingList &) = delete;
    WaitingList &operator=(const WaitingList &) = delete;

    /**
     * Adds the reservation unless it waits already. Its deadline must not be before those of earlier reservations.
     * @return empty, or the one reservation removed because the list is full: in the lowest class, the newest of the
     *     organisation with the most waiting reservations. This may be the added one.
     */
    std::vector<WaitingReservation> add(const WaitingReservation &reservation);

    /** Removes a reservation that its router gave up. Unknown ids have no effect. */
    void remove(const RequestId &request);

    /** Removes all reservations of one router. */
    void dropEntry(const InstanceId &entry);

    /**
     * Passes the first reservation of each organisation and class to tryGrant, in the order of service, until tryGrant
     * has returned false for all of them.
     * @param tryGrant returns whether the reservation was answered; if so, the reservation is removed and the next one
     *     of the same organisation and class becomes the first.
     */
    void serve(const std::function<bool(const WaitingReservation &)> &tryGrant);

    /** Removes and returns the reservations whose deadline has passed. */
    std::vector<WaitingReservation> takeExpired(Millis now);

    bool contains(const RequestId &request) const;
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
