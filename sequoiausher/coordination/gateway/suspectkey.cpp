#include "sequoiausher/coordination/gateway/suspectkey.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

constexpr std::size_t maxPartsPerRequest = 64;
constexpr std::uint64_t loggedPartModulus = 1000000;

} // namespace

SuspectedRequest describeRequest(const OrganisationId &caller,
                                 std::string_view path,
                                 std::string_view body,
                                 const std::vector<std::uint64_t> &parts)
{
    const std::size_t kept = std::min(parts.size(), maxPartsPerRequest);
    return {computeFingerprint(caller, path, body), {parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(kept)}};
}

std::vector<SuspectKey> keysOf(const SuspectedRequest &request)
{
    std::vector<SuspectKey> keys{{SuspectKind::Request, request.fingerprint.caller, request.fingerprint.content}};
    for (const std::uint64_t part : request.sharedParts) {
        const SuspectKey key{SuspectKind::PromptPart, request.fingerprint.caller, part};
        if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::string toText(const SuspectKey &key)
{
    return toText(RequestFingerprint{key.caller, key.content});
}

std::string loggedPart(std::uint64_t partHash)
{
    return std::to_string(partHash % loggedPartModulus);
}

} // namespace Sequoiausher
