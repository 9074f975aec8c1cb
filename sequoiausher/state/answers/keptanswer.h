#pragma once

// A whole answer of a keyed request, as one router describes it to another that is to keep it on.
//
//     const KeptAnswer answer = describe(attempt, key, bodyDigest, head, body);
//     isWhole(answer, body);      // true; false for a body that was cut or mixed up on its way

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** Status and type of an answer, known before its body. */
struct AnswerHead
{
    std::uint32_t status = 0;
    std::string contentType;

    bool operator==(const AnswerHead &) const = default;
};

/** Everything about a whole answer but its body. */
struct KeptAnswer
{
    /** The request that ran; the claim of the key names it. */
    RequestId attempt;
    ClaimKey key;
    /** Of the request: a retry with another body is refused. */
    std::uint64_t bodyDigest = 0;
    AnswerHead head;
    /** Of the answer's body, in bytes. */
    std::uint64_t length = 0;
    /** Over attempt, key, head and body. */
    std::uint64_t digest = 0;
    /** How long ago the answer ended. */
    Millis age;

    bool operator==(const KeptAnswer &) const = default;
};

/** The description of an answer that ended just now. */
KeptAnswer describe(const RequestId &attempt,
                    const ClaimKey &key,
                    std::uint64_t bodyDigest,
                    const AnswerHead &head,
                    std::string_view body);

/** Whether body is all of the answer's body, and belongs to this attempt, key and head. */
bool isWhole(const KeptAnswer &answer, std::string_view body);

} // namespace Sequoiausher
