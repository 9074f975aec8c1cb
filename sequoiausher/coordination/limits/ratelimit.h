#pragma once

// Enforces rate limits of organisations over the whole fleet, by routers that each see a small part of the traffic.
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
// since no request needs to be refused then. These shares add up to at most 2 L. If the demand surges past L, more than
// L may be admitted until the surge shows in the sums. Own demand is a low estimate of the demand that this router
// reported for the sum, not its current one. Otherwise all routers would exceed their shares in a surge, since their
// current demands add up to more than the old sum.
//
// The demand of the fleet comes from the caller (setFleetDemand()). It is the sum of reports that are sent with other
// messages, only for organisations near their limit (collectReports()). If there is no recent sum, the share is L / N.
// This static share needs no messages, and is right if the balancer spreads an organisation's requests evenly. Central
// counting, by an owner that is asked for each request, was rejected: it costs a round trip for each request, and an
// outage of the owner would either stop an organisation or lift its limit.
//
// The error. With an exact demand the shares add up to L. If the known demand of the fleet is too low by a factor
// (1 - e), they add up to at most L x (f + (1 - f) / (1 - e)): 15% above L for e = 0.16, for example if a demand that
// doubles in 10 s is known 2.5 s late. Each bucket adds burstSeconds x its share, once, and one request for each start
// of a router: a bucket starts with one token and what its share has earned since the start. A router's share is
// bounded to maxShareToEvenRatio times the even one, so that a wrong sum cannot lift a limit altogether. In a network
// partition, N counts all routers while both sides have the old membership list, so each side admits at most its part
// by the static share. Once the list is reduced to the routers of one side, each side admits L.
//
// Borrowing between classes: a class may have a limit of its own within the organisation's. If the bucket of its class
// is empty, a request may use tokens of less important classes, but never of more important ones. The organisation's
// own bucket always applies.
//
// A state machine without I/O. Not thread-safe: the caller must hold a lock (LockRank::Limits).

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/requestclass.h"
#include "sequoiausher/coordination/messages/membershipmessages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** The limits of one organisation over the whole fleet, in requests or the unit of the cost passed to take(). */
struct OrganisationLimits
{
    /** 0 for no limit. */
    double perSecond = 0;
    /** The bucket holds this many seconds' worth of the router's share, and at least minimumBurst. */
    double burstSeconds = 2;
    /** Limits of the classes per second; 0 if only the organisation's limit applies. */
    std::array<double, requestClassCount> perClass{};

    bool operator==(const OrganisationLimits &) const = default;
};

struct LimitDecision
{
    bool allowed = true;
    /** If not allowed, the time until there are enough tokens at the current rate. */
    Millis retryAfter;
};

/** The minimum capacity of a bucket. Without it, a share below one a second would allow nothing at 1,300 routers. */
inline constexpr double minimumBurst = 4;
/** The fraction of a limit that is shared evenly, for routers that begin to get requests of an organisation. */
inline constexpr double evenShareFraction = 0.2;
/** The maximum of a router's share, as a multiple of the even share. */
inline constexpr double maxShareToEvenRatio = 20;
/**
 * The maximum age of a fleet demand that is used. In large fleets, where demands are reported less often, it is
 * demandTtlPerRouter times the number of routers if that is longer.
 */
inline constexpr Millis minDemandTtl{10000};
inline constexpr Millis demandTtlPerRouter{30};
/** The time constant of the moving average of a router's own demand. */
inline constexpr Millis demandAveragingTime{5000};
/** Demands below this fraction of the even share are not reported: such organisations are not near their limit. */
inline constexpr double minReportedFraction = 0.25;

class RateLimiter
{
public:
    /** @param startedAt when this router started; by default, so long ago that the buckets are full. */
    explicit RateLimiter(Millis startedAt = Millis{std::numeric_limits<std::int32_t>::min()});
    ~RateLimiter();
    RateLimiter(RateLimiter &&) noexcept;
    RateLimiter &operator=(RateLimiter &&) noexcept;

    /** Sets or changes an organisation's limits. Its buckets keep their tokens, up to the new capacity. */
    void setLimits(const OrganisationId &organisation, const OrganisationLimits &limits);
    void removeLimits(const OrganisationId &organisation);
    /** Sets the number of live routers, at least 1. Routers that are leaving count until they are gone. */
    void setLiveRouters(std::size_t count);
    /** Sets the sum of the demands of all routers, including this one. */
    void setFleetDemand(Millis now, const OrganisationDemand &demand);

    /** Takes the tokens for one request, or returns a retry delay. Organisations without limits are always allowed. */
    LimitDecision take(Millis now, const OrganisationId &organisation, RequestClass requestClass, double cost);
    /** Returns the demands that this router must report: those of organisations that may be near their limits. */
    std::vector<OrganisationDemand> collectReports(Millis now);
    /** Returns this router's current share of the organisation's limit, per second; 0 if there is no limit. */
    double share(Millis now, const OrganisationId &organisation);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
