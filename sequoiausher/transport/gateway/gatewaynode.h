#pragma once

// A gateway: accepts callers' requests on the routes of the platform's configuration and sends each to a target of the
// route's service. Runs on the event loop of one thread.
//
//     GatewayNode node(dialect, settings, log, [] { QCoreApplication::quit(); });
//     node.start();
//     node.stop();        // finishes the requests in progress first

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/protocol/gateway/gatewaydialect.h"
#include "sequoiausher/protocol/settings/gatewaysettings.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace Sequoiausher {

/** The memory that the requests of a gateway hold. */
struct HeldMemory
{
    /** In bytes. */
    std::size_t bodies = 0;
    std::size_t answers = 0;
    std::size_t waitingBodies = 0;
};

/** One gateway. */
class GatewayNode
{
public:
    /** dialect and log outlive this. @param stopped called once at the end of a planned stop. */
    GatewayNode(const GatewayDialect &dialect,
                const GatewaySettings &settings,
                const Log &log,
                std::function<void()> stopped);
    ~GatewayNode();
    GatewayNode(const GatewayNode &) = delete;
    GatewayNode &operator=(const GatewayNode &) = delete;

    /** Listens and starts to read the store. @throws Error if an address is not available or the rules are invalid. */
    void start();
    /** Applies new settings and reads the rules again. Invalid rules are logged, and the last valid ones stay in force.
     */
    void reload(const GatewaySettings &settings);
    /** Begins a planned stop. */
    void stop();
    /** Whether callers should be sent here. */
    bool isReady() const;
    /** Returns what requests hold now. */
    HeldMemory heldMemory() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
