#pragma once

// The connection that this router opens to one peer, on which it sends. Connects on demand, verifies the identity of
// the peer, retries with an exponential, jittered delay, and detects a silent connection. The messages of one iteration
// of the event loop share a frame. Belongs to the thread that created it.
//
//     PeerLink link(settings, InstanceId{"r3"}, parsePeerAddress("10.0.3.7:7103"), counters, changed);
//     link.send(claimRequest);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/coordination/messages/peermessage.h"
#include "sequoiausher/transport/peers/linksettings.h"
#include "sequoiausher/transport/peers/peeraddress.h"
#include "sequoiausher/transport/peers/peercounters.h"
#include "sequoiausher/transport/peers/receivedframes.h"

#include <functional>
#include <memory>

namespace Sequoiausher {

/** Sends to one peer. */
class PeerLink
{
public:
    /**
     * Called with true after the first hello of the peer, and with false when the peer is lost after that: its link
     * broke or went silent, it cannot be reached again, it restarted, or it is no longer configured. Not called for a
     * link that is closed because it is unused, which implies nothing about the peer. Must not destroy the link.
     */
    using Changed = std::function<void(const InstanceId &peer, Incarnation incarnation, bool up)>;

    /** The references outlive the link. Does not connect yet. @param received the record of the frames of the peer. */
    PeerLink(const LinkSettings &settings,
             InstanceId peer,
             PeerAddress address,
             PeerCounters &counters,
             ReceivedFrames &received,
             Changed changed);
    ~PeerLink();

    /** Queues the message. @return false if it was dropped because the queue is full. Does not guarantee delivery. */
    bool send(PeerMessage message);

    /** Records that the incarnation of the peer has acknowledged this link's frames up to number. */
    void acknowledged(Incarnation incarnation, FrameNumber number);

    const PeerAddress &address() const;

    /** Whether the hello of the peer has arrived on the current connection. */
    bool isUp() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
