#pragma once

// What the rules may look at: one request, and the fleet's state as this router knows it at that moment.
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

/** A pool as this router sees it. */
struct PoolState
{
    PoolId pool;
    /** Live ones. */
    std::uint32_t targets = 0;
    /** Over all shards, as their owners last said. */
    std::uint64_t inFlight = 0;
};

/** All that a rule can ask about. */
struct RequestFacts
{
    OrganisationId organisation;
    RequestClass requestClass = RequestClass::Interactive;
    /** Empty for plain services. */
    std::string model;
    /** Without the query. */
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
    /** Shared between requests; a pool that is not in it counts as empty. */
    std::shared_ptr<const std::vector<PoolState>> pools;
};

} // namespace Sequoiausher
