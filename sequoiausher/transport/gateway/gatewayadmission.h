#pragma once

// Admission of a request before a target is chosen: its route, its caller's organisation, and the decision of the first
// rule that matches. A request that is not admitted gets a reason and, if a retry may succeed, the time to wait.
//
//     AdmittedRequest admitted;
//     if (const auto refusal = admitRequest(context, head, {now, transferTime}, admitted)) { answer(*refusal); }

#include "sequoiausher/coordination/gateway/allowedregions.h"
#include "sequoiausher/coordination/gateway/promptparts.h"
#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Sequoiausher {

/** A request and the results of its admission; if it is refused, the fields of later steps are empty. */
struct AdmittedRequest
{
    CallerRequest request;
    /** The configuration that routes the request, from its admission to its end. */
    std::shared_ptr<const RouteTable> table;
    const GatewayRoute *route = nullptr;
    /** Empty if the route needs no key. */
    OrganisationId organisation;
    /** The regions whose targets may get the request. */
    AllowedRegions allowedRegions;
    RequestClass requestClass = RequestClass::Interactive;
    Decision decision;
    PoolId service;
    RequestLabels labels;
    PromptParts parts;
    /** The fraction of such requests that load shedding currently admits. */
    double admittedFraction = 1;
    /** Hash of the last shared part of the prompt; of the request itself if it has none. */
    std::uint64_t partHash = 0;
    /** When the final answer is due. */
    Millis deadline;
};

/** An answer of the gateway to a request that is not admitted. */
struct GatewayRefusal
{
    int status = 0;
    std::string reason;
    std::optional<Millis> retryAfter;
    Outcome outcome = Outcome::RefusedInvalid;
};

/**
 * Refuses a fraction of the requests to a service that cannot answer all of them in time, by this gateway's own
 * answers. Sets the admitted fraction. @return the refusal, if the request is shed.
 */
std::optional<GatewayRefusal> shedByOwnAnswers(GatewayContext &context, AdmittedRequest &admitted, Millis receivedAt);

/** How long the caller has waited for an answer since its first attempt, as far as is known. */
Millis estimateWaited(GatewayContext &context, const AdmittedRequest &admitted, Millis receivedAt);

/** When a request arrived. */
struct RequestArrival
{
    /** When its last byte was read. */
    Millis receivedAt;
    /** From its head, which states the time that its caller has left, to its last byte. */
    Millis transferTime;
};

/** Fills in admitted and counts the request for the retry budget. @return the refusal, if the request is not admitted.
 */
std::optional<GatewayRefusal>
admitRequest(GatewayContext &context, const HttpHead &head, const RequestArrival &arrival, AdmittedRequest &admitted);

} // namespace Sequoiausher
