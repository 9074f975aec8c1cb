#pragma once

// Tracks an answer that another router sends: the new bytes of each part, what is missing, and whether the holder has
// been silent for too long. Messages between routers may be lost, repeated and late.
//
//     AttachedAnswer attached;
//     attached.begin(now, holder, heldBy);
//     if (attached.tick(now) == AttachStep::AskAgain) { ... send the AttachRequest once more ... }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/attachmessages.h"

#include <optional>
#include <string_view>

namespace Sequoiausher {

/** The next action towards the holder. */
enum class AttachStep {
    Nothing,
    /** Send the request again: the holder starts from the beginning, and the known part is skipped. */
    AskAgain,
    /** Nothing arrived for too long: the holder is dead, frozen or cut off. */
    GiveUp,
};

/** One answer that is received from another router; a plain state machine. */
class AttachedAnswer
{
public:
    /** The request was sent to the holder. Stops tracking an earlier answer. */
    void begin(Millis now, const InstanceId &holder, const RequestId &attempt);
    /** The request for the same attempt's answer was sent to another router; the known part is kept. */
    void redirect(Millis now, const InstanceId &holder);
    /** Stops tracking. */
    void end();

    bool isFollowing() const;
    /** Returns the holder; empty if no answer is tracked. */
    const InstanceId &holder() const;
    const RequestId &attempt() const;

    /** A message arrived from the holder. */
    void heard(Millis now);
    /**
     * Returns the new bytes of the chunk, which may be none; std::nullopt if bytes before it are missing, which tick()
     * then requests.
     */
    std::optional<std::string_view> take(Millis now, const AttachChunk &chunk);
    /** Whether all parts of a complete answer arrived; otherwise tick() requests them. */
    bool isWhole(Millis now, const AttachEnd &end);

    /** To be called several times a second. */
    AttachStep tick(Millis now);

private:
    InstanceId from;
    RequestId heldBy;
    std::uint64_t offset = 0;
    Millis heardAt;
    Millis askAt = Millis::never();
};

} // namespace Sequoiausher
