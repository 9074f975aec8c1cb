#pragma once

// The input of the rules: the properties of one request, and the state of the pools as known to this router.
//
//     RequestFacts facts;
//     facts.organisation = OrganisationId{"kentekenlab"};
//     facts.path = "/v1/chat/completions";

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/requestclass.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher {

/** One header of a request. */
struct RequestHeader
{
    /** In lower case. */
    std::string name;
    std::string value;
};

/** The state of a pool as known to this router. */
struct PoolState
{
    PoolId pool;
    /** The number of live targets. */
    std::uint32_t targets = 0;
    /** Requests in flight on all shards, as last reported by their owners. */
    std::uint64_t inFlight = 0;
};

/** The properties that rules can test. */
struct RequestFacts
{
    OrganisationId organisation;
    RequestClass requestClass = RequestClass::Interactive;
    /** Empty for services without models. */
    std::string model;
    /** The path without the query. */
    std::string path;
    /** In upper case. */
    std::string method;
    /** hash64 of the chat's id; the same on every router. */
    std::uint64_t chatHash = 0;
    /** Bytes of the request's messages. */
    std::uint64_t promptBytes = 0;
    std::vector<RequestHeader> headers;
    /** Wall-clock time since 1970, UTC. */
    Millis wallTime;
    /** The number of gateways that were in the fleet within a minute, as far as this one knows; 0 on a router. */
    std::uint32_t gateways = 0;
    /** Shared between requests; a pool that is not in this list counts as empty. */
    std::shared_ptr<const std::vector<PoolState>> pools;
};

} // namespace Sequoiausher
