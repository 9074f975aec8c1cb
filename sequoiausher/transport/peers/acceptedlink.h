#pragma once

// A connection that a peer opened to this router, on which this router receives. Replies with its hello, and sends a
// sign of life when the peer requests one, or when no other frame has acknowledged the peer's frames for a while.
// Belongs to the thread that created it.
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

/** Receives the events of an accepted connection. None of the functions may destroy the link. */
class AcceptedLinkListener
{
public:
    virtual ~AcceptedLinkListener() = default;

    /** The hello of the peer has arrived. @return false to refuse the peer. */
    virtual bool greeted(AcceptedLink &link, const Hello &hello) = 0;
    /** Returns the record of the frames that the peer sent; valid until the connection has ended. */
    virtual ReceivedFrames &framesOf(const Hello &from) = 0;
    /** The peer has acknowledged this router's frames up to number. */
    virtual void acknowledged(const Hello &from, FrameNumber number) = 0;
    virtual void arrived(const Hello &from, PeerMessage message) = 0;
    /** The connection has ended; called once. */
    virtual void ended(AcceptedLink &link) = 0;
};

/** Receives from one peer. */
class AcceptedLink
{
public:
    /** Takes ownership of the socket. All references outlive the link. */
    AcceptedLink(const LinkSettings &settings,
                 std::unique_ptr<QTcpSocket> socket,
                 PeerCounters &counters,
                 AcceptedLinkListener &listener);
    ~AcceptedLink();

    /** Returns the peer that opened the connection; without a name before its hello. */
    const Hello &hello() const;

    /** Whether the connection has not ended. */
    bool isOpen() const;

    /** Stops receiving and closes the connection. */
    void close();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
