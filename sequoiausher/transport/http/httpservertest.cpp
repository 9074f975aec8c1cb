#include "sequoiausher/transport/http/httpserver.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/http/testloop.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;
using namespace Sequoiausher::Internal;

namespace {

constexpr int patienceMs = 5000;

/** Collects the exchanges, which the test answers. */
class Keeper : public HttpHandler
{
public:
    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        this->kept.push_back(std::move(exchange));
    }
    std::vector<std::shared_ptr<HttpExchange>> kept;
};

/** A server and a raw connection to it. */
struct Bench
{
    explicit Bench(HttpServerOptions options = {}) : server(keeper, std::move(options))
    {
        testApplication();
        this->server.listen();
        this->connect();
    }

    void connect()
    {
        this->socket.connectToHost(QHostAddress::LocalHost, this->server.port());
        REQUIRE(runUntil([this] { return this->socket.state() == QAbstractSocket::ConnectedState; }));
    }

    std::shared_ptr<HttpExchange> ask(const QByteArray &request)
    {
        const std::size_t before = this->keeper.kept.size();
        this->socket.write(request);
        REQUIRE(runUntil([this, before] { return this->keeper.kept.size() > before; }));
        return this->keeper.kept.back();
    }

    std::string received()
    {
        runUntil([this] { return this->socket.bytesAvailable() > 0; });
        return this->socket.readAll().toStdString();
    }

    bool closes()
    {
        return runUntil([this] { return this->socket.state() == QAbstractSocket::UnconnectedState; });
    }

    Keeper keeper;
    HttpServer server;
    QTcpSocket socket;
};

const QByteArray get = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("an exchange carries the request and its answer")
{
    Bench bench;
    const auto exchange = bench.ask("POST /a%20b?after=5&x=%26 HTTP/1.1\r\nHost: x\r\nX-Class: urgent\r\n"
                                    "Content-Length: 4\r\n\r\nbody");
    CHECK(exchange->method() == "POST");
    CHECK(exchange->path() == "/a b");
    CHECK(exchange->queryItem("after") == "5");
    CHECK(exchange->queryItem("x") == "&");
    CHECK(exchange->headers().value("x-class") == "urgent");
    CHECK(exchange->body() == "body");
    CHECK(exchange->peer().substr(0, 10) == "127.0.0.1:");
    CHECK(bench.server.openExchanges() == 1);

    HttpHeaders headers;
    headers.add("X-Ran", "no");
    headers.add("X-Broken", "a\r\nX-Forged: b");
    exchange->respond(429, headers, "later");
    exchange->respond(200, {}, "twice");
    const std::string answer = bench.received();
    CHECK(answer.substr(0, 12) == "HTTP/1.1 429");
    CHECK(answer.find("X-Ran: no\r\n") != std::string::npos);
    CHECK(answer.find("Forged") == std::string::npos);
    CHECK(answer.substr(answer.size() - 9) == "\r\n\r\nlater");
    CHECK(bench.server.openExchanges() == 0);
    bench.ask(get)->respond(204, {}, "");
    CHECK(bench.received().substr(0, 12) == "HTTP/1.1 204");
}

TEST_CASE("a stream is chunked, and ends whole or is seen broken")
{
    Bench bench;
    auto exchange = bench.ask(get);
    exchange->startStream(200, {});
    CHECK(bench.received().find("Transfer-Encoding: chunked\r\n\r\n") != std::string::npos);
    CHECK(exchange->writeChunk("data: 0123456789\n\n"));
    CHECK(bench.received() == "12\r\ndata: 0123456789\n\n\r\n");
    exchange->endStream();
    CHECK(bench.received() == "0\r\n\r\n");
    CHECK(!exchange->writeChunk("late"));

    exchange = bench.ask(get);
    exchange->startStream(200, {});
    exchange->writeChunk("x");
    exchange->abortStream();
    CHECK(bench.closes());
    const std::string rest = bench.received();
    CHECK(rest.find("1\r\nx\r\n") != std::string::npos);
    CHECK(rest.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a caller that goes away mid-stream is learnt of, and writes do nothing")
{
    // Guards against a crash in QIODevice::write: the caller closes its connection during a stream, QHttpServer deletes
    // the socket, and the next event is written through the responder's dangling pointer.
    Bench bench;
    const auto exchange = bench.ask(get);
    int gone = 0;
    exchange->onClientGone([&gone] { ++gone; });
    exchange->startStream(200, {});
    bench.socket.abort();
    CHECK(runUntil([&gone] { return gone == 1; }));
    CHECK(exchange->isClientGone());
    CHECK(!exchange->writeChunk("x"));
    exchange->endStream();
    exchange->abortStream();
    CHECK(runUntil([&bench] { return bench.server.openConnections() == 0; }));
    CHECK(!exchange->writeChunk("x"));
    CHECK(exchange->bytesToWrite() == 0);
    CHECK(bench.server.openExchanges() == 0);
    CHECK(gone == 1);
}

TEST_CASE("an exchange outlives its server, and one let go unanswered closes its connection")
{
    std::shared_ptr<HttpExchange> exchange;
    int gone = 0;
    {
        Bench bench;
        bench.ask(get);
        bench.keeper.kept.clear();
        CHECK(bench.closes());
        bench.connect();
        exchange = bench.ask(get);
        exchange->onClientGone([&gone] { ++gone; });
        exchange->startStream(200, {});
    }
    CHECK(gone == 0);
    CHECK(!exchange->writeChunk("x"));
    exchange->endStream();
}

TEST_CASE("a slow caller is seen by the bytes that wait, and its draining is told")
{
    Bench bench;
    bench.socket.setReadBufferSize(1024);
    const auto exchange = bench.ask(get);
    exchange->startStream(200, {});
    const std::string block(1U << 20U, 'x');
    bool drained = false;
    runUntil([&] { return !exchange->writeChunk(block) || exchange->bytesToWrite() > (8U << 20U); });
    CHECK(exchange->bytesToWrite() > (8U << 20U));
    exchange->onDrained(1U << 20U, [&drained] { drained = true; });
    CHECK(!drained);
    bench.socket.setReadBufferSize(0);
    CHECK(runUntil([&] {
        bench.socket.readAll();
        return drained;
    }));
    CHECK(exchange->bytesToWrite() <= (1U << 20U));
}

TEST_CASE("a request above the limit is refused without being kept")
{
    // Guards against unbounded memory: a caller sends an endless body, and QHttpServer buffers it.
    Bench bench({.maximumRequestBytes = 100000});
    bench.socket.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n");
    bench.socket.write(QByteArray(300000, 'x'));
    CHECK(bench.received().substr(0, 12) == "HTTP/1.1 413");
    CHECK(bench.keeper.kept.empty());
    CHECK(bench.closes());
}

TEST_CASE("malformed requests neither stop the server nor are taken for others")
{
    const std::vector<QByteArray> requests{
        "GARBAGE\r\n\r\n",
        QByteArray("\0\0\xff\xfe\r\n\r\n", 8),
        "GET /%zz?a=%zz#x HTTP/9.9\r\n\r\n",
        "GET http://[::bad HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9223372036854775807\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nabc\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n: empty\r\n\r\n",
        QByteArray("GET / HTTP/1.1\r\nX: ") + QByteArray(100000, 'y'),
    };
    Bench bench;
    for (const QByteArray &request : requests) {
        QTcpSocket raw;
        raw.connectToHost(QHostAddress::LocalHost, bench.server.port());
        runUntil([&raw] { return raw.state() == QAbstractSocket::ConnectedState; });
        raw.write(request);
        runUntil([&raw] { return raw.state() == QAbstractSocket::UnconnectedState; }, 50);
        for (const auto &exchange : bench.keeper.kept) {
            CHECK(exchange->path() != "/smuggled");
            exchange->respond(400, {}, "");
        }
        bench.keeper.kept.clear();
        raw.abort();
    }
    bench.ask(get)->respond(200, {}, "");
    CHECK(bench.received().substr(0, 12) == "HTTP/1.1 200");
}

TEST_CASE("a pipelined request is not handled, and the connection closes after the first answer")
{
    Bench bench;
    const auto exchange = bench.ask(get + "POST /second HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    runFor(30);
    exchange->respond(200, {}, "");
    CHECK(bench.received().find("Connection: close\r\n") != std::string::npos);
    CHECK(bench.closes());
    CHECK(bench.keeper.kept.size() == 1);
}

TEST_CASE("a graceful stop takes waiting connections, ends streams whole and closes")
{
    // Guards against a planned stop that breaks requests: callers connect just before the listener closes, and the
    // kernel resets the connections in its accept queue.
    Bench bench;
    const auto exchange = bench.ask(get);
    exchange->startStream(200, {});
    QTcpSocket waiting;
    waiting.connectToHost(QHostAddress::LocalHost, bench.server.port());
    REQUIRE(waiting.waitForConnected(patienceMs));
    waiting.write(get);
    bench.server.stopAccepting();

    REQUIRE(runUntil([&bench] { return bench.keeper.kept.size() == 2; }));
    bench.keeper.kept.back()->respond(200, {}, "");
    CHECK(runUntil([&waiting] { return waiting.state() == QAbstractSocket::UnconnectedState; }));
    CHECK(waiting.readAll().contains("Connection: close\r\n"));
    CHECK(exchange->writeChunk("x"));
    bench.server.closeIdleConnections();
    CHECK(exchange->writeChunk("y"));
    exchange->endStream();
    CHECK(bench.closes());
    CHECK(bench.received().find("0\r\n\r\n") != std::string::npos);
    CHECK(bench.server.openExchanges() == 0);

    QTcpSocket late;
    late.connectToHost(QHostAddress::LocalHost, bench.server.port());
    CHECK(!late.waitForConnected(1000));
}

TEST_CASE("a slow caller gets its answer whole during a graceful stop")
{
    // Guards against answers that are cut off when routers are replaced: the stream has ended, and its connection is
    // closed after a fixed time although the caller is still reading.
    constexpr std::size_t bytes = std::size_t{24} << 20U;
    Bench bench;
    bench.socket.setReadBufferSize(1024);
    const auto exchange = bench.ask(get);
    bench.server.stopAccepting();
    exchange->startStream(200, {});
    exchange->writeChunk(std::string(bytes, 'x'));
    exchange->endStream();
    runFor(2500);
    CHECK(bench.server.openExchanges() == 0);
    CHECK(bench.server.openConnections() == 1);
    bench.socket.setReadBufferSize(0);
    std::string all;
    CHECK(runUntil([&] {
        all += bench.socket.readAll().toStdString();
        return bench.socket.state() == QAbstractSocket::UnconnectedState;
    }));
    all += bench.socket.readAll().toStdString();
    CHECK(all.size() > bytes);
    CHECK(all.substr(all.size() - 5) == "0\r\n\r\n");
    CHECK(runUntil([&bench] { return bench.server.openConnections() == 0; }));
}

TEST_CASE("two servers share a port only where both ask for it")
{
    testApplication();
    Keeper keeper;
    HttpServer first(keeper, {.sharePort = true});
    first.listen();
    HttpServer second(keeper, {.port = first.port(), .sharePort = true});
    second.listen();
    HttpServer third(keeper, {.port = first.port()});
    CHECK_THROWS_AS(third.listen(), Error);
    HttpServer named(keeper, {.address = "localhost"});
    CHECK_THROWS_AS(named.listen(), Error);
}

TEST_CASE("a request that does not arrive whole in time is refused")
{
    // Guards against connections that pile up until nobody can connect: callers send the head of a request byte by byte
    // or stop in the middle, and nothing limits the time to receive it.
    Bench bench(HttpServerOptions{.requestTimeout = Millis{200}});
    bench.socket.write("POST /x HTTP/1.1\r\nHost: x\r\nContent-Le");
    const std::string answer = bench.received();
    CHECK(answer.find("HTTP/1.1 408") == 0);
    CHECK(answer.find("X-Ran: no") != std::string::npos);
    CHECK(bench.closes());
    CHECK(bench.keeper.kept.empty());
}

// Guards against a connection that ends without a word at the end of a stop, while its request is still on its way.
TEST_CASE("a partly read request is refused when a stop can't wait for it")
{
    Bench bench;
    bench.socket.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo");
    runFor(50);
    bench.server.stopAccepting();
    bench.server.closeIdleConnections();
    bench.server.refuseIncomplete();
    const std::string answer = bench.received();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("X-Ran: unknown\r\n") != std::string::npos);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    // The rest is read and not handled, so that no reset takes the answer back.
    bench.socket.write("dy");
    CHECK(bench.closes());
    CHECK(bench.keeper.kept.empty());
}

TEST_CASE("a connection without a request is closed, one with an exchange is kept")
{
    // Guards against idle connections that hold descriptors and memory forever.
    Bench bench(HttpServerOptions{.requestTimeout = Millis{150}, .idleTimeout = Millis{300}});
    const auto exchange = bench.ask(get);
    runFor(700);
    REQUIRE(bench.socket.state() == QAbstractSocket::ConnectedState);
    exchange->respond(200, {}, "whole");
    CHECK(bench.received().find("whole") != std::string::npos);
    // Not at once, although the exchange took longer, since the caller's next request may be in transit.
    runFor(100);
    CHECK(bench.socket.state() == QAbstractSocket::ConnectedState);
    CHECK(bench.closes());
}

TEST_CASE("beyond the most connections a request is refused and not handled")
{
    // Guards against an instance that runs out of descriptors and memory since connections are not limited.
    Bench bench(HttpServerOptions{.maximumConnections = 1});
    bench.ask(get);
    QTcpSocket second;
    second.connectToHost(QHostAddress::LocalHost, bench.server.port());
    second.write(get);
    REQUIRE(runUntil([&second] { return second.bytesAvailable() > 0; }));
    const std::string answer = second.readAll().toStdString();
    CHECK(answer.find("HTTP/1.1 503") == 0);
    CHECK(answer.find("X-Ran: no") != std::string::npos);
    CHECK(answer.find("Retry-After: 1") != std::string::npos);
    CHECK(bench.keeper.kept.size() == 1);
}

// Guards against clients that open connections and leave them: nobody else would get one.
TEST_CASE("beyond the most connections the one that has not moved for longest makes room")
{
    Bench bench(HttpServerOptions{.maximumConnections = 2});
    QTcpSocket second;
    second.connectToHost(QHostAddress::LocalHost, bench.server.port());
    REQUIRE(runUntil([&] { return bench.server.openConnections() == 2; }));
    QTcpSocket third;
    third.connectToHost(QHostAddress::LocalHost, bench.server.port());
    third.write(get);
    REQUIRE(runUntil([&] { return bench.keeper.kept.size() == 1; }));
    CHECK(runUntil([&] { return bench.socket.state() == QAbstractSocket::UnconnectedState; }));
    CHECK(second.state() == QAbstractSocket::ConnectedState);
    CHECK(bench.server.yieldedConnections() == 1);
}

// Guards against a process that is killed for its memory since each of many requests is within the limit for one.
TEST_CASE("parts of requests beyond the memory for all are refused, those that hold most and move least first")
{
    Bench bench(HttpServerOptions{.maximumHeldBytes = 300000});
    bench.socket.write(QByteArray("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n")
                       + QByteArray(100000, 'x'));
    Internal::runFor(100);
    QTcpSocket second;
    second.connectToHost(QHostAddress::LocalHost, bench.server.port());
    second.write(QByteArray("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 80000\r\n\r\n") + QByteArray(80000, 'x'));
    REQUIRE(runUntil([&] { return bench.keeper.kept.size() == 1; }));
    CHECK(runUntil([&] { return bench.socket.state() == QAbstractSocket::UnconnectedState; }));
    const std::string answer = bench.socket.readAll().toStdString();
    CHECK(answer.find("HTTP/1.1 503") == 0);
    CHECK(answer.find("X-Ran: unknown") != std::string::npos);
}

// Guards against answers that pile up for a caller that reads none of them.
TEST_CASE("a caller that has not taken its last answer gets one more, and no further one on the connection")
{
    Bench bench(HttpServerOptions{});
    bench.socket.setReadBufferSize(1024);
    bench.socket.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, 4096);
    bench.ask(get);
    REQUIRE(runUntil([&] { return bench.keeper.kept.size() == 1; }));
    bench.keeper.kept[0]->respond(200, {}, std::string(std::size_t{8} << 20U, 'a'));
    bench.ask(get);
    REQUIRE(runUntil([&] { return bench.keeper.kept.size() == 2; }));
    bench.keeper.kept[1]->respond(200, {}, "second");
    bench.socket.write(get);
    Internal::runFor(200);
    CHECK(bench.keeper.kept.size() == 2);
}
