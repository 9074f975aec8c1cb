#pragma once

// All links of one router: listens for peers, dials the wanted ones when there is something to send, and hands over
// what arrives. Each direction between two routers has a connection of its own, dialled by the side that sends.
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

/** What a mesh tells its owner, on the thread of the mesh. The calls must neither destroy the
 *  mesh nor call setPeers(). */
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    /** message arrived from the life incarnation of from. */
    virtual void received(const InstanceId &from, Incarnation incarnation, PeerMessage message) = 0;
    /** The link on which this router sends to peer came up, or broke; not where it is closed since nobody used it. */
    virtual void linkChanged(const InstanceId &peer, Incarnation incarnation, bool up) = 0;
};

/** The wanted peers by name. */
using PeerAddresses = std::map<InstanceId, PeerAddress>;

/** Sends to and receives from the other routers. Every call but post() belongs on the thread that made the mesh. */
class PeerMesh
{
public:
    /** listener outlives the mesh. */
    PeerMesh(LinkSettings settings, PeerListener &listener);
    ~PeerMesh();

    /** Listens; port 0 takes a free one. Throws Error(Step::Listen, address, ...). */
    void listen(const PeerAddress &address);
    /** The port in use after listen(). */
    std::uint16_t port() const;

    /** Replaces the wanted peers. Links to others, and to peers with a new address, are closed. */
    void setPeers(const PeerAddresses &peers);

    /**
     * Takes message for sending; false where peer is not wanted or its queue is full, and message is dropped. True
     * promises no delivery: the sender of a control message repeats it or goes on without.
     */
    bool send(const InstanceId &peer, PeerMessage message);

    /** Sends each message from any thread, soon. What finds no room is dropped and counted. */
    void post(Outbox outbox);

    /** What was carried and lost so far. */
    const PeerCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
