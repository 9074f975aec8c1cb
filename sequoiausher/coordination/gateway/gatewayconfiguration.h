#pragma once

// The configuration of a gateway: routes by host and path prefix, the services behind them, the organisations that may
// call, and the limits for callers. Plain data; routetable.h has the lookups.
//
//     GatewayConfiguration configuration;
//     configuration.revision = 7;
//     configuration.routes.push_back(route);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher {

/** The kind of a request on a route, which determines how often the request may run. */
enum class RouteKind {
    /** The request may run more than once. */
    Idempotent,
    /** The request runs at most once for each attempt of the caller. */
    AtMostOnce,
    /**
     * The answer is a stream of events; the request runs at most once unless the route allows streams to be resumed.
     */
    Stream,
};

template<>
inline constexpr auto nameTable<RouteKind> = std::to_array<NameEntry<RouteKind>>({
    {RouteKind::Idempotent, "idempotent"},
    {RouteKind::AtMostOnce, "at-most-once"},
    {RouteKind::Stream, "stream"},
});

/** A service and its weight among the services of a route. */
struct ServiceShare
{
    PoolId service;
    std::uint32_t weight = 1;

    bool operator==(const ServiceShare &) const = default;
};

/** A route, with its services and the rules for its requests. */
struct GatewayRoute
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RouteKind kind = RouteKind::AtMostOnce;
    /** A broken stream may be resumed at another target after the last event that arrived. */
    bool isResumable = false;
    /** Requests need no key. */
    bool isPublic = false;
    /** Requests state the parts of their prompts, which targets may have cached. */
    bool carriesPrompt = false;
    /** The maximum time that a caller waits. */
    Millis timeout{30000};
    /** The intended time until the answer, or until the first event of a stream. */
    Millis latencyAim{1000};
    /** The longest pause between two events that is still on time; 0 where the route has no such limit. */
    Millis gapAim;
    /** The maximum number of targets to which one attempt of the caller may be sent. */
    std::uint32_t mostTargets = 1;
    /** 0 is the highest priority. */
    std::uint32_t priority = 5;
    /** The regions whose targets may get requests; empty for all. */
    std::vector<RegionId> allowedRegions;
    std::vector<ServiceShare> services;

    bool operator==(const GatewayRoute &) const = default;

    /** Whether a request that may have run may be sent again. */
    bool isIdempotent() const
    {
        return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Stream && this->isResumable);
    }
};

/** A service, which is a group of interchangeable targets. */
struct GatewayService
{
    PoolId name;
    /** The number of connections that one target accepts from all gateways together; 0 where it is not configured. */
    std::uint32_t connectionLimit = 0;
    /** The number of requests that one target runs at once; 0 where only the target's entry states it. */
    std::uint32_t slots = 0;
    /** The service is a model engine, which reads prompts and caches their parts. */
    bool isEngine = false;
    /** How long a target stays cold after it started; 0 where targets of the service are never cold. */
    Millis coldTime;
    /** The number of requests per second that a cold target bears; 0 where there is no limit. */
    std::uint32_t coldRequestsPerSecond = 0;

    bool operator==(const GatewayService &) const = default;
};

/** An organisation that may call. */
struct GatewayOrganisation
{
    OrganisationId name;
    std::vector<std::string> keys;
    /** Overrides the route's priority where it is set. */
    std::optional<std::uint32_t> priority;
    /** The regions whose targets may get the organisation's requests; empty for all. */
    std::vector<RegionId> allowedRegions;

    bool operator==(const GatewayOrganisation &) const = default;
};

/** Limits for the size and duration of what a caller sends. */
struct CallerLimits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    /** The maximum time from the first byte of a request head to its last. */
    Millis headTime{3000};
    /** The time after which an unused connection is closed. */
    Millis idleTime{15000};

    bool operator==(const CallerLimits &) const = default;
};

/** One version of the whole configuration. */
struct GatewayConfiguration
{
    Revision revision = 0;
    std::vector<GatewayRoute> routes;
    std::vector<GatewayService> services;
    std::vector<GatewayOrganisation> organisations;
    /** Whether there is a list of organisations, be it empty; without one, requests need no key. */
    bool listsOrganisations = false;
    CallerLimits limits;

    bool operator==(const GatewayConfiguration &) const = default;
};

/** A target as the platform lists it. */
struct GatewayTarget
{
    /** The id of this incarnation of the target. A restarted target has another id, also under the same listed name. */
    TargetId id;
    PoolId service;
    std::string address;
    DataCentreId dataCentre;
    /** The number of requests that the target runs at once. */
    std::uint32_t slots = 1;
    bool isLeaving = false;
    /** When this incarnation started, by the target's own clock; 0 where the entry does not state it. */
    Millis bornAt;
    /** How much longer the target stayed cold when its entry was written; 0 for a warm target. */
    Millis coldFor;
    /** The version of the software that this incarnation runs until its end; empty where it is not known. */
    std::string softwareVersion;

    bool operator==(const GatewayTarget &) const = default;
};

/**
 * Returns the id of one incarnation of the target that the platform lists under the given name. A target that restarts
 * under its name has none of its earlier state. If both incarnations had one id, the old cache, load, health and
 * connections would be attributed to the new one, and requests would be sent there because of prompts that it never
 * read. With an id for each incarnation, reports about an earlier one, whether from peers or late, match no target.
 */
inline TargetId incarnationId(const TargetId &name, Millis bornAt)
{
    return bornAt == Millis{0} ? name : TargetId{name.value + "~" + std::to_string(bornAt.count)};
}

/** Returns the name under which the platform lists the target, which is the same for all its incarnations. */
inline TargetId listedName(const GatewayTarget &target)
{
    const TargetId suffix = incarnationId({}, target.bornAt);
    return TargetId{target.id.value.substr(0, target.id.value.size() - suffix.value.size())};
}

} // namespace Sequoiausher
