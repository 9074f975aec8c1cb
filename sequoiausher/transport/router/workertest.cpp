#include "sequoiausher/transport/router/worker.h"

#include "sequoiausher/transport/http/httpclient.h"
#include "sequoiausher/transport/http/testloop.h"

#include <QHostAddress>
#include <QTcpSocket>

#include <doctest/doctest.h>

#include <map>

using namespace Sequoiausher;
using namespace Sequoiausher::Internal;

namespace {

constexpr Incarnation firstLife = 5;
// The key is "key-kentekenlab".
const std::string organisations
    = "[organisation kentekenlab]\nkey_sha256 = 00e747ae951e21afe189067c551bc41e2811281bcec6cb923d5c69b0eed6d8e1\n";
const std::string instances
    = "[instance r1]\naddress = 127.0.0.1:1\npeer_address = 127.0.0.1:2\ndata_centre = a\nfirst_start = 5\n";
const std::string rules = "[rule all]\nthen.pool = plates\n";

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
        if (exchange->path() == "/v1/documents") {
            exchange->respond(200, {}, this->list());
        } else if (exchange->path().starts_with(prefix)) {
            exchange->respond(200, {{{"X-Revision", "1"}}}, this->documents[exchange->path().substr(prefix.size())]);
        } else if (exchange->path() == "/v1/chat/completions" && this->wholeBytes > 0) {
            const std::string id(exchange->headers().value("X-Request-Id"));
            const std::string body = "chatcmpl-" + id + std::string(this->wholeBytes, '.');
            exchange->respond(200, {{{"X-Request-Id", id}, {"Content-Type", "application/json"}}}, body);
        } else if (exchange->path() == "/v1/chat/completions") {
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
    /** Where set, chats are answered at once by a whole body of about so many bytes. */
    std::size_t wholeBytes = 0;

private:
    HttpServer server;
    std::string answerOf;
    std::vector<std::shared_ptr<HttpExchange>> held;
};

RouterSettings settingsWith(const Surroundings &surroundings)
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

/** A client's streamed chat through one worker; counts the tokens that came. */
class Caller
{
public:
    /** @param key the idempotency key; empty for none. */
    Caller(HttpClient &client, const Worker &worker, const std::string &key = "k1")
    {
        HttpRequest request{
            "POST", "http://127.0.0.1:" + std::to_string(worker.port()) + "/v1/chat/completions", {}, {}};
        request.headers.add("Authorization", "Bearer key-kentekenlab");
        if (!key.empty()) {
            request.headers.add("Idempotency-Key", key);
        }
        request.body = R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})";
        HttpCallbacks callbacks;
        callbacks.onHead = [this](int code, const HttpHeaders &) { this->status = code; };
        callbacks.onData = [this](std::string_view bytes) { this->text.append(bytes); };
        this->call = client.send(request, RequestOptions{}, std::move(callbacks));
    }

    bool hasToken(int offset) const
    {
        return this->text.find("\"offset\":" + std::to_string(offset)) != std::string::npos;
    }

    int status = 0;
    std::string text;
    std::shared_ptr<HttpCall> call;
};

} // namespace

// Guards against a crash during a planned stop. A retry follows the running answer of the first attempt on another
// worker, and its own worker stops first. If the reader stays in the table of answers, the next wake-up posts to the
// loop of a thread that has ended.
TEST_CASE("a worker stops while one of its requests follows an answer of another worker")
{
    Surroundings surroundings;
    const Log log(LogSettings{});
    Metrics metrics;
    Node node(settingsWith(surroundings), firstLife, log, metrics);
    node.start();
    Worker first(node, log, metrics, HttpServerOptions{}, 1);
    auto second = std::make_unique<Worker>(node, log, metrics, HttpServerOptions{}, 2);
    first.start();
    second->start();
    REQUIRE(runUntil([&] { return node.isReady(); }));

    HttpClient client{HttpClientOptions{}};
    const Caller original(client, first);
    REQUIRE(runUntil([&] { return original.hasToken(0); }));
    const Caller retry(client, *second);
    REQUIRE(runUntil([&] { return retry.hasToken(0); }));
    second.reset();
    surroundings.writeToken(1);
    CHECK(runUntil([&] { return original.hasToken(1); }));
    CHECK(!retry.hasToken(1));
    first.stop();
}

// Guards against keeping answers for a shorter time than configured, because answers of requests without a key fill the
// table.
TEST_CASE("only the answers of keyed requests are kept")
{
    Surroundings surroundings;
    const Log log(LogSettings{});
    Metrics metrics;
    Node node(settingsWith(surroundings), firstLife, log, metrics);
    node.start();
    Worker worker(node, log, metrics, HttpServerOptions{}, 1);
    worker.start();
    REQUIRE(runUntil([&] { return node.isReady(); }));

    HttpClient client{HttpClientOptions{}};
    const Caller withoutKey(client, worker, "");
    REQUIRE(runUntil([&] { return withoutKey.hasToken(0); }));
    CHECK(node.answers().count() == 0);
    CHECK(node.answers().usedBytes() == 0);
    const Caller withKey(client, worker);
    REQUIRE(runUntil([&] { return withKey.hasToken(0); }));
    CHECK(node.answers().count() == 1);
    worker.stop();
}

namespace {

/** A caller that takes its answer as slowly as the test wants, and may send its request in parts. */
class PlainCaller
{
public:
    explicit PlainCaller(const Worker &worker)
    {
        this->socket.connectToHost(QHostAddress::LocalHost, worker.port());
        REQUIRE(runUntil([this] { return this->socket.state() == QAbstractSocket::ConnectedState; }));
    }

    static std::string request()
    {
        const std::string body = R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-kentekenlab\r\n"
               "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
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

/** Stops a worker as a router does: no new connections, a look some time later, and the end once nothing is open. */
bool stopsWithin(Worker &worker, int limitMs)
{
    constexpr int beforeFirstLookMs = 200;
    runFor(beforeFirstLookMs);
    const bool isOver = runUntil([&worker] { return worker.openRequests() == 0; }, limitMs);
    if (isOver) {
        worker.stop();
    }
    return isOver;
}

} // namespace

// Guards against losing the end of a long answer at a planned stop. The answer waits in the process because its caller
// reads it slowly, and nothing else is open.
TEST_CASE("a worker is not over while a caller still takes its answer")
{
    constexpr std::size_t bytes = std::size_t{16} << 20U;
    Surroundings surroundings;
    surroundings.wholeBytes = bytes;
    const Log log(LogSettings{});
    Metrics metrics;
    Node node(settingsWith(surroundings), firstLife, log, metrics);
    node.start();
    Worker worker(node, log, metrics, HttpServerOptions{}, 1);
    worker.start();
    REQUIRE(runUntil([&] { return node.isReady(); }));

    PlainCaller caller(worker);
    caller.socket.setReadBufferSize(1024);
    caller.send(PlainCaller::request());
    REQUIRE(runUntil([&] { return caller.socket.bytesAvailable() > 0; }));
    worker.stopAccepting();
    CHECK_FALSE(stopsWithin(worker, 500));
    const std::string answer = caller.readAll();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.size() > bytes);
    CHECK(stopsWithin(worker, 2000));
}

// Guards against a request that gets neither an answer nor a refusal at a planned stop, because only a part of it has
// arrived.
TEST_CASE("a worker is not over while a request is being read")
{
    Surroundings surroundings;
    surroundings.wholeBytes = 1;
    const Log log(LogSettings{});
    Metrics metrics;
    Node node(settingsWith(surroundings), firstLife, log, metrics);
    node.start();
    Worker worker(node, log, metrics, HttpServerOptions{}, 1);
    worker.start();
    REQUIRE(runUntil([&] { return node.isReady(); }));

    PlainCaller unused(worker);
    PlainCaller caller(worker);
    const std::string request = PlainCaller::request();
    caller.send(request.substr(0, request.size() - 1));
    runFor(100);
    worker.stopAccepting();
    CHECK_FALSE(stopsWithin(worker, 500));
    CHECK(unused.socket.state() == QAbstractSocket::UnconnectedState);
    caller.send(request.substr(request.size() - 1));
    CHECK(caller.readAll().starts_with("HTTP/1.1 200"));
    CHECK(stopsWithin(worker, 2000));
}

TEST_CASE("what is asked of a worker after its end has no effect")
{
    Surroundings surroundings;
    const Log log(LogSettings{});
    Metrics metrics;
    Node node(settingsWith(surroundings), firstLife, log, metrics);
    Worker worker(node, log, metrics, HttpServerOptions{}, 1);
    worker.stopAccepting();
    worker.start();
    worker.stop();
    worker.stopAccepting();
    worker.stop();
    CHECK(worker.openRequests() == 0);
}
