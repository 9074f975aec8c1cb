#pragma once

// A connection that a peer dialled to this router, and on which this router receives. Answers with its hello,
// and with a sign of life when asked, or when nothing else went to the peer for a while that acknowledges its frames.
// Lives in the thread that made it.
//
//     AcceptedLink link(settings, socket, counters, listener);

#include "sequoiausher/protocol/codec/hellocodec.h"
#include "sequoiausher/transport/peers/linksettings.h"
#include "sequoiausher/transport/peers/peercounters.h"
#include "sequoiausher/transport/peers/receivedframes.h"

#include "sequoiausher/coordination/messages/peermessage.h"

#include <functional>
#include <memory>

class QTcpSocket;

namespace Sequoiausher {

class AcceptedLink;

/** What an accepted connection tells its owner. None of the calls may destroy the link itself. */
class AcceptedLinkListener
{
public:
    virtual ~AcceptedLinkListener() = default;

    /** The peer has said who it is; false refuses it. */
    virtual bool greeted(AcceptedLink &link, const Hello &hello) = 0;
    /** What the peer's frames are counted in; stays in place until the connection is over. */
    virtual ReceivedFrames &framesOf(const Hello &from) = 0;
    /** The peer has this router's frames up to number. */
    virtual void acknowledged(const Hello &from, FrameNumber number) = 0;
    virtual void arrived(const Hello &from, PeerMessage message) = 0;
    /** The connection is over; called once. */
    virtual void ended(AcceptedLink &link) = 0;
};

/** Receives from one peer. */
class AcceptedLink
{
public:
    /** Takes the socket over. All references outlive the link. */
    AcceptedLink(const LinkSettings &settings,
                 std::unique_ptr<QTcpSocket> socket,
                 PeerCounters &counters,
                 AcceptedLinkListener &listener);
    ~AcceptedLink();

    /** Who dialled; without a name before the peer has said so. */
    const Hello &hello() const;

    /** Takes nothing more from the peer and ends. */
    void close();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
