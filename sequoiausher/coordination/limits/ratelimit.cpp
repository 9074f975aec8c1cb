#include "sequoiausher/coordination/limits/ratelimit.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <unordered_map>

namespace Sequoiausher {

namespace {

constexpr double msPerSecond = 1000;

/** Tokens that come in at a rate, up to a bound. */
struct Bucket
{
    double tokens = 0;
    Millis filledAt;
    bool started = false;

    void fill(Millis now, double perSecond, double bound)
    {
        if (!this->started) {
            this->tokens = bound;
            this->started = true;
        } else {
            const double passed = static_cast<double>(std::max<std::int64_t>(0, (now - this->filledAt).count));
            this->tokens = std::min(bound, this->tokens + passed * perSecond / msPerSecond);
        }
        this->filledAt = std::max(this->filledAt, now);
    }

    /** When the bucket will hold wanted. */
    Millis timeTo(double wanted, double perSecond) const
    {
        constexpr Millis longest{60000};
        const double missing = std::max(0.0, wanted - this->tokens);
        if (missing * msPerSecond >= static_cast<double>(longest.count) * perSecond) {
            return longest;
        }
        return Millis{static_cast<std::int64_t>(std::ceil(missing * msPerSecond / perSecond))};
    }
};

/** An exponentially weighted rate. */
struct Demand
{
    double perSecond = 0;
    Millis updatedAt;

    void add(Millis now, double cost)
    {
        this->decay(now);
        this->perSecond += cost * msPerSecond / static_cast<double>(demandAveragedOver.count);
    }

    void decay(Millis now)
    {
        const auto passed = static_cast<double>(std::max<std::int64_t>(0, (now - this->updatedAt).count));
        this->perSecond *= std::exp(-passed / static_cast<double>(demandAveragedOver.count));
        this->updatedAt = std::max(this->updatedAt, now);
    }
};

struct Organisation
{
    OrganisationLimits limits;
    Bucket whole;
    std::array<Bucket, requestClassCount> classes;
    Demand own;
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
    /** The part of any limit of the organisation that is this router's. */
    double part(Millis now, Organisation &organisation) const
    {
        const double even = 1 / this->liveRouters;
        const bool fresh = organisation.fleetDemandAt && now - *organisation.fleetDemandAt < this->freshFor;
        if (!fresh || organisation.fleetDemand <= 0) {
            return even;
        }
        organisation.own.decay(now);
        // The sum may be older than this router's own surge: it is at least what this router sees itself.
        const double fleet = std::max(organisation.fleetDemand, organisation.own.perSecond);
        const double byDemand = organisation.own.perSecond / fleet;
        return std::min(evenPart * even + (1 - evenPart) * byDemand, maxShareOverEven * even);
    }

    static void fill(Millis now, Organisation &organisation, double part)
    {
        const OrganisationLimits &limits = organisation.limits;
        const double share = limits.perSecond * part;
        organisation.whole.fill(now, share, burstOf(share, limits.burstSeconds));
        for (std::size_t index = 0; index < requestClassCount; ++index) {
            const double classShare = limits.perClass[index] * part;
            organisation.classes[index].fill(now, classShare, burstOf(classShare, limits.burstSeconds));
        }
    }

    /** The class whose bucket pays: the request's own, else a less important one with enough left. */
    static std::optional<std::size_t> payer(const Organisation &organisation, std::size_t own, double cost)
    {
        for (std::size_t index = own; index < requestClassCount; ++index) {
            if (organisation.limits.perClass[index] > 0 && organisation.classes[index].tokens >= cost) {
                return index;
            }
        }
        return std::nullopt;
    }

    std::unordered_map<OrganisationId, Organisation> organisations;
    double liveRouters = 1;
    Millis freshFor = demandFreshFor;
};

RateLimiter::RateLimiter() : d(std::make_unique<Private>())
{
}

RateLimiter::~RateLimiter() = default;
RateLimiter::RateLimiter(RateLimiter &&) noexcept = default;
RateLimiter &RateLimiter::operator=(RateLimiter &&) noexcept = default;

void RateLimiter::setLimits(const OrganisationId &organisation, const OrganisationLimits &limits)
{
    this->d->organisations[organisation].limits = limits;
}

void RateLimiter::removeLimits(const OrganisationId &organisation)
{
    this->d->organisations.erase(organisation);
}

void RateLimiter::setLiveRouters(std::size_t count)
{
    this->d->liveRouters = static_cast<double>(std::max<std::size_t>(1, count));
    this->d->freshFor = std::max(demandFreshFor, demandFreshPerRouter * static_cast<std::int64_t>(count));
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
    // What is refused counts too: shares follow what callers want, or a router refused once would never catch up.
    known.own.add(now, cost);
    const double part = this->d->part(now, known);
    Private::fill(now, known, part);
    const auto own = static_cast<std::size_t>(requestClass);
    const bool classLimited = known.limits.perClass[own] > 0;
    const std::optional<std::size_t> payer = classLimited ? Private::payer(known, own, cost) : std::nullopt;
    const bool classAllows = !classLimited || payer.has_value();
    if (known.whole.tokens >= cost && classAllows) {
        known.whole.tokens -= cost;
        if (payer) {
            known.classes[*payer].tokens -= cost;
        }
        return {};
    }
    Millis retryAfter = known.whole.timeTo(cost, known.limits.perSecond * part);
    if (!classAllows) {
        retryAfter = std::max(retryAfter, known.classes[own].timeTo(cost, known.limits.perClass[own] * part));
    }
    return {false, std::max(Millis{1}, retryAfter)};
}

std::vector<OrganisationDemand> RateLimiter::reports(Millis now)
{
    std::vector<OrganisationDemand> near;
    for (auto &item : this->d->organisations) {
        Organisation &organisation = item.second;
        organisation.own.decay(now);
        const double even = organisation.limits.perSecond / this->d->liveRouters;
        if (even > 0 && organisation.own.perSecond >= reportedFrom * even) {
            near.push_back({item.first, organisation.own.perSecond});
        }
    }
    return near;
}

double RateLimiter::share(Millis now, const OrganisationId &organisation)
{
    const auto found = this->d->organisations.find(organisation);
    return found == this->d->organisations.end() ? 0
                                                 : found->second.limits.perSecond * this->d->part(now, found->second);
}

} // namespace Sequoiausher
