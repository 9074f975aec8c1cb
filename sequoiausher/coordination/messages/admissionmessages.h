#pragma once

// Messages between an entry, which wants a target for a request, and the owner of the pool's shard, which counts
// exactly what is in flight on each of the shard's targets.
//
//     ReserveRequest{request, pool, shard, chat} -> ReserveReply{request, ReserveVerdict::Granted, target}
//     Release{request, pool, shard}

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/base/requestclass.h"

#include <vector>

namespace Sequoiausher {

/** How a target is chosen among a pool's. */
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

/** What an owner answers to a reservation. */
enum class ReserveVerdict {
    Granted,
    /** Every target that may be used is at its bound or capacity; come back after retryAfter. */
    Full,
    /** The owner knows no live target of this pool. */
    NoTarget,
    /** The receiver does not own the shard by its own list. */
    NotOwner,
};

template<>
inline constexpr auto nameTable<ReserveVerdict> = std::to_array<NameEntry<ReserveVerdict>>({
    {ReserveVerdict::Granted, "granted"},
    {ReserveVerdict::Full, "full"},
    {ReserveVerdict::NoTarget, "no-target"},
    {ReserveVerdict::NotOwner, "not-owner"},
});

/** Entry to owner: choose a target for this request and count it. */
struct ReserveRequest
{
    RequestId request;
    PoolId pool;
    /** Which part of the pool: 0 to the number of shards less one. */
    std::uint32_t shard = 0;
    std::uint64_t chatHash = 0;
    PolicyKind policy = PolicyKind::BoundedRendezvous;
    /** The set multiple of the mean, in percent: 125 is 1.25. */
    std::uint32_t boundPercent = 125;
    /** Targets that the entry tried and found unusable for this request. */
    std::vector<TargetId> excluded;
    /** A target's last places are kept for the more important classes. */
    RequestClass requestClass = RequestClass::Interactive;
    /** Of the prompt prefix that the chat shares with others; 0 where none is known. */
    std::uint64_t prefixHash = 0;
    /** A hash of the organisation; 0 where the entry does not tell it. */
    std::uint16_t organisation = 0;

    bool operator==(const ReserveRequest &) const = default;
};

/** Owner to entry. */
struct ReserveReply
{
    RequestId request;
    ReserveVerdict verdict = ReserveVerdict::NotOwner;
    /** Set where granted. */
    TargetId target;
    Millis retryAfter;
    /** With NotOwner alone: the owner by the answerer's list; empty where it does not know the shard. */
    InstanceId owner;

    bool operator==(const ReserveReply &) const = default;
};

/** Entry to owner: the request no longer uses its target. Sent again for a request already released it is a no-op. */
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
 * Entry to owner: everything that the entry holds in this shard. Sent at an interval, and at once to a new owner.
 * The owner replaces what it counted for the entry, so lost releases and crashed entries do not leak.
 */
struct HoldingsReport
{
    PoolId pool;
    std::uint32_t shard = 0;
    /** Grows with every report of one entry; an older one arriving late is dropped. */
    std::uint64_t sequence = 0;
    std::vector<Holding> holdings;
    /** The entry would send digests from now on, and waits for the owner to say that it takes them. */
    bool wantsAnswer = false;

    bool operator==(const HoldingsReport &) const = default;
};

/**
 * Entry to owner, in place of a HoldingsReport once the owner takes digests: how many reservations the entry holds in
 * this shard, and a digest of their ids. Where the owner counts the same ones, the report would change nothing.
 */
struct HoldingsDigest
{
    PoolId pool;
    std::uint32_t shard = 0;
    /** Grows together with that of the reports. */
    std::uint64_t sequence = 0;
    std::uint32_t count = 0;
    std::uint64_t digest = 0;

    bool operator==(const HoldingsDigest &) const = default;
};

/** Owner to entry: it takes digests, or it counts something else than a digest said and wants the report. */
struct HoldingsAnswer
{
    PoolId pool;
    std::uint32_t shard = 0;
    bool wantsReport = false;

    bool operator==(const HoldingsAnswer &) const = default;
};

} // namespace Sequoiausher
