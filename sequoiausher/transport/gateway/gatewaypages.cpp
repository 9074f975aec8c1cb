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

HttpServerOptions optionsOf(const std::string &address)
{
    const PeerAddress parsed = parsePeerAddress(address);
    HttpServerOptions options;
    options.address = parsed.host;
    options.port = parsed.port;
    return options;
}

} // namespace

class GatewayPages::Private : public HttpHandler
{
public:
    Private(const std::string &readyAddress,
            std::string path,
            const std::string &metricsAddress,
            IsReady ready,
            MetricsPage page)
        : readinessPath(std::move(path))
        , isReady(std::move(ready))
        , metricsPage(std::move(page))
        , readyServer(std::make_unique<HttpServer>(*this, optionsOf(readyAddress)))
    {
        if (!metricsAddress.empty()) {
            this->metricsServer = std::make_unique<HttpServer>(*this, optionsOf(metricsAddress));
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
                           IsReady isReady,
                           MetricsPage metricsPage)
    : d(std::make_unique<Private>(readyAddress,
                                  readinessPath,
                                  metricsAddress,
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

} // namespace Sequoiausher
