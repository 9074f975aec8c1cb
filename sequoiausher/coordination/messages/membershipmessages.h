#pragma once

// Messages by which routers learn of each other's lives, of targets that leave, and of how loaded the shards are.

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/state/targets/lifestate.h"

#include <vector>

namespace Sequoiausher {

/** What is said of one router. */
struct InstanceNews
{
    InstanceId instance;
    LifeNews life;

    bool operator==(const InstanceNews &) const = default;
};

/** What is said of one target. */
struct TargetNews
{
    TargetId target;
    LifeNews life;

    bool operator==(const TargetNews &) const = default;
};

/**
 * Whether one router answers probes. Merges by (incarnation, refutation, suspected): a suspected router that hears of
 * it raises its refutation by one, which beats the suspicion everywhere. Saves time only and decides no safety.
 */
struct ReachNews
{
    InstanceId instance;
    Incarnation incarnation = 0;
    std::uint32_t refutation = 0;
    bool suspected = false;

    bool operator==(const ReachNews &) const = default;
};

/** What the owner of a shard counts in it. */
struct ShardSum
{
    PoolId pool;
    std::uint32_t shard = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t targets = 0;
    /** How long ago the owner counted, as far as the routers on the way know; the younger sum replaces the older. */
    Millis age;

    bool operator==(const ShardSum &) const = default;
};

/** How many requests of an organisation with a limit arrive. Where a rule limits it, the rule is in the name. */
struct OrganisationDemand
{
    OrganisationId organisation;
    double perSecond = 0;
    /** Of a total: how long ago it was added up, as far as the routers on the way know. */
    Millis age{};

    bool operator==(const OrganisationDemand &) const = default;
};

/** What rides on every probe and every answer to one. */
struct Gossip
{
    std::vector<InstanceNews> instances;
    std::vector<TargetNews> targets;
    std::vector<ShardSum> sums;
    std::vector<ReachNews> reach;
    /** What the sender sees itself, told to the router that adds it up; bounded by demandsPerReport. */
    std::vector<OrganisationDemand> demands;
    /** Totals over all routers, on their way to everybody. */
    std::vector<OrganisationDemand> fleetDemands;
    /** Hash over the names and revisions of all documents known. */
    std::uint64_t documentsDigest = 0;
    /** Highest revision among them. */
    Revision highestRevision = 0;
    /** How long ago some router last had an answer from the configuration service, as far as the sender knows;
     *  negative where it knows of no answer. */
    Millis serviceAge{-1};

    bool operator==(const Gossip &) const = default;
};

/** Are you there? */
struct Probe
{
    /** 0: no answer is wanted, the message only carries news. */
    std::uint64_t sequence = 0;
    Gossip gossip;

    bool operator==(const Probe &) const = default;
};

/** I am; also the answer that a relay of an indirect probe passes back. */
struct ProbeReply
{
    std::uint64_t sequence = 0;
    /** Who answered; differs from the sender where the probe was indirect. */
    InstanceId about;
    Gossip gossip;

    bool operator==(const ProbeReply &) const = default;
};

/** Probe suspect for me: my own probe went unanswered. */
struct IndirectProbe
{
    std::uint64_t sequence = 0;
    InstanceId suspect;

    bool operator==(const IndirectProbe &) const = default;
};

} // namespace Sequoiausher
