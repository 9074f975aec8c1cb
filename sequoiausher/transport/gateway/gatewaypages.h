#pragma once

// Serves the readiness and the metrics page of a gateway.
//
//     GatewayPages pages(settings, dialect.readinessPath(), isReady, metricsPage);
//     pages.listen();

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
                 IsReady isReady,
                 MetricsPage metricsPage);
    ~GatewayPages();
    GatewayPages(const GatewayPages &) = delete;
    GatewayPages &operator=(const GatewayPages &) = delete;

    /** Throws Error(Step::Listen, address, ...). */
    void listen();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
