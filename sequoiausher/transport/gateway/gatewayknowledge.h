#pragma once

// The configuration, targets and evacuations that one gateway knows from the store and from its peers. Decides which
// information is newer, what it proves, and what is kept although a store that was restored from a copy differs.
//
//     GatewayKnowledge knowledge(context, user);
//     StoreWatcher watcher(dialect, address, times, linkMbps, log, knowledge.storeListener());
//     GatewayPeers peers(context, incarnation, knowledge.sharedKnowledge(), knowledge.peerUpdates());

#include "sequoiausher/transport/gateway/gatewaycontext.h"
#include "sequoiausher/transport/gateway/gatewaypeers.h"
#include "sequoiausher/transport/gateway/storewatcher.h"

#include <cstdint>
#include <memory>

namespace Sequoiausher {

/** Is notified of new knowledge. */
class KnowledgeUser
{
public:
    virtual ~KnowledgeUser() = default;
    /** A configuration, a list of targets or a proof has arrived. */
    virtual void knowledgeChanged() = 0;
    /** The store or a peer has reported a later era. */
    virtual void storeEraChanged(std::uint64_t era) = 0;
};

/** Not thread-safe. */
class GatewayKnowledge
{
public:
    /** Both outlive this. */
    GatewayKnowledge(GatewayContext &context, KnowledgeUser &user);
    ~GatewayKnowledge();
    GatewayKnowledge(const GatewayKnowledge &) = delete;
    GatewayKnowledge &operator=(const GatewayKnowledge &) = delete;

    SharedKnowledge &sharedKnowledge();
    StoreListener &storeListener();
    PeerUpdates &peerUpdates();
    /** Removes targets and evacuations that did not come back in time after an outage. */
    void tick(Millis now);
    /** The latest known era of the store; 0 before the first answer. */
    std::uint64_t storeEra() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
