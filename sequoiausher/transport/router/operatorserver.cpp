#include "sequoiausher/transport/router/operatorserver.h"

#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/peers/peeraddress.h"
#include "sequoiausher/transport/router/operatorpages.h"
#include "sequoiausher/transport/router/statuspage.h"

#include <QCryptographicHash>

namespace Sequoiausher {

namespace {

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusWrongMethod = 405;
constexpr std::string_view bearer = "Bearer ";

/** Operators ask short questions, each over a connection of its own or one that is kept. */
constexpr std::size_t maxQuestionBytes = 65536;
constexpr std::size_t maxOperatorConnections = 256;
constexpr std::size_t maxOperatorHeldBytes = std::size_t{16} << 20U;

HttpServerOptions serverOptions(const Node &node)
{
    const PeerAddress address = parsePeerAddress(node.settings().operators.address);
    HttpServerOptions options;
    options.address = address.host;
    options.port = address.port;
    options.maximumRequestBytes = maxQuestionBytes;
    options.maximumConnections = maxOperatorConnections;
    options.maximumHeldBytes = maxOperatorHeldBytes;
    return options;
}

} // namespace

class OperatorServer::Private : public HttpHandler
{
public:
    Private(const Node &theNode, const Metrics &theMetrics, const Log &theLog, std::function<void()> whenOrdered)
        : node(theNode)
        , metrics(theMetrics)
        , log(theLog)
        , onDrain(std::move(whenOrdered))
        , server(*this, serverOptions(theNode))
    {
    }

    void handle(std::shared_ptr<HttpExchange> exchange) override;
    void drain(HttpExchange &exchange);
    bool hasToken(const HttpExchange &exchange) const;

    const Node &node;
    const Metrics &metrics;
    const Log &log;
    std::function<void()> onDrain;
    HttpServer server;
};

void OperatorServer::Private::handle(std::shared_ptr<HttpExchange> exchange)
{
    HttpHeaders headers;
    headers.add("Content-Type", "application/json");
    if (exchange->path() == "/drain") {
        this->drain(*exchange);
    } else if (exchange->method() != "GET") {
        exchange->respond(statusWrongMethod, {}, "expected GET\n");
    } else if (exchange->path() == "/documents") {
        exchange->respond(statusOk, headers, documentsJson(this->node.documents()));
    } else if (!answerOperatorPage(*exchange, this->node, this->metrics)) {
        exchange->respond(statusNotFound, {}, "expected /status, /metrics, /report, /documents or /drain\n");
    }
}

void OperatorServer::Private::drain(HttpExchange &exchange)
{
    if (exchange.method() != "POST") {
        exchange.respond(statusWrongMethod, {}, "expected POST\n");
        return;
    }
    if (!this->hasToken(exchange)) {
        this->log.warning(LogPart::Main, "an order to drain came without the token", {{"peer", exchange.peer()}});
        exchange.respond(statusUnauthorized, {}, "expected the token as Authorization: Bearer TOKEN\n");
        return;
    }
    this->log.info(LogPart::Main, "an operator orders to drain", {{"peer", exchange.peer()}});
    // The answer goes out first: the stop closes idle connections.
    exchange.respond(statusAccepted, {}, "draining\n");
    this->onDrain();
}

bool OperatorServer::Private::hasToken(const HttpExchange &exchange) const
{
    const std::string &expected = this->node.settings().operators.tokenSha256;
    if (expected.empty()) {
        return true;
    }
    const std::string_view value = exchange.headers().value("Authorization");
    if (value.substr(0, bearer.size()) != bearer) {
        return false;
    }
    const std::string_view token = value.substr(bearer.size());
    const QByteArray bytes(token.data(), static_cast<qsizetype>(token.size()));
    return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString() == expected;
}

OperatorServer::OperatorServer(const Node &node, const Metrics &metrics, const Log &log, std::function<void()> onDrain)
    : d(std::make_unique<Private>(node, metrics, log, std::move(onDrain)))
{
}

OperatorServer::~OperatorServer() = default;

void OperatorServer::listen()
{
    this->d->server.listen();
}

std::uint16_t OperatorServer::port() const
{
    return this->d->server.port();
}

} // namespace Sequoiausher
