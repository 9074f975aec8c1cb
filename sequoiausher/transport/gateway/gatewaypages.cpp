#include "sequoiausher/transport/gateway/gatewaypages.h"

#include "sequoiausher/base/metrics/prometheus.h"
#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/peers/peeraddress.h"

#include <utility>

namespace Sequoiausher {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr const char *metricsPath = "/metrics";

/** A question for a page has a short head and no body, and comes at once. */
constexpr std::size_t maxQuestionBytes = 16384;
constexpr Millis questionTimeout{5000};
constexpr Millis idleTimeout{30000};

HttpServerOptions optionsOf(const std::string &address, const ConnectionMemory &memory)
{
    const PeerAddress parsed = parsePeerAddress(address);
    HttpServerOptions options;
    options.address = parsed.host;
    options.port = parsed.port;
    options.maximumRequestBytes = maxQuestionBytes;
    options.maximumConnections = memory.maxPageConnections();
    options.maximumHeldBytes = memory.pageBytes();
    options.requestTimeout = questionTimeout;
    options.idleTimeout = idleTimeout;
    options.receiveBytes = maxQuestionBytes;
    return options;
}

} // namespace

class GatewayPages::Private : public HttpHandler
{
public:
    Private(const std::string &readyAddress,
            std::string path,
            const std::string &metricsAddress,
            const ConnectionMemory &memory,
            IsReady ready,
            MetricsPage page)
        : readinessPath(std::move(path))
        , isReady(std::move(ready))
        , metricsPage(std::move(page))
        , readyServer(std::make_unique<HttpServer>(*this, optionsOf(readyAddress, memory)))
    {
        if (!metricsAddress.empty()) {
            this->metricsServer = std::make_unique<HttpServer>(*this, optionsOf(metricsAddress, memory));
        }
    }

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        if (exchange->path() == this->readinessPath) {
            const bool ready = this->isReady();
            exchange->respond(ready ? statusOk : statusUnavailable, {}, ready ? "ready\n" : "not ready\n");
        } else if (exchange->path() == metricsPath) {
            HttpHeaders headers;
            headers.add("Content-Type", prometheusContentType);
            exchange->respond(statusOk, headers, this->metricsPage());
        } else {
            exchange->respond(statusNotFound, {}, "expected " + this->readinessPath + " or " + metricsPath + "\n");
        }
    }

    std::string readinessPath;
    IsReady isReady;
    MetricsPage metricsPage;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<HttpServer> metricsServer;
};

GatewayPages::GatewayPages(const std::string &readyAddress,
                           const std::string &readinessPath,
                           const std::string &metricsAddress,
                           const ConnectionMemory &memory,
                           IsReady isReady,
                           MetricsPage metricsPage)
    : d(std::make_unique<Private>(readyAddress,
                                  readinessPath,
                                  metricsAddress,
                                  memory,
                                  std::move(isReady),
                                  std::move(metricsPage)))
{
}

GatewayPages::~GatewayPages() = default;

void GatewayPages::listen()
{
    this->d->readyServer->listen();
    if (this->d->metricsServer) {
        this->d->metricsServer->listen();
    }
}

std::size_t GatewayPages::yieldedConnections() const
{
    const HttpServer *metrics = this->d->metricsServer.get();
    return this->d->readyServer->yieldedConnections() + (metrics != nullptr ? metrics->yieldedConnections() : 0);
}

} // namespace Sequoiausher
