#pragma once

// The waiting requests of one class, served fairly between organisations: each organisation is a flow of its own,
// first come first served within, and flows share by work and not by number of requests.
//
//     FairFlows flows;
//     flows.add(entry);
//     const QueueEntry next = flows.takeNext();
//
// Source: Goyal, Vin and Cheng, "Start-time fair queueing", 1996. Each flow has a start tag; the least is served, and
// its tag grows by the cost served. A flow that comes back starts at the present virtual time, so an organisation
// that was quiet neither saves up a claim nor pays for others. Tags are charged when served, not on arrival, so that
// shedding and cancelling need no correction.

#include "sequoiausher/coordination/limits/dispatchqueue.h"

#include <functional>
#include <memory>
#include <optional>

namespace Sequoiausher {

/** Tags of flows that wait for nothing are remembered for at most this many organisations. */
inline constexpr std::size_t maxRememberedFlows = 1024;

/** One class. Not thread-safe. */
class FairFlows
{
public:
    FairFlows();
    ~FairFlows();
    FairFlows(FairFlows &&) noexcept;
    FairFlows &operator=(FairFlows &&) noexcept;

    std::size_t size() const;
    bool empty() const;

    /** Adds behind those of the same organisation. */
    void add(const QueueEntry &entry);
    /** Adds before those of the same organisation, and takes back what takeNext() charged for it. */
    void putBack(const QueueEntry &entry);
    /** How many of an organisation wait. */
    std::size_t countWaiting(const OrganisationId &organisation) const;

    /** The next in fair order. Not to be called when empty. */
    QueueEntry takeNext();
    /** The organisation that comes next of those that mayDispatch accepts; std::nullopt where none of them waits. */
    std::optional<OrganisationId> next(const std::function<bool(const OrganisationId &)> &mayDispatch) const;
    /** The first of an organisation that waits; charges it. */
    QueueEntry takeFirst(const OrganisationId &organisation);
    /** The first of an organisation that waits. */
    const QueueEntry &first(const OrganisationId &organisation) const;
    /** Removes one that waits; false where it does not. */
    bool remove(const OrganisationId &organisation, const RequestId &request);

    /**
     * The organisation with most work waiting, which is the one furthest above its fair share, counting arriving as
     * if it waited already; of equals the one that comes last by name, with arriving's own before all others.
     * std::nullopt where nobody waits and nothing arrives.
     */
    std::optional<OrganisationId> findMostBacklogged(const QueueEntry *arriving) const;
    /** Takes away the last one of an organisation that waits. */
    QueueEntry takeLast(const OrganisationId &organisation);

    /** How many would be served before a new one of this organisation, as long as none arrives. */
    std::size_t countAheadOfNew(const OrganisationId &organisation) const;
    /** Calls visit with each one waiting and how many would be served before it. */
    void forEach(const std::function<void(const QueueEntry &, std::size_t ahead)> &visit) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
