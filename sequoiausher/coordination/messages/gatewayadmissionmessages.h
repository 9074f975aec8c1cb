#pragma once

// What a gateway and the admission owner of a service send each other about one request.
//
//     GatewayAdmissionRequest request;
//     request.id = nextId++;
//     request.service = PoolId{"ledger"};

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/base/requestclass.h"

#include <cstdint>
#include <vector>

namespace Sequoiausher {

/** A part of a prompt that other prompts share. */
struct AdmissionPart
{
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;

    bool operator==(const AdmissionPart &) const = default;
};

/** What the owner of a service of model engines uses of a request's prompt. */
struct AdmissionPrompt
{
    /** The shared parts in order. */
    std::vector<AdmissionPart> parts;
    /** Tokens beside these parts. */
    std::uint32_t ownTokens = 0;
    /** The rule's bound on the requests at one target, in percent of the mean. */
    std::uint16_t boundPercent = 0;
    /** The priority at the target, 0 first; ignored if the order is shortest first. */
    std::uint8_t priority = 0;
    bool isShortestFirst = false;
    /** A target that lacks parts copies them from another one. */
    bool mayCopy = false;

    bool operator==(const AdmissionPrompt &) const = default;

    bool isEmpty() const
    {
        return this->parts.empty() && this->ownTokens == 0;
    }
};

/** Asks the owner for a place at a target. */
struct GatewayAdmissionRequest
{
    /** Unique among the requests of the sender's process. */
    std::uint64_t id = 0;
    PoolId service;
    /** Hash of the caller's organisation. */
    std::uint32_t organisation = 0;
    RequestClass requestClass = RequestClass::Interactive;
    /** The time within which the route aims to answer. */
    Millis aim;
    /** How long the caller has waited since it first asked, as far as is known. */
    Millis waited;
    /** How long the caller still waits. */
    Millis timeLeft;
    /** Targets that the sender cannot use for this request. */
    std::vector<TargetId> excluded;
    /**
     * The request may be hedged: the rule's limit for second copies, in percent of the requests to the service in the
     * window; 0 if it may not.
     */
    std::uint16_t hedgePercent = 0;
    Millis hedgeWindow;
    /** The id of the place at which the request runs already, if this one is for a second copy; 0 otherwise. */
    std::uint64_t hedgeOf = 0;
    /** Empty for a request without a prompt. */
    AdmissionPrompt prompt;

    bool operator==(const GatewayAdmissionRequest &) const = default;
};

/** The decision of the owner. */
enum class AdmissionVerdict : std::uint8_t {
    /** The request may be sent to the target of the reply. */
    Granted,
    /** The service cannot answer the request in time. */
    Overloaded,
    /** The owner knows no target that the request can be sent to. */
    NoTarget,
    /** A second copy would exceed the limit, find no free place, or most likely not answer sooner. */
    NoHedge,
};

template<>
inline constexpr auto nameTable<AdmissionVerdict> = std::to_array<NameEntry<AdmissionVerdict>>({
    {AdmissionVerdict::Granted, "granted"},
    {AdmissionVerdict::Overloaded, "overloaded"},
    {AdmissionVerdict::NoTarget, "no-target"},
    {AdmissionVerdict::NoHedge, "no-hedge"},
});

/** The owner's reply to a request. */
struct GatewayAdmissionReply
{
    std::uint64_t id = 0;
    AdmissionVerdict verdict = AdmissionVerdict::NoTarget;
    /** Empty unless the verdict is Granted. */
    TargetId target;
    /** Minimum Retry-After, to be spread over up to twice this time; 0 unless the verdict is Overloaded. */
    Millis retryAfter;
    /** When to ask for a second copy, if the request has no answer by then; 0 for never. */
    Millis hedgeAfter;
    /** A target that has read parts of the prompt which the chosen one lacks; empty for none. */
    TargetId copyFrom = {};
    /** Tokens of the prompt that the target has to read before its first event; 0 without a prompt. */
    std::uint32_t tokensToRead = 0;
    /** The requests that the target holds by the owner's estimate, and how many it may hold; for log lines. */
    std::uint16_t held = 0;
    std::uint16_t bound = 0;

    bool operator==(const GatewayAdmissionReply &) const = default;
};

/** How a request ended at its target, as far as the owner of the place needs it. */
enum class PlaceOutcome : std::uint8_t {
    /** A complete answer. */
    Answered,
    /** The target rejected the request because it was full. */
    Rejected,
    /** Anything else, or the place was not used. */
    Unused,
    /** The request was given up without an answer, which would have taken longer than the elapsed time. */
    Abandoned,
    /** The first event of a stream has come; the request keeps its place. */
    Begun,
};

template<>
inline constexpr auto nameTable<PlaceOutcome> = std::to_array<NameEntry<PlaceOutcome>>({
    {PlaceOutcome::Answered, "answered"},
    {PlaceOutcome::Rejected, "rejected"},
    {PlaceOutcome::Unused, "unused"},
    {PlaceOutcome::Abandoned, "abandoned"},
    {PlaceOutcome::Begun, "begun"},
});

/** Gives the place of a request back. */
struct GatewayAdmissionRelease
{
    std::uint64_t id = 0;
    PlaceOutcome outcome = PlaceOutcome::Unused;
    /** The time since the request was sent; 0 unless it was answered, abandoned or begun. */
    Millis elapsed;
    /** How long work takes at the target now, in percent of the usual time, as it announced; 0 if it did not. */
    std::uint16_t slownessPercent = 0;
    /**
     * The requests that the target held when this answer began, as it announced, this one included; 255 for that many
     * or more, 0 if it did not announce any.
     */
    std::uint8_t held = 0;

    bool operator==(const GatewayAdmissionRelease &) const = default;
};

} // namespace Sequoiausher
