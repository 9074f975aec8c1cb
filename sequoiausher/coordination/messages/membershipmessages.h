#pragma once

// Messages by which routers detect failed routers and gossip the life states of routers and targets, the load of shards
// and the demand of organisations.
//
//     Probe{sequence, gossip} -> ProbeReply{sequence, self, gossip}

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/state/targets/lifestate.h"

#include <vector>

namespace Sequoiausher {

/** The life state of one router. */
struct InstanceNews
{
    InstanceId instance;
    LifeNews life;

    bool operator==(const InstanceNews &) const = default;
};

/** The life state of one target. */
struct TargetNews
{
    TargetId target;
    LifeNews life;

    bool operator==(const TargetNews &) const = default;
};

/**
 * Whether one router answers probes. Of two news items about a router, the one with the greater (incarnation,
 * refutation, suspected) wins: a router that receives a suspicion of itself raises its refutation by one, which
 * overrides the suspicion everywhere. This only saves time; safety does not depend on it.
 */
struct ReachNews
{
    InstanceId instance;
    Incarnation incarnation = 0;
    std::uint32_t refutation = 0;
    bool suspected = false;

    bool operator==(const ReachNews &) const = default;
};

/** The owner's totals for a shard. */
struct ShardSum
{
    PoolId pool;
    std::uint32_t shard = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t targets = 0;
    /** Time since the owner counted, as far as the routers on the path know; a younger sum replaces an older one. */
    Millis age;

    bool operator==(const ShardSum &) const = default;
};

/** Arrival rate of requests of an organisation with a limit. If a rule sets the limit, the name includes the rule. */
struct OrganisationDemand
{
    OrganisationId organisation;
    double perSecond = 0;
    /** Totals only: time since the total was added up, as far as the routers on the path know. */
    Millis age{};

    bool operator==(const OrganisationDemand &) const = default;
};

/** The news that every probe and every probe reply carries. */
struct Gossip
{
    std::vector<InstanceNews> instances;
    std::vector<TargetNews> targets;
    std::vector<ShardSum> sums;
    std::vector<ReachNews> reach;
    /**
     * The sender's own demand, for the collector (see DemandTable); at most demandsPerReport entries. Set only in
     * reports to a collector, which are probes with sequence 0.
     */
    std::vector<OrganisationDemand> demands;
    /** Totals over all routers, gossiped to the whole fleet. */
    std::vector<OrganisationDemand> fleetDemands;
    /** Hash over the names and revisions of all documents of the sender. */
    std::uint64_t documentsDigest = 0;
    /** Highest revision among these documents. */
    Revision highestRevision = 0;
    /** Time since any router last got an answer from the configuration service, as far as the sender knows; negative if
     *  the sender knows of no answer. */
    Millis serviceAge{-1};

    bool operator==(const Gossip &) const = default;
};

/** Health check of another router. */
struct Probe
{
    /** 0 if the message only carries news and gets no reply. */
    std::uint64_t sequence = 0;
    Gossip gossip;

    bool operator==(const Probe &) const = default;
};

/** Reply to a Probe; also sent by the relay of an indirect probe to the router that asked for it. */
struct ProbeReply
{
    std::uint64_t sequence = 0;
    /** The router that answered the probe; not the sender if the probe was indirect. */
    InstanceId about;
    Gossip gossip;

    bool operator==(const ProbeReply &) const = default;
};

/** Asks the receiver to probe suspect, which did not answer the sender's own probe. */
struct IndirectProbe
{
    std::uint64_t sequence = 0;
    InstanceId suspect;

    bool operator==(const IndirectProbe &) const = default;
};

} // namespace Sequoiausher
