// lab-relay: relays between the parts of a lab, and a control port by which a test breaks them.
//
//     lab-relay --port 7300 --map 127.0.0.1:7301=127.0.0.1:7201 --map 127.0.0.1:7302=127.0.0.1:7202
//     ready relay 7300
//     POST /lab/link {"listen": "127.0.0.1:7301", "mode": "pass|cut|silent|one_way|silent_open|delay", "ms": N}
//     GET  /lab/links

#include "lab/relay/relay.h"
#include "lab/support/labhttp.h"
#include "lab/support/labprogram.h"
#include "sequoiausher/base/error.h"

#include <QtCore/QCoreApplication>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

/** One relay, where it leads and how it is set. */
struct ControlledRelay
{
    std::unique_ptr<Relay> relay;
    Endpoint to;
    Link link;
};

/** The calls by which a test sets the relays. */
class RelayControl : public HttpHandler
{
public:
    /** @param mapping ADDRESS:PORT=ADDRESS:PORT. @throws Error. */
    void add(const std::string &mapping)
    {
        const std::size_t equals = mapping.find('=');
        const auto listen = parseEndpoint(mapping.substr(0, equals));
        const auto to = equals == std::string::npos ? std::nullopt : parseEndpoint(mapping.substr(equals + 1));
        if (!listen || !to) {
            throw Error(Step::Settings, mapping, "expected ADDRESS:PORT=ADDRESS:PORT");
        }
        auto relay = std::make_unique<Relay>(*listen, *to);
        const std::string name = toText(relay->listening());
        this->relays.emplace(name, ControlledRelay{std::move(relay), *to, {}});
    }

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        if (exchange->path() == "/lab/links" && exchange->method() == "GET") {
            this->list(*exchange);
        } else if (exchange->path() == "/lab/link" && exchange->method() == "POST") {
            this->set(*exchange);
        } else {
            respondError(*exchange, 404, "unknown path");
        }
    }

private:
    void list(HttpExchange &exchange) const
    {
        QJsonArray links;
        for (const auto &[name, controlled] : this->relays) {
            links.append(QJsonObject{{"listen", QString::fromStdString(name)},
                                     {"to", QString::fromStdString(toText(controlled.to))},
                                     {"mode", QString::fromStdString(std::string(nameOf(controlled.link.mode)))},
                                     {"ms", static_cast<qint64>(controlled.link.delay.count)}});
        }
        respondJson(exchange, 200, {{"links", links}});
    }

    void set(HttpExchange &exchange)
    {
        const QJsonObject wanted = jsonBody(exchange);
        const auto known = this->relays.find(wanted.value("listen").toString().toStdString());
        const auto mode = parseName<LinkMode>(wanted.value("mode").toString().toStdString());
        if (known == this->relays.end() || !mode) {
            respondError(exchange, 400, "expected a known listen address and a mode of " + allNames<LinkMode>());
            return;
        }
        known->second.link = {*mode, Millis{wanted.value("ms").toInteger()}};
        known->second.relay->setLink(known->second.link);
        respondJson(exchange, 200, {});
    }

    std::map<std::string, ControlledRelay> relays;
};

cxxopts::Options commandLine()
{
    cxxopts::Options options("lab-relay", "TCP relays that can be cut, silenced and slowed");
    addTextOption(options, "address", "IP number of the control port", "127.0.0.1");
    addIntegerOption(options, "port", "Control port; 0 picks a free one", 0);
    options.add_options()(
        "map", "LISTEN=TO, each ADDRESS:PORT; repeatable", cxxopts::value<std::vector<std::string>>());
    return options;
}

int run(QCoreApplication &app, const cxxopts::ParseResult &parsed)
{
    RelayControl control;
    if (parsed.count("map") > 0) {
        for (const std::string &mapping : parsed["map"].as<std::vector<std::string>>()) {
            control.add(mapping);
        }
    }
    HttpServer server(
        control,
        {.address = textOption(parsed, "address"), .port = static_cast<std::uint16_t>(integerOption(parsed, "port"))});
    server.listen();
    announceReady("relay", server.port());
    return app.exec();
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, commandLine(), run);
}
