#include "sequoiausher/coordination/admission/waitinglist.h"

#include "sequoiausher/coordination/limits/classscheduler.h"
#include "sequoiausher/coordination/limits/fairflows.h"

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>

namespace Sequoiausher {

namespace {

/** The flow that a reservation waits in. */
QueueEntry entryOf(const ReserveRequest &message)
{
    QueueEntry entry;
    entry.request = message.request;
    entry.organisation = OrganisationId{std::to_string(message.organisation)};
    entry.requestClass = message.requestClass;
    return entry;
}

} // namespace

class WaitingList::Private
{
public:
    /** Organisations that were turned down in this round, by class. */
    using TurnedDown = std::array<std::set<OrganisationId>, requestClassCount>;

    FairFlows &flowsOf(const ReserveRequest &message)
    {
        return this->classes[static_cast<std::size_t>(message.requestClass)];
    }

    ClassFlags waits() const
    {
        ClassFlags flags{};
        for (std::size_t index = 0; index < requestClassCount; ++index) {
            flags[index] = !this->classes[index].empty();
        }
        return flags;
    }

    std::optional<OrganisationId> nextOf(std::size_t index, const TurnedDown &turnedDown) const
    {
        return this->classes[index].next(
            [&](const OrganisationId &organisation) { return !turnedDown[index].contains(organisation); });
    }

    WaitingReservation takeOff(const RequestId &request)
    {
        const auto found = this->byRequest.find(request);
        WaitingReservation reservation = std::move(found->second);
        this->byRequest.erase(found);
        return reservation;
    }

    bool offerNext(const std::function<bool(const WaitingReservation &)> &takes, TurnedDown &turnedDown);
    WaitingReservation shedOne();

    std::size_t most = 0;
    std::array<FairFlows, requestClassCount> classes;
    ClassScheduler turns;
    std::unordered_map<RequestId, WaitingReservation> byRequest;
    /** By age; those that no longer wait are left in until they come first. */
    std::deque<std::pair<Millis, RequestId>> order;
};

/** @return false where everybody was turned down. */
bool WaitingList::Private::offerNext(const std::function<bool(const WaitingReservation &)> &takes,
                                     TurnedDown &turnedDown)
{
    std::array<std::optional<OrganisationId>, requestClassCount> heads;
    ClassFlags ready{};
    for (std::size_t index = 0; index < requestClassCount; ++index) {
        heads[index] = this->nextOf(index, turnedDown);
        ready[index] = heads[index].has_value();
    }
    if (std::find(ready.begin(), ready.end(), true) == ready.end()) {
        return false;
    }
    const std::size_t index = this->turns.next(ready);
    const RequestId request = this->classes[index].first(*heads[index]).request;
    if (!takes(this->byRequest.at(request))) {
        turnedDown[index].insert(*heads[index]);
        return true;
    }
    this->turns.recordServed(index, this->waits());
    this->classes[index].takeFirst(*heads[index]);
    this->byRequest.erase(request);
    return true;
}

WaitingReservation WaitingList::Private::shedOne()
{
    std::size_t lowest = requestClassCount - 1;
    while (this->classes[lowest].empty()) {
        --lowest;
    }
    FairFlows &flows = this->classes[lowest];
    return this->takeOff(flows.takeLast(*flows.findMostBacklogged(nullptr)).request);
}

WaitingList::WaitingList(std::size_t mostWaiting) : d(std::make_unique<Private>())
{
    this->d->most = mostWaiting;
}

WaitingList::~WaitingList() = default;

std::vector<WaitingReservation> WaitingList::add(const WaitingReservation &reservation)
{
    const RequestId &request = reservation.message.request;
    if (!this->d->byRequest.emplace(request, reservation).second) {
        return {};
    }
    this->d->flowsOf(reservation.message).add(entryOf(reservation.message));
    this->d->order.emplace_back(reservation.until, request);
    if (this->d->byRequest.size() <= this->d->most) {
        return {};
    }
    return {this->d->shedOne()};
}

void WaitingList::remove(const RequestId &request)
{
    if (this->contains(request)) {
        const WaitingReservation gone = this->d->takeOff(request);
        this->d->flowsOf(gone.message).remove(entryOf(gone.message).organisation, request);
    }
}

void WaitingList::dropEntry(const InstanceId &entry)
{
    std::vector<RequestId> gone;
    for (const auto &waiting : this->d->byRequest) {
        if (waiting.second.from == entry) {
            gone.push_back(waiting.first);
        }
    }
    for (const RequestId &request : gone) {
        this->remove(request);
    }
}

void WaitingList::serve(const std::function<bool(const WaitingReservation &)> &takes)
{
    Private::TurnedDown turnedDown;
    while (this->d->offerNext(takes, turnedDown)) {
    }
}

std::vector<WaitingReservation> WaitingList::takeExpired(Millis now)
{
    std::vector<WaitingReservation> expired;
    while (!this->d->order.empty() && now >= this->d->order.front().first) {
        const auto oldest = this->d->order.front();
        this->d->order.pop_front();
        const auto found = this->d->byRequest.find(oldest.second);
        if (found != this->d->byRequest.end() && found->second.until == oldest.first) {
            expired.push_back(found->second);
            this->remove(oldest.second);
        }
    }
    return expired;
}

bool WaitingList::contains(const RequestId &request) const
{
    return this->d->byRequest.contains(request);
}

std::size_t WaitingList::size() const
{
    return this->d->byRequest.size();
}

} // namespace Sequoiausher
