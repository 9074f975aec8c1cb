#pragma once

// Messages by which a retry that reached another router attaches to the answer of the first attempt. The holder is the
// router that runs the first attempt or keeps its answer.
//
//     AttachRequest{attachment, key, attempt} -> AttachReply{attachment, AttachVerdict::Follows, 200, contentType}

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/nametable.h"

#include <string>

namespace Sequoiausher {

/** The state of an attempt at the holder of its claim. */
enum class AttachVerdict {
    /** The answer has begun or is kept; chunks follow. */
    Follows,
    /** The attempt was abandoned before dispatch: it did not run, and the claim is free again. */
    NotRun,
    /** The holder has no record of the attempt, as after a restart, or no longer keeps its answer. */
    Unknown,
    /** The attempt is running and has no answer head yet; another reply follows. */
    Waits,
};

template<>
inline constexpr auto nameTable<AttachVerdict> = std::to_array<NameEntry<AttachVerdict>>({
    {AttachVerdict::Follows, "follows"},
    {AttachVerdict::NotRun, "not-run"},
    {AttachVerdict::Unknown, "unknown"},
    {AttachVerdict::Waits, "waits"},
});

/** Retrying entry to holder: asks for the answer of an attempt from its start. */
struct AttachRequest
{
    /** The id of the retry's own request, which identifies this attachment in all later messages. */
    RequestId attachment;
    ClaimKey key;
    RequestId attempt;

    bool operator==(const AttachRequest &) const = default;
};

/** Holder to retrying entry: the state of the attempt and, with Follows, the head of the answer. */
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

/** Holder to retrying entry: the end of the body. */
struct AttachEnd
{
    RequestId attachment;
    /** Whether the whole answer was sent. If not, the answer broke off at the holder, and reason is set. */
    bool complete = false;
    std::string reason;
    /** With complete: the length of the body in bytes, by which the receiver detects lost chunks. */
    std::uint64_t length = 0;

    bool operator==(const AttachEnd &) const = default;
};

/** Retrying entry to holder: stops the attachment. */
struct AttachCancel
{
    RequestId attachment;

    bool operator==(const AttachCancel &) const = default;
};

} // namespace Sequoiausher
