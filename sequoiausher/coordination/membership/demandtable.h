#pragma once

// Computes the request rate of each rate-limited organisation over the whole fleet. Fleet-wide limits need this total
// because each router sees only an uneven share of the traffic.
//
//     DemandTable demands(self);
//     demands.setOwn(own);
//     for (const DemandReport &report : demands.takeDueReports(now, liveRouters)) { ... send to its collector ... }
//     demands.addReport(now, from, gossip.demands);          // on the collector
//     gossip.fleetDemands = demands.takeNews(now, count);    // on each router that has totals
//     demands.merge(now, gossip.fleetDemands);               // on the receiver
//
// Rendezvous hashing assigns each organisation one live router as its collector. The collector adds up the reports of
// all routers and gossips the total. Reports from every router to every other one would exceed the bandwidth budget:
// 270 organisations x 1,300 routers. While there is no total, because the collector is dead or has not collected for
// long enough yet, each router falls back to an even share of the limit.

#include "sequoiausher/coordination/messages/membershipmessages.h"

#include <functional>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** The demands to report to one collector, in one message. */
struct DemandReport
{
    InstanceId collector;
    std::vector<OrganisationDemand> demands;
};

/** A report holds at most this many organisations, those with the highest demand. */
inline constexpr std::size_t demandsPerReport = 16;
/** The table collects reports of, and keeps totals of, at most this many organisations; others are ignored. */
inline constexpr std::size_t maxDemandTotals = 4096;

/** The interval between a router's reports in a fleet of this size: a collector gets at most 100 reports a second. */
Millis demandInterval(std::size_t routers);

/**
 * Times are read from the router's own monotonic clock. Totals are exchanged with their ages, so clocks of different
 * routers are never compared. Not thread-safe.
 */
class DemandTable
{
public:
    explicit DemandTable(InstanceId self);
    ~DemandTable();

    /** Sets the current demand that this router sees itself. */
    void setOwn(std::vector<OrganisationDemand> demands);

    /**
     * Returns the reports to send now; empty until the next interval begins. The part for which this router is the
     * collector is added directly instead.
     * @param liveNow returns the live routers; called once per interval, because its cost grows with the fleet.
     */
    std::vector<DemandReport> takeDueReports(Millis now, const std::function<std::vector<InstanceId>()> &liveNow);

    /** Adds a report that another router sent to this one as the collector. */
    void addReport(Millis now, const InstanceId &from, const std::vector<OrganisationDemand> &demands);

    /** Merges totals from gossip; the younger of two totals of an organisation is kept. */
    void merge(Millis now, const std::vector<OrganisationDemand> &totals);

    /** Returns all known totals with their ages. */
    std::vector<OrganisationDemand> totals(Millis now) const;

    /** Returns at most count totals for one message, least recently sent first. */
    std::vector<OrganisationDemand> takeNews(Millis now, std::size_t count);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
