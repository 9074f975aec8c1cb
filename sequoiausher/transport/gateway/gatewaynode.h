#pragma once

// A whole gateway: takes callers' requests by the routes of the platform's configuration, and sends each to a target of
// its service. Runs on one thread's event loop.
//
//     GatewayNode node(dialect, settings, log, [] { QCoreApplication::quit(); });
//     node.start();
//     node.stop();        // planned: finishes what it has

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/protocol/gateway/gatewaydialect.h"
#include "sequoiausher/protocol/settings/gatewaysettings.h"

#include <functional>
#include <memory>

namespace Sequoiausher {

/** One gateway. */
class GatewayNode
{
public:
    /** dialect and log outlive it. @param stopped called once when a planned stop is over. */
    GatewayNode(const GatewayDialect &dialect,
                const GatewaySettings &settings,
                const Log &log,
                std::function<void()> stopped);
    ~GatewayNode();
    GatewayNode(const GatewayNode &) = delete;
    GatewayNode &operator=(const GatewayNode &) = delete;

    /** Listens and begins to read the store. Throws Error where an address cannot be had or the rules are wrong. */
    void start();
    /** Takes new settings and reads the rules again; what is wrong is logged, and the last good ones stay. */
    void reload(const GatewaySettings &settings);
    /** Begins a planned stop. */
    void stop();
    /** Whether callers should be sent here. */
    bool isReady() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
