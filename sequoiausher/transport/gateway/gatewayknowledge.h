#pragma once

// What one gateway knows of configuration and targets, as its store and its peers tell it: which word is newer, what
// it proves, and what is kept though a store that came back from a copy has it otherwise.
//
//     GatewayKnowledge knowledge(context, user);
//     StoreWatcher watcher(dialect, address, times, linkMbps, log, knowledge.storeListener());
//     GatewayPeers peers(context, incarnation, knowledge.firstHand(), knowledge.peerNews());

#include "sequoiausher/transport/gateway/gatewaycontext.h"
#include "sequoiausher/transport/gateway/gatewaypeers.h"
#include "sequoiausher/transport/gateway/storewatcher.h"

#include <cstdint>
#include <memory>

namespace Sequoiausher {

/** Hears when more is known. */
class KnowledgeUser
{
public:
    virtual ~KnowledgeUser() = default;
    /** A configuration, a list of targets or a proof has come. */
    virtual void knowledgeGrew() = 0;
    /** The store's answers and peers have reached that era. */
    virtual void storeEraRose(std::uint64_t era) = 0;
};

/** Not thread-safe. */
class GatewayKnowledge
{
public:
    /** Both outlive it. */
    GatewayKnowledge(GatewayContext &context, KnowledgeUser &user);
    ~GatewayKnowledge();
    GatewayKnowledge(const GatewayKnowledge &) = delete;
    GatewayKnowledge &operator=(const GatewayKnowledge &) = delete;

    FirstHand &firstHand();
    StoreListener &storeListener();
    PeerNews &peerNews();
    /** Lets go of entries that did not come back in time. */
    void tick(Millis now);
    /** The newest era of the store that is known of; 0 before the first. */
    std::uint64_t storeEra() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
