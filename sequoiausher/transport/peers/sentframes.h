#pragma once

// What the sending side of a link knows of its own frames: which are acknowledged, when to ask for a sign of life, and
// when to give the connection up. A plain state machine; the link owns the clock and the socket.
//
//     SentFrames sent(settings.silence);
//     sent.dialled(now);                             // something goes out that has no number
//     const FrameNumber number = sent.frame(now);    // a frame of messages goes out
//     sent.acknowledged(now, heard);
//     switch (sent.due(now)) { ... }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/transport/peers/framenumber.h"

namespace Sequoiausher {

/** What a link has to do about frames that nothing was heard after. */
enum class LinkDue {
    Nothing,
    /** Ask for a sign of life. */
    Ask,
    /** The connection is silent. */
    GiveUp,
};

/** The unacknowledged frames of one link. Numbers go on over its connections, so that no late acknowledgement of an
 *  earlier connection's frame is taken for one of the present connection's. */
class SentFrames
{
public:
    /** @param silence how long a connection may stay without a sign that something sent on it arrived. */
    explicit SentFrames(Millis silence);

    /** A connection is being dialled: its hello must be answered. */
    void dialled(Millis now);

    /** A frame of messages is written. @return its number. */
    FrameNumber frame(Millis now);

    /** A question for a sign of life is written. */
    void asked();

    /**
     * The peer says on its own connection that it has every frame up to number. What is not unacknowledged is passed
     * over: it belongs to an earlier connection. So is all while so many frames are unacknowledged that a number could
     * mean two of them; then only a frame on this connection settles it.
     */
    void acknowledged(Millis now, FrameNumber number);

    /** A frame came on this connection, which acknowledges number, or with noFrame all that was sent. */
    void answered(Millis now, FrameNumber number);

    /**
     * This process was held up for so long beyond a deadline: what arrived meanwhile has not been read, so that time
     * does not count as silence.
     */
    void heldUp(Millis span);

    /** The connection is over: nothing more is expected. */
    void closed();

    LinkDue due(Millis now) const;
    /** When due() may say something else; never() where all is answered. */
    Millis nextDeadline() const;

    /** The number of the last frame written, on this connection or an earlier one. */
    FrameNumber last() const;

private:
    void settle();
    bool isAmbiguous() const;

    Millis silence;
    /** Where numbering starts; a life's first frame has the one after it. */
    FrameNumber lastFrame = 1;
    FrameNumber lastAcknowledged = 1;
    unsigned unacknowledged = 0;
    /** Since when nothing shows that the connection works; never() where all is answered. */
    Millis unansweredSince = Millis::never();
    bool isAsked = false;
};

} // namespace Sequoiausher
