#pragma once

// Carries tunnels for other gateways: connects to the target that the opener names and passes bytes in both directions.
// It looks at none of them. The opener stays the only one that decides about the request: what it may run on, how
// often, by when, and what its caller is told.
//
// A tunnel goes to targets of this gateway's own list and never through a third gateway, so there are no loops. A
// gateway that does not reach the target either says so at once.
//
//     TunnelServer server(context);
//     server.listen();
//     // every 40 ms: server.tick(now)

#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace Sequoiausher {

/** The tunnels of one gateway. */
class TunnelServer
{
public:
    /** context outlives this. */
    explicit TunnelServer(GatewayContext &context);
    ~TunnelServer();
    TunnelServer(const TunnelServer &) = delete;
    TunnelServer &operator=(const TunnelServer &) = delete;

    /** Listens at the settings' tunnel port; not at all without one. @throws Error(Step::Listen, address, ...) */
    void listen();
    /** Ends tunnels that do not open in time. */
    void tick(Millis now);
    /** Takes no new tunnels, because the gateway stops. */
    void closeListener();
    /** Whether a request may be in progress on any tunnel. */
    bool isBusy(Millis now) const;
    std::size_t tunnelCount() const;
    /** Ends the tunnel for want of room. @return the address of its opener; none if there is no such tunnel. */
    std::optional<std::string> yield(ConnectionLedger::Number number);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
