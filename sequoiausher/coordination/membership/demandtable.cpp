#include "sequoiausher/coordination/membership/demandtable.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <map>

namespace Sequoiausher {

namespace {

constexpr Millis minReportInterval{1000};
/** Added to the report interval per live router: 10 ms gives a collector at most 100 reports a second. */
constexpr std::int64_t reportIntervalMillisPerRouter = 10;
/** A report counts for this many intervals; a new collector waits as long before it publishes a total. */
constexpr std::int64_t reportRetentionIntervals = 2;
/** Longer than a message takes, so that a total that two routers send each other does not stay young. */
constexpr Millis hopAllowance{100};
constexpr Millis totalLifetime{60000};

struct ReceivedReport
{
    double perSecond = 0;
    Millis at;
};

/** The reports that this router collected for one organisation. */
struct CollectedReports
{
    Millis since;
    std::map<InstanceId, ReceivedReport> reports;
};

struct Total
{
    double perSecond = 0;
    Millis at;
    /** Value of sendCounter when the total was last sent; 0 if it never was. */
    std::uint64_t lastSendNumber = 0;
};

} // namespace

Millis demandInterval(std::size_t routers)
{
    return std::max(minReportInterval, Millis{static_cast<std::int64_t>(routers) * reportIntervalMillisPerRouter});
}

class DemandTable::Private
{
public:
    InstanceId collectorOf(const OrganisationId &organisation) const;
    void updateTotals(Millis now);

    InstanceId self;
    std::vector<OrganisationDemand> own;
    std::vector<InstanceId> live;
    std::vector<std::uint64_t> liveHashes;
    Millis interval = minReportInterval;
    Millis nextReport;
    std::map<OrganisationId, CollectedReports> collected;
    std::map<OrganisationId, Total> totals;
    std::uint64_t sendCounter = 0;
};

InstanceId DemandTable::Private::collectorOf(const OrganisationId &organisation) const
{
    const std::vector<std::size_t> order = rendezvousOrder(this->liveHashes, hash64(organisation.value), 1);
    return order.empty() ? InstanceId{} : this->live[order.front()];
}

void DemandTable::Private::updateTotals(Millis now)
{
    const Millis retention = this->interval * reportRetentionIntervals + hopAllowance;
    for (auto at = this->collected.begin(); at != this->collected.end();) {
        CollectedReports &each = at->second;
        std::erase_if(each.reports, [&](const auto &report) { return now - report.second.at > retention; });
        if (each.reports.empty()) {
            at = this->collected.erase(at);
            continue;
        }
        // A new collector must wait for all reports: with half of them its total is too low, and the share of every
        // router too large.
        if (now - each.since >= retention && this->collectorOf(at->first) == this->self) {
            Total &total = this->totals[at->first];
            total.perSecond = 0;
            for (const auto &report : each.reports) {
                total.perSecond += report.second.perSecond;
            }
            total.at = now;
        }
        ++at;
    }
    std::erase_if(this->totals, [now](const auto &total) { return now - total.second.at > totalLifetime; });
}

DemandTable::DemandTable(InstanceId self) : d(std::make_unique<Private>())
{
    this->d->self = std::move(self);
}

DemandTable::~DemandTable() = default;

void DemandTable::setOwn(std::vector<OrganisationDemand> demands)
{
    this->d->own = std::move(demands);
}

std::vector<DemandReport> DemandTable::takeDueReports(Millis now,
                                                      const std::function<std::vector<InstanceId>()> &liveNow)
{
    std::vector<DemandReport> reports;
    if (now < this->d->nextReport) {
        return reports;
    }
    this->d->live = liveNow();
    std::sort(this->d->live.begin(), this->d->live.end());
    this->d->liveHashes.clear();
    for (const InstanceId &instance : this->d->live) {
        this->d->liveHashes.push_back(hash64(instance.value));
    }
    this->d->interval = demandInterval(this->d->live.size());
    this->d->nextReport = now + this->d->interval;
    std::vector<OrganisationDemand> own = this->d->own;
    std::sort(own.begin(), own.end(), [](const OrganisationDemand &a, const OrganisationDemand &b) {
        return a.perSecond > b.perSecond;
    });
    std::map<InstanceId, std::vector<OrganisationDemand>> byCollector;
    for (const OrganisationDemand &demand : own) {
        std::vector<OrganisationDemand> &assigned = byCollector[this->d->collectorOf(demand.organisation)];
        if (assigned.size() < demandsPerReport) {
            assigned.push_back(demand);
        }
    }
    for (auto &entry : byCollector) {
        if (entry.first == this->d->self) {
            this->addReport(now, this->d->self, entry.second);
        } else if (!entry.first.empty()) {
            reports.push_back(DemandReport{entry.first, std::move(entry.second)});
        }
    }
    this->d->updateTotals(now);
    return reports;
}

void DemandTable::addReport(Millis now, const InstanceId &from, const std::vector<OrganisationDemand> &demands)
{
    for (const OrganisationDemand &demand : demands) {
        const bool isKnown = this->d->collected.contains(demand.organisation);
        if (isKnown || this->d->collected.size() < maxDemandTotals) {
            CollectedReports &each
                = this->d->collected.try_emplace(demand.organisation, CollectedReports{now, {}}).first->second;
            each.reports[from] = ReceivedReport{demand.perSecond, now};
        }
    }
}

void DemandTable::merge(Millis now, const std::vector<OrganisationDemand> &totals)
{
    for (const OrganisationDemand &demand : totals) {
        const Millis at = now - (std::max(demand.age, Millis{0}) + hopAllowance);
        const auto known = this->d->totals.find(demand.organisation);
        if (known == this->d->totals.end()) {
            if (this->d->totals.size() < maxDemandTotals && now - at < totalLifetime) {
                this->d->totals[demand.organisation] = Total{demand.perSecond, at, 0};
            }
        } else if (at > known->second.at) {
            known->second.perSecond = demand.perSecond;
            known->second.at = at;
        }
    }
}

std::vector<OrganisationDemand> DemandTable::totals(Millis now) const
{
    std::vector<OrganisationDemand> all;
    for (const auto &entry : this->d->totals) {
        all.push_back(OrganisationDemand{entry.first, entry.second.perSecond, now - entry.second.at});
    }
    return all;
}

std::vector<OrganisationDemand> DemandTable::takeNews(Millis now, std::size_t count)
{
    std::vector<std::pair<const OrganisationId, Total> *> order;
    for (auto &entry : this->d->totals) {
        order.push_back(&entry);
    }
    const std::size_t taken = std::min(count, order.size());
    std::partial_sort(order.begin(),
                      order.begin() + static_cast<std::ptrdiff_t>(taken),
                      order.end(),
                      [](const auto *a, const auto *b) { return a->second.lastSendNumber < b->second.lastSendNumber; });
    std::vector<OrganisationDemand> news;
    for (std::size_t i = 0; i < taken; ++i) {
        Total &total = order[i]->second;
        total.lastSendNumber = ++this->d->sendCounter;
        news.push_back(OrganisationDemand{order[i]->first, total.perSecond, now - total.at});
    }
    return news;
}

} // namespace Sequoiausher
