#pragma once

// What a router's test needs around it: the configuration service, an engine, and a caller.
//
//     Surroundings surroundings;
//     Node node(settingsWith(surroundings), incarnation, log, metrics);

#include "sequoiausher/protocol/settings/routersettings.h"
#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/http/testloop.h"

#include <QHostAddress>
#include <QTcpSocket>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher::Internal {

// The key is "key-kentekenlab".
inline const std::string organisations
    = "[organisation kentekenlab]\nkey_sha256 = 00e747ae951e21afe189067c551bc41e2811281bcec6cb923d5c69b0eed6d8e1\n";
inline const std::string instances
    = "[instance r1]\naddress = 127.0.0.1:1\npeer_address = 127.0.0.1:2\ndata_centre = a\nfirst_start = 5\n";
inline const std::string rules = "[rule all]\nthen.pool = plates\n";

/** The configuration service and the one engine, on one port. */
class Surroundings : public HttpHandler
{
public:
    Surroundings() : server(*this, HttpServerOptions{})
    {
        testApplication();
        this->server.listen();
        this->documents = {{"instances", instances}, {"organisations", organisations}, {"rules/fleet", rules}};
        this->documents["targets/plates"]
            = "[pool]\nkind = engine\nmodel = m\n[target t1]\naddress = " + this->address() + "\ndata_centre = a\n";
    }

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        const std::string prefix = "/v1/documents/";
        const bool isChat = exchange->path() == "/v1/chat/completions";
        this->chats += isChat ? 1 : 0;
        if (exchange->path() == "/v1/documents") {
            exchange->respond(200, {}, this->list());
        } else if (exchange->path().starts_with(prefix)) {
            exchange->respond(200, {{{"X-Revision", "1"}}}, this->documents[exchange->path().substr(prefix.size())]);
        } else if (isChat && !this->holdsChats && this->wholeBytes > 0) {
            const std::string id(exchange->headers().value("X-Request-Id"));
            const std::string body = "chatcmpl-" + id + std::string(this->wholeBytes, '.');
            exchange->respond(200, {{{"X-Request-Id", id}, {"Content-Type", "application/json"}}}, body);
        } else if (isChat && !this->holdsChats) {
            this->answerOf = std::string(exchange->headers().value("X-Request-Id"));
            exchange->startStream(200, {{{"X-Request-Id", this->answerOf}, {"Content-Type", "text/event-stream"}}});
            this->stream = exchange;
            this->writeToken(0);
        } else if (exchange->path() == "/load") {
            exchange->respond(404, {}, "");
        } else {
            this->held.push_back(exchange);
        }
    }

    std::string list() const
    {
        std::string names;
        for (const auto &document : this->documents) {
            names += (names.empty() ? "" : ",") + std::string(R"({"revision":1,"name":")") + document.first + "\"}";
        }
        return R"({"revision":1,"documents":[)" + names + "]}";
    }

    void writeToken(int offset)
    {
        this->stream->writeChunk(R"(data: {"id":"chatcmpl-)" + this->answerOf + R"(","offset":)"
                                 + std::to_string(offset) + R"(,"choices":[{"delta":{"content":"t"}}]})" + "\n\n");
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->server.port());
    }

    std::map<std::string, std::string> documents;
    std::shared_ptr<HttpExchange> stream;
    /** How many chats came. */
    std::size_t chats = 0;
    /** Where set, chats stay without an answer. */
    bool holdsChats = false;
    /** Where set, chats are answered at once by a whole body of about so many bytes. */
    std::size_t wholeBytes = 0;

private:
    HttpServer server;
    std::string answerOf;
    std::vector<std::shared_ptr<HttpExchange>> held;
};

inline RouterSettings settingsWith(const Surroundings &surroundings)
{
    RouterSettings settings;
    settings.name = InstanceId{"r1"};
    settings.dataCentre = DataCentreId{"a"};
    settings.peerAddress = "127.0.0.1:0";
    settings.platform.addresses = {surroundings.address()};
    settings.claims.witnesses = 1;
    settings.claims.quorum = 1;
    return settings;
}

/** A caller that takes its answer as slowly as the test wants, and may send its request in parts. */
class PlainCaller
{
public:
    explicit PlainCaller(std::uint16_t port)
    {
        this->socket.connectToHost(QHostAddress::LocalHost, port);
        REQUIRE(runUntil([this] { return this->socket.state() == QAbstractSocket::ConnectedState; }));
    }

    /** @param fields further header lines, each with its end. */
    static std::string request(const std::string &fields = "", bool streamed = false)
    {
        const std::string stream = streamed ? R"("stream":true,)" : "";
        const std::string body = R"({"model":"m",)" + stream + R"("messages":[{"role":"user","content":"x"}]})";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-kentekenlab\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    void send(const std::string &bytes)
    {
        this->socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    }
    /** Reads on to the end of the connection. */
    std::string readAll()
    {
        std::string all;
        this->socket.setReadBufferSize(0);
        runUntil([&] {
            all += this->socket.readAll().toStdString();
            return this->socket.state() == QAbstractSocket::UnconnectedState;
        });
        return all + this->socket.readAll().toStdString();
    }

    QTcpSocket socket;
};

} // namespace Sequoiausher::Internal
