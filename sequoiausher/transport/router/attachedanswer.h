#pragma once

// How far an answer has come that another router sends: what is new in each part, what is missing, and when the holder
// has been silent for too long. Messages between routers may be lost, doubled and late.
//
//     AttachedAnswer attached;
//     attached.begin(now, holder, heldBy);
//     if (attached.tick(now) == AttachStep::AskAgain) { ... send the AttachRequest once more ... }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/attachmessages.h"

#include <optional>
#include <string_view>

namespace Sequoiausher {

/** What is to be done about the holder. */
enum class AttachStep {
    Nothing,
    /** Send the request once more: the holder starts anew, and what is known already is skipped. */
    AskAgain,
    /** Nothing came for too long: the holder is dead, frozen or cut off. */
    GiveUp,
};

/** One answer that is followed at another router; a plain state machine. */
class AttachedAnswer
{
public:
    /** The request was sent to holder. Ends what was followed before. */
    void begin(Millis now, const InstanceId &holder, const RequestId &attempt);
    /** The request for the same attempt's answer was sent to another router; what is known already stays known. */
    void redirect(Millis now, const InstanceId &holder);
    /** Nothing is followed any more. */
    void end();

    bool isFollowing() const;
    /** Empty where nothing is followed. */
    const InstanceId &holder() const;
    const RequestId &attempt() const;

    /** Something came from the holder. */
    void heard(Millis now);
    /**
     * The part of chunk that is new, which may be empty; std::nullopt where something before it is missing, which
     * tick() then asks for.
     */
    std::optional<std::string_view> take(Millis now, const AttachChunk &chunk);
    /** Whether every part came that belongs to a complete answer; else tick() asks for them. */
    bool isWhole(Millis now, const AttachEnd &end);

    /** Call it some times a second. */
    AttachStep tick(Millis now);

private:
    InstanceId from;
    RequestId heldBy;
    std::uint64_t offset = 0;
    Millis heardAt;
    Millis askAt = Millis::never();
};

} // namespace Sequoiausher
