#pragma once

// The state of the fleet, collected from the routers' /status pages; used by `status`, `watch` and `report`.
//
//     OperatorClient client;
//     const FleetStatus fleet = readFleet(client, {"127.0.0.1:7401"});
//     for (const std::string &warning : fleetWarnings(fleet)) { ... }

#include "sequoiausher/cli/operatorclient.h"
#include "sequoiausher/protocol/settings/instancesdocument.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher {

/** A target as listed by one router. */
struct ListedTarget
{
    std::string name;
    std::string state;
};

/** A pool as listed by one router. */
struct ListedPool
{
    std::string name;
    std::string kind;
    std::string model;
    std::vector<ListedTarget> targets;
};

/** The requests that the owner of a target counts there. */
struct CountedTarget
{
    std::string name;
    std::string pool;
    std::uint32_t shard = 0;
    std::uint32_t inFlight = 0;
    std::optional<std::uint32_t> reported;
};

/** The status page of one router. */
struct RouterStatus
{
    std::string name;
    /** The address that was asked. */
    std::string address;
    std::uint64_t incarnation = 0;
    bool ready = false;
    bool leaving = false;
    bool mayVote = false;
    std::uint64_t revision = 0;
    std::string digest;
    std::string refusal;
    std::uint64_t requests = 0;
    std::uint64_t held = 0;
    std::uint64_t waiting = 0;
    std::uint64_t claims = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint32_t boundPercent = 0;
    std::size_t listed = 0;
    std::size_t reachable = 0;
    std::vector<std::string> ownedShards;
    std::vector<CountedTarget> targets;
    std::vector<ListedPool> pools;
    std::vector<InstanceDescription> instances;
    /** The page, a JSON object. */
    std::string page;
};

/** A router that returned no page. */
struct UnreachableRouter
{
    std::string name;
    std::string address;
    std::string reason;
};

/** All routers. */
struct FleetStatus
{
    /** By name. */
    std::vector<RouterStatus> routers;
    std::vector<UnreachableRouter> unreachable;
};

/** A pool, summed over the whole fleet. */
struct PoolStatus
{
    ListedPool pool;
    /** In flight on each target whose owner was asked. */
    std::map<std::string, std::uint32_t> inFlight;
    std::uint64_t total = 0;
    std::uint32_t largest = 0;
    /** Targets that accept requests. */
    std::size_t live = 0;
    /** The most that a target may carry by the settings' bound; 0 without live targets. */
    std::uint64_t bound = 0;
    std::uint32_t boundPercent = 0;

    double mean() const;
};

/** @throws Error at step Decode, with the router as its peer. */
RouterStatus parseRouterStatus(const std::string &page, const std::string &address);

/**
 * Asks the routers at addresses, and then the others that these list, at their operators_address or else their
 * address. @throws Error at step Connect, where none of addresses answers.
 */
FleetStatus readFleet(OperatorClient &client, const std::vector<std::string> &addresses);

/** The pools, by name, as the newest revision has them. */
std::vector<PoolStatus> poolStatuses(const FleetStatus &fleet);

/** Warnings for the operator, one sentence each; empty if there are none. */
std::vector<std::string> fleetWarnings(const FleetStatus &fleet);

/**
 * The document `instances` with a first_start line for each router's present incarnation.
 * @throws Error at step Report where a listed router is missing, or where one votes or holds claims, so that the fleet
 * has run.
 */
std::string firstStartDocument(const FleetStatus &fleet);

} // namespace Sequoiausher
