#pragma once

// The decision of a rule about a request: all parameters for routing, limiting, retrying or refusing it.
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

/** When a request may be resent to another target. */
enum class RetryMode {
    /** Never. */
    None,
    /** If the target certainly did not run the request. */
    Safe,
    /**
     * Also if the target may have run the request. Only for requests without an idempotency key; the author of the rule
     * guarantees that running them twice is harmless.
     */
    Idempotent,
};

template<>
inline constexpr auto nameTable<RetryMode> = std::to_array<NameEntry<RetryMode>>({
    {RetryMode::None, "none"},
    {RetryMode::Safe, "safe"},
    {RetryMode::Idempotent, "idempotent"},
});

/** How a request's idempotency key is handled. */
enum class ClaimMode {
    /** The key is ignored: the request may run more than once. */
    None,
    /** The key is claimed if the request has one. */
    Optional,
    /** The key is claimed; a request without a key is refused with 400. */
    Required,
};

template<>
inline constexpr auto nameTable<ClaimMode> = std::to_array<NameEntry<ClaimMode>>({
    {ClaimMode::None, "none"},
    {ClaimMode::Optional, "optional"},
    {ClaimMode::Required, "required"},
});

/** What a target does if it has not cached the shared prefix of a prompt and another target has. */
enum class CacheMiss {
    /** The target computes the prefix itself. */
    Read,
    /** The target first copies the cached prefix from the other one, if the targets support this. */
    Copy,
};

template<>
inline constexpr auto nameTable<CacheMiss> = std::to_array<NameEntry<CacheMiss>>({
    {CacheMiss::Read, "read"},
    {CacheMiss::Copy, "copy"},
});

/** What happens to requests to a service that gets more of them than it can answer in time. */
enum class Overload {
    /** The targets queue requests, and reject those that do not fit into their queues. */
    Queue,
    /** As many requests are refused immediately as needed for the others to be answered in time. */
    Shed,
    /**
     * As Shed, decided for the whole fleet by one gateway, the admission owner of the service. It also chooses the
     * target, since it counts the requests at each one exactly.
     */
    Reserve,
};

template<>
inline constexpr auto nameTable<Overload> = std::to_array<NameEntry<Overload>>({
    {Overload::Queue, "queue"},
    {Overload::Shed, "shed"},
    {Overload::Reserve, "reserve"},
});

/** Which of the requests that wait at one model engine the engine reads first. */
enum class QueueOrder {
    /** By the priority of the rule or of the request's class; in order of arrival among equal ones. */
    Class,
    /** By the request's class, and within it by how many tokens the engine has to read for the request. */
    ShortestFirst,
};

template<>
inline constexpr auto nameTable<QueueOrder> = std::to_array<NameEntry<QueueOrder>>({
    {QueueOrder::Class, "class"},
    {QueueOrder::ShortestFirst, "shortest-first"},
});

/** The limits of an organisation for requests that match this rule. An absent limit does not apply. */
struct RuleLimits
{
    /** Requests per second over the whole fleet. */
    std::optional<std::uint32_t> ratePerSecond;
    /** Requests at once on top of the rate, over the whole fleet; by default the rate times two seconds. */
    std::optional<std::uint32_t> burst;
    /** Requests in flight in each router. */
    std::optional<std::uint32_t> inFlight;
    /** Requests in each router that may wait until fewer than inFlight are in flight; no effect without inFlight. */
    std::optional<std::uint32_t> queueLength;
    /** The maximum time that a request waits. */
    std::optional<Millis> queueTime;

    bool operator==(const RuleLimits &) const = default;
};

/** The answer of a rule that refuses requests. */
struct Refusal
{
    /** 403, 404, 429 or 503. */
    std::uint32_t status = 403;
    std::string text;
    /** Absent if a retry cannot succeed. */
    std::optional<std::uint32_t> retryAfterSeconds;

    bool operator==(const Refusal &) const = default;
};

/** How to handle a request. */
struct Decision
{
    /** The rule that matched the request, and its document. */
    std::string document;
    std::string rule;
    /** If present, the request gets this answer, and the members below do not apply. */
    std::optional<Refusal> refusal;
    PoolId pool;
    PolicyKind policy = PolicyKind::BoundedRendezvous;
    /** Percent of the mean load; if absent, the router's setting applies. */
    std::optional<std::uint32_t> boundPercent;
    /** From 0 (first) to 9 (last); not used with QueueOrder::ShortestFirst. */
    std::uint32_t priority = 0;
    /** Applied by gateways only. */
    QueueOrder queueOrder = QueueOrder::Class;
    RuleLimits limits;
    /** If absent, the router's setting applies. A shorter deadline of the caller takes precedence. */
    std::optional<Millis> deadline;
    RetryMode retry = RetryMode::Safe;
    /** The maximum number of resends, in percent of the first attempts. */
    std::uint32_t retryBudgetPercent = 10;
    ClaimMode claim = ClaimMode::Optional;
    /** Applied by gateways only. */
    CacheMiss cacheMiss = CacheMiss::Read;
    /** Applied by gateways only. */
    Overload overload = Overload::Queue;
    /**
     * The limit for second copies of requests that are slow, in percent of the requests to the service within the
     * window; 0 for none. Applied by gateways only, with Overload::Reserve.
     */
    std::uint32_t hedgePercent = 0;
    Millis hedgeWindow{10000};
    /** The experiment and its arm; both empty or both set. */
    std::string experiment;
    std::string arm;

    bool operator==(const Decision &) const = default;
};

} // namespace Sequoiausher
