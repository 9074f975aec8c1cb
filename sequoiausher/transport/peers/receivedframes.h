#pragma once

// What a router knows of the frames that one peer sent to it: which arrived, and which of them the peer was told of.
// Any frame to the peer tells it, so a sign of life is due only where none went out for a while.
//
//     received.opened(hello.incarnation, hello.lastFrame);
//     received.arrived(now);
//     frame = framed(body, received.tell());
//     if (now >= received.tellBy(silence)) { write a sign of life }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/transport/peers/framenumber.h"

namespace Sequoiausher {

/** How long a receiver waits for something to go to the peer before it sends a sign of life by itself. */
Millis acknowledgementDelay(Millis silence);

/** The frames that arrived from one peer. */
class ReceivedFrames
{
public:
    /** The peer's life incarnation opened a connection; lastFrame is the number of the last frame that it wrote before,
     *  or noFrame where it numbers none. */
    void opened(Incarnation incarnation, FrameNumber lastFrame);

    /** A frame of messages arrived on the connection opened last. */
    void arrived(Millis now);

    /** The number that tells the peer of all that arrived; noFrame where it numbers none. It counts as told. */
    FrameNumber tell();

    /** When a sign of life is due; never() where the peer was told of all. */
    Millis tellBy(Millis silence) const;

    /** Whose frames these are. */
    Incarnation incarnation() const;

private:
    Incarnation life = 0;
    FrameNumber last = noFrame;
    unsigned untold = 0;
    /** When the first frame arrived that the peer was not told of. */
    Millis untoldSince;
};

} // namespace Sequoiausher
