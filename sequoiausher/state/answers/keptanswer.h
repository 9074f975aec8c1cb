#pragma once

// The description of a complete answer to a keyed request, for a router that stores the answer from now on.
//
//     const KeptAnswer answer = describe(attempt, key, bodyDigest, head, body);
//     isWhole(answer, body);      // true; false for a body that was truncated or mixed up in transit

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** Status and content type of an answer, which arrive before its body. */
struct AnswerHead
{
    std::uint32_t status = 0;
    std::string contentType;

    bool operator==(const AnswerHead &) const = default;
};

/** A complete answer without its body. */
struct KeptAnswer
{
    /** The request that ran, as named by the claim of the key. */
    RequestId attempt;
    ClaimKey key;
    /** The digest of the request's body: a retry with another body is refused. */
    std::uint64_t bodyDigest = 0;
    AnswerHead head;
    /** The size of the answer's body in bytes. */
    std::uint64_t length = 0;
    /** The digest of attempt, key, head and body. */
    std::uint64_t digest = 0;
    /** How long ago the answer ended. */
    Millis age;

    bool operator==(const KeptAnswer &) const = default;
};

/** Describes an answer that has just ended. */
KeptAnswer describe(const RequestId &attempt,
                    const ClaimKey &key,
                    std::uint64_t bodyDigest,
                    const AnswerHead &head,
                    std::string_view body);

/** Whether the body is complete and belongs to this attempt, key and head. */
bool isWhole(const KeptAnswer &answer, std::string_view body);

} // namespace Sequoiausher
