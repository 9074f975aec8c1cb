#include "sequoiausher/transport/router/worker.h"

#include "sequoiausher/transport/http/httpclient.h"
#include "sequoiausher/transport/http/testloop.h"

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

// Symptom: a router crashes during its planned stop, or keeps the bytes of answers that nobody reads any more.
// Events: a retry joins the running answer of the first attempt, on another worker of the same router. The retry's
// worker stops first, while the answer goes on.
// Cause: the request went with its worker, but its reader stayed in the table of answers, whose next wake posted to the
// loop of the thread that had ended.
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

// Symptom: answers are kept for a shorter time than the settings say.
// Events: most requests have no key, and their answers fill the table.
// Cause: answers were kept that nobody can ask for.
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
