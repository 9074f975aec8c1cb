#include "sequoiausher/coordination/limits/fairflows.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

namespace Sequoiausher {

namespace {

struct Flow
{
    std::deque<QueueEntry> entries;
    /** The start tag of the first request. */
    double tag = 0;
    /** The total cost of the entries. */
    double cost = 0;
};

} // namespace

class FairFlows::Private
{
public:
    /** Returns the flow of an organisation. The tag of an idle flow advances to the current virtual time. */
    Flow &flowOf(const OrganisationId &organisation)
    {
        Flow &flow = this->flows[organisation];
        if (flow.entries.empty()) {
            flow.tag = std::max(flow.tag, this->virtualTime);
        }
        return flow;
    }

    /** Drops idle flows whose tags have no effect any more; all idle flows if there are too many. */
    void forgetIdleFlows()
    {
        const bool tooMany = this->flows.size() > maxRememberedFlows;
        std::erase_if(this->flows, [this, tooMany](const auto &item) {
            return item.second.entries.empty() && (tooMany || item.second.tag <= this->virtualTime);
        });
    }

    /** Estimates, from the mean cost of each flow, how many requests of flows other than own start at or before tag. */
    std::size_t estimateStartingUntil(double tag, const OrganisationId &own) const
    {
        std::size_t count = 0;
        for (const auto &item : this->flows) {
            const Flow &flow = item.second;
            if (flow.entries.empty() || item.first == own || flow.tag > tag) {
                continue;
            }
            const double meanCost = flow.cost / static_cast<double>(flow.entries.size());
            const double starts = std::floor((tag - flow.tag) / meanCost) + 1;
            count += static_cast<std::size_t>(std::min(starts, static_cast<double>(flow.entries.size())));
        }
        return count;
    }

    std::map<OrganisationId, Flow> flows;
    double virtualTime = 0;
    std::size_t size = 0;
};

FairFlows::FairFlows() : d(std::make_unique<Private>())
{
}

FairFlows::~FairFlows() = default;
FairFlows::FairFlows(FairFlows &&) noexcept = default;
FairFlows &FairFlows::operator=(FairFlows &&) noexcept = default;

std::size_t FairFlows::size() const
{
    return this->d->size;
}

bool FairFlows::empty() const
{
    return this->d->size == 0;
}

std::size_t FairFlows::countWaiting(const OrganisationId &organisation) const
{
    const auto found = this->d->flows.find(organisation);
    return found == this->d->flows.end() ? 0 : found->second.entries.size();
}

void FairFlows::add(const QueueEntry &entry)
{
    Flow &flow = this->d->flowOf(entry.organisation);
    flow.entries.push_back(entry);
    flow.cost += entry.cost;
    ++this->d->size;
}

void FairFlows::putBack(const QueueEntry &entry)
{
    Flow &flow = this->d->flows[entry.organisation];
    flow.entries.push_front(entry);
    flow.cost += entry.cost;
    flow.tag -= entry.cost;
    ++this->d->size;
}

QueueEntry FairFlows::takeNext()
{
    return this->takeFirst(*this->next([](const OrganisationId &) { return true; }));
}

std::optional<OrganisationId> FairFlows::next(const std::function<bool(const OrganisationId &)> &mayDispatch) const
{
    auto best = this->d->flows.end();
    for (auto it = this->d->flows.begin(); it != this->d->flows.end(); ++it) {
        const bool waits = !it->second.entries.empty();
        const bool isBefore = best == this->d->flows.end() || it->second.tag < best->second.tag;
        if (waits && isBefore && mayDispatch(it->first)) {
            best = it;
        }
    }
    return best == this->d->flows.end() ? std::nullopt : std::optional(best->first);
}

const QueueEntry &FairFlows::first(const OrganisationId &organisation) const
{
    return this->d->flows.at(organisation).entries.front();
}

QueueEntry FairFlows::takeFirst(const OrganisationId &organisation)
{
    Flow &flow = this->d->flows.at(organisation);
    QueueEntry entry = flow.entries.front();
    flow.entries.pop_front();
    flow.cost -= entry.cost;
    this->d->virtualTime = std::max(this->d->virtualTime, flow.tag);
    flow.tag += entry.cost;
    --this->d->size;
    this->d->forgetIdleFlows();
    return entry;
}

bool FairFlows::remove(const OrganisationId &organisation, const RequestId &request)
{
    const auto found = this->d->flows.find(organisation);
    if (found == this->d->flows.end()) {
        return false;
    }
    auto &entries = found->second.entries;
    const auto entry = std::find_if(
        entries.begin(), entries.end(), [&request](const QueueEntry &waiting) { return waiting.request == request; });
    if (entry == entries.end()) {
        return false;
    }
    found->second.cost -= entry->cost;
    entries.erase(entry);
    --this->d->size;
    this->d->forgetIdleFlows();
    return true;
}

std::optional<OrganisationId> FairFlows::findMostBacklogged(const QueueEntry *arriving) const
{
    std::optional<OrganisationId> mostBacklogged;
    double maxCost = 0;
    if (arriving) {
        const auto own = this->d->flows.find(arriving->organisation);
        mostBacklogged = arriving->organisation;
        maxCost = arriving->cost + (own == this->d->flows.end() ? 0 : own->second.cost);
    }
    for (const auto &item : this->d->flows) {
        const bool isOwn = arriving && item.first == arriving->organisation;
        const bool above = item.second.cost > maxCost || (!arriving && item.second.cost == maxCost);
        if (!item.second.entries.empty() && !isOwn && above) {
            mostBacklogged = item.first;
            maxCost = item.second.cost;
        }
    }
    return mostBacklogged;
}

QueueEntry FairFlows::takeLast(const OrganisationId &organisation)
{
    Flow &flow = this->d->flows.at(organisation);
    QueueEntry entry = flow.entries.back();
    flow.entries.pop_back();
    flow.cost -= entry.cost;
    --this->d->size;
    this->d->forgetIdleFlows();
    return entry;
}

std::size_t FairFlows::countAheadOfNew(const OrganisationId &organisation) const
{
    const auto found = this->d->flows.find(organisation);
    if (found == this->d->flows.end()) {
        return this->d->estimateStartingUntil(this->d->virtualTime, organisation);
    }
    const double start = std::max(found->second.tag + found->second.cost, this->d->virtualTime);
    return found->second.entries.size() + this->d->estimateStartingUntil(start, organisation);
}

void FairFlows::forEach(const std::function<void(const QueueEntry &, std::size_t)> &visit) const
{
    for (const auto &item : this->d->flows) {
        double start = item.second.tag;
        std::size_t position = 0;
        for (const QueueEntry &entry : item.second.entries) {
            visit(entry, position + this->d->estimateStartingUntil(start, item.first));
            start += entry.cost;
            ++position;
        }
    }
}

} // namespace Sequoiausher
