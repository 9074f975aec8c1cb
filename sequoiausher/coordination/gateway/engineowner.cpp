#include "sequoiausher/coordination/gateway/engineowner.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/gateway/partplacements.h"
#include "sequoiausher/coordination/gateway/placetable.h"
#include "sequoiausher/coordination/gateway/queueorder.h"
#include "sequoiausher/coordination/gateway/targetoccupancy.h"
#include "sequoiausher/coordination/policies/loadbound.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

/** Reading shared parts delays the requests behind, so it counts once more than the time that this request waits. */
constexpr double sharedReadingWeight = 1;
/** Tokens that wait there with a lower priority are delayed by the request, so it goes elsewhere where it can. */
constexpr double overtakingWeight = 1;
/** Copying takes a small fraction of reading, but it uses the links and the caches of both targets. */
constexpr double copyWeight = 1;
/**
 * A request leaves the target that has its parts only if another one is sooner by this fraction of the aim. Where none
 * is known to have them, the same holds for the first target in their rendezvous order.
 */
constexpr double relocationAimFraction = 0.2;
/** How fast a target's word on its present speed is forgotten: speeds change several times a second. */
constexpr double slownessMemoryMs = 400;
constexpr double usualPercent = 100;
/** A target's word on its speed counts up to this much, so that a wrong one does not shut the target off. */
constexpr double maxSlowness = 4;
/**
 * A rule's bound leaves a margin for counts that are half a second old. The owner's are not, so a target may hold this
 * multiple of it while none of the counted requests is overdue; a target with chance peaks would otherwise lose
 * requests whose parts it has.
 */
constexpr double exactCountFactor = 4.0 / 3;
/** Requests above the bound of the rule that are let through, as in TargetBoard. */
constexpr std::uint64_t boundSlackRequests = 1;
/** A target counts in the mean with this multiple of the mean count at most, unless the owner has counted more there.
 */
constexpr std::uint64_t maxBelievableMeans = 4;
/** The same in requests, added to the multiple, because a new owner has counted only a few. */
constexpr std::uint64_t minBelievable = 16;
/** The weight of one first event in the average reading rate. */
constexpr double rateWeight = 0.05;
/** First events before the reading rate is used to refuse requests: one slow engine would make it far too low. */
constexpr std::uint32_t minRateSamples = 20;
/** Shorter prompts show more of other delays than of the reading rate. */
constexpr std::uint64_t minTokensOfRate = 500;
/** How long a place may be held beyond the deadline of its request, for a release that is on its way. */
constexpr Millis releaseGrace{500};
/** How long a target that rejected a request for want of room gets no other. */
constexpr Millis rejectionPause{150};
/** How long a new owner takes reported loads into account, since earlier places are unknown to it. */
constexpr Millis takeoverTime{1000};
/** How often the list of targets and their health is taken over. */
constexpr Millis targetsInterval{50};
/** An owner that was not asked for this long starts anew, since another gateway has owned the service meanwhile. */
constexpr Millis ownershipTtl{2000};
/** How long a service is kept that no gateway asks about. */
constexpr Millis unusedServiceTtl{60000};
/** Callers honour a Retry-After of up to this fraction of their time left. */
constexpr std::int64_t honouredTimeDivisor = 3;
constexpr Millis minRetryAfter{80};

struct Engine
{
    OwnedTarget listed;
    TargetOccupancy occupancy;
    /** Places of gateways whose links have broken. */
    std::uint32_t lostPlaces = 0;
    /** Tokens of placed prompts that are still to be read, by priority. */
    std::array<std::uint64_t, enginePriorityCount> waitingTokens{};
    double slowness = 1;
    Millis slownessAt;
    Millis fullUntil;
};

/** A place that is taken by a request. */
struct Place
{
    PoolId service;
    TargetId target;
    TargetId copyFrom;
    Millis grantedAt;
    std::uint32_t priority = 0;
    /** Tokens that the target reads for this request, and those of the request's priority. */
    std::uint64_t work = 0;
    std::uint64_t tokensToRead = 0;
    /** Tokens that waited there before the request. */
    std::uint64_t ahead = 0;
    /** What the reply stated of the target. */
    std::uint16_t held = 0;
    std::uint16_t bound = 0;
    bool hasBegun = false;
    std::vector<AdmissionPart> parts;
};

struct Service
{
    std::map<TargetId, Engine> engines;
    PartPlacements placements;
    OverdueEvidence overdue;
    /** The tokens that an engine reads in one ms; 0 before it is known. */
    double tokensPerMs = 0;
    std::uint32_t rateSamples = 0;
    Millis ownedSince;
    Millis targetsSetAt;
};

std::uint16_t clampToWord(std::uint64_t count)
{
    return static_cast<std::uint16_t>(std::min<std::uint64_t>(count, std::numeric_limits<std::uint16_t>::max()));
}

/** One way to serve a request. */
struct Option
{
    Engine *engine = nullptr;
    TargetId copyFrom;
    std::uint32_t priority = 0;
    std::uint64_t work = 0;
    std::uint64_t tokensToRead = 0;
    std::uint64_t ahead = 0;
    double expectedTokens = 0;
    bool isInTime = true;
    /** The requests that the target most likely holds, and how many it may hold. */
    std::uint32_t held = 0;
    std::uint64_t bound = 0;
    double cost = std::numeric_limits<double>::infinity();
    std::uint64_t tieBreak = 0;
};

/** The parts of one request's prompt at the targets of its service. */
class PromptView
{
public:
    PromptView(const AdmissionPrompt &asked, const Service &owned, const PrefixDirectory &reported, Millis at)
        : prompt(asked)
        , service(owned)
        , now(at)
    {
        for (const AdmissionPart &part : this->prompt.parts) {
            this->reportedHolders.push_back(reported.holders(part.hash, at));
        }
        this->findSources();
        this->findPreferredTarget();
    }

    /**
     * The first target in the rendezvous order of the last part, if no target is known to have the part; empty
     * otherwise. A new owner that knows nothing of the caches finds there what an earlier one has placed.
     */
    const TargetId &preferredTarget() const
    {
        return this->preferred;
    }

    std::uint64_t rendezvousOf(const TargetId &target) const
    {
        const std::uint64_t part = this->prompt.parts.empty() ? 0 : this->prompt.parts.back().hash;
        return rendezvousWeight(hash64(target.value), part);
    }

    /** How many parts from the beginning the target has read, or also those that it is about to read. */
    std::size_t depthAt(const TargetId &target, bool withReading) const
    {
        for (std::size_t depth = this->prompt.parts.size(); depth > 0; --depth) {
            const PartState state = this->stateAt(depth - 1, target);
            if (state == PartState::Read || (withReading && state == PartState::Reading)) {
                return depth;
            }
        }
        return 0;
    }

    std::uint64_t sharedTokens(std::size_t from, std::size_t to) const
    {
        std::uint64_t tokens = 0;
        for (std::size_t i = from; i < to; ++i) {
            tokens += this->prompt.parts[i].tokens;
        }
        return tokens;
    }

    /** The target from which another one can copy most, and how many parts. */
    std::pair<std::size_t, TargetId> sourceFor(const TargetId &target) const
    {
        for (std::size_t depth = this->prompt.parts.size(); depth > 0; --depth) {
            for (const TargetId &source : this->sources[depth - 1]) {
                if (source != target) {
                    return {depth, source};
                }
            }
        }
        return {0, {}};
    }

private:
    PartState stateAt(std::size_t part, const TargetId &target) const
    {
        const PartState known = this->service.placements.find(this->prompt.parts[part].hash, target, this->now);
        if (known != PartState::Absent) {
            return known;
        }
        const std::vector<TargetId> &holders = this->reportedHolders[part];
        return std::find(holders.begin(), holders.end(), target) != holders.end() ? PartState::Read : PartState::Absent;
    }

    /** Finds the usable targets that have read each part, those with the fewest requests first. */
    void findSources()
    {
        for (std::size_t i = 0; i < this->prompt.parts.size(); ++i) {
            std::vector<TargetId> holders = this->service.placements.readers(this->prompt.parts[i].hash, this->now);
            holders.insert(holders.end(), this->reportedHolders[i].begin(), this->reportedHolders[i].end());
            std::erase_if(holders, [this, i](const TargetId &holder) {
                const auto engine = this->service.engines.find(holder);
                return engine == this->service.engines.end() || !engine->second.listed.isUsable
                    || this->stateAt(i, holder) != PartState::Read;
            });
            std::stable_sort(holders.begin(), holders.end(), [this](const TargetId &one, const TargetId &other) {
                return this->service.engines.at(one).occupancy.counted()
                    < this->service.engines.at(other).occupancy.counted();
            });
            this->sources.push_back(std::move(holders));
        }
    }

    void findPreferredTarget()
    {
        if (this->prompt.parts.empty()) {
            return;
        }
        std::uint64_t highest = 0;
        for (const auto &[id, engine] : this->service.engines) {
            if (!engine.listed.isUsable) {
                continue;
            }
            if (this->stateAt(this->prompt.parts.size() - 1, id) != PartState::Absent) {
                this->preferred = TargetId();
                return;
            }
            const std::uint64_t weight = this->rendezvousOf(id);
            if (this->preferred.empty() || weight > highest) {
                this->preferred = id;
                highest = weight;
            }
        }
    }

    const AdmissionPrompt &prompt;
    const Service &service;
    Millis now;
    TargetId preferred;
    std::vector<std::vector<TargetId>> reportedHolders;
    std::vector<std::vector<TargetId>> sources;
};

} // namespace

class EngineOwner::Private
{
public:
    /** Returns the multiple of the usual time that work takes at the target now. */
    static double slownessOf(const Engine &engine, Millis now)
    {
        const auto age = static_cast<double>((now - engine.slownessAt).count);
        return 1 + (engine.slowness - 1) * std::exp(-age / slownessMemoryMs);
    }

    static bool isNewOwner(const Service &service, Millis now)
    {
        return now - service.ownedSince < takeoverTime;
    }

    /** The requests that the target most likely holds. */
    static std::uint32_t heldAt(const Service &service, const Engine &engine, Millis now)
    {
        const std::uint32_t estimated = engine.occupancy.estimate(service.overdue, now);
        return isNewOwner(service, now) ? std::max(estimated, engine.listed.reportedInFlight) : estimated;
    }

    /** The least that the target holds, as far as is known. */
    static std::uint32_t leastAt(const Service &service, const Engine &engine, Millis now)
    {
        const std::uint32_t held = engine.occupancy.least(now);
        const std::uint32_t least = held - std::min(held, engine.lostPlaces);
        const std::uint32_t reported
            = engine.listed.reportedInFlight - std::min(engine.listed.reportedInFlight, engine.listed.reportedByLost);
        return isNewOwner(service, now) ? std::max(least, reported) : least;
    }

    /**
     * More than this at one target, by its announcement or the reports, counts as no more in the mean: a target that
     * overstates its load would raise the bound of all others.
     */
    static std::uint64_t maxBelievable(const Service &service)
    {
        std::uint64_t counted = 0;
        for (const auto &[id, engine] : service.engines) {
            counted += engine.occupancy.counted();
        }
        return maxBelievableMeans * counted / std::max<std::uint64_t>(service.engines.size(), 1) + minBelievable;
    }

    static bool mayTake(const Engine &engine, const GatewayAdmissionRequest &request)
    {
        return engine.listed.isUsable
            && std::find(request.excluded.begin(), request.excluded.end(), engine.listed.id) == request.excluded.end();
    }

    /**
     * The most requests that a target may hold for a further one to be sent there: the rule's multiple of the mean of
     * all targets, whether or not they can be used. Where so few can be used that this is below their own mean, an even
     * load is all that is left. Both go by what is certain: with a mean that is too high, the targets that hold none of
     * the doubtful requests would be crowded.
     */
    static std::uint64_t boundOf(const Service &service, const GatewayAdmissionRequest &request, Millis now)
    {
        std::uint64_t least = 0;
        std::uint64_t total = 0;
        std::uint64_t leastOfCandidates = 0;
        std::uint64_t candidates = 0;
        const std::uint64_t mostBelievable = maxBelievable(service);
        for (const auto &[id, engine] : service.engines) {
            const std::uint32_t held = heldAt(service, engine, now);
            const bool isCandidate = mayTake(engine, request);
            const std::uint64_t believed
                = std::min<std::uint64_t>(held, std::max<std::uint64_t>(mostBelievable, engine.occupancy.counted()));
            const std::uint64_t certain = std::min<std::uint64_t>(leastAt(service, engine, now), believed);
            least += certain;
            total += std::max<std::uint64_t>(believed, engine.occupancy.counted());
            leastOfCandidates += isCandidate ? certain : 0;
            candidates += isCandidate ? 1 : 0;
        }
        const double certainty = total > 0 ? static_cast<double>(least) / static_cast<double>(total) : 1;
        const double factor = 1 + (exactCountFactor - 1) * std::min(certainty, 1.0);
        const auto percent = static_cast<std::uint32_t>(request.prompt.boundPercent * factor);
        return std::max(loadBound(percent, least, service.engines.size()),
                        loadBound(minimumBoundPercent, leastOfCandidates, candidates))
            + boundSlackRequests;
    }

    static Option optionAt(Engine &engine,
                           const Service &service,
                           const GatewayAdmissionRequest &request,
                           const PromptView &view,
                           Millis now)
    {
        const AdmissionPrompt &prompt = request.prompt;
        const TargetId &id = engine.listed.id;
        Option option;
        option.engine = &engine;
        const std::size_t planned = view.depthAt(id, true);
        std::size_t read = view.depthAt(id, false);
        std::size_t copied = planned;
        if (prompt.mayCopy) {
            const auto [depth, source] = view.sourceFor(id);
            if (depth > planned) {
                copied = depth;
                read = depth;
                option.copyFrom = source;
            }
        }
        option.work = prompt.ownTokens + view.sharedTokens(copied, prompt.parts.size());
        // A request that overtook the one that reads its parts would have to read them itself.
        option.tokensToRead = prompt.ownTokens + view.sharedTokens(read, prompt.parts.size());
        option.priority = prompt.isShortestFirst ? shortestFirstPriority(request.requestClass, option.tokensToRead)
                                                 : std::min<std::uint32_t>(prompt.priority, enginePriorityCount - 1);
        std::uint64_t behind = 0;
        for (std::uint32_t level = 0; level < enginePriorityCount; ++level) {
            (level <= option.priority ? option.ahead : behind) += engine.waitingTokens[level];
        }
        option.expectedTokens = static_cast<double>(option.ahead + option.work) * slownessOf(engine, now);
        option.cost = option.expectedTokens + overtakingWeight * static_cast<double>(behind) * slownessOf(engine, now)
            + sharedReadingWeight * static_cast<double>(view.sharedTokens(copied, prompt.parts.size()))
            + copyWeight * static_cast<double>(view.sharedTokens(planned, copied));
        if (planned < prompt.parts.size() && id != view.preferredTarget()) {
            option.cost += relocationCost(service, request, view);
        }
        option.tieBreak = view.rendezvousOf(id);
        return option;
    }

    /** Returns the tokens for which a request waits rather than move away from the target that most likely has its
     * parts. */
    static double relocationCost(const Service &service, const GatewayAdmissionRequest &request, const PromptView &view)
    {
        const double tokensInAim = static_cast<double>(request.aim.count) * service.tokensPerMs;
        return tokensInAim > 0 ? relocationAimFraction * tokensInAim
                               : static_cast<double>(view.sharedTokens(0, request.prompt.parts.size()));
    }

    /** Whether the first event is expected while the caller waits, as far as the reading rate is known. */
    static bool isInTime(const Service &service, const GatewayAdmissionRequest &request, const Option &option)
    {
        return service.rateSamples < minRateSamples
            || option.expectedTokens <= static_cast<double>(request.timeLeft.count) * service.tokensPerMs;
    }

    /**
     * Whether one is better than the other: targets with room before those without, among these the ones that hold the
     * fewest requests, then those that are in time.
     */
    static bool isBetter(const Option &one, bool oneHasRoom, const Option &other, bool otherHasRoom)
    {
        if (oneHasRoom != otherHasRoom) {
            return oneHasRoom;
        }
        if (!oneHasRoom && one.held != other.held) {
            return one.held < other.held;
        }
        if (one.isInTime != other.isInTime) {
            return one.isInTime;
        }
        return one.cost != other.cost ? one.cost < other.cost : one.tieBreak > other.tieBreak;
    }

    static Option
    choose(Service &service, const GatewayAdmissionRequest &request, const PrefixDirectory &reported, Millis now)
    {
        const PromptView view(request.prompt, service, reported, now);
        const std::uint64_t bound = boundOf(service, request, now);
        Option best;
        bool bestHasRoom = false;
        for (auto &[id, engine] : service.engines) {
            if (!mayTake(engine, request)) {
                continue;
            }
            const std::uint32_t held = heldAt(service, engine, now);
            const bool hasRoom = held < bound && now >= engine.fullUntil;
            Option option = optionAt(engine, service, request, view, now);
            option.held = held;
            option.bound = bound;
            option.isInTime = isInTime(service, request, option);
            if (best.engine == nullptr || isBetter(option, hasRoom, best, bestHasRoom)) {
                best = std::move(option);
                bestHasRoom = hasRoom;
            }
        }
        return best;
    }

    void takePlace(const PlaceKey &key,
                   const GatewayAdmissionRequest &request,
                   Service &service,
                   const Option &option,
                   Millis now)
    {
        Engine &engine = *option.engine;
        engine.occupancy.add(now);
        engine.waitingTokens[option.priority] += option.work;
        for (const AdmissionPart &part : request.prompt.parts) {
            service.placements.recordPlaced(part.hash, engine.listed.id, now);
        }
        Place place{request.service,
                    engine.listed.id,
                    option.copyFrom,
                    now,
                    option.priority,
                    option.work,
                    option.tokensToRead,
                    option.ahead,
                    clampToWord(option.held),
                    clampToWord(option.bound),
                    false,
                    request.prompt.parts};
        this->places.add(key, std::move(place), now + request.timeLeft + releaseGrace);
    }

    Service *find(const PoolId &service)
    {
        const auto found = this->services.find(service);
        return found != this->services.end() ? &found->second : nullptr;
    }

    static Engine *findEngine(Service &service, const TargetId &target)
    {
        const auto found = service.engines.find(target);
        return found != service.engines.end() ? &found->second : nullptr;
    }

    /** The request's prompt has been read, or never will be. */
    static void endReading(Service &service, const Place &place)
    {
        if (Engine *engine = findEngine(service, place.target)) {
            std::uint64_t &waiting = engine->waitingTokens[place.priority];
            waiting -= std::min(waiting, place.work);
        }
    }

    /** Removes a place. */
    std::optional<Place> drop(const PlaceKey &key)
    {
        std::optional<Place> place = this->places.take(key);
        Service *service = place ? this->find(place->service) : nullptr;
        if (service == nullptr) {
            return place;
        }
        if (!place->hasBegun) {
            endReading(*service, *place);
            for (const AdmissionPart &part : place->parts) {
                service->placements.recordEnded(part.hash, place->target);
            }
        }
        if (Engine *engine = findEngine(*service, place->target)) {
            engine->occupancy.remove(place->grantedAt, place->hasBegun);
        }
        return place;
    }

    void recordBegun(Place &place, const GatewayAdmissionRelease &release, Millis now)
    {
        Service *service = this->find(place.service);
        if (place.hasBegun || service == nullptr) {
            return;
        }
        place.hasBegun = true;
        endReading(*service, place);
        for (const AdmissionPart &part : place.parts) {
            service->placements.recordRead(part.hash, place.target, now);
        }
        Engine *engine = findEngine(*service, place.target);
        if (engine != nullptr) {
            engine->occupancy.recordBegun(place.grantedAt);
        }
        if (engine != nullptr && release.held > 0) {
            engine->occupancy.recordAnnounced(release.held, service->overdue, now);
        }
        if (engine != nullptr && release.slownessPercent > 0) {
            engine->slowness = std::clamp(release.slownessPercent / usualPercent, 1 / maxSlowness, maxSlowness);
            engine->slownessAt = now;
        }
        // With nothing ahead the time until the first event is that of reading.
        if (place.ahead == 0 && place.work >= minTokensOfRate && release.elapsed > Millis{0}) {
            const double rate = static_cast<double>(place.work) / static_cast<double>(release.elapsed.count);
            service->rateSamples += 1;
            const double weight = std::max(rateWeight, 1.0 / service->rateSamples);
            service->tokensPerMs += (rate - service->tokensPerMs) * weight;
        }
    }

    void expirePlaces(Millis now)
    {
        bool isAnyLost = false;
        while (const std::optional<PlaceKey> expired = this->places.firstExpired(now)) {
            isAnyLost = isAnyLost || this->lost.contains(expired->first);
            this->drop(*expired);
        }
        if (isAnyLost) {
            this->countLostPlaces();
        }
    }

    /** Drops the services that were not asked for lately, so that names of services do not add up. */
    void dropUnusedServices(Millis now)
    {
        std::erase_if(this->services, [now](const auto &entry) {
            const Service &service = entry.second;
            const bool isHeld = std::any_of(service.engines.begin(), service.engines.end(), [](const auto &engine) {
                return engine.second.occupancy.counted() > 0;
            });
            return !isHeld && now - service.targetsSetAt > unusedServiceTtl;
        });
    }

    /** Counts the places of lost gateways anew. */
    void countLostPlaces()
    {
        for (auto &[id, service] : this->services) {
            for (auto &[target, engine] : service.engines) {
                engine.lostPlaces = 0;
            }
        }
        for (const InstanceId &gateway : this->lost) {
            for (const PlaceKey &key : this->places.heldBy(gateway)) {
                const Place &place = *this->places.find(key);
                Service *service = this->find(place.service);
                Engine *engine = service != nullptr ? findEngine(*service, place.target) : nullptr;
                if (engine != nullptr) {
                    engine->lostPlaces += 1;
                }
            }
        }
    }

    OccupancySettings occupancySettings;
    std::unordered_map<PoolId, Service> services;
    PlaceTable<Place> places;
    /** The gateways whose links have broken. */
    std::set<InstanceId> lost;
};

EngineOwner::EngineOwner(const OccupancySettings &settings) : d(std::make_unique<Private>())
{
    this->d->occupancySettings = settings;
}

EngineOwner::~EngineOwner() = default;

bool EngineOwner::needsTargets(const PoolId &service, Millis now) const
{
    const auto found = this->d->services.find(service);
    return found == this->d->services.end() || now - found->second.targetsSetAt >= targetsInterval;
}

void EngineOwner::setTargets(const PoolId &service, const std::vector<OwnedTarget> &targets, Millis now)
{
    const auto [found, isNew] = this->d->services.try_emplace(service);
    Service &owned = found->second;
    if (isNew || now - owned.targetsSetAt >= ownershipTtl) {
        owned.ownedSince = now;
        owned.placements = PartPlacements();
        owned.overdue = OverdueEvidence(this->d->occupancySettings);
        for (auto &[id, engine] : owned.engines) {
            engine.occupancy.forgetOthers();
        }
    }
    owned.targetsSetAt = now;
    this->d->dropUnusedServices(now);
    std::map<TargetId, Engine> kept;
    for (const OwnedTarget &listed : targets) {
        const auto before = owned.engines.find(listed.id);
        Engine engine = before != owned.engines.end()
            ? std::move(before->second)
            : Engine{.occupancy = TargetOccupancy(this->d->occupancySettings)};
        engine.listed = listed;
        engine.occupancy.recordReported(listed.reportedInFlight, now);
        kept.emplace(listed.id, std::move(engine));
    }
    owned.engines = std::move(kept);
}

GatewayAdmissionReply EngineOwner::decide(const InstanceId &from,
                                          const GatewayAdmissionRequest &request,
                                          const PrefixDirectory &reported,
                                          Millis now)
{
    this->d->expirePlaces(now);
    this->setLost(from, false);
    GatewayAdmissionReply reply;
    reply.id = request.id;
    const PlaceKey key{from, request.id};
    if (const Place *known = this->d->places.find(key)) {
        reply.verdict = AdmissionVerdict::Granted;
        reply.target = known->target;
        reply.copyFrom = known->copyFrom;
        reply.tokensToRead = static_cast<std::uint32_t>(known->tokensToRead);
        reply.held = known->held;
        reply.bound = known->bound;
        return reply;
    }
    Service *service = this->d->find(request.service);
    const Option best = service != nullptr ? Private::choose(*service, request, reported, now) : Option{};
    if (best.engine == nullptr) {
        return reply;
    }
    if (!best.isInTime) {
        const Millis longest{request.timeLeft.count / honouredTimeDivisor / 2};
        const double expectedMs = best.expectedTokens / service->tokensPerMs;
        const Millis excess{std::llround(expectedMs - static_cast<double>(request.timeLeft.count))};
        reply.verdict = AdmissionVerdict::Overloaded;
        reply.retryAfter = std::min(std::max(excess, minRetryAfter), longest);
        return reply;
    }
    this->d->takePlace(key, request, *service, best, now);
    reply.verdict = AdmissionVerdict::Granted;
    reply.target = best.engine->listed.id;
    reply.copyFrom = best.copyFrom;
    reply.tokensToRead = static_cast<std::uint32_t>(best.tokensToRead);
    reply.held = clampToWord(best.held);
    reply.bound = clampToWord(best.bound);
    return reply;
}

void EngineOwner::release(const InstanceId &from, const GatewayAdmissionRelease &release, Millis now)
{
    const PlaceKey key{from, release.id};
    if (release.outcome == PlaceOutcome::Begun) {
        if (Place *place = this->d->places.find(key)) {
            this->d->recordBegun(*place, release, now);
        }
        return;
    }
    const std::optional<Place> place = this->d->drop(key);
    if (place && this->d->lost.contains(from)) {
        this->d->countLostPlaces();
    }
    Service *service = place ? this->d->find(place->service) : nullptr;
    Engine *engine = service != nullptr ? Private::findEngine(*service, place->target) : nullptr;
    if (engine != nullptr && release.outcome == PlaceOutcome::Rejected) {
        engine->fullUntil = now + rejectionPause;
    }
}

void EngineOwner::releaseAll(const InstanceId &from)
{
    for (const PlaceKey &key : this->d->places.heldBy(from)) {
        this->d->drop(key);
    }
    this->setLost(from, false);
}

void EngineOwner::setLost(const InstanceId &from, bool isLost)
{
    const bool isChanged = isLost ? this->d->lost.insert(from).second : this->d->lost.erase(from) > 0;
    if (isChanged) {
        this->d->countLostPlaces();
    }
}

std::vector<InstanceId> EngineOwner::holders() const
{
    return this->d->places.holders();
}

OwnedEnginesState EngineOwner::state(const PoolId &service) const
{
    OwnedEnginesState state;
    const auto found = this->d->services.find(service);
    if (found == this->d->services.end()) {
        return state;
    }
    state.targets = found->second.engines.size();
    state.tokensPerMs = found->second.tokensPerMs;
    for (const auto &[id, engine] : found->second.engines) {
        state.placesTaken += engine.occupancy.counted();
        for (const std::uint64_t tokens : engine.waitingTokens) {
            state.waitingTokens += tokens;
        }
    }
    return state;
}

} // namespace Sequoiausher
