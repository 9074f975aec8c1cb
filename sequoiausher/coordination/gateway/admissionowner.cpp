#include "sequoiausher/coordination/gateway/admissionowner.h"

#include "sequoiausher/coordination/gateway/answertimes.h"
#include "sequoiausher/coordination/gateway/placetable.h"
#include "sequoiausher/coordination/gateway/targetoccupancy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <iterator>
#include <limits>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

/**
 * The expected time, as a fraction of the aim, beyond which requests of a class are refused. The rest of the aim is for
 * answers that take longer than expected. The differences keep places for the more urgent classes.
 */
constexpr double urgentAimFraction = 0.95;
constexpr double interactiveAimFraction = 0.9;
constexpr double backgroundAimFraction = 0.85;
/** From this fraction of the limit of its class on, an organisation gets no more than its fair part. */
constexpr double fairnessOnset = 0.5;
/**
 * The fraction by which the fair part is lowered as the expected time grows from the onset to the limit, so that the
 * organisations with the most requests are refused before the queues are so long that everybody is.
 */
constexpr double fairRateCut = 0.5;
/**
 * The limit of an organisation that holds more than dominantShares times an even share of the places, as a fraction of
 * the limit of the others. A surge fills the queues within 100 ms, before the rates show it.
 */
constexpr double dominantLimitFraction = 0.8;
constexpr double dominantShares = 2;
/** A request that is late already has this limit in place of that of its class, so that it does not make others late.
 */
constexpr double lateAimFraction = 0.5;
/** The fair part of an organisation is never below this rate, so that a wrong estimate of the capacity starves none. */
constexpr double minFairRate = 1;
/** The weight of one answer in the average service time of a target. */
constexpr double answerWeight = 0.15;
/**
 * How fast the difference between a target's service time and the mean of its service is forgotten without answers. A
 * target that was slow gets few requests, so nothing else would show that it is no longer slow.
 */
constexpr double speedMemoryMs = 500;
/** How long a place may be held beyond the deadline of its request, for a release that is on its way. */
constexpr Millis releaseGrace{500};
/** How long a target that rejected a request for want of room gets no other, since its queue is longer than counted. */
constexpr Millis rejectionPause{60};
/** How long a new owner takes reported loads into account, since earlier places are unknown to it. */
constexpr Millis takeoverTime{1000};
/** The span over which demands and admissions are counted. */
constexpr Millis countingWindow{1000};
/** A sliding count is kept in this many parts. */
constexpr std::int64_t partsPerSpan = 10;
/**
 * A request is hedged after the time within which one of these fractions of the answers comes: the first one after
 * which another target most likely answers sooner.
 */
constexpr std::array hedgeQuantiles{0.9, 0.95, 0.98, 0.99};
/** The multiple of the mean service time after which an answer counts as held up by a fault. */
constexpr double faultFactor = 2;
/** How often that time is computed. */
constexpr Millis hedgeTimeInterval{250};
/** A second copy is sent if it most likely answers within this fraction of the time that the first one still takes. */
constexpr double hedgeGainFraction = 0.8;
/** The service as a whole is slow if its answers take this multiple of their usual time; then nothing is hedged. */
constexpr double slowServiceFactor = 1.5;
/** The weights of one answer in the recent and in the usual answer time of a service. */
constexpr double recentAnswerWeight = 0.05;
constexpr double usualAnswerWeight = 0.002;
/** Second copies that may be saved up, in parts of what a window allows; the rest is earned by requests. */
constexpr double savedHedgesFraction = 0.5;
constexpr double percentPerOne = 100;
/** How often the list of targets and their health is taken over. */
constexpr Millis targetsInterval{50};
/** An owner that was not asked for this long starts anew, since another gateway has owned the service meanwhile. */
constexpr Millis ownershipTtl{2000};
/** How long a service is kept that no gateway asks about, so that names of services do not add up. */
constexpr Millis unusedServiceTtl{60000};
/** How often the fair part of each organisation is computed. */
constexpr Millis levelInterval{50};
/** Callers honour a Retry-After of up to this fraction of their time left. */
constexpr std::int64_t honouredTimeDivisor = 3;
constexpr Millis minRetryAfter{80};
constexpr double msPerSecond = 1000;
/** The weight of a request in the choice among targets with equal expected times. */
constexpr double tieBreakMs = 0.001;
/** More than any expected time: a full target is chosen only where all are full. */
constexpr double fullPenaltyMs = 1e9;
constexpr double unlimited = std::numeric_limits<double>::infinity();

/** A count over a sliding window. */
class SlidingCount
{
public:
    explicit SlidingCount(Millis countedSpan = countingWindow)
        : span(countedSpan)
        , part(std::max(countedSpan.count / partsPerSpan, std::int64_t{1}))
    {
    }

    void add(Millis now)
    {
        const std::int64_t number = now.count / this->part;
        this->dropOld(number);
        if (this->parts.empty() || this->parts.back().first != number) {
            this->parts.emplace_back(number, 0);
        }
        this->parts.back().second += 1;
        this->total += 1;
    }

    double perSecond(Millis now)
    {
        // The newest part of the window is half full on average.
        const double meanSpanMs = static_cast<double>(this->span.count) - static_cast<double>(this->part) / 2;
        return this->count(now) * msPerSecond / meanSpanMs;
    }

    std::uint32_t count(Millis now)
    {
        this->dropOld(now.count / this->part);
        return this->total;
    }

    Millis counted() const
    {
        return this->span;
    }

private:
    void dropOld(std::int64_t number)
    {
        while (!this->parts.empty() && this->parts.front().first <= number - partsPerSpan) {
            this->total -= this->parts.front().second;
            this->parts.pop_front();
        }
    }

    Millis span;
    std::int64_t part;
    std::deque<std::pair<std::int64_t, std::uint32_t>> parts;
    std::uint32_t total = 0;
};

/**
 * A request of a plain service may wait in a target's queue for longer than it takes to become overdue, so it counts
 * unless the target announces that it is gone.
 */
constexpr OccupancySettings occupancySettings{.overdueWeight = 1};

struct Target
{
    OwnedTarget listed;
    TargetOccupancy occupancy{occupancySettings};
    /** The average time for which a request occupies a place, in ms; 0 before the first answer. */
    double serviceMs = 0;
    Millis answeredAt;
    Millis fullUntil;
};

struct Organisation
{
    SlidingCount offered;
    SlidingCount admitted;
    /** The places that its requests hold. */
    std::uint32_t places = 0;
};

/** A place that is taken by a request. */
struct Place
{
    PoolId service;
    TargetId target;
    std::pair<RequestClass, std::uint32_t> organisation;
    /** Requests at the target when this one was added, itself included. */
    std::uint32_t heldAtStart = 0;
    Millis grantedAt;
    bool isHedge = false;
    bool hasBegun = false;
};

struct Service
{
    std::map<TargetId, Target> targets;
    std::map<std::pair<RequestClass, std::uint32_t>, Organisation> organisations;
    SlidingCount offered;
    OverdueEvidence overdue{occupancySettings};
    AnswerTimes answerTimes;
    /** Moving averages of the answer times over some twenty and some five hundred answers, in ms. */
    double recentAnswerMs = 0;
    double usualAnswerMs = 0;
    std::uint64_t answers = 0;
    /** Requests of rules that allow second copies, in the rule's window. */
    SlidingCount hedgeable;
    /** The time after which a second copy pays, and when it was computed; 0 for none. */
    Millis hedgeTime;
    Millis hedgeTimeAt;
    /** Second copies that may be sent now. */
    double hedgeBalance = 0;
    std::uint64_t hedges = 0;
    /** 0 before the first targets. */
    Millis ownedSince;
    Millis targetsSetAt;
    /** The rate up to which each organisation of a class is admitted under overload. */
    std::array<double, requestClassCount> fairRate{unlimited, unlimited, unlimited};
    Millis fairRateAt;

    /** Forgets what was learnt and saved up before another gateway owned the service; the places are kept. */
    void startAnew()
    {
        this->ownedSince = Millis{0};
        this->hedgeTime = Millis{0};
        this->hedgeBalance = 0;
        this->hedgeable = SlidingCount(this->hedgeable.counted());
        this->overdue = OverdueEvidence(occupancySettings);
        this->answerTimes = AnswerTimes();
        this->recentAnswerMs = 0;
        this->usualAnswerMs = 0;
        this->answers = 0;
        for (auto &[id, target] : this->targets) {
            target.serviceMs = 0;
            target.occupancy.forgetOthers();
        }
    }
};

double limitFraction(RequestClass requestClass)
{
    switch (requestClass) {
    case RequestClass::Urgent:
        return urgentAimFraction;
    case RequestClass::Interactive:
        return interactiveAimFraction;
    default:
        return backgroundAimFraction;
    }
}

/**
 * Returns the rate up to which each demand is met such that their sum is the given rate, and no demand gets more while
 * another one that is not met gets less.
 */
double fairLevel(std::vector<double> demands, double rate)
{
    std::sort(demands.begin(), demands.end());
    std::size_t unmet = demands.size();
    for (const double demand : demands) {
        const double share = rate / static_cast<double>(unmet);
        if (demand > share) {
            return share;
        }
        rate -= demand;
        unmet -= 1;
    }
    return unlimited;
}

} // namespace

class AdmissionOwner::Private
{
public:
    /** The requests that the target most likely holds. */
    static std::uint32_t heldAt(const Service &service, const Target &target, Millis now)
    {
        const std::uint32_t estimated = target.occupancy.estimate(service.overdue, now);
        const bool isNewOwner = now - service.ownedSince < takeoverTime;
        return isNewOwner ? std::max(estimated, target.listed.reportedInFlight) : estimated;
    }

    /** The mean service time of the targets that have answered. */
    static double meanServiceMs(const Service &service)
    {
        double sum = 0;
        std::size_t known = 0;
        for (const auto &[id, target] : service.targets) {
            const bool isKnown = target.serviceMs > 0 && target.listed.isUsable;
            sum += isKnown ? target.serviceMs : 0;
            known += isKnown ? 1 : 0;
        }
        return known > 0 ? sum / static_cast<double>(known) : 0;
    }

    static double serviceMsOf(const Service &service, const Target &target, Millis now)
    {
        const double mean = meanServiceMs(service);
        if (target.serviceMs <= 0) {
            return mean;
        }
        const auto silentMs = static_cast<double>((now - target.answeredAt).count);
        return mean + (target.serviceMs - mean) * std::exp(-silentMs / speedMemoryMs);
    }

    /** The expected time from sending a further request to its answer, in ms. */
    static double expectedMs(const Service &service, const Target &target, Millis now)
    {
        const double slots = std::max<std::uint32_t>(target.listed.slots, 1);
        const double rounds = std::max((heldAt(service, target, now) + 1) / slots, 1.0);
        return serviceMsOf(service, target, now) * rounds;
    }

    static double capacityPerSecond(const Service &service, Millis now)
    {
        double sum = 0;
        for (const auto &[id, target] : service.targets) {
            const double serviceMs = serviceMsOf(service, target, now);
            sum += serviceMs > 0 && target.listed.isUsable ? target.listed.slots * msPerSecond / serviceMs : 0;
        }
        return sum;
    }

    static void updateFairRates(Service &service, Millis now)
    {
        if (now - service.fairRateAt < levelInterval) {
            return;
        }
        service.fairRateAt = now;
        std::array<std::vector<double>, requestClassCount> demands;
        for (auto entry = service.organisations.begin(); entry != service.organisations.end();) {
            const double rate = entry->second.offered.perSecond(now);
            const bool isActive = rate > 0 || entry->second.places > 0;
            if (rate > 0) {
                demands[static_cast<std::size_t>(entry->first.first)].push_back(rate);
            }
            entry = isActive ? std::next(entry) : service.organisations.erase(entry);
        }
        double left = capacityPerSecond(service, now);
        for (std::size_t i = 0; i < requestClassCount; ++i) {
            const double level = fairLevel(demands[i], std::max(left, 0.0));
            service.fairRate[i] = std::max(level, minFairRate);
            for (const double demand : demands[i]) {
                left -= std::min(demand, level);
            }
        }
    }

    static Target *chooseTarget(Service &service, const std::vector<TargetId> &excluded, Millis now)
    {
        Target *best = nullptr;
        double least = unlimited;
        for (auto &[id, target] : service.targets) {
            const bool isExcluded = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
            if (isExcluded || !target.listed.isUsable) {
                continue;
            }
            // Before the first answer the number of requests decides.
            const double expected = expectedMs(service, target, now) + heldAt(service, target, now) * tieBreakMs
                + (now < target.fullUntil ? fullPenaltyMs : 0);
            if (expected < least) {
                best = &target;
                least = expected;
            }
        }
        return best;
    }

    /** Whether the organisation holds much more than an even share of the places of its service. */
    static bool isDominant(const Service &service, const Organisation &organisation)
    {
        std::uint32_t taken = 0;
        for (const auto &[id, target] : service.targets) {
            taken += target.occupancy.counted();
        }
        const auto organisations = static_cast<double>(std::max<std::size_t>(service.organisations.size(), 1));
        return organisations > 1 && organisation.places > dominantShares * taken / organisations + 1;
    }

    static bool mustRefuse(Service &service, const GatewayAdmissionRequest &request, const Target &best, Millis now)
    {
        if (now < best.fullUntil) {
            return true;
        }
        const double expected = expectedMs(service, best, now);
        const auto aim = static_cast<double>(request.aim.count);
        const bool isLate = request.waited >= request.aim;
        Organisation &organisation = service.organisations[{request.requestClass, request.organisation}];
        const double own = isLate ? lateAimFraction : limitFraction(request.requestClass);
        // An organisation whose requests of the last second were all refused has the limit of the most urgent class for
        // the next one, so that none is starved.
        const bool isOwed = organisation.admitted.count(now) == 0 && organisation.offered.count(now) > 1;
        const double limit = isOwed ? aim * urgentAimFraction
                                    : aim * own * (isDominant(service, organisation) ? dominantLimitFraction : 1);
        // A target without a queue takes the request even if its work alone takes longer than the limit.
        const bool hasQueue = heldAt(service, best, now) >= best.listed.slots;
        if (hasQueue && expected > limit) {
            return true;
        }
        if (expected > static_cast<double>(request.timeLeft.count)) {
            return true;
        }
        if (!hasQueue || expected <= limit * fairnessOnset) {
            return false;
        }
        const double fair = service.fairRate[static_cast<std::size_t>(request.requestClass)];
        const double pressure = (expected - limit * fairnessOnset) / (limit * (1 - fairnessOnset));
        return organisation.admitted.perSecond(now) >= fair * (1 - pressure * fairRateCut);
    }

    static Millis retryAfter(Service &service, const GatewayAdmissionRequest &request, Millis now)
    {
        const double capacity = capacityPerSecond(service, now);
        const double excess = capacity > 0 ? service.offered.perSecond(now) / capacity - 1 : 1;
        const Millis longest{request.timeLeft.count / honouredTimeDivisor / 2};
        const Millis wanted{std::llround(static_cast<double>(longest.count) * std::clamp(excess, 0.0, 1.0))};
        return std::max(wanted, std::min(minRetryAfter, longest));
    }

    /** Credits the hedge limit with one admitted request. @return whether the rule allows second copies. */
    static bool earnHedges(Service &service, const GatewayAdmissionRequest &request, Millis now)
    {
        if (request.hedgePercent == 0) {
            return false;
        }
        // In any window second copies are at most those saved up before it and those that its requests earn. One half
        // of the limit is for each, so that the sum does not exceed the limit.
        const double ratio = request.hedgePercent / percentPerOne;
        if (service.hedgeable.counted() != request.hedgeWindow) {
            service.hedgeable = SlidingCount(request.hedgeWindow);
        }
        service.hedgeable.add(now);
        const double saved = service.hedgeable.count(now) * ratio * savedHedgesFraction;
        service.hedgeBalance = std::min(service.hedgeBalance + ratio * (1 - savedHedgesFraction), saved);
        return true;
    }

    static bool isSlowAsWhole(const Service &service)
    {
        return service.recentAnswerMs > service.usualAnswerMs * slowServiceFactor;
    }

    /** Returns the time after which a second copy pays; 0 with too few answers to tell. */
    static Millis computeHedgeTime(Service &service, Millis now)
    {
        const double fresh = meanServiceMs(service);
        for (const double fraction : hedgeQuantiles) {
            const std::optional<Millis> slow = service.answerTimes.quantile(fraction, now);
            const std::optional<Millis> remaining = slow ? service.answerTimes.meanRemaining(*slow, now) : std::nullopt;
            if (remaining && fresh <= static_cast<double>(remaining->count) * hedgeGainFraction) {
                return *slow;
            }
        }
        // Where answers differ little, one that takes far longer than all others has met a fault.
        const std::optional<Millis> slowest = service.answerTimes.quantile(hedgeQuantiles.back(), now);
        return slowest ? std::max(*slowest, Millis{std::llround(fresh * faultFactor)}) : Millis{0};
    }

    static Millis hedgeAfter(Service &service, const Target &target, Millis now)
    {
        if (now - service.hedgeTimeAt >= hedgeTimeInterval) {
            service.hedgeTimeAt = now;
            service.hedgeTime = computeHedgeTime(service, now);
        }
        if (service.hedgeTime == Millis{0}) {
            return {};
        }
        return std::max(service.hedgeTime, Millis{std::llround(expectedMs(service, target, now))});
    }

    /** Decides about a place for a second copy of the request that holds the given place. */
    GatewayAdmissionReply decideHedge(const PlaceKey &key, const GatewayAdmissionRequest &request, Millis now)
    {
        GatewayAdmissionReply reply{request.id, AdmissionVerdict::NoHedge, {}, {}, {}, {}, 0};
        const Place *first = this->places.find({key.first, request.hedgeOf});
        const auto found = this->services.find(request.service);
        if (first == nullptr || found == this->services.end()) {
            return reply;
        }
        Service &service = found->second;
        if (service.hedgeBalance < 1 || isSlowAsWhole(service)) {
            return reply;
        }
        std::vector<TargetId> excluded = request.excluded;
        excluded.push_back(first->target);
        Target *best = chooseTarget(service, excluded, now);
        const bool hasFreePlace
            = best != nullptr && now >= best->fullUntil && heldAt(service, *best, now) < best->listed.slots;
        if (!hasFreePlace) {
            return reply;
        }
        const Millis waited = now - first->grantedAt;
        const std::optional<Millis> remaining = service.answerTimes.meanRemaining(waited, now);
        if (!remaining || expectedMs(service, *best, now) > static_cast<double>(remaining->count) * hedgeGainFraction) {
            return reply;
        }
        service.hedgeBalance -= 1;
        service.hedges += 1;
        this->takePlace(key, request, service, *best, now);
        reply.verdict = AdmissionVerdict::Granted;
        reply.target = best->listed.id;
        return reply;
    }

    void
    takePlace(const PlaceKey &key, const GatewayAdmissionRequest &request, Service &service, Target &target, Millis now)
    {
        const std::pair organisation{request.requestClass, request.organisation};
        service.organisations[organisation].places += 1;
        target.occupancy.add(now);
        const std::uint32_t held = heldAt(service, target, now);
        this->places.add(key,
                         Place{request.service, target.listed.id, organisation, held, now, request.hedgeOf != 0},
                         now + request.timeLeft + releaseGrace);
    }

    static void recordAnswer(Service &service, Millis elapsed, Millis now)
    {
        service.answerTimes.record(elapsed, now);
        const auto ms = static_cast<double>(elapsed.count);
        service.recentAnswerMs += service.recentAnswerMs > 0 ? (ms - service.recentAnswerMs) * recentAnswerWeight : ms;
        service.answers += 1;
        const double weight = std::max(usualAnswerWeight, 1 / static_cast<double>(service.answers));
        service.usualAnswerMs += (ms - service.usualAnswerMs) * weight;
    }

    /** Drops the services that were not asked for lately, so that names of services do not add up. */
    void dropUnusedServices(Millis now)
    {
        std::erase_if(this->services, [now](const auto &entry) {
            const Service &service = entry.second;
            const bool isHeld = std::any_of(service.targets.begin(), service.targets.end(), [](const auto &target) {
                return target.second.occupancy.counted() > 0;
            });
            return !isHeld && now - service.targetsSetAt > unusedServiceTtl;
        });
    }

    void expirePlaces(Millis now)
    {
        while (const std::optional<PlaceKey> expired = this->places.firstExpired(now)) {
            this->drop(*expired);
        }
    }

    /** A stream of the place has begun; the request keeps its place. */
    void recordBegun(Place &place, const GatewayAdmissionRelease &release, Millis now)
    {
        Target *target = this->find(place.service, place.target);
        if (target == nullptr || std::exchange(place.hasBegun, true)) {
            return;
        }
        target->occupancy.recordBegun(place.grantedAt);
        if (release.held > 0) {
            target->occupancy.recordAnnounced(release.held, this->services.at(place.service).overdue, now);
        }
    }

    /** Removes a place. @return what it was; none if it is not known. */
    std::optional<Place> drop(const PlaceKey &key)
    {
        std::optional<Place> dropped = this->places.take(key);
        if (!dropped) {
            return std::nullopt;
        }
        const Place &place = *dropped;
        if (Target *target = this->find(place.service, place.target)) {
            target->occupancy.remove(place.grantedAt, place.hasBegun);
        }
        if (const auto service = this->services.find(place.service); service != this->services.end()) {
            const auto organisation = service->second.organisations.find(place.organisation);
            if (organisation != service->second.organisations.end()) {
                organisation->second.places -= std::min<std::uint32_t>(organisation->second.places, 1);
            }
        }
        return dropped;
    }

    Target *find(const PoolId &service, const TargetId &target)
    {
        const auto owned = this->services.find(service);
        if (owned == this->services.end()) {
            return nullptr;
        }
        const auto found = owned->second.targets.find(target);
        return found != owned->second.targets.end() ? &found->second : nullptr;
    }

    std::unordered_map<PoolId, Service> services;
    PlaceTable<Place> places;
};

AdmissionOwner::AdmissionOwner() : d(std::make_unique<Private>())
{
}

AdmissionOwner::~AdmissionOwner() = default;

bool AdmissionOwner::needsTargets(const PoolId &service, Millis now) const
{
    const auto found = this->d->services.find(service);
    return found == this->d->services.end() || now - found->second.targetsSetAt >= targetsInterval;
}

void AdmissionOwner::setTargets(const PoolId &service, const std::vector<OwnedTarget> &targets, Millis now)
{
    const auto [found, isNew] = this->d->services.try_emplace(service);
    Service &owned = found->second;
    if (!isNew && now - owned.targetsSetAt >= ownershipTtl) {
        owned.startAnew();
    }
    if (owned.ownedSince == Millis{0}) {
        owned.ownedSince = now;
    }
    owned.targetsSetAt = now;
    this->d->dropUnusedServices(now);
    std::map<TargetId, Target> kept;
    for (const OwnedTarget &listed : targets) {
        const auto before = owned.targets.find(listed.id);
        Target target = before != owned.targets.end() ? std::move(before->second) : Target{};
        target.listed = listed;
        target.occupancy.recordReported(listed.reportedInFlight, now);
        kept.emplace(listed.id, std::move(target));
    }
    owned.targets = std::move(kept);
}

GatewayAdmissionReply AdmissionOwner::decide(const InstanceId &from, const GatewayAdmissionRequest &request, Millis now)
{
    this->d->expirePlaces(now);
    GatewayAdmissionReply reply{request.id, AdmissionVerdict::NoTarget, {}, {}, {}, {}, 0};
    const PlaceKey key{from, request.id};
    if (const Place *known = this->d->places.find(key)) {
        reply.verdict = AdmissionVerdict::Granted;
        reply.target = known->target;
        return reply;
    }
    if (request.hedgeOf != 0) {
        return this->d->decideHedge(key, request, now);
    }
    const auto found = this->d->services.find(request.service);
    if (found == this->d->services.end()) {
        return reply;
    }
    Service &service = found->second;
    service.offered.add(now);
    Organisation &organisation = service.organisations[{request.requestClass, request.organisation}];
    organisation.offered.add(now);
    Private::updateFairRates(service, now);
    Target *best = Private::chooseTarget(service, request.excluded, now);
    if (best == nullptr) {
        return reply;
    }
    if (Private::mustRefuse(service, request, *best, now)) {
        reply.verdict = AdmissionVerdict::Overloaded;
        reply.retryAfter = Private::retryAfter(service, request, now);
        return reply;
    }
    organisation.admitted.add(now);
    if (Private::earnHedges(service, request, now)) {
        reply.hedgeAfter = Private::hedgeAfter(service, *best, now);
    }
    this->d->takePlace(key, request, service, *best, now);
    reply.verdict = AdmissionVerdict::Granted;
    reply.target = best->listed.id;
    return reply;
}

void AdmissionOwner::release(const InstanceId &from, const GatewayAdmissionRelease &release, Millis now)
{
    if (release.outcome == PlaceOutcome::Begun) {
        if (Place *begun = this->d->places.find({from, release.id})) {
            this->d->recordBegun(*begun, release, now);
        }
        return;
    }
    const std::optional<Place> place = this->d->drop({from, release.id});
    Target *target = place ? this->d->find(place->service, place->target) : nullptr;
    if (target == nullptr) {
        return;
    }
    if (release.outcome == PlaceOutcome::Rejected) {
        target->fullUntil = now + rejectionPause;
        this->d->services.at(place->service).hedgeBalance += place->isHedge ? 1 : 0;
    }
    const double slots = std::max<std::uint32_t>(target->listed.slots, 1);
    const double measured = static_cast<double>(release.elapsed.count) / std::max(place->heldAtStart / slots, 1.0);
    // The time of an abandoned request is a lower bound, which says something only where it exceeds the average.
    const bool isSlower = release.outcome == PlaceOutcome::Abandoned && measured > target->serviceMs;
    if (release.outcome == PlaceOutcome::Answered || isSlower) {
        Private::recordAnswer(this->d->services.at(place->service), release.elapsed, now);
        target->answeredAt = now;
        target->serviceMs += target->serviceMs > 0 ? (measured - target->serviceMs) * answerWeight : measured;
    }
}

void AdmissionOwner::releaseAll(const InstanceId &from)
{
    for (const PlaceKey &key : this->d->places.heldBy(from)) {
        this->d->drop(key);
    }
}

std::vector<InstanceId> AdmissionOwner::holders() const
{
    return this->d->places.holders();
}

OwnedServiceState AdmissionOwner::state(const PoolId &service, Millis now)
{
    OwnedServiceState state;
    const auto found = this->d->services.find(service);
    if (found == this->d->services.end()) {
        return state;
    }
    this->d->expirePlaces(now);
    state.targets = found->second.targets.size();
    for (const auto &[id, target] : found->second.targets) {
        state.placesTaken += target.occupancy.counted();
    }
    state.capacityPerSecond = Private::capacityPerSecond(found->second, now);
    state.offeredPerSecond = found->second.offered.perSecond(now);
    state.hedges = found->second.hedges;
    return state;
}

} // namespace Sequoiausher
