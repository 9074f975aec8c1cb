#pragma once

// Records which frames of one peer arrived, and which of them were acknowledged. Every frame to the peer contains an
// acknowledgement, so a sign of life is due only if none was sent for a while.
//
//     received.opened(hello.incarnation, hello.lastFrame);
//     received.arrived(now);
//     frame = framed(body, received.tell());
//     if (now >= received.tellBy(silence)) { write a sign of life }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/transport/peers/framenumber.h"

namespace Sequoiausher {

/** How long a receiver waits for another frame to the peer before it sends a sign of life. */
Millis acknowledgementDelay(Millis silence);

/** The frames received from one peer. */
class ReceivedFrames
{
public:
    /** This incarnation of the peer opened a connection. @param lastFrame the number of the last frame that it wrote
     *  before, or noFrame if it does not number frames. */
    void opened(Incarnation incarnation, FrameNumber lastFrame);

    /** A frame of messages arrived on the most recently opened connection. */
    void arrived(Millis now);

    /** Returns the number that acknowledges all received frames, which then count as acknowledged; noFrame if none. */
    FrameNumber tell();

    /** Returns when a sign of life is due; never() if all frames were acknowledged. */
    Millis tellBy(Millis silence) const;

    /** The incarnation of the peer that sent the frames. */
    Incarnation incarnation() const;

private:
    Incarnation life = 0;
    FrameNumber last = noFrame;
    unsigned untold = 0;
    /** When the first frame arrived that was not acknowledged yet. */
    Millis untoldSince;
};

} // namespace Sequoiausher
