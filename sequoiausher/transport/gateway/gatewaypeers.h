#pragma once

// Communication with the other gateways: sends reports in rounds, processes the reports of peers, and sends the
// configuration and the targets to peers that lack them.
//
//     GatewayPeers peers(context, incarnation, knowledge, updates);
//     peers.listen();
//     // every 40 ms: peers.tick(now)

#include "sequoiausher/coordination/gateway/evacuationlist.h"
#include "sequoiausher/coordination/gateway/targetlist.h"
#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <memory>
#include <string>

namespace Sequoiausher {

/** Receives what peers report. */
class PeerUpdates
{
public:
    virtual ~PeerUpdates() = default;
    /** A peer sent a newer configuration. @param raw as stored. */
    virtual void configurationOffered(const std::string &raw, Revision revision) = 0;
    /** A peer sent its list, which is complete up to the revision. */
    virtual void targetsOffered(const std::vector<GatewayTarget> &targets, Revision revision) = 0;
    /** A peer sent changes of its list. */
    virtual void targetChangesOffered(const TargetChanges &changes) = 0;
    /** A peer reported an era of the store; 0 if it knows none. */
    virtual void eraOffered(std::uint64_t era, const InstanceId &by) = 0;
    /** A peer reported its evacuations, which may be older than those that this gateway knows. */
    virtual void evacuationsOffered(const std::vector<GatewayEvacuation> &evacuations, const InstanceId &by) = 0;
};

/** What this gateway knows and may send to its peers. */
struct SharedKnowledge
{
    std::string configuration;
    Revision configurationRevision = 0;
    TargetList targets;
    EvacuationList evacuations;

    /** The position of the store up to which everything is known that a watch reports. */
    Revision completeUpTo() const;
};

/** Sends to and receives from all peers. */
class GatewayPeers
{
public:
    /** All references outlive this. */
    GatewayPeers(GatewayContext &context, Incarnation incarnation, SharedKnowledge &known, PeerUpdates &updates);
    ~GatewayPeers();
    GatewayPeers(const GatewayPeers &) = delete;
    GatewayPeers &operator=(const GatewayPeers &) = delete;

    /** @throws Error(Step::Listen, address, ...) */
    void listen();
    /** Sends the next reports with the next tick, because something changed that peers act on. */
    void reportSoon();
    void tick(Millis now);
    /** Bytes sent to peers so far. */
    std::uint64_t sentBytes() const;
    /** Returns the number of connections to and from peers. */
    std::size_t connectionCount() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
