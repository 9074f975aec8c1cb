#include "sequoiausher/coordination/limits/admissionqueue.h"

#include "sequoiausher/coordination/limits/fairflows.h"
#include "sequoiausher/coordination/limits/reservationwindows.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>

namespace Sequoiausher {

namespace {

constexpr auto interactive = static_cast<std::size_t>(RequestClass::Interactive);
constexpr auto background = static_cast<std::size_t>(RequestClass::Background);

/** The weight of one finished request in the moving average of the service time. */
constexpr double serviceTimeWeight = 1.0 / 16;

/**
 * On arrival, the estimated wait may take up to this fraction of the time left. The rest is a reserve, since estimates
 * are means and later requests may be put ahead.
 */
constexpr double maxWaitFraction = 0.8;

/** The retry delay grows by up to this fraction, depending on the request's id, so that refused callers spread out. */
constexpr double retryAfterJitter = 0.25;

struct InFlightRequest
{
    QueueEntry entry;
    Millis dispatchedAt;
    /** Whether the owner's answer to the reservation is still awaited. */
    bool isReserving = true;
};

} // namespace

class AdmissionQueue::Private
{
public:
    explicit Private(const AdmissionQueueSettings &queueSettings)
        : settings(queueSettings)
        , effectiveSlots(static_cast<double>(queueSettings.slots))
    {
    }

    std::size_t waiting() const
    {
        std::size_t count = 0;
        for (const FairFlows &flows : this->classes) {
            count += flows.size();
        }
        return count;
    }

    bool hasFreeSlot() const
    {
        return this->inFlightRequests.size() < this->settings.slots;
    }

    bool isOpen(Millis now, const OrganisationId &organisation, std::size_t index) const
    {
        return this->windows.isOpen(now, organisation, static_cast<RequestClass>(index));
    }

    /** Returns the organisation to serve next in the class, among those with an open reservation window. */
    std::optional<OrganisationId> nextOrganisation(Millis now, std::size_t index) const
    {
        return this->classes[index].next(
            [&](const OrganisationId &organisation) { return this->isOpen(now, organisation, index); });
    }

    void dispatch(Millis now, const QueueEntry &entry)
    {
        this->inFlightRequests.emplace(entry.request, InFlightRequest{entry, now});
        this->windows.startReservation(entry.organisation, entry.requestClass);
    }

    /** Records that the request no longer awaits the owner's answer. */
    void endReservation(InFlightRequest &inFlightRequest)
    {
        if (inFlightRequest.isReserving) {
            inFlightRequest.isReserving = false;
            this->windows.endReservation(inFlightRequest.entry.organisation, inFlightRequest.entry.requestClass);
        }
    }

    void dispatchWaiting(Millis now, std::vector<QueueAction> &actions)
    {
        // A deadline may have passed since the last check. Without this, a target would work for a caller that has
        // given up.
        this->lastDispatchAttempt = now;
        this->refuseLate(now, false, actions);
        while (this->hasFreeSlot() && this->dispatchNext(now, actions)) {
        }
    }

    bool dispatchNext(Millis now, std::vector<QueueAction> &actions)
    {
        std::array<std::optional<OrganisationId>, requestClassCount> nextOrganisations;
        ClassFlags waits{};
        ClassFlags ready{};
        for (std::size_t index = 0; index < requestClassCount; ++index) {
            nextOrganisations[index] = this->nextOrganisation(now, index);
            ready[index] = nextOrganisations[index].has_value();
            waits[index] = !this->classes[index].empty();
        }
        if (std::find(ready.begin(), ready.end(), true) == ready.end()) {
            return false;
        }
        const std::size_t index = this->scheduler.next(ready);
        this->scheduler.recordServed(index, waits);
        const QueueEntry entry = this->classes[index].takeFirst(*nextOrganisations[index]);
        this->dispatch(now, entry);
        actions.push_back({entry, {QueueVerdict::Dispatch, QueueRefusalReason::None, {}}});
        return true;
    }

    /** Estimates the wait of a request that has this many requests of its class ahead. */
    Millis estimateWait(Millis now, std::size_t index, std::size_t ahead) const
    {
        const double own = static_cast<double>(ahead) + 1;
        double served = own;
        for (std::size_t higher = 0; higher < index; ++higher) {
            served += static_cast<double>(this->classes[higher].size());
        }
        double lowerShare = 0;
        if (index < interactive && !this->classes[interactive].empty()) {
            lowerShare += 1.0 / interactiveInterval;
        }
        if (index < background && !this->classes[background].empty()) {
            lowerShare += 1.0 / backgroundInterval;
        }
        served /= 1 - lowerShare;
        if (index == interactive) {
            served = std::min(served, own * interactiveInterval);
        }
        if (index == background) {
            served = std::min(served, own * backgroundInterval);
        }
        const double waitMs = served * this->meanServiceMs / std::floor(this->effectiveSlots);
        const Millis pause = std::max(Millis{0}, this->pausedUntil - now);
        return pause + Millis{static_cast<std::int64_t>(std::ceil(waitMs))};
    }

    QueueDecision makeRefusal(const QueueEntry &entry, QueueRefusalReason reason, Millis estimated) const
    {
        const Millis bounded = std::clamp(estimated, this->settings.minRetryAfter, this->settings.maxRetryAfter);
        constexpr std::uint64_t steps = 1024;
        const double jitter
            = retryAfterJitter * static_cast<double>(entry.request.low % steps) / static_cast<double>(steps);
        const auto jitterMs = static_cast<std::int64_t>(static_cast<double>(bounded.count) * jitter);
        return {QueueVerdict::Refuse, reason, bounded + Millis{jitterMs}};
    }

    /** Returns the least important class among the waiting requests and arriving. */
    std::size_t lowestClass(const QueueEntry *arriving) const
    {
        std::size_t lowest = arriving ? static_cast<std::size_t>(arriving->requestClass) : 0;
        for (std::size_t index = 0; index < requestClassCount; ++index) {
            if (!this->classes[index].empty()) {
                lowest = std::max(lowest, index);
            }
        }
        return lowest;
    }

    /** Sheds one waiting request in the defined order. Returns false if arriving itself is to be refused instead. */
    bool shedOne(Millis now, const QueueEntry *arriving, std::vector<QueueAction> &actions)
    {
        const std::size_t lowest = this->lowestClass(arriving);
        FairFlows &flows = this->classes[lowest];
        const bool competes = arriving && static_cast<std::size_t>(arriving->requestClass) == lowest;
        const OrganisationId mostBacklogged = *flows.findMostBacklogged(competes ? arriving : nullptr);
        if (competes && mostBacklogged == arriving->organisation) {
            return false;
        }
        const QueueEntry shed = flows.takeLast(mostBacklogged);
        const Millis estimated = this->estimateWait(now, lowest, flows.countAheadOfNew(mostBacklogged));
        actions.push_back({shed, this->makeRefusal(shed, QueueRefusalReason::Full, estimated)});
        return true;
    }

    /** Refuses the requests that are not expected to meet their deadlines. */
    void refuseByEstimate(Millis now, std::vector<QueueAction> &actions)
    {
        this->lastCheck = now;
        this->refuseLate(now, true, actions);
    }

    /** Refuses the requests whose deadlines have passed, or with byEstimate are expected to pass. */
    void refuseLate(Millis now, bool byEstimate, std::vector<QueueAction> &actions)
    {
        std::vector<QueueAction> late;
        for (std::size_t index = 0; index < requestClassCount; ++index) {
            this->classes[index].forEach([&](const QueueEntry &entry, std::size_t ahead) {
                const Millis estimated = this->estimateWait(now, index, ahead);
                if (now + (byEstimate ? estimated : Millis{0}) > entry.dispatchBy) {
                    late.push_back({entry, this->makeRefusal(entry, QueueRefusalReason::Deadline, estimated)});
                }
            });
        }
        for (const QueueAction &action : late) {
            const auto index = static_cast<std::size_t>(action.entry.requestClass);
            this->classes[index].remove(action.entry.organisation, action.entry.request);
        }
        actions.insert(actions.end(), late.begin(), late.end());
    }

    const AdmissionQueueSettings settings;
    std::array<FairFlows, requestClassCount> classes;
    ClassScheduler scheduler;
    ReservationWindows windows;
    std::unordered_map<RequestId, InFlightRequest> inFlightRequests;
    /** The number of slots that the pool has room for; the fractional part is growth towards the next slot. */
    double effectiveSlots = 1;
    /**
     * Mean time in flight; 0 until a request has finished. Until then, an estimated wait consists only of the remaining
     * pause.
     */
    double meanServiceMs = 0;
    Millis pausedUntil;
    Millis lastCheck;
    Millis lastDispatchAttempt;
};

AdmissionQueue::AdmissionQueue(const AdmissionQueueSettings &settings) : d(std::make_unique<Private>(settings))
{
}

AdmissionQueue::~AdmissionQueue() = default;

QueueDecision AdmissionQueue::offer(Millis now, const QueueEntry &entry, std::vector<QueueAction> &actions)
{
    const auto index = static_cast<std::size_t>(entry.requestClass);
    // If a slot is free, the waiting requests wait because the owner refused a reservation of their organisation and
    // class. Requests of others need not wait for them.
    const bool isNext = this->d->classes[index].countWaiting(entry.organisation) == 0;
    if (isNext && this->d->hasFreeSlot() && this->d->isOpen(now, entry.organisation, index)) {
        this->d->dispatch(now, entry);
        return {QueueVerdict::Dispatch, QueueRefusalReason::None, {}};
    }
    const std::size_t ahead = this->d->classes[index].countAheadOfNew(entry.organisation);
    const Millis estimated = this->d->estimateWait(now, index, ahead);
    if (entry.dispatchBy != Millis::never()) {
        const double timeLeftMs = static_cast<double>((entry.dispatchBy - now).count) * maxWaitFraction;
        if (static_cast<double>(estimated.count) > timeLeftMs) {
            return this->d->makeRefusal(entry, QueueRefusalReason::Deadline, estimated);
        }
    }
    if (this->d->waiting() >= this->d->settings.maxWaiting && !this->d->shedOne(now, &entry, actions)) {
        return this->d->makeRefusal(entry, QueueRefusalReason::Full, estimated);
    }
    if (this->d->waiting() == 0) {
        this->d->lastCheck = now;
    }
    this->d->classes[index].add(entry);
    return {QueueVerdict::Queue, QueueRefusalReason::None, {}};
}

void AdmissionQueue::finish(Millis now, const RequestId &request, std::vector<QueueAction> &actions)
{
    const auto found = this->d->inFlightRequests.find(request);
    if (found == this->d->inFlightRequests.end()) {
        return;
    }
    const double serviceMs = static_cast<double>((now - found->second.dispatchedAt).count);
    const bool first = this->d->meanServiceMs == 0;
    this->d->meanServiceMs
        = first ? serviceMs : this->d->meanServiceMs + (serviceMs - this->d->meanServiceMs) * serviceTimeWeight;
    this->d->endReservation(found->second);
    this->d->inFlightRequests.erase(found);
    const double maxSlots = static_cast<double>(this->d->settings.slots);
    this->d->effectiveSlots = std::min(maxSlots, this->d->effectiveSlots + 1 / this->d->effectiveSlots);
    this->d->dispatchWaiting(now, actions);
}

void AdmissionQueue::granted(Millis now, const RequestId &request, std::vector<QueueAction> &actions)
{
    const auto found = this->d->inFlightRequests.find(request);
    if (found != this->d->inFlightRequests.end()) {
        this->d->endReservation(found->second);
        this->d->dispatchWaiting(now, actions);
    }
}

void AdmissionQueue::putBack(Millis now, const RequestId &request, Millis retryAfter, std::vector<QueueAction> &actions)
{
    const auto found = this->d->inFlightRequests.find(request);
    if (found == this->d->inFlightRequests.end()) {
        return;
    }
    const QueueEntry entry = found->second.entry;
    if (!found->second.isReserving) {
        // The first reservation was granted, but the target failed, and the owner had no room for another reservation.
        this->d->windows.startReservation(entry.organisation, entry.requestClass);
    }
    this->d->inFlightRequests.erase(found);
    this->d->windows.recordFull(now + retryAfter, entry.organisation, entry.requestClass);
    this->d->effectiveSlots = std::max(1.0, static_cast<double>(this->d->inFlightRequests.size()));
    this->d->pausedUntil = std::max(this->d->pausedUntil, now + retryAfter);
    this->d->classes[static_cast<std::size_t>(entry.requestClass)].putBack(entry);
    if (this->d->waiting() > this->d->settings.maxWaiting) {
        this->d->shedOne(now, nullptr, actions);
    }
    this->d->refuseByEstimate(now, actions);
}

void AdmissionQueue::cancel(const RequestId &request)
{
    for (FairFlows &flows : this->d->classes) {
        std::optional<OrganisationId> organisation;
        flows.forEach([&](const QueueEntry &entry, std::size_t) {
            if (entry.request == request) {
                organisation = entry.organisation;
            }
        });
        if (organisation) {
            flows.remove(*organisation, request);
        }
    }
}

void AdmissionQueue::tick(Millis now, std::vector<QueueAction> &actions)
{
    this->d->dispatchWaiting(now, actions);
    if (now - this->d->lastCheck >= this->d->settings.checkInterval) {
        this->d->refuseByEstimate(now, actions);
    }
}

Millis AdmissionQueue::nextDeadline() const
{
    if (this->d->waiting() == 0) {
        return Millis::never();
    }
    const Millis nextCheck = this->d->lastCheck + this->d->settings.checkInterval;
    return std::min(nextCheck, this->d->windows.nextPauseEnd(this->d->lastDispatchAttempt));
}

std::size_t AdmissionQueue::waiting() const
{
    return this->d->waiting();
}

std::size_t AdmissionQueue::inFlight() const
{
    return this->d->inFlightRequests.size();
}

std::optional<QueueEntry> AdmissionQueue::dispatched(const RequestId &request) const
{
    const auto found = this->d->inFlightRequests.find(request);
    return found == this->d->inFlightRequests.end() ? std::nullopt : std::optional(found->second.entry);
}

std::size_t AdmissionQueue::effectiveSlots() const
{
    return static_cast<std::size_t>(this->d->effectiveSlots);
}

} // namespace Sequoiausher
