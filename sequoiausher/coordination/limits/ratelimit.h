#pragma once

// Limits of an organisation, for the fleet as a whole, kept by routers that each see a sliver of its traffic.
//
//     RateLimiter limiter;
//     limiter.setLimits(organisation, {.perSecond = 100, .burstSeconds = 2});
//     limiter.setLiveRouters(7);
//     const LimitDecision decision = limiter.take(now, organisation, RequestClass::Urgent, 1);
//     if (!decision.allowed) { /* 429, not run, Retry-After: decision.retryAfter */ }
//
// The scheme. A router's share of a limit L over N live routers is
//
//     share = L x (f / N  +  (1 - f) x own demand / demand of the fleet),   f = 0.2,
//
// held in a token bucket, while the fleet's demand D is at the limit or above it. Below it,
//
//     share = max(L / N, own demand + (L - D) / N),
//
// since nobody needs to be refused then; these add up to 2 L at most, for as long as it takes a surge to show in the
// sums. Own demand is what this router told for the sum, not the present one, or all would surge past the old sum. The
// demand of the fleet comes from outside (setFleetDemand), from sums that ride on messages that are sent anyway, and
// only for organisations near their limit (collectReports()). Without a fresh one the share is L / N: static, without
// any traffic, and right where the balancer spreads an organisation's requests evenly. Central counting (asking an
// owner for each request) was ruled out: a round trip before each request, and an outage of the owner would stop an
// organisation or lift its limit.
//
// The error. With an exact demand the shares add up to L. Where the fleet's demand is known too low by a factor
// (1 - e), they add up to at most L x (f + (1 - f) / (1 - e)): 15% above L for e = 0.16, as when a demand that
// doubles in 10 s is known 2.5 s late. Each bucket adds burstSeconds x its share, once. A router's share is bounded
// to maxShareToEvenRatio times the even one, so that a wrong sum cannot lift a limit altogether. In a partition whose
// sides keep an old list, N counts all routers: a side admits at most its part by the static share. Once the list
// shrinks to the side each side admits L.
//
// Borrowing between classes: a class may have a limit of its own within the organisation's. A request that finds its
// class's bucket empty may use what less important classes leave unused, never the other way round; the
// organisation's own bucket always binds.
//
// A plain state machine: not thread-safe, the caller locks (LockRank::Limits).

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/requestclass.h"
#include "sequoiausher/coordination/messages/membershipmessages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** The limits of one organisation over the whole fleet, in requests or in whatever take() is given as cost. */
struct OrganisationLimits
{
    /** 0: no limit. */
    double perSecond = 0;
    /** The bucket holds this many seconds' worth of the router's share, and at least minimumBurst. */
    double burstSeconds = 2;
    /** Limits of the classes; 0: only the organisation's limit binds. */
    std::array<double, requestClassCount> perClass{};

    bool operator==(const OrganisationLimits &) const = default;
};

struct LimitDecision
{
    bool allowed = true;
    /** Where not allowed: when enough will have come in, as things stand. */
    Millis retryAfter;
};

/** A bucket holds at least this much, or at 1,300 routers a share below one a second would refuse everything. */
inline constexpr double minimumBurst = 4;
/** The part of a limit that is shared evenly, for routers that start to see an organisation. */
inline constexpr double evenShareFraction = 0.2;
inline constexpr double maxShareToEvenRatio = 20;
/** A fleet demand older than this is not used; in large fleets, where demands are told less often, demandTtlPerRouter
 * for each router where that is longer. */
inline constexpr Millis minDemandTtl{10000};
inline constexpr Millis demandTtlPerRouter{30};
/** The time over which a router's own demand is averaged. */
inline constexpr Millis demandAveragingTime{5000};
/** Demand is reported from this part of the even share on: others cannot be near their limit. */
inline constexpr double minReportedFraction = 0.25;

class RateLimiter
{
public:
    RateLimiter();
    ~RateLimiter();
    RateLimiter(RateLimiter &&) noexcept;
    RateLimiter &operator=(RateLimiter &&) noexcept;

    /** Sets or changes an organisation's limits; what is in its buckets stays, up to the new bound. */
    void setLimits(const OrganisationId &organisation, const OrganisationLimits &limits);
    void removeLimits(const OrganisationId &organisation);
    /** How many routers serve; at least 1. Those that are leaving count until they are gone. */
    void setLiveRouters(std::size_t count);
    /** The sum of all routers' demand, this one's included. */
    void setFleetDemand(Millis now, const OrganisationDemand &demand);

    /** Takes cost for one request, or says when to come back. Organisations without limits are always allowed. */
    LimitDecision take(Millis now, const OrganisationId &organisation, RequestClass requestClass, double cost);
    /** What this router should tell: the demand of each organisation that may be near its limit. */
    std::vector<OrganisationDemand> collectReports(Millis now);
    /** This router's share of the organisation's limit now, per second; 0 where it has none. */
    double share(Millis now, const OrganisationId &organisation);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
