#pragma once

// What several requests that crash their targets may have in common: the request itself, sent again, or a part of its
// prompt. Keys of different organisations differ, so no organisation can have another's requests refused.
//
//     const SuspectedRequest request = describeRequest(organisation, head.target, body, parts.sharedHashes());
//     for (const SuspectKey &key : keysOf(request)) { ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/requestfingerprint.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

enum class SuspectKind {
    Request,
    PromptPart,
};

template<>
inline constexpr auto nameTable<SuspectKind> = std::to_array<NameEntry<SuspectKind>>({
    {SuspectKind::Request, "request"},
    {SuspectKind::PromptPart, "prompt-part"},
});

/** Identifies one thing that requests have in common. */
struct SuspectKey
{
    SuspectKind kind = SuspectKind::Request;
    /** Hash of the caller's organisation. */
    std::uint64_t caller = 0;
    /** The content of the request's fingerprint, or the hash of the prompt part's id. */
    std::uint64_t content = 0;

    auto operator<=>(const SuspectKey &) const = default;
};

/** A request as far as it may be suspected. */
struct SuspectedRequest
{
    RequestFingerprint fingerprint;
    /** Hashes of the ids of the prompt's parts that other requests share: all but the last one, in order. */
    std::vector<std::uint64_t> sharedParts;
};

/** @param parts hashes of the shared parts' ids; the first 64 are kept, which bounds the memory for one request. */
SuspectedRequest describeRequest(const OrganisationId &caller,
                                 std::string_view path,
                                 std::string_view body,
                                 const std::vector<std::uint64_t> &parts);

/** Returns the keys of the request: its own first, then those of its shared parts. */
std::vector<SuspectKey> keysOf(const SuspectedRequest &request);

/** Formats the key's hashes for log lines. */
std::string toText(const SuspectKey &key);

/** Returns the number by which log lines name a prompt part: enough to tell the parts of a day apart. */
std::string loggedPart(std::uint64_t partHash);

} // namespace Sequoiausher
