#include "sequoiausher/coordination/limits/admissionqueue.h"

#include "sequoiausher/coordination/limits/fairflows.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>

namespace Sequoiausher {

namespace {

constexpr auto interactive = static_cast<std::size_t>(RequestClass::Interactive);
constexpr auto background = static_cast<std::size_t>(RequestClass::Background);

/** How much one finished request moves the mean service time. */
constexpr double meanWeight = 1.0 / 16;

/** On arrival the estimated wait may fill this part of the time left: estimates are means, and later ones overtake. */
constexpr double acceptedShareOfTime = 0.8;

/** A refused caller comes back up to this part later, by its request's id, so that they do not all return at once. */
constexpr double retrySpread = 0.25;

struct Flying
{
    QueueEntry entry;
    Millis since;
};

} // namespace

class AdmissionQueue::Private
{
public:
    explicit Private(const AdmissionQueueSettings &bounds) : settings(bounds), window(static_cast<double>(bounds.slots))
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

    bool hasRoom(Millis now) const
    {
        return this->flying.size() < static_cast<std::size_t>(this->window) && now >= this->pausedUntil;
    }

    /** Which class is served next; at least one must wait. */
    std::size_t nextClass() const
    {
        if (!this->classes[interactive].empty() && this->passedOver[interactive] + 1 >= interactiveEvery) {
            return interactive;
        }
        // Interactive comes first where both are due, so background is due one dispatch early.
        if (!this->classes[background].empty() && this->passedOver[background] + 2 >= backgroundEvery) {
            return background;
        }
        std::size_t index = 0;
        while (this->classes[index].empty()) {
            ++index;
        }
        return index;
    }

    void pump(Millis now, std::vector<QueueAction> &actions)
    {
        // Between two checks a time may pass unseen; the target would then work for a caller that has given up.
        this->refuseLate(now, false, actions);
        while (this->hasRoom(now) && this->waiting() > 0) {
            const std::size_t index = this->nextClass();
            for (std::size_t other = 0; other < requestClassCount; ++other) {
                const bool passes = other != index && !this->classes[other].empty();
                this->passedOver[other] = passes ? this->passedOver[other] + 1 : 0;
            }
            const QueueEntry entry = this->classes[index].takeNext();
            this->flying.emplace(entry.request, Flying{entry, now});
            actions.push_back({entry, {QueueVerdict::Dispatch, RefuseReason::None, {}}});
        }
    }

    /** The estimated wait of a request of this class with ahead others of the class before it. */
    Millis wait(Millis now, std::size_t index, std::size_t ahead) const
    {
        const double own = static_cast<double>(ahead) + 1;
        double served = own;
        for (std::size_t higher = 0; higher < index; ++higher) {
            served += static_cast<double>(this->classes[higher].size());
        }
        double lowerShare = 0;
        if (index < interactive && !this->classes[interactive].empty()) {
            lowerShare += 1.0 / interactiveEvery;
        }
        if (index < background && !this->classes[background].empty()) {
            lowerShare += 1.0 / backgroundEvery;
        }
        served /= 1 - lowerShare;
        if (index == interactive) {
            served = std::min(served, own * interactiveEvery);
        }
        if (index == background) {
            served = std::min(served, own * backgroundEvery);
        }
        const double span = served * this->meanService / std::floor(this->window);
        const Millis pause = std::max(Millis{0}, this->pausedUntil - now);
        return pause + Millis{static_cast<std::int64_t>(std::ceil(span))};
    }

    QueueDecision refusal(const QueueEntry &entry, RefuseReason reason, Millis estimated) const
    {
        const Millis bounded
            = std::clamp(estimated, this->settings.shortestRetryAfter, this->settings.longestRetryAfter);
        constexpr std::uint64_t steps = 1024;
        const double spread = retrySpread * static_cast<double>(entry.request.low % steps) / static_cast<double>(steps);
        const auto later = static_cast<std::int64_t>(static_cast<double>(bounded.count) * spread);
        return {QueueVerdict::Refuse, reason, bounded + Millis{later}};
    }

    /** The lowest class in which somebody waits, or that of arriving where it is lower. */
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

    /** Sheds one in the stated order. False where arriving itself is the one. */
    bool shedOne(Millis now, const QueueEntry *arriving, std::vector<QueueAction> &actions)
    {
        const std::size_t lowest = this->lowestClass(arriving);
        FairFlows &flows = this->classes[lowest];
        const bool competes = arriving && static_cast<std::size_t>(arriving->requestClass) == lowest;
        const OrganisationId loser = *flows.furthestAbove(competes ? arriving : nullptr);
        if (competes && loser == arriving->organisation) {
            return false;
        }
        const QueueEntry shed = flows.takeLast(loser);
        const Millis estimated = this->wait(now, lowest, flows.aheadOfNew(loser));
        actions.push_back({shed, this->refusal(shed, RefuseReason::Full, estimated)});
        return true;
    }

    /** Refuses those whose time cannot be met. */
    void check(Millis now, std::vector<QueueAction> &actions)
    {
        this->lastCheck = now;
        this->refuseLate(now, true, actions);
    }

    /** Refuses those whose time is up or, by the estimate, will be. */
    void refuseLate(Millis now, bool byEstimate, std::vector<QueueAction> &actions)
    {
        std::vector<QueueAction> late;
        for (std::size_t index = 0; index < requestClassCount; ++index) {
            this->classes[index].forEach([&](const QueueEntry &entry, std::size_t ahead) {
                const Millis estimated = this->wait(now, index, ahead);
                if (now + (byEstimate ? estimated : Millis{0}) > entry.dispatchBy) {
                    late.push_back({entry, this->refusal(entry, RefuseReason::Deadline, estimated)});
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
    /** How many dispatches in a row passed over a class in which somebody waits. */
    std::array<std::uint32_t, requestClassCount> passedOver{};
    std::unordered_map<RequestId, Flying> flying;
    /** The present number of slots, with the part of the next one. */
    double window = 1;
    /** Mean time in flight in milliseconds; 0 while nothing has finished: then every wait is taken to be met. */
    double meanService = 0;
    Millis pausedUntil;
    Millis lastCheck;
};

AdmissionQueue::AdmissionQueue(const AdmissionQueueSettings &settings) : d(std::make_unique<Private>(settings))
{
}

AdmissionQueue::~AdmissionQueue() = default;

QueueDecision AdmissionQueue::offer(Millis now, const QueueEntry &entry, std::vector<QueueAction> &actions)
{
    if (this->d->waiting() == 0 && this->d->hasRoom(now)) {
        this->d->flying.emplace(entry.request, Flying{entry, now});
        return {QueueVerdict::Dispatch, RefuseReason::None, {}};
    }
    const auto index = static_cast<std::size_t>(entry.requestClass);
    const std::size_t ahead = this->d->classes[index].aheadOfNew(entry.organisation);
    const Millis estimated = this->d->wait(now, index, ahead);
    if (entry.dispatchBy != Millis::never()) {
        const double left = static_cast<double>((entry.dispatchBy - now).count) * acceptedShareOfTime;
        if (static_cast<double>(estimated.count) > left) {
            return this->d->refusal(entry, RefuseReason::Deadline, estimated);
        }
    }
    if (this->d->waiting() >= this->d->settings.maxWaiting && !this->d->shedOne(now, &entry, actions)) {
        return this->d->refusal(entry, RefuseReason::Full, estimated);
    }
    if (this->d->waiting() == 0) {
        this->d->lastCheck = now;
    }
    this->d->classes[index].add(entry);
    return {QueueVerdict::Queue, RefuseReason::None, {}};
}

void AdmissionQueue::finish(Millis now, const RequestId &request, std::vector<QueueAction> &actions)
{
    const auto found = this->d->flying.find(request);
    if (found == this->d->flying.end()) {
        return;
    }
    const double took = static_cast<double>((now - found->second.since).count);
    const bool first = this->d->meanService == 0;
    this->d->meanService = first ? took : this->d->meanService + (took - this->d->meanService) * meanWeight;
    this->d->flying.erase(found);
    const double most = static_cast<double>(this->d->settings.slots);
    this->d->window = std::min(most, this->d->window + 1 / this->d->window);
    this->d->pump(now, actions);
}

void AdmissionQueue::putBack(Millis now, const RequestId &request, Millis retryAfter, std::vector<QueueAction> &actions)
{
    const auto found = this->d->flying.find(request);
    if (found == this->d->flying.end()) {
        return;
    }
    const QueueEntry entry = found->second.entry;
    this->d->flying.erase(found);
    this->d->window = std::max(1.0, static_cast<double>(this->d->flying.size()));
    this->d->pausedUntil = std::max(this->d->pausedUntil, now + retryAfter);
    this->d->classes[static_cast<std::size_t>(entry.requestClass)].putBack(entry);
    if (this->d->waiting() > this->d->settings.maxWaiting) {
        this->d->shedOne(now, nullptr, actions);
    }
    this->d->check(now, actions);
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
    this->d->pump(now, actions);
    if (now - this->d->lastCheck >= this->d->settings.checkInterval) {
        this->d->check(now, actions);
    }
}

Millis AdmissionQueue::nextDeadline() const
{
    if (this->d->waiting() == 0) {
        return Millis::never();
    }
    const Millis nextCheck = this->d->lastCheck + this->d->settings.checkInterval;
    const bool paused = this->d->pausedUntil > this->d->lastCheck;
    return paused ? std::min(nextCheck, this->d->pausedUntil) : nextCheck;
}

std::size_t AdmissionQueue::waiting() const
{
    return this->d->waiting();
}

std::size_t AdmissionQueue::inFlight() const
{
    return this->d->flying.size();
}

std::size_t AdmissionQueue::slots() const
{
    return static_cast<std::size_t>(this->d->window);
}

} // namespace Sequoiausher
