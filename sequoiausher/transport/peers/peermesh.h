#pragma once

// All links of one router: listens for peers, connects to the configured ones when there are messages to send, and
// delivers what arrives. Each direction between two routers has its own connection, opened by the side that sends.
//
//     PeerMesh mesh(settings, listener);
//     mesh.listen(parsePeerAddress("10.0.3.7:7103"));
//     mesh.setPeers({{InstanceId{"r2"}, parsePeerAddress("10.0.3.8:7103")}});
//     mesh.send(InstanceId{"r2"}, probe);

#include "sequoiausher/coordination/messages/peermessage.h"
#include "sequoiausher/transport/peers/linksettings.h"
#include "sequoiausher/transport/peers/peeraddress.h"
#include "sequoiausher/transport/peers/peercounters.h"

#include <map>
#include <memory>

namespace Sequoiausher {

/** Receives the events of a mesh, on the thread of the mesh. The functions must neither destroy the
 *  mesh nor call setPeers(). */
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    /** A message arrived from this incarnation of the peer. */
    virtual void received(const InstanceId &from, Incarnation incarnation, PeerMessage message) = 0;
    /** The link on which this router sends to the peer opened or broke; not called when an unused link is closed. */
    virtual void linkChanged(const InstanceId &peer, Incarnation incarnation, bool up) = 0;
};

/** The configured peers by name. */
using PeerAddresses = std::map<InstanceId, PeerAddress>;

/** Sends to and receives from the other routers. All functions but post() must be called on the thread of the mesh. */
class PeerMesh
{
public:
    /** listener outlives the mesh. */
    PeerMesh(LinkSettings settings, PeerListener &listener);
    ~PeerMesh();

    /** Starts to listen; port 0 chooses a free one. Throws Error(Step::Listen, address, ...). */
    void listen(const PeerAddress &address);
    /** Returns the port in use after listen(). */
    std::uint16_t port() const;

    /** Replaces the configured peers. Links to others, and to peers with a new address, are closed. */
    void setPeers(const PeerAddresses &peers);

    /**
     * Queues the message. @return false if it was dropped because the peer is not configured or its queue is full. True
     * does not guarantee delivery: the sender of a control message repeats it or continues without a reply.
     */
    bool send(const InstanceId &peer, PeerMessage message);

    /** Queues each message from any thread. Messages that do not fit are dropped and counted. */
    void post(Outbox outbox);

    /** Returns the counts since the start. */
    /** Returns the number of connections to and from peers, those that are not open among them. */
    std::size_t connectionCount() const;
    const PeerCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
