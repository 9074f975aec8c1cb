#pragma once

// Records which frames of the sending side of a link are acknowledged, and decides when to request a sign of life and
// when to close the connection. A plain state machine; the link owns the clock and the socket.
//
//     SentFrames sent(settings.silence);
//     sent.dialled(now);                             // a hello without a number is sent
//     const FrameNumber number = sent.frame(now);    // a frame of messages is sent
//     sent.acknowledged(now, heard);
//     switch (sent.due(now)) { ... }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/transport/peers/framenumber.h"

namespace Sequoiausher {

/** The action for frames after which nothing arrived. */
enum class LinkDue {
    Nothing,
    /** Request a sign of life. */
    Ask,
    /** The connection is silent. */
    GiveUp,
};

/** The unacknowledged frames of one link. The numbers continue across its connections, so that a late acknowledgement
 *  of a frame of an earlier connection is not mistaken for one of the current connection. */
class SentFrames
{
public:
    /** @param silence how long a connection may stay without evidence that bytes sent on it arrived. */
    explicit SentFrames(Millis silence);

    /** A connection is being opened; its hello requires a reply. */
    void dialled(Millis now);

    /** A frame of messages is written. @return its number. */
    FrameNumber frame(Millis now);

    /** A request for a sign of life is written. */
    void asked();

    /**
     * The peer has acknowledged, on its own connection, every frame up to number. A number that is not unacknowledged
     * is ignored, since it belongs to an earlier connection. All numbers are ignored while so many frames are
     * unacknowledged that a number could stand for two of them; then only a frame on this connection is evidence.
     */
    void acknowledged(Millis now, FrameNumber number);

    /** A frame arrived on this connection. It acknowledges number, or everything that was sent if noFrame. */
    void answered(Millis now, FrameNumber number);

    /**
     * This process was delayed for this time beyond a deadline. What arrived meanwhile was not read, so that time does
     * not count as silence.
     */
    void heldUp(Millis span);

    /** The connection has ended; nothing more is expected. */
    void closed();

    LinkDue due(Millis now) const;
    /** Returns when the result of due() may change; never() if everything is acknowledged. */
    Millis nextDeadline() const;

    /** Returns the number of the last written frame, on this connection or an earlier one. */
    FrameNumber last() const;

private:
    void settle();
    bool isAmbiguous() const;

    Millis silence;
    /** The number before that of the first frame of an incarnation. */
    FrameNumber lastFrame = 1;
    FrameNumber lastAcknowledged = 1;
    unsigned unacknowledged = 0;
    /** Since when there is no evidence that the connection works; never() if everything is acknowledged. */
    Millis unansweredSince = Millis::never();
    bool isAsked = false;
};

} // namespace Sequoiausher
