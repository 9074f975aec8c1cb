#pragma once

// The gateway's side of what gateways tell each other: sends reports in rounds, keeps what the peers' reports say, and
// carries configuration and targets to those who do not reach the store.
//
//     GatewayPeers peers(context, incarnation, news);
//     peers.listen();
//     // every 40 ms: peers.tick(now)

#include "sequoiausher/coordination/gateway/evacuationlist.h"
#include "sequoiausher/coordination/gateway/targetlist.h"
#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <memory>
#include <string>

namespace Sequoiausher {

/** What peers bring. */
class PeerNews
{
public:
    virtual ~PeerNews() = default;
    /** A peer has a newer configuration. @param raw as it lies in the store. */
    virtual void configurationOffered(const std::string &raw, Revision revision) = 0;
    /** A peer that reaches the store has this list, up to date to revision. */
    virtual void targetsOffered(const std::vector<GatewayTarget> &targets, Revision revision) = 0;
    /** Its list has changed so. */
    virtual void targetChangesOffered(const TargetChanges &changes) = 0;
    /** A peer knows of that era of the store; 0 where it does not tell. */
    virtual void eraOffered(std::uint64_t era, const InstanceId &by) = 0;
    /** A peer's evacuations; they may be older than those of this gateway. */
    virtual void evacuationsOffered(const std::vector<GatewayEvacuation> &evacuations, const InstanceId &by) = 0;
};

/** What this gateway knows at first hand, and may carry to its peers. */
struct FirstHand
{
    std::string configuration;
    Revision configurationRevision = 0;
    TargetList targets;
    EvacuationList evacuations;

    /** The position of the store up to which everything is known that a watch reports. */
    Revision completeUpTo() const;
};

/** Speaks with all peers. */
class GatewayPeers
{
public:
    /** All references outlive it. */
    GatewayPeers(GatewayContext &context, Incarnation incarnation, FirstHand &known, PeerNews &news);
    ~GatewayPeers();
    GatewayPeers(const GatewayPeers &) = delete;
    GatewayPeers &operator=(const GatewayPeers &) = delete;

    /** Throws Error(Step::Listen, address, ...). */
    void listen();
    void tick(Millis now);
    /** Bytes sent to peers so far. */
    std::uint64_t sentBytes() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
