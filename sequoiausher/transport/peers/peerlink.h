#pragma once

// The connection that this router dials to one peer, and on which it sends. Dials on demand, checks who answers,
// redials with growing jittered waits, and finds a connection that went silent. Messages sent in one turn of the event
// loop go in one frame. Lives in the thread that made it.
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
     * Called with true when the peer answered first, and with false when it was lost after that: its link broke or went
     * silent, it cannot be reached again, it began another life, or it is wanted no more. A link that is closed since
     * nobody used it says nothing of the peer. Must not destroy the link.
     */
    using Changed = std::function<void(const InstanceId &peer, Incarnation incarnation, bool up)>;

    /** settings, counters and received, which holds what came from the peer, outlive the link. Dials nothing yet. */
    PeerLink(const LinkSettings &settings,
             InstanceId peer,
             PeerAddress address,
             PeerCounters &counters,
             ReceivedFrames &received,
             Changed changed);
    ~PeerLink();

    /** Takes message for sending; false where the queue has no room and message is dropped. Delivery is not certain. */
    bool send(PeerMessage message);

    /** The peer's life incarnation has this link's frames up to number. */
    void acknowledged(Incarnation incarnation, FrameNumber number);

    const PeerAddress &address() const;

    /** Whether the peer has answered on the present connection. */
    bool isUp() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
