#pragma once

// Reads one frame of messages from the wire (peer.fbs). Used through peercodec.h.

#include "sequoiausher/coordination/messages/peermessage.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace Sequoiausher::Wire {
struct Frame;
}

namespace Sequoiausher::Internal {

/** Takes the messages out of a verified frame, in the order in which they were sent. */
class FrameReader
{
public:
    /** @param verified outlives the reader and passed flatbuffers::Verifier. @param peer names the sender in errors. */
    FrameReader(const Wire::Frame &verified, std::string peer);
    ~FrameReader();

    /**
     * The next message; std::nullopt at the end. What this version does not know is passed over and counted.
     * Throws Error(Step::Decode, peer, ...) where the frame contradicts itself.
     */
    std::optional<PeerMessage> next();

    /** How many messages were passed over so far. */
    std::size_t skipped() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Internal
