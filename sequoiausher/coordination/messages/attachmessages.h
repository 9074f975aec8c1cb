#pragma once

// Messages by which a retry that reached another router attaches to the answer that the first router runs or keeps.

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/nametable.h"

#include <string>

namespace Sequoiausher {

/** What the holder of a claim knows of the attempt. */
enum class AttachVerdict {
    /** The answer is running or kept; chunks follow. */
    Follows,
    /** The attempt was given up before dispatch: it did not run, the claim is free again. */
    NotRun,
    /** The holder does not know the attempt, having restarted, or no longer keeps its answer. */
    Unknown,
    /** The attempt is running and has no answer yet; another reply follows. */
    Waits,
};

template<>
inline constexpr auto nameTable<AttachVerdict> = std::to_array<NameEntry<AttachVerdict>>({
    {AttachVerdict::Follows, "follows"},
    {AttachVerdict::NotRun, "not-run"},
    {AttachVerdict::Unknown, "unknown"},
    {AttachVerdict::Waits, "waits"},
});

/** Retrying entry to holder: send me the answer of attempt from its start. */
struct AttachRequest
{
    /** The retry's own request, which names this attachment in every later message. */
    RequestId attachment;
    ClaimKey key;
    RequestId attempt;

    bool operator==(const AttachRequest &) const = default;
};

/** Holder to retrying entry: what is known; with Follows, the head of the answer. */
struct AttachReply
{
    RequestId attachment;
    AttachVerdict verdict = AttachVerdict::Unknown;
    std::uint32_t status = 0;
    std::string contentType;

    bool operator==(const AttachReply &) const = default;
};

/** Holder to retrying entry: a part of the answer's body. */
struct AttachChunk
{
    RequestId attachment;
    std::uint64_t offset = 0;
    std::string bytes;

    bool operator==(const AttachChunk &) const = default;
};

/** Holder to retrying entry: the body ends. */
struct AttachEnd
{
    RequestId attachment;
    /** The whole answer was sent; otherwise it broke off at the holder, and reason says why. */
    bool complete = false;
    std::string reason;
    /** With complete: the bytes of the body. A part that was lost before the end shows by it. */
    std::uint64_t length = 0;

    bool operator==(const AttachEnd &) const = default;
};

/** Retrying entry to holder: send no more. */
struct AttachCancel
{
    RequestId attachment;

    bool operator==(const AttachCancel &) const = default;
};

} // namespace Sequoiausher
