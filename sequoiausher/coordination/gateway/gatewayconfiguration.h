#pragma once

// What a gateway serves: routes by host and path prefix, the services behind them, the organisations that may call, and
// the limits that callers must keep. Plain data; routetable.h makes it searchable.
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

/** What a request on a route is, and so how often it may run. */
enum class RouteKind {
    /** May run more than once. */
    Idempotent,
    /** Runs at most once for each attempt of the caller. */
    AtMostOnce,
    /** Answered by a stream of events; runs at most once unless the route lets streams resume. */
    Stream,
};

template<>
inline constexpr auto nameTable<RouteKind> = std::to_array<NameEntry<RouteKind>>({
    {RouteKind::Idempotent, "idempotent"},
    {RouteKind::AtMostOnce, "at-most-once"},
    {RouteKind::Stream, "stream"},
});

/** A service and its part of a route's requests. */
struct ServiceShare
{
    PoolId service;
    std::uint32_t weight = 1;

    bool operator==(const ServiceShare &) const = default;
};

/** One route. */
struct GatewayRoute
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RouteKind kind = RouteKind::AtMostOnce;
    /** A broken stream may be taken up at another target after the last event that arrived. */
    bool isResumable = false;
    /** Needs no key. */
    bool isPublic = false;
    /** The request tells the parts of its prompt, which targets may have cached. */
    bool carriesPrompt = false;
    /** The longest that a caller is kept waiting. */
    Millis timeout{30000};
    /** The aim for the answer, for streams for the first event. */
    Millis latencyAim{1000};
    /** The longest pause between two events that is still on time; 0 where the route has none. */
    Millis gapAim;
    /** To how many targets one attempt of the caller may be sent. */
    std::uint32_t mostTargets = 1;
    /** 0 first. */
    std::uint32_t priority = 5;
    std::vector<ServiceShare> services;

    bool operator==(const GatewayRoute &) const = default;

    /** Whether a request that may have run may be sent once more. */
    bool isIdempotent() const
    {
        return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Stream && this->isResumable);
    }
};

/** A service: interchangeable targets. */
struct GatewayService
{
    PoolId name;
    /** Connections that one target takes, from all gateways together; 0 where it is not said. */
    std::uint32_t connectionLimit = 0;
    /** Requests that one target runs at once; 0 where only its entry says so. */
    std::uint32_t slots = 0;
    /** A model engine, which reads prompts and caches their parts. */
    bool isEngine = false;

    bool operator==(const GatewayService &) const = default;
};

/** Who may call. */
struct GatewayOrganisation
{
    OrganisationId name;
    std::vector<std::string> keys;
    /** Goes before the route's where it is there. */
    std::optional<std::uint32_t> priority;

    bool operator==(const GatewayOrganisation &) const = default;
};

/** What a caller may send, and how long it may take. */
struct CallerLimits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    /** From the first byte of a head to its last. */
    Millis headTime{3000};
    /** An unused connection is closed after so long. */
    Millis idleTime{15000};

    bool operator==(const CallerLimits &) const = default;
};

/** One version of everything. */
struct GatewayConfiguration
{
    Revision revision = 0;
    std::vector<GatewayRoute> routes;
    std::vector<GatewayService> services;
    std::vector<GatewayOrganisation> organisations;
    CallerLimits limits;

    bool operator==(const GatewayConfiguration &) const = default;
};

/** A target as the platform lists it. */
struct GatewayTarget
{
    /** Of this life of the target: a restart has another one, also where the platform lists it under the same name. */
    TargetId id;
    PoolId service;
    std::string address;
    DataCentreId dataCentre;
    /** Requests that it runs at once. */
    std::uint32_t slots = 1;
    bool isLeaving = false;
    /** When this life began, by the target's own clock; 0 where it does not say. */
    Millis bornAt;

    bool operator==(const GatewayTarget &) const = default;
};

/**
 * The id of one life of the target that the platform lists as name. A target that starts again under its name holds
 * nothing of before: had both lives one id, its cache, its load, its health and the connections to it would be believed
 * to go on, and requests would be sent after prompts that it never read. With an id for each life, whatever is still
 * said of an earlier one, by peers or late, meets no target.
 */
inline TargetId targetLife(const TargetId &name, Millis bornAt)
{
    return bornAt == Millis{0} ? name : TargetId{name.value + "~" + std::to_string(bornAt.count)};
}

/** The name under which the platform lists the target, the same for each of its lives. */
inline TargetId listedName(const GatewayTarget &target)
{
    const TargetId suffix = targetLife({}, target.bornAt);
    return TargetId{target.id.value.substr(0, target.id.value.size() - suffix.value.size())};
}

} // namespace Sequoiausher
