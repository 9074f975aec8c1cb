#pragma once

// Messages between an entry, the router that received a client's request and needs a target for it, and the owner of
// the pool's shard. The owner keeps an exact count of the requests in flight on each target of the shard.
//
//     ReserveRequest{request, pool, shard, chatHash} -> ReserveReply{request, ReserveVerdict::Granted, target}
//     Release{request, pool, shard}

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/base/requestclass.h"

#include <vector>

namespace Sequoiausher {

/** The load balancing policy that chooses a target of a pool. */
enum class PolicyKind {
    RoundRobin,
    Rendezvous,
    BoundedRendezvous,
    TwoChoices,
    LeastLoaded,
    PrefixRendezvous,
    LeastExpected,
    RoomRendezvous,
};

template<>
inline constexpr auto nameTable<PolicyKind> = std::to_array<NameEntry<PolicyKind>>({
    {PolicyKind::RoundRobin, "round-robin"},
    {PolicyKind::Rendezvous, "rendezvous"},
    {PolicyKind::BoundedRendezvous, "bounded-rendezvous"},
    {PolicyKind::TwoChoices, "two-choices"},
    {PolicyKind::LeastLoaded, "least-loaded"},
    {PolicyKind::PrefixRendezvous, "prefix-rendezvous"},
    {PolicyKind::LeastExpected, "least-expected"},
    {PolicyKind::RoomRendezvous, "room-rendezvous"},
});

/** An owner's answer to a reservation request. */
enum class ReserveVerdict {
    Granted,
    /** Every usable target is at its load bound or capacity; the entry may retry after retryAfter. */
    Full,
    /** The shard has no target that this request may use. */
    NoTarget,
    /** The receiver is not the shard's owner by its own list of instances. */
    NotOwner,
};

template<>
inline constexpr auto nameTable<ReserveVerdict> = std::to_array<NameEntry<ReserveVerdict>>({
    {ReserveVerdict::Granted, "granted"},
    {ReserveVerdict::Full, "full"},
    {ReserveVerdict::NoTarget, "no-target"},
    {ReserveVerdict::NotOwner, "not-owner"},
});

/** Entry to owner: asks the owner to choose a target for this request and to count the request there. */
struct ReserveRequest
{
    RequestId request;
    PoolId pool;
    /** Index of the pool's shard, from 0 to the number of shards less one. */
    std::uint32_t shard = 0;
    std::uint64_t chatHash = 0;
    PolicyKind policy = PolicyKind::BoundedRendezvous;
    /** The load bound of a target, in percent of the mean load: 125 is 1.25 times the mean. */
    std::uint32_t boundPercent = 125;
    /** Targets that the entry tried for this request and found unusable. */
    std::vector<TargetId> excluded;
    /** The last free places of a target are reserved for the more important classes. */
    RequestClass requestClass = RequestClass::Interactive;
    /** Hash of the prompt prefix that the chat shares with other chats; 0 if there is no known prefix. */
    std::uint64_t prefixHash = 0;
    /** Hash of the organisation's name; 0 if the entry does not send it. */
    std::uint16_t organisation = 0;

    bool operator==(const ReserveRequest &) const = default;
};

/** Owner to entry: the answer to a ReserveRequest. */
struct ReserveReply
{
    RequestId request;
    ReserveVerdict verdict = ReserveVerdict::NotOwner;
    /** Set with Granted only. */
    TargetId target;
    Millis retryAfter;
    /** With NotOwner only: the owner by the list of the answering instance; empty if the shard is not on that list. */
    InstanceId owner;

    bool operator==(const ReserveReply &) const = default;
};

/** Entry to owner: the request no longer uses its target. Releasing a request again is a no-op. */
struct Release
{
    RequestId request;
    PoolId pool;
    std::uint32_t shard = 0;

    bool operator==(const Release &) const = default;
};

/** One reservation that an entry holds. */
struct Holding
{
    RequestId request;
    TargetId target;

    bool operator==(const Holding &) const = default;
};

/**
 * Entry to owner: all reservations that the entry holds in this shard. Sent at an interval, and at once to a new owner.
 * The owner replaces its count for the entry by the report, so lost releases and crashed entries leak no reservations.
 */
struct HoldingsReport
{
    PoolId pool;
    std::uint32_t shard = 0;
    /** Increases with every report of an entry; the owner drops reports that arrive out of order. */
    std::uint64_t sequence = 0;
    std::vector<Holding> holdings;
    /** Asks whether the owner supports digests. The entry sends digests only after a HoldingsAnswer. */
    bool wantsAnswer = false;

    bool operator==(const HoldingsReport &) const = default;
};

/**
 * Entry to owner, in place of a HoldingsReport to an owner that supports digests: the number of reservations that the
 * entry holds in this shard, and a digest of their ids. If both match the owner's count, a full report would change
 * nothing.
 */
struct HoldingsDigest
{
    PoolId pool;
    std::uint32_t shard = 0;
    /** Increases with every report and digest: both use the same counter. */
    std::uint64_t sequence = 0;
    std::uint32_t count = 0;
    std::uint64_t digest = 0;

    bool operator==(const HoldingsDigest &) const = default;
};

/** Owner to entry: the owner supports digests, or it needs a full report, as after a digest that does not match. */
struct HoldingsAnswer
{
    PoolId pool;
    std::uint32_t shard = 0;
    bool wantsReport = false;

    bool operator==(const HoldingsAnswer &) const = default;
};

} // namespace Sequoiausher
