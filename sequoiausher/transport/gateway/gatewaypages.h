#pragma once

// The pages of a gateway that are not for callers: whether it is ready, and its metrics.
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

    /** @param readyAddress where readinessPath is asked for. @param metricsAddress empty for no metrics. */
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
