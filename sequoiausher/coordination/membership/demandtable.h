#pragma once

// How much each limited organisation asks of the fleet as a whole, for limits that hold over the fleet while each
// router sees an uneven sliver of the traffic.
//
//     DemandTable demands(self);
//     demands.setOwn(own);
//     for (const DemandReport &report : demands.takeDueReports(now, liveRouters)) { send report.demands to
//     report.collector } demands.addReport(now, from, gossip.demands); gossip.fleetDemands = demands.takeNews(now,
//     count);    // at the others: demands.merge(now, gossip.fleetDemands)
//
// For each organisation one live router collects, by rendezvous: it adds up what the others report and gossips the
// total. Every router telling every other would not fit the budget: 270 organisations x 1,300 routers. Without a
// collector (dead, or new and still learning) there is no total, and each router falls back to its even share.

#include "sequoiausher/coordination/messages/membershipmessages.h"

#include <functional>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** What one router is to be told, in a message of its own. */
struct DemandReport
{
    InstanceId collector;
    std::vector<OrganisationDemand> demands;
};

/** One report names at most this many organisations: those with most demand. */
inline constexpr std::size_t demandsPerReport = 16;
/** At most this many totals are known; more are not taken in. */
inline constexpr std::size_t maxDemandTotals = 4096;

/** How often a router reports in a fleet of so many: a collector hears at most a hundred reports a second. */
Millis demandInterval(std::size_t routers);

/** Times are the router's own monotonic clock; totals carry ages. Not thread-safe. */
class DemandTable
{
public:
    explicit DemandTable(InstanceId self);
    ~DemandTable();

    /** What this router itself is asked for now. */
    void setOwn(std::vector<OrganisationDemand> demands);

    /**
     * The reports to send now, each router's own as collector excepted; nothing between two intervals.
     * @param liveNow asked once an interval, as the answer costs time in proportion to the fleet.
     */
    std::vector<DemandReport> takeDueReports(Millis now, const std::function<std::vector<InstanceId>()> &liveNow);

    /** Another router's report to this one as collector. */
    void addReport(Millis now, const InstanceId &from, const std::vector<OrganisationDemand> &demands);

    /** Totals from gossip; of two the younger stays. */
    void merge(Millis now, const std::vector<OrganisationDemand> &totals);

    /** The totals known, with their ages. */
    std::vector<OrganisationDemand> totals(Millis now) const;

    /** At most count totals for one message, the one not sent for longest first. */
    std::vector<OrganisationDemand> takeNews(Millis now, std::size_t count);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
