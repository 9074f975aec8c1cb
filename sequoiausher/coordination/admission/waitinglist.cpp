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

/** The reservation as an element of a FairFlows queue. */
QueueEntry queueEntryOf(const ReserveRequest &message)
{
    QueueEntry queueEntry;
    queueEntry.request = message.request;
    queueEntry.organisation = OrganisationId{std::to_string(message.organisation)};
    queueEntry.requestClass = message.requestClass;
    return queueEntry;
}

} // namespace

class WaitingList::Private
{
public:
    /** The organisations whose first reservation got no place in this call of serve(), by class. */
    using RejectedOrganisations = std::array<std::set<OrganisationId>, requestClassCount>;

    FairFlows &flowsOf(const ReserveRequest &message)
    {
        return this->classes[static_cast<std::size_t>(message.requestClass)];
    }

    ClassFlags nonEmptyClasses() const
    {
        ClassFlags flags{};
        for (std::size_t index = 0; index < requestClassCount; ++index) {
            flags[index] = !this->classes[index].empty();
        }
        return flags;
    }

    std::optional<OrganisationId> nextOf(std::size_t index, const RejectedOrganisations &rejected) const
    {
        return this->classes[index].next(
            [&](const OrganisationId &organisation) { return !rejected[index].contains(organisation); });
    }

    WaitingReservation extract(const RequestId &request)
    {
        const auto found = this->byRequest.find(request);
        WaitingReservation reservation = std::move(found->second);
        this->byRequest.erase(found);
        return reservation;
    }

    bool offerNext(const std::function<bool(const WaitingReservation &)> &tryGrant, RejectedOrganisations &rejected);
    WaitingReservation shedOne();

    std::size_t maxWaiting = 0;
    std::array<FairFlows, requestClassCount> classes;
    ClassScheduler turns;
    std::unordered_map<RequestId, WaitingReservation> byRequest;
    /** Oldest first. Reservations that no longer wait are removed only when they come first. */
    std::deque<std::pair<Millis, RequestId>> byDeadline;
};

/** @return false if all organisations of all classes are rejected. */
bool WaitingList::Private::offerNext(const std::function<bool(const WaitingReservation &)> &tryGrant,
                                     RejectedOrganisations &rejected)
{
    std::array<std::optional<OrganisationId>, requestClassCount> heads;
    ClassFlags ready{};
    for (std::size_t index = 0; index < requestClassCount; ++index) {
        heads[index] = this->nextOf(index, rejected);
        ready[index] = heads[index].has_value();
    }
    if (std::find(ready.begin(), ready.end(), true) == ready.end()) {
        return false;
    }
    const std::size_t index = this->turns.next(ready);
    const RequestId request = this->classes[index].first(*heads[index]).request;
    if (!tryGrant(this->byRequest.at(request))) {
        rejected[index].insert(*heads[index]);
        return true;
    }
    this->turns.recordServed(index, this->nonEmptyClasses());
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
    return this->extract(flows.takeLast(*flows.findMostBacklogged(nullptr)).request);
}

WaitingList::WaitingList(std::size_t maxWaiting) : d(std::make_unique<Private>())
{
    this->d->maxWaiting = maxWaiting;
}

WaitingList::~WaitingList() = default;

std::vector<WaitingReservation> WaitingList::add(const WaitingReservation &reservation)
{
    const RequestId &request = reservation.message.request;
    if (!this->d->byRequest.emplace(request, reservation).second) {
        return {};
    }
    this->d->flowsOf(reservation.message).add(queueEntryOf(reservation.message));
    this->d->byDeadline.emplace_back(reservation.deadline, request);
    if (this->d->byRequest.size() <= this->d->maxWaiting) {
        return {};
    }
    return {this->d->shedOne()};
}

void WaitingList::remove(const RequestId &request)
{
    if (this->contains(request)) {
        const WaitingReservation gone = this->d->extract(request);
        this->d->flowsOf(gone.message).remove(queueEntryOf(gone.message).organisation, request);
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

void WaitingList::serve(const std::function<bool(const WaitingReservation &)> &tryGrant)
{
    Private::RejectedOrganisations rejected;
    while (this->d->offerNext(tryGrant, rejected)) {
    }
}

std::vector<WaitingReservation> WaitingList::takeExpired(Millis now)
{
    std::vector<WaitingReservation> expired;
    while (!this->d->byDeadline.empty() && now >= this->d->byDeadline.front().first) {
        const auto oldest = this->d->byDeadline.front();
        this->d->byDeadline.pop_front();
        const auto found = this->d->byRequest.find(oldest.second);
        if (found != this->d->byRequest.end() && found->second.deadline == oldest.first) {
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
