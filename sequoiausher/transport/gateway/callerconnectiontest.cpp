#include "sequoiausher/transport/gateway/callerconnection.h"

#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <QTimer>

#include <chrono>
#include <thread>

#include <doctest/doctest.h>

#include <sys/socket.h>

// Most of these tests guard against a request that may run only once and gets neither an answer nor a refusal, because
// it crosses the close of its connection. An answer may reach its caller seconds after the gateway has written it, so
// the gateway counts the idle time from an earlier moment than the caller. If the close reads on, the request is read
// and discarded, and its caller cannot tell whether it ran. Bytes that nobody has read are answered by the kernel with
// a reset, which shows that the request did not run.

using namespace Sequoiausher;

namespace {

constexpr Millis soon{700};

/** A gateway whose callers may leave connections idle for so long, with a target that answers each request. */
struct Bed : GatewayTestbed
{
    explicit Bed(Millis idleTime) : target(addTarget("t1", "desk"))
    {
        this->target.answers = [](FakeRequest &request) { request.reply("200 OK", "ok"); };
        this->publishLimit(1, idleTime);
        this->start();
    }

    void publishLimit(int version, Millis idleTime)
    {
        this->publish(configuration(version) + "idle " + std::to_string(idleTime.count) + "\n");
    }
    bool isAnswered(CrossingCaller &caller)
    {
        return waitFor([&caller] { return caller.look(); }, soon);
    }
    /** Sends a request and waits for its answer. */
    bool ask(CrossingCaller &caller)
    {
        caller.send(this->request("GET", "/look/1"));
        return this->isAnswered(caller) && caller.status == 200;
    }
    bool hasLogged(const std::string &text) const
    {
        return this->logged.str().find(text) != std::string::npos;
    }

    FakeServer &target;
};

} // namespace

TEST_CASE("a request that crosses the close of an idle connection is left unread, so its caller may send it again")
{
    Bed bed(Millis{200});
    CrossingCaller caller(bed.address());
    REQUIRE(bed.ask(caller));
    REQUIRE(GatewayTestbed::waitFor([&] { return caller.isFinished(); }));
    caller.send(bed.request("POST", "/desk/1", "Content-Length: 0\r\n"));
    CHECK(GatewayTestbed::waitFor([&] { return caller.isReset(); }, soon));
    CHECK(bed.target.seen.size() == 1);
    CHECK_FALSE(bed.hasLogged("bytes thrown away"));
    CHECK(bed.hasLogged("why=idle"));
}

// The process is busy past the limit outside of its event loop, which then looks at sockets before timers.
TEST_CASE("a request that has arrived when its connection's time is over is answered")
{
    Bed bed(Millis{300});
    CrossingCaller caller(bed.address());
    REQUIRE(bed.ask(caller));
    GatewayTestbed::waitFor([] { return false; }, Millis{150});
    caller.send(bed.request("GET", "/look/1"));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    CHECK(bed.isAnswered(caller));
    CHECK(caller.status == 200);
}

// Guards against closing a connection whose next request has already arrived. While a large configuration is read for
// longer than a tick, the idle time runs out and the request arrives, and the overdue tick comes before the sockets are
// read. Without a last read before the close none of the three rounds is answered.
TEST_CASE("a request that arrived while the process was busy is answered, though its connection's time is over")
{
    // The limit leaves room for a machine that is busy with other things until the request is sent.
    Bed bed(Millis{1000});
    const auto busyFor = [](int span) { std::this_thread::sleep_for(std::chrono::milliseconds(span)); };
    for (int round = 0; round < 3; ++round) {
        CAPTURE(round);
        CrossingCaller caller(bed.address());
        REQUIRE(bed.ask(caller));
        // Both this and the tick are due once the loop turns again, and no socket is looked at between them.
        bool isSent = false;
        QTimer::singleShot(1, [&] {
            caller.send(bed.request("GET", "/look/1"));
            isSent = true;
            busyFor(1100);
        });
        busyFor(60);
        CHECK(GatewayTestbed::waitFor([&] { return isSent && caller.look(); }, Millis{3000}));
        CHECK(caller.status == 200);
    }
}

// Guards against closing a connection whose request the last read before the close has found and answered within the
// call. The answer does not announce the close, so the caller's next request meets a closed connection.
TEST_CASE("a connection stays after an answer that was given during the last read before its close")
{
    Bed bed(Millis{400});
    constexpr int rounds = 20;
    constexpr Millis firstWait{350};
    constexpr Millis step{6};
    for (int round = 0; round < rounds; ++round) {
        CAPTURE(round);
        CrossingCaller caller(bed.address());
        REQUIRE(bed.ask(caller));
        // The rounds differ by their moment within the interval of the gateway's ticks. The process is busy for a
        // little longer than that, so both this timer and a tick are due once the loop turns again, and no socket is
        // looked at between them.
        GatewayTestbed::waitFor([] { return false; }, firstWait + step * round);
        bool isSent = false;
        QTimer::singleShot(1, Qt::PreciseTimer, [&] {
            // No route has this path, so no target is asked.
            caller.send(bed.request("GET", "/nowhere"));
            isSent = true;
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(41));
        GatewayTestbed::waitFor([&] { return isSent && caller.look(); }, Millis{300});
        if (caller.status != 404) {
            // The connection's time was over before the request was sent.
            CHECK(caller.isReset());
            continue;
        }
        CHECK_FALSE(sameHeaderName(caller.head.headers.value("connection"), "close"));
        GatewayTestbed::waitFor([] { return false; }, Millis{50});
        CHECK_FALSE(caller.isFinished());
        CHECK(bed.ask(caller));
    }
}

TEST_CASE("the idle time of a connection counts from when the caller has its answer")
{
    Bed bed(Millis{300});
    // More than the caller's kernel takes, less than is given in parts.
    bed.target.answers = [](FakeRequest &request) { request.reply("200 OK", std::string(900000, 'x')); };
    constexpr int smallBuffer = 4096;
    CrossingCaller caller(bed.address(), smallBuffer);
    caller.send(bed.request("GET", "/look/1"));
    REQUIRE(GatewayTestbed::waitFor([&] { return bed.hasLogged("outcome=complete"); }));
    GatewayTestbed::waitFor([] { return false; }, Millis{500});
    REQUIRE(bed.isAnswered(caller));
    CHECK(bed.ask(caller));
    SUBCASE("and ends where no caller takes it")
    {
        caller.send(bed.request("GET", "/look/1"));
        CHECK(GatewayTestbed::waitFor([&] { return bed.hasLogged("why=idle"); }, Millis{2000}));
    }
}

TEST_CASE("a connection may be idle for as long as was promised when it became idle")
{
    Bed bed(Millis{800});
    CrossingCaller caller(bed.address());
    REQUIRE(bed.ask(caller));
    bed.publishLimit(2, Millis{100});
    GatewayTestbed::waitFor([] { return false; }, Millis{400});
    CHECK(bed.ask(caller));
    // From this answer on the new limit holds.
    CHECK(GatewayTestbed::waitFor([&] { return caller.isFinished(); }, Millis{400}));
}

// Guards against callers that meet the close of an idle connection, because their pools keep connections for longer
// than the gateway and were not told its limit.
TEST_CASE("each answer after which the connection stays says for how long a caller may leave it idle")
{
    Bed bed(Millis{15000});
    CrossingCaller caller(bed.address());
    REQUIRE(bed.ask(caller));
    CHECK(caller.head.headers.value("Keep-Alive") == "timeout=12");
    caller.send(bed.request("GET", "/nowhere/"));
    REQUIRE(bed.isAnswered(caller));
    CHECK(caller.head.headers.value("Keep-Alive") == "timeout=12");
    CHECK(caller.head.keepAlive);
    caller.send(bed.request("GET", "/look/1", "Connection: close\r\n"));
    REQUIRE(bed.isAnswered(caller));
    CHECK_FALSE(caller.head.headers.has("Keep-Alive"));
    CHECK_FALSE(caller.head.keepAlive);
}

// Guards against a caller that waits without an answer after its body stopped arriving, because only the head of a
// request had a time limit.
TEST_CASE("a request whose body stops coming is refused as not run")
{
    Bed bed(Millis{200});
    CrossingCaller caller(bed.address());
    caller.send(bed.request("POST", "/desk/1", "Content-Length: 10\r\n") + "abc");
    CHECK(bed.isAnswered(caller));
    CHECK(caller.status == 408);
    CHECK(bed.target.seen.empty());
}

TEST_CASE("a body that comes slowly, but comes, is read")
{
    Bed bed(Millis{200});
    CrossingCaller caller(bed.address());
    caller.send(bed.request("POST", "/desk/1", "Content-Length: 6\r\n"));
    for (int i = 0; i < 6; ++i) {
        GatewayTestbed::waitFor([] { return false; }, Millis{100});
        caller.send("x");
    }
    CHECK(bed.isAnswered(caller));
    CHECK(caller.status == 200);
}

// Guards against a stop that closes a connection at the end of a stream whose head promised that it stays open, so that
// the caller's next request crosses the close.
TEST_CASE("a stop closes no connection that its answer said would stay, unless it is unused, and leaves it unread")
{
    Bed bed(Millis{5000});
    CrossingCaller caller(bed.address());
    SUBCASE("in the middle of a stream")
    {
        std::function<void()> endStream;
        bed.addTarget("t2", "llm").answers = [&endStream](FakeRequest &request) {
            request.beginEvents();
            request.event(1);
            endStream = [request] { request.endEvents(); };
        };
        REQUIRE(GatewayTestbed::waitFor([&] { return bed.hasLogged("count=2"); }));
        caller.send(bed.request("POST", "/talk/1", "Content-Length: 0\r\n"));
        REQUIRE(GatewayTestbed::waitFor([&] { return !caller.look() && !caller.body.empty(); }));
        CHECK(caller.head.keepAlive);
        bed.node->stop();
        endStream();
        REQUIRE(bed.isAnswered(caller));
    }
    SUBCASE("unused")
    {
        REQUIRE(bed.ask(caller));
        bed.node->stop();
        REQUIRE(GatewayTestbed::waitFor([&] { return caller.isFinished(); }));
    }
    caller.send(bed.request("GET", "/look/1"));
    CHECK(GatewayTestbed::waitFor([&] { return caller.look() || caller.isReset(); }, soon));
    CHECK_FALSE(bed.hasLogged("bytes thrown away"));
    CHECK(GatewayTestbed::waitFor([&] { return bed.isStopped; }));
}

// Guards against losing the end of an answer that its caller reads slowly, at a stop or after the caller asked for a
// close. This happens if a close has one time limit for everything, or if a stop does not count connections that are
// being closed.
TEST_CASE("an answer that its caller takes slowly is delivered whole, also by a gateway that stops")
{
    Bed bed(Millis{5000});
    const std::string answer(900000, 'x');
    bed.target.answers = [&answer](FakeRequest &request) { request.reply("200 OK", answer); };
    constexpr int smallBuffer = 4096;
    CrossingCaller caller(bed.address(), smallBuffer);
    SUBCASE("the caller asked for a close")
    {
        caller.send(bed.request("GET", "/look/1", "Connection: close\r\n"));
        GatewayTestbed::waitFor([] { return false; }, Millis{2500});
    }
    SUBCASE("the gateway stops")
    {
        caller.send(bed.request("GET", "/look/1"));
        REQUIRE(GatewayTestbed::waitFor([&] { return bed.hasLogged("outcome=complete"); }));
        bed.node->stop();
        GatewayTestbed::waitFor([] { return false; }, Millis{400});
    }
    REQUIRE(bed.isAnswered(caller));
    CHECK(caller.body == answer);
}

// The same where the kernel takes less than the answer, so that a part of it still waits in the process.
TEST_CASE("a closed connection counts as delivering until all of its answer has left the process")
{
    GatewayTestbed bed;
    Metrics metrics;
    GatewayContext context(*bed.dialect, *bed.log, metrics, bed.settings, 1);
    std::shared_ptr<CallerConnection> connection;
    constexpr int smallBuffer = 4096;
    StreamListener listener("127.0.0.1:0", [&](int descriptor) {
        setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &smallBuffer, sizeof smallBuffer);
        connection = std::make_shared<CallerConnection>(context, descriptor, [](CallerConnection &) {});
    });
    CrossingCaller caller("127.0.0.1:" + std::to_string(listener.port()), smallBuffer);
    REQUIRE(GatewayTestbed::waitFor([&] { return connection != nullptr; }));
    const std::string body(300000, 'x');
    connection->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    CHECK(connection->isBusy());
    SUBCASE("of an answer that says that the connection closes")
    {
        connection->finished(true);
    }
    SUBCASE("of one that is cut")
    {
        connection->cutOff();
    }
    GatewayTestbed::waitFor([] { return false; }, Millis{300});
    CHECK(context.isDelivering());
    CHECK(GatewayTestbed::waitFor([&] { return caller.look(); }));
    CHECK(caller.body == body);
    CHECK_FALSE(context.isDelivering());
}

// Guards against losing events that were forwarded before a stream was cut, because the connection is closed while
// bytes are still to be sent.
TEST_CASE("what was given of a stream that is cut reaches its caller")
{
    Bed bed(Millis{5000});
    const std::string event = "id: 1\ndata: " + std::string(200000, 'x') + "\n\n";
    bed.addTarget("t2", "llm").answers = [&event](FakeRequest &request) {
        request.beginEvents();
        request.send("30d4e\r\n" + event + "\r\n");
        QTimer::singleShot(100, [request] { request.reset(); });
    };
    REQUIRE(GatewayTestbed::waitFor([&] { return bed.hasLogged("count=2"); }));
    constexpr int smallBuffer = 4096;
    CrossingCaller caller(bed.address(), smallBuffer);
    caller.send(bed.request("POST", "/once/1", "Content-Length: 0\r\n"));
    REQUIRE(GatewayTestbed::waitFor([&] { return bed.hasLogged("how=cut-off"); }));
    CHECK(GatewayTestbed::waitFor([&] { return caller.isFinished(); }, soon));
    CHECK(caller.body == event);
    CHECK_FALSE(caller.look());
}

// After an answer that said so, the connection is read on, or the answer could be lost by a reset. What comes then is
// told.
TEST_CASE("what is thrown away after an answer that closes its connection stands in the log and in a metric")
{
    Bed bed(Millis{5000});
    CrossingCaller caller(bed.address());
    caller.send(bed.request("GET", "/look/1", "Connection: close\r\n"));
    REQUIRE(bed.isAnswered(caller));
    CHECK(caller.status == 200);
    caller.send("late");
    CHECK(GatewayTestbed::waitFor([&] { return bed.hasLogged("bytes thrown away after a close"); }, Millis{3000}));
    CHECK(bed.hasLogged("bytes=4"));
    CHECK(bed.hasLogged("why=answered"));
}

// Guards against judging the idle time by the limit at the end of a stream, although the head of the stream announced a
// larger one.
TEST_CASE(
    "a connection may be idle for as long as the head of a stream said, also where the limit shrank before its end")
{
    Bed bed(Millis{2000});
    std::function<void()> endStream;
    bed.addTarget("t2", "llm").answers = [&endStream](FakeRequest &request) {
        request.beginEvents();
        request.event(1);
        endStream = [request] { request.endEvents(); };
    };
    REQUIRE(GatewayTestbed::waitFor([&] { return bed.hasLogged("count=2"); }));
    CrossingCaller caller(bed.address());
    caller.send(bed.request("POST", "/talk/1", "Content-Length: 0\r\n"));
    REQUIRE(GatewayTestbed::waitFor([&] { return !caller.look() && !caller.body.empty(); }));
    REQUIRE(caller.head.headers.value("Keep-Alive") == "timeout=1");
    bed.publishLimit(2, Millis{100});
    REQUIRE(GatewayTestbed::waitFor([&] { return bed.hasLogged("revision=2"); }));
    endStream();
    REQUIRE(bed.isAnswered(caller));
    GatewayTestbed::waitFor([] { return false; }, Millis{500});
    CHECK_FALSE(caller.isFinished());
    CHECK(bed.ask(caller));
}

// Guards against losing the end of a large answer that its caller reads for longer than two idle limits, because the
// connection counts as idle.
TEST_CASE("an answer on a connection that stays is delivered whole to a caller that goes on taking it")
{
    Bed bed(Millis{400});
    // More than both kernels keep, and little enough that the target gives it within the route's time.
    const std::string answer(8UL * 1024 * 1024, 'x');
    bed.target.answers = [&answer](FakeRequest &request) { request.reply("200 OK", answer); };
    FakeCaller caller(bed.address());
    REQUIRE(GatewayTestbed::waitFor([&] { return caller.stream->isConnected(); }));
    caller.send(bed.request("GET", "/look/1"));
    caller.stream->setReading(false);
    // Up to a megabyte is taken at once.
    for (int i = 0; i < 6; ++i) {
        GatewayTestbed::waitFor([] { return false; }, Millis{250});
        caller.stream->setReading(true);
        caller.stream->readNow();
        caller.stream->setReading(false);
        REQUIRE_FALSE(caller.reply.isWhole);
    }
    CHECK(bed.hasLogged("outcome=complete"));
    CHECK_FALSE(bed.hasLogged("why=idle"));
    caller.stream->setReading(true);
    CHECK(GatewayTestbed::waitFor([&] { return caller.reply.isWhole || caller.reply.hasEnded; }, Millis{8000}));
    CHECK(caller.reply.isWhole);
    CHECK(caller.reply.body.size() == answer.size());
}

// Guards against a process that grows without bound while a caller goes on sending during the answer to its first
// request.
TEST_CASE("what a caller sends while its request is answered is kept only up to the limits of a request")
{
    Bed bed(Millis{5000});
    bed.target.answers = [](FakeRequest &) {};
    FakeCaller caller(bed.address());
    caller.send(bed.request("POST", "/desk/1", "Content-Length: 0\r\n"));
    REQUIRE(GatewayTestbed::waitFor([&] { return bed.target.seen.size() == 1; }));
    // A request of 4 MB, and what both kernels keep.
    constexpr std::size_t mostTaken = 32UL * 1024 * 1024;
    constexpr std::size_t sent = 48UL * 1024 * 1024;
    caller.stream->write(std::string(sent, 'x'));
    GatewayTestbed::waitFor([&] { return sent - caller.stream->pendingBytes() > mostTaken; });
    CHECK(sent - caller.stream->pendingBytes() < mostTaken);
}

// Guards against entries for closed connections that only a stop removes.
TEST_CASE("closed connections whose answer has left are not remembered")
{
    GatewayTestbed bed;
    Metrics metrics;
    GatewayContext context(*bed.dialect, *bed.log, metrics, bed.settings, 1);
    std::shared_ptr<CallerConnection> connection;
    constexpr int smallBuffer = 4096;
    StreamListener listener("127.0.0.1:0", [&](int descriptor) {
        setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &smallBuffer, sizeof smallBuffer);
        connection = std::make_shared<CallerConnection>(context, descriptor, [](CallerConnection &) {});
    });
    const std::string body(300000, 'x');
    for (int i = 0; i < 5; ++i) {
        connection.reset();
        CrossingCaller caller("127.0.0.1:" + std::to_string(listener.port()));
        REQUIRE(GatewayTestbed::waitFor([&] { return connection != nullptr; }));
        connection->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        REQUIRE(connection->isBusy());
        connection->finished(true);
        REQUIRE(GatewayTestbed::waitFor([&] { return caller.look(); }));
    }
    CHECK(context.delivering.size() <= 1);
    // The last one lingers until its caller, which is gone, has closed.
    GatewayTestbed::waitFor([] { return false; }, Millis{100});
}

// Guards against running a request whose caller has left: a gateway that was held up finds the request and the close
// behind it at the same moment.
TEST_CASE("a request whose caller has closed the connection by the time it is read reaches no target")
{
    Bed bed(Millis{2000});
    SUBCASE("on a new connection")
    {
        CrossingCaller caller(bed.address());
        caller.send(bed.request("GET", "/look/1"));
    }
    SUBCASE("on a connection that was used before")
    {
        CrossingCaller caller(bed.address());
        REQUIRE(bed.ask(caller));
        caller.send(bed.request("GET", "/look/1"));
    }
    const std::size_t before = bed.target.seen.size();
    CHECK_FALSE(GatewayTestbed::waitFor([&] { return bed.target.seen.size() > before; }, Millis{300}));
    CHECK(bed.hasLogged("why=caller-left"));
    CrossingCaller another(bed.address());
    CHECK(bed.ask(another));
}

// Guards against a process that grows without bound since a caller sends requests ahead and reads no answer.
TEST_CASE("a caller that sends requests ahead and reads slowly gets all answers in their order, one at a time")
{
    Bed bed(Millis{5000});
    const std::string answer(200000, 'a');
    bed.target.answers = [&answer](FakeRequest &request) { request.reply("200 OK", request.header("X-Id") + answer); };
    constexpr int smallBuffer = 4096;
    CrossingCaller caller(bed.address(), smallBuffer);
    std::string ahead;
    constexpr int count = 10;
    for (int i = 0; i < count; ++i) {
        ahead += "GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: id-" + std::to_string(i) + "\r\n\r\n";
    }
    caller.send(ahead);
    GatewayTestbed::waitFor([] { return false; }, Millis{400});
    // The first answer waits for its caller; the others have not been asked for.
    CHECK(bed.target.seen.size() < 3);
    CHECK(bed.node->heldMemory().answers < 3 * answer.size());
    for (int i = 0; i < count; ++i) {
        CAPTURE(i);
        REQUIRE(GatewayTestbed::waitFor([&] { return caller.look(); }));
        CHECK(caller.body == "id-" + std::to_string(i) + answer);
        caller.next();
    }
}

// Guards against one connection that takes whole turns of the event loop with requests that were sent ahead.
TEST_CASE("many requests that were sent ahead are answered in parts, between those of other callers")
{
    Bed bed(Millis{5000});
    CrossingCaller flood(bed.address());
    std::string ahead;
    constexpr int count = 400;
    for (int i = 0; i < count; ++i) {
        ahead += bed.request("GET", "/nowhere/1");
    }
    int answered = 0;
    const auto countAnswers = [&] {
        while (flood.look()) {
            answered += 1;
            flood.next();
        }
        return answered;
    };
    FakeCaller other(bed.address());
    flood.send(ahead);
    other.send(bed.request("GET", "/look/1"));
    int answeredBefore = 0;
    REQUIRE(GatewayTestbed::waitFor([&] {
        answeredBefore = other.reply.isWhole ? answeredBefore : countAnswers();
        return other.reply.isWhole;
    }));
    CHECK(other.reply.status == 200);
    CHECK(answeredBefore < count);
    CHECK(GatewayTestbed::waitFor([&] { return countAnswers() == count; }));
}

// Guards against an answer that is lost since its connection, which closes after it, is the first one to yield.
TEST_CASE("a connection that closes yields only after others, as long as its caller has not taken the answer")
{
    GatewayTestbed bed;
    Metrics metrics;
    GatewayContext context(*bed.dialect, *bed.log, metrics, bed.settings, 1);
    std::vector<std::shared_ptr<CallerConnection>> connections;
    StreamListener listener("127.0.0.1:0", [&](int descriptor) {
        connections.push_back(std::make_shared<CallerConnection>(context, descriptor, [](CallerConnection &) {}));
    });
    const std::string address = "127.0.0.1:" + std::to_string(listener.port());
    constexpr int smallBuffer = 4096;
    CrossingCaller served(address, smallBuffer);
    REQUIRE(GatewayTestbed::waitFor([&] { return connections.size() == 1; }));
    CrossingCaller slow(address);
    slow.send("GET /look/1 HTTP/1.1\r\n");
    REQUIRE(GatewayTestbed::waitFor([&] { return connections.size() == 2 && connections[1]->isReading(); }));
    const std::string body(300000, 'x');
    connections[0]->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    connections[0]->finished(true);
    CHECK(context.ledger.size() == 2);
    CHECK(context.ledger.yieldsDescriptor(Millis::monotonicNow()) == connections[1]->connectionNumber());
    CHECK(GatewayTestbed::waitFor([&] { return served.look(); }));
    CHECK(served.body == body);
    GatewayTestbed::waitFor([] { return false; }, Millis{50});
    context.tickDelivering(Millis::monotonicNow());
    CHECK(context.ledger.yieldsDescriptor(Millis::monotonicNow()) == connections[0]->connectionNumber());
}

// Guards against a window that is made so much smaller after a body that the kernel of its sender only probes it.
TEST_CASE("large bodies follow each other on one connection of a crowded gateway")
{
    GatewayTestbed bed;
    Metrics metrics;
    GatewayContext context(*bed.dialect, *bed.log, metrics, bed.settings, 1);
    std::vector<std::shared_ptr<CallerConnection>> connections;
    constexpr std::size_t receiveBytes = 8192;
    StreamListener listener("127.0.0.1:0", [&](int descriptor) {
        connections.push_back(std::make_shared<CallerConnection>(context, descriptor, [](CallerConnection &) {}));
    });
    listener.setReceiveBytes(receiveBytes);
    CrossingCaller caller("127.0.0.1:" + std::to_string(listener.port()));
    const std::string body(200000, 'x');
    const std::string request = "POST /nowhere/1 HTTP/1.1\r\nHost: gateway.example\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    constexpr int count = 20;
    int answered = 0;
    caller.send(request);
    GatewayTestbed::waitFor([&] {
        if (caller.look()) {
            answered += 1;
            caller.next();
            if (answered < count) {
                caller.send(request);
            }
        }
        return answered == count;
    });
    CHECK(answered == count);
}

// Guards against requests that were taken from the kernel and left: after an orderly close their caller could not send
// them again.
TEST_CASE("a caller that sent requests ahead learns by a reset that they were left when its connection closes")
{
    GatewayTestbed bed;
    Metrics metrics;
    GatewayContext context(*bed.dialect, *bed.log, metrics, bed.settings, 1);
    std::shared_ptr<CallerConnection> connection;
    StreamListener listener("127.0.0.1:0", [&](int descriptor) {
        connection = std::make_shared<CallerConnection>(context, descriptor, [](CallerConnection &) {});
    });
    CrossingCaller caller("127.0.0.1:" + std::to_string(listener.port()), 4096);
    REQUIRE(GatewayTestbed::waitFor([&] { return connection != nullptr; }));
    connection->write(std::string(std::size_t{4} << 20U, 'x'));
    connection->finished(false);
    caller.send("GET /look/1 HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(GatewayTestbed::waitFor([&] { return connection->isReading(); }));
    connection->closeForStop();
    CHECK(GatewayTestbed::waitFor([&] { return caller.isReset(); }));
}

// Guards against a refusal for want of room that is not true, or that its caller never gets.
TEST_CASE("a connection that yields refuses a part of a request, and leaves an unread one to the kernel")
{
    GatewayTestbed bed;
    Metrics metrics;
    GatewayContext context(*bed.dialect, *bed.log, metrics, bed.settings, 1);
    std::shared_ptr<CallerConnection> connection;
    StreamListener listener("127.0.0.1:0", [&](int descriptor) {
        connection = std::make_shared<CallerConnection>(context, descriptor, [](CallerConnection &) {});
    });
    CrossingCaller caller("127.0.0.1:" + std::to_string(listener.port()));
    REQUIRE(GatewayTestbed::waitFor([&] { return connection != nullptr; }));
    SUBCASE("with a part of a head")
    {
        caller.send("GET /look/1 HTTP/1.1\r\nHost: x\r\n");
        REQUIRE(GatewayTestbed::waitFor([&] { return connection->isReading(); }));
        CHECK(connection->yield());
        REQUIRE(GatewayTestbed::waitFor([&] { return caller.look(); }));
        CHECK(caller.status == 503);
        CHECK(caller.head.headers.has("Retry-After"));
    }
    SUBCASE("with a part of a body")
    {
        caller.send("POST /desk/1 HTTP/1.1\r\nHost: x\r\nX-Id: id-7\r\nContent-Length: 50\r\n\r\nxyz");
        REQUIRE(GatewayTestbed::waitFor([&] { return connection->isReading(); }));
        CHECK(connection->yield());
        REQUIRE(GatewayTestbed::waitFor([&] { return caller.look(); }));
        CHECK(caller.status == 503);
        CHECK(caller.head.headers.value("X-Id") == "id-7");
    }
    SUBCASE("with nothing")
    {
        CHECK(connection->yield());
        REQUIRE(GatewayTestbed::waitFor([&] { return caller.isFinished(); }));
        caller.send("GET /look/1 HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(GatewayTestbed::waitFor([&] { return caller.isReset(); }));
    }
    CHECK(context.ledger.size() == 0);
}
