#pragma once

// The reservations that found no room in a shard and wait at its owner for a place that comes free.
//
//     for (const WaitingReservation &refused : list.add(now, {from, request, now + life})) { answer it: full }
//     list.serve([&](const WaitingReservation &next) { return tryToGrant(next); });
//     for (const WaitingReservation &late : list.takeExpired(now)) { answer it: full }
//
// Goes wrong without it: a freed place goes to whichever router asks first, so among the routers neither classes nor
// shares hold, and one organisation's surge moves the others' first token though each router's queue is fair.
//
// Served in the order of a router's own queue: the classes take turns (classturns.h), organisations share fairly within
// a class (fairflows.h). The list is soft state: each entry leaves after a short time and its router, which kept the
// request, may ask again; a lost list costs no more than that. Nothing here is counted on a target.

#include "sequoiausher/coordination/messages/admissionmessages.h"

#include <functional>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** A reservation not answered yet. */
struct WaitingReservation
{
    InstanceId from;
    ReserveRequest message;
    /** When it hears that there is no room. */
    Millis deadline;
};

/** Those of one shard. Not thread-safe. */
class WaitingList
{
public:
    explicit WaitingList(std::size_t maxWaiting);
    ~WaitingList();
    WaitingList(const WaitingList &) = delete;
    WaitingList &operator=(const WaitingList &) = delete;

    /**
     * Adds it, unless it waits already. Those that came before must not wait for longer than it.
     * @return what no longer waits as the list is full: of the lowest class, the organisation with most waiting loses
     *     its newest, which may be the added one itself.
     */
    std::vector<WaitingReservation> add(const WaitingReservation &reservation);

    /** Takes off one that its router gave up. Unknown ids have no effect. */
    void remove(const RequestId &request);

    /** Takes off all of one router. */
    void dropEntry(const InstanceId &entry);

    /**
     * Offers the first of each organisation and class, in the order of service, until all were turned down.
     * @param takes whether the one offered was answered; it then no longer waits, and its organisation's next is
     * offered.
     */
    void serve(const std::function<bool(const WaitingReservation &)> &tryGrant);

    /** Takes off those whose time is up. */
    std::vector<WaitingReservation> takeExpired(Millis now);

    bool contains(const RequestId &request) const;
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
