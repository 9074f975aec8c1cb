#include "sequoiausher/state/answers/keptanswer.h"

#include "sequoiausher/base/hashing.h"

namespace Sequoiausher {

namespace {

std::uint64_t digestOf(const KeptAnswer &answer, std::string_view body)
{
    const std::string identity = answer.attempt.toHex() + answer.key.toHex() + std::to_string(answer.bodyDigest) + "/"
        + std::to_string(answer.head.status) + "/" + answer.head.contentType;
    return hash64(body, hash64(identity));
}

} // namespace

KeptAnswer describe(const RequestId &attempt,
                    const ClaimKey &key,
                    std::uint64_t bodyDigest,
                    const AnswerHead &head,
                    std::string_view body)
{
    KeptAnswer answer;
    answer.attempt = attempt;
    answer.key = key;
    answer.bodyDigest = bodyDigest;
    answer.head = head;
    answer.length = body.size();
    answer.digest = digestOf(answer, body);
    return answer;
}

bool isWhole(const KeptAnswer &answer, std::string_view body)
{
    return body.size() == answer.length && digestOf(answer, body) == answer.digest;
}

} // namespace Sequoiausher
