#include "sequoiausher/coordination/gateway/evacuationlist.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/gateway/storeposition.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Sequoiausher {

namespace {

/** Far more data centres than a platform has; names beyond these are dropped, so that memory stays bounded. */
constexpr std::size_t maxDataCentres = 1024;

} // namespace

void EvacuationList::set(const GatewayEvacuation &change)
{
    const auto found = this->all.find(change.dataCentre);
    if (found == this->all.end()) {
        if (this->all.size() < maxDataCentres) {
            this->all.emplace(change.dataCentre, State{change.changedAt, change.isEvacuated});
        }
        return;
    }
    if (change.changedAt > found->second.changedAt) {
        found->second = {change.changedAt, change.isEvacuated};
    }
}

void EvacuationList::replaceAll(const std::vector<GatewayEvacuation> &evacuated, Revision at, Millis now)
{
    if (at < this->listPosition) {
        return;
    }
    this->listPosition = at;
    this->listedAt = now;
    this->listed.clear();
    for (const GatewayEvacuation &each : evacuated) {
        this->listed.insert(each.dataCentre);
        this->set(each);
    }
    this->setCompleteUpTo(at);
    this->endUnlisted(now);
}

void EvacuationList::write(const GatewayEvacuation &change)
{
    this->set(change);
}

void EvacuationList::merge(const std::vector<GatewayEvacuation> &reported, Millis now)
{
    for (const GatewayEvacuation &each : reported) {
        this->set(each);
    }
    this->endUnlisted(now);
}

void EvacuationList::endUnlisted(Millis now)
{
    const bool isGraceOver = now >= this->listedAt + lostEvacuationGrace;
    for (auto &[dataCentre, state] : this->all) {
        const bool isUnlisted
            = state.isEvacuated && state.changedAt < this->listPosition && !this->listed.contains(dataCentre);
        const bool isOfListedEra = eraOf(state.changedAt) == eraOf(this->listPosition);
        if (isUnlisted && (isOfListedEra || isGraceOver)) {
            state = {this->listPosition, false};
        }
    }
}

void EvacuationList::setCompleteUpTo(Revision at)
{
    this->complete = std::max(this->complete, at);
}

void EvacuationList::tick(Millis now)
{
    this->endUnlisted(now);
}

bool EvacuationList::isEvacuated(const DataCentreId &dataCentre) const
{
    const auto found = this->all.find(dataCentre);
    return found != this->all.end() && found->second.isEvacuated;
}

std::set<DataCentreId> EvacuationList::evacuated() const
{
    std::set<DataCentreId> names;
    for (const auto &[dataCentre, state] : this->all) {
        if (state.isEvacuated) {
            names.insert(dataCentre);
        }
    }
    return names;
}

std::vector<GatewayEvacuation> EvacuationList::states() const
{
    std::vector<GatewayEvacuation> result;
    result.reserve(this->all.size());
    for (const auto &[dataCentre, state] : this->all) {
        result.push_back({dataCentre, state.changedAt, state.isEvacuated});
    }
    return result;
}

std::uint64_t EvacuationList::digest() const
{
    std::uint64_t result = 1;
    for (const auto &[dataCentre, state] : this->all) {
        const std::string text = std::to_string(state.changedAt) + (state.isEvacuated ? "+" : "-") + dataCentre.value;
        result = hash64(text, result);
    }
    return std::max<std::uint64_t>(result, 1);
}

Revision EvacuationList::completeUpTo() const
{
    return this->complete;
}

} // namespace Sequoiausher
