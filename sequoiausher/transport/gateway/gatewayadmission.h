#pragma once

// What a request is and whether it may go on, before any target is chosen: its route, its caller's organisation, and
// what the first rule that holds decides. What cannot go on is told why, and when to come back.
//
//     AdmittedRequest admitted;
//     if (const auto refusal = admitRequest(context, head, now, admitted)) { answer(*refusal); }

#include "sequoiausher/coordination/gateway/allowedregions.h"
#include "sequoiausher/coordination/gateway/promptparts.h"
#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Sequoiausher {

/** A request with all that was found out of it; the later fields are empty where it is refused. */
struct AdmittedRequest
{
    CallerRequest request;
    /** The configuration that it was routed by stays the same for as long as it takes. */
    std::shared_ptr<const RouteTable> table;
    const GatewayRoute *route = nullptr;
    /** Empty where the route needs no key. */
    OrganisationId organisation;
    /** The regions whose targets may get the request. */
    AllowedRegions allowedRegions;
    RequestClass requestClass = RequestClass::Interactive;
    Decision decision;
    PoolId service;
    RequestLabels labels;
    PromptParts parts;
    /** The part of such requests that went on, where the rule lets its service shed. */
    double admittedPart = 1;
    /** Of the last shared part; of the request itself where it has none. */
    std::uint64_t partHash = 0;
    /** When its final answer is due. */
    Millis deadline;
};

/** An answer that the gateway gives in place of a target. */
struct GatewayRefusal
{
    int status = 0;
    std::string reason;
    std::optional<Millis> retryAfter;
    Outcome outcome = Outcome::RefusedInvalid;
};

/** Fills in admitted, and counts the request for the retry budget; the refusal where it may not go on. */
std::optional<GatewayRefusal>
admitRequest(GatewayContext &context, const HttpHead &head, Millis receivedAt, AdmittedRequest &admitted);

} // namespace Sequoiausher
