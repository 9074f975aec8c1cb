#pragma once

// Serves the readiness and the metrics page of a gateway.
//
//     GatewayPages pages(settings.readyAddress, dialect.readinessPath(), settings.metricsAddress, memory, isReady,
//     page); pages.listen();

#include "sequoiausher/coordination/gateway/connectionmemory.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Sequoiausher {

/** Serves the pages. */
class GatewayPages
{
public:
    using IsReady = std::function<bool()>;
    using MetricsPage = std::function<std::string()>;

    /** @param readyAddress where readinessPath is served. @param metricsAddress empty for no metrics page. */
    GatewayPages(const std::string &readyAddress,
                 const std::string &readinessPath,
                 const std::string &metricsAddress,
                 const ConnectionMemory &memory,
                 IsReady isReady,
                 MetricsPage metricsPage);
    ~GatewayPages();
    GatewayPages(const GatewayPages &) = delete;
    GatewayPages &operator=(const GatewayPages &) = delete;

    /** Throws Error(Step::Listen, address, ...). */
    void listen();
    /** Returns the connections to both pages that were closed because there was no room for them. */
    std::size_t yieldedConnections() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
