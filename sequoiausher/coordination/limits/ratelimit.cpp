#include "sequoiausher/coordination/limits/ratelimit.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <unordered_map>

namespace Sequoiausher {

namespace {

constexpr double msPerSecond = 1000;

/** A token bucket. With one token at the start, an organisation that sends little is not refused at once. */
struct Bucket
{
    explicit Bucket(Millis startedAt) : filledAt(startedAt)
    {
    }

    double tokens = 1;
    Millis filledAt;

    void fill(Millis now, double perSecond, double bound)
    {
        const double passed = static_cast<double>(std::max<std::int64_t>(0, (now - this->filledAt).count));
        this->tokens = std::min(bound, this->tokens + passed * perSecond / msPerSecond);
        this->filledAt = std::max(this->filledAt, now);
    }

    /** Returns the time until the bucket holds amount, at most 60 s. */
    Millis timeUntil(double amount, double perSecond) const
    {
        constexpr Millis maxTime{60000};
        const double missing = std::max(0.0, amount - this->tokens);
        if (missing * msPerSecond >= static_cast<double>(maxTime.count) * perSecond) {
            return maxTime;
        }
        return Millis{static_cast<std::int64_t>(std::ceil(missing * msPerSecond / perSecond))};
    }
};

/** An exponentially weighted moving average of a rate. */
struct Demand
{
    double perSecond = 0;
    Millis updatedAt;

    void add(Millis now, double cost)
    {
        this->decay(now);
        this->perSecond += cost * msPerSecond / static_cast<double>(demandAveragingTime.count);
    }

    void decay(Millis now)
    {
        const auto passed = static_cast<double>(std::max<std::int64_t>(0, (now - this->updatedAt).count));
        this->perSecond *= std::exp(-passed / static_cast<double>(demandAveragingTime.count));
        this->updatedAt = std::max(this->updatedAt, now);
    }
};

/** This router's demand at a call of collectReports(), whether or not it was reported. */
struct DemandSample
{
    Millis at;
    double perSecond = 0;
};

constexpr Millis sampleInterval{500};
constexpr std::size_t maxSamples = 128;
/** The maximum age of a report when it is added to a sum; a third of the demand TTL if that is longer. */
constexpr Millis maxReportAge{2000};

struct Organisation
{
    explicit Organisation(Millis startedAt) : total(startedAt), classes(requestClassCount, Bucket(startedAt))
    {
    }

    OrganisationLimits limits;
    Bucket total;
    std::vector<Bucket> classes;
    Demand own;
    /** The demands at recent calls of collectReports(), oldest first. */
    std::deque<DemandSample> samples;
    double fleetDemand = 0;
    std::optional<Millis> fleetDemandAt;
};

double burstOf(double share, double burstSeconds)
{
    return std::max(minimumBurst, share * burstSeconds);
}

} // namespace

class RateLimiter::Private
{
public:
    /** Returns this router's share of the organisation's limits, as a fraction. */
    double shareFraction(Millis now, Organisation &organisation) const
    {
        const double evenShare = 1 / this->liveRouters;
        const bool isFresh = organisation.fleetDemandAt && now - *organisation.fleetDemandAt < this->demandTtl;
        if (!isFresh || organisation.fleetDemand <= 0) {
            return evenShare;
        }
        organisation.own.decay(now);
        // The sum may be older than a surge at this router, so use at least this router's own reported demand.
        const double own = this->ownDemandInSum(organisation);
        const double fleet = std::max(organisation.fleetDemand, own);
        const double limit = organisation.limits.perSecond;
        if (fleet < limit) {
            // A share by demand alone would refuse requests far below the limit: if an organisation has 0.6 requests a
            // second in the whole fleet, the demand measured by each router is mostly noise.
            const double shareWithSlack = (own + (limit - fleet) / this->liveRouters) / limit;
            return std::min(std::max(evenShare, shareWithSlack), maxShareToEvenRatio * evenShare);
        }
        const double shareByDemand = own / fleet;
        return std::min(evenShareFraction * evenShare + (1 - evenShareFraction) * shareByDemand,
                        maxShareToEvenRatio * evenShare);
    }

    /**
     * Returns a low estimate of this router's contribution to the sum: the lowest of its current demand and of the
     * samples that the sum may include. The current demand alone cannot be used: if an organisation surges at all
     * routers at once, each router's demand would be as large as the old sum, and each would allow nearly the whole
     * limit, seven times the limit in total, until the sums are up to date.
     */
    double ownDemandInSum(const Organisation &organisation) const
    {
        double own = organisation.own.perSecond;
        const Millis oldest = *organisation.fleetDemandAt - std::max(maxReportAge, this->demandTtl / 3);
        for (const DemandSample &sample : organisation.samples) {
            if (sample.at >= oldest && sample.at <= *organisation.fleetDemandAt) {
                own = std::min(own, sample.perSecond);
            }
        }
        return own;
    }

    static void fill(Millis now, Organisation &organisation, double shareFraction)
    {
        const OrganisationLimits &limits = organisation.limits;
        const double share = limits.perSecond * shareFraction;
        organisation.total.fill(now, share, burstOf(share, limits.burstSeconds));
        for (std::size_t index = 0; index < requestClassCount; ++index) {
            const double classShare = limits.perClass[index] * shareFraction;
            organisation.classes[index].fill(now, classShare, burstOf(classShare, limits.burstSeconds));
        }
    }

    /** Returns the class whose bucket pays: the request's own, or else a less important one with enough tokens. */
    static std::optional<std::size_t> findPayer(const Organisation &organisation, std::size_t own, double cost)
    {
        for (std::size_t index = own; index < requestClassCount; ++index) {
            if (organisation.limits.perClass[index] > 0 && organisation.classes[index].tokens >= cost) {
                return index;
            }
        }
        return std::nullopt;
    }

    Millis startedAt;
    std::unordered_map<OrganisationId, Organisation> organisations;
    double liveRouters = 1;
    Millis demandTtl = minDemandTtl;
};

RateLimiter::RateLimiter(Millis startedAt) : d(std::make_unique<Private>())
{
    this->d->startedAt = startedAt;
}

RateLimiter::~RateLimiter() = default;
RateLimiter::RateLimiter(RateLimiter &&) noexcept = default;
RateLimiter &RateLimiter::operator=(RateLimiter &&) noexcept = default;

void RateLimiter::setLimits(const OrganisationId &organisation, const OrganisationLimits &limits)
{
    this->d->organisations.try_emplace(organisation, this->d->startedAt).first->second.limits = limits;
}

void RateLimiter::removeLimits(const OrganisationId &organisation)
{
    this->d->organisations.erase(organisation);
}

void RateLimiter::setLiveRouters(std::size_t count)
{
    this->d->liveRouters = static_cast<double>(std::max<std::size_t>(1, count));
    this->d->demandTtl = std::max(minDemandTtl, demandTtlPerRouter * static_cast<std::int64_t>(count));
}

void RateLimiter::setFleetDemand(Millis now, const OrganisationDemand &demand)
{
    const auto found = this->d->organisations.find(demand.organisation);
    if (found == this->d->organisations.end()) {
        return;
    }
    found->second.fleetDemand = demand.perSecond;
    found->second.fleetDemandAt = now;
}

LimitDecision RateLimiter::take(Millis now, const OrganisationId &organisation, RequestClass requestClass, double cost)
{
    const auto found = this->d->organisations.find(organisation);
    if (found == this->d->organisations.end() || found->second.limits.perSecond <= 0) {
        return {};
    }
    Organisation &known = found->second;
    // Refused requests count as demand too. Otherwise a router that refused requests would never get a larger share.
    known.own.add(now, cost);
    const double shareFraction = this->d->shareFraction(now, known);
    Private::fill(now, known, shareFraction);
    const auto own = static_cast<std::size_t>(requestClass);
    const bool classLimited = known.limits.perClass[own] > 0;
    const std::optional<std::size_t> payer = classLimited ? Private::findPayer(known, own, cost) : std::nullopt;
    const bool classAllows = !classLimited || payer.has_value();
    if (known.total.tokens >= cost && classAllows) {
        known.total.tokens -= cost;
        if (payer) {
            known.classes[*payer].tokens -= cost;
        }
        return {};
    }
    Millis retryAfter = known.total.timeUntil(cost, known.limits.perSecond * shareFraction);
    if (!classAllows) {
        retryAfter
            = std::max(retryAfter, known.classes[own].timeUntil(cost, known.limits.perClass[own] * shareFraction));
    }
    return {false, std::max(Millis{1}, retryAfter)};
}

std::vector<OrganisationDemand> RateLimiter::collectReports(Millis now)
{
    std::vector<OrganisationDemand> near;
    for (auto &item : this->d->organisations) {
        Organisation &organisation = item.second;
        organisation.own.decay(now);
        if (organisation.samples.empty() || now - organisation.samples.back().at >= sampleInterval) {
            organisation.samples.push_back(DemandSample{now, organisation.own.perSecond});
        }
        if (organisation.samples.size() > maxSamples) {
            organisation.samples.pop_front();
        }
        const double evenShare = organisation.limits.perSecond / this->d->liveRouters;
        if (evenShare > 0 && organisation.own.perSecond >= minReportedFraction * evenShare) {
            near.push_back({item.first, organisation.own.perSecond});
        }
    }
    return near;
}

double RateLimiter::share(Millis now, const OrganisationId &organisation)
{
    const auto found = this->d->organisations.find(organisation);
    return found == this->d->organisations.end()
        ? 0
        : found->second.limits.perSecond * this->d->shareFraction(now, found->second);
}

} // namespace Sequoiausher
