#include "sequoiausher/transport/router/worker.h"

#include "sequoiausher/transport/http/httpclient.h"
#include "sequoiausher/transport/http/testloop.h"
#include "sequoiausher/transport/router/testsurroundings.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Internal;

namespace {

constexpr Incarnation firstLife = 5;

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

    PlainCaller caller(worker.port());
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

    PlainCaller unused(worker.port());
    PlainCaller caller(worker.port());
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
