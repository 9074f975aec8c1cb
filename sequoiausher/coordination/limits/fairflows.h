#pragma once

// The waiting requests of one class, scheduled fairly between organisations. Each organisation is a flow, which is
// first come, first served; flows share by work, not by number of requests.
//
//     FairFlows flows;
//     flows.add(entry);
//     const QueueEntry next = flows.takeNext();
//
// Source: Goyal, Vin and Cheng, "Start-time fair queueing", 1996. Each flow has a start tag. The flow with the lowest
// tag is served, and its tag grows by the cost of the request. A flow that becomes active again starts at the current
// virtual time, so an idle organisation neither accumulates credit nor pays for others. Tags grow when requests are
// served, not on arrival, so shedding and cancelling need no correction.

#include "sequoiausher/coordination/limits/dispatchqueue.h"

#include <functional>
#include <memory>
#include <optional>

namespace Sequoiausher {

/** If there are more flows than this, the tags of all idle flows are dropped. */
inline constexpr std::size_t maxRememberedFlows = 1024;

/** The flows of one class. Not thread-safe. */
class FairFlows
{
public:
    FairFlows();
    ~FairFlows();
    FairFlows(FairFlows &&) noexcept;
    FairFlows &operator=(FairFlows &&) noexcept;

    std::size_t size() const;
    bool empty() const;

    /** Adds a request after the others of its organisation. */
    void add(const QueueEntry &entry);
    /** Adds a request before the others of its organisation, and undoes the charge of takeFirst(). */
    void putBack(const QueueEntry &entry);
    /** Returns the number of waiting requests of an organisation. */
    std::size_t countWaiting(const OrganisationId &organisation) const;

    /** Takes the next request in fair order. Must not be called if there is none. */
    QueueEntry takeNext();
    /** Returns the organisation to serve next among those that mayDispatch accepts, if any of them waits. */
    std::optional<OrganisationId> next(const std::function<bool(const OrganisationId &)> &mayDispatch) const;
    /** Takes the first request of an organisation and charges its cost. The organisation must have one. */
    QueueEntry takeFirst(const OrganisationId &organisation);
    /** Returns the first request of an organisation, which must have one. */
    const QueueEntry &first(const OrganisationId &organisation) const;
    /** Removes a waiting request; false if there is no such request. */
    bool remove(const OrganisationId &organisation, const RequestId &request);

    /**
     * Returns the organisation with the most work waiting, which is the one furthest above its fair share. Counts
     * arriving as waiting. Among equals, the organisation of arriving is chosen, otherwise the first by name; without
     * arriving, the last by name. std::nullopt if no request waits and arriving is nullptr.
     */
    std::optional<OrganisationId> findMostBacklogged(const QueueEntry *arriving) const;
    /** Takes the last request of an organisation, which must have one. Charges nothing. */
    QueueEntry takeLast(const OrganisationId &organisation);

    /** Estimates how many requests would be served before a new one of this organisation, if no others arrive. */
    std::size_t countAheadOfNew(const OrganisationId &organisation) const;
    /** Calls visit with each waiting request and the estimated number of requests that would be served before it. */
    void forEach(const std::function<void(const QueueEntry &, std::size_t ahead)> &visit) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
