#pragma once

// Builds one frame of messages for the wire (peer.fbs). Used through peercodec.h.

#include "sequoiausher/coordination/messages/peermessage.h"

#include <memory>
#include <string>

namespace Sequoiausher::Internal {

/** Collects messages and writes them as one frame; used once. */
class FrameWriter
{
public:
    FrameWriter();
    ~FrameWriter();

    /** Throws Error(Step::Write, ...) for what a frame cannot hold; the writer is of no use afterwards. */
    void add(const PeerMessage &message);

    /** The frame's bytes. */
    std::string finish();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Internal
