#pragma once

// What a rule says shall be done with a request: everything that the request's flow needs to know.
//
//     const std::optional<Decision> decision = rules.decide(facts);
//     if (decision && decision->refusal) { answer(decision->refusal->status, decision->refusal->text); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/messages/admissionmessages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Sequoiausher {

/** When a request may be sent to a target once more. */
enum class RetryMode {
    /** Never. */
    None,
    /** Where the target surely never had it. */
    Safe,
    /** Also where it may have run; only for a request without an idempotency key, which the rule's writer vouches for.
     */
    Idempotent,
};

template<>
inline constexpr auto nameTable<RetryMode> = std::to_array<NameEntry<RetryMode>>({
    {RetryMode::None, "none"},
    {RetryMode::Safe, "safe"},
    {RetryMode::Idempotent, "idempotent"},
});

/** What becomes of a request's idempotency key. */
enum class ClaimMode {
    /** It is ignored: requests of this kind may run more than once. */
    None,
    /** It is claimed where the caller gave one. */
    Optional,
    /** A request without one is refused with 400. */
    Required,
};

template<>
inline constexpr auto nameTable<ClaimMode> = std::to_array<NameEntry<ClaimMode>>({
    {ClaimMode::None, "none"},
    {ClaimMode::Optional, "optional"},
    {ClaimMode::Required, "required"},
});

/** What a target does that has not cached a prompt's shared part while another one has. */
enum class CacheMiss {
    /** It reads the prompt anew. */
    Read,
    /** It copies the part from the other one first, where the targets can do that. */
    Copy,
};

template<>
inline constexpr auto nameTable<CacheMiss> = std::to_array<NameEntry<CacheMiss>>({
    {CacheMiss::Read, "read"},
    {CacheMiss::Copy, "copy"},
});

/** What becomes of requests to a service that is asked for more than it can do in time. */
enum class Overload {
    /** Its targets queue them, and reject what their queues do not hold. */
    Queue,
    /** As many are refused at once as it takes for the others to be answered in time. */
    Shed,
};

template<>
inline constexpr auto nameTable<Overload> = std::to_array<NameEntry<Overload>>({
    {Overload::Queue, "queue"},
    {Overload::Shed, "shed"},
});

/** What an organisation may take of the pool through this rule; absent means no limit of its own. */
struct RuleLimits
{
    /** Over the fleet as a whole. */
    std::optional<std::uint32_t> ratePerSecond;
    /** Requests at once on top of the rate, over the fleet; two seconds' worth where absent. */
    std::optional<std::uint32_t> burst;
    /** In each router, like the queue before it. */
    std::optional<std::uint32_t> inFlight;
    /** Those that wait for one of inFlight; of no effect without it. */
    std::optional<std::uint32_t> queueLength;
    std::optional<Millis> queueTime;

    bool operator==(const RuleLimits &) const = default;
};

/** The answer of a rule that refuses. */
struct Refusal
{
    /** 403, 404, 429 or 503. */
    std::uint32_t status = 403;
    std::string text;
    /** Seconds; absent where trying again is of no use. */
    std::optional<std::uint32_t> retryAfterSeconds;

    bool operator==(const Refusal &) const = default;
};

/** A decided request. */
struct Decision
{
    /** The document and the rule in it that decided. */
    std::string document;
    std::string rule;
    /** Present: answer so, and use nothing of what follows. */
    std::optional<Refusal> refusal;
    PoolId pool;
    PolicyKind policy = PolicyKind::BoundedRendezvous;
    /** Percent of the mean load; absent: as the router's settings say. */
    std::optional<std::uint32_t> boundPercent;
    /** 0 first to 9 last. */
    std::uint32_t priority = 0;
    RuleLimits limits;
    /** Absent: as the router's settings say. The caller's own wins where it is shorter. */
    std::optional<Millis> deadline;
    RetryMode retry = RetryMode::Safe;
    /** Resends, in percent of the requests sent. */
    std::uint32_t retryBudgetPercent = 10;
    ClaimMode claim = ClaimMode::Optional;
    /** Obeyed by gateways alone. */
    CacheMiss cacheMiss = CacheMiss::Read;
    /** Obeyed by gateways alone. */
    Overload overload = Overload::Queue;
    /** Both empty, or both set. */
    std::string experiment;
    std::string arm;

    bool operator==(const Decision &) const = default;
};

} // namespace Sequoiausher
