#include "sequoiausher/transport/gateway/callerconnection.h"

#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <QTimer>

#include <chrono>
#include <thread>

#include <doctest/doctest.h>

// The incident that most of these tests tell parts of. Symptom: a caller sent a request that may run only once, and got
// neither an answer nor a refusal: its connection was closed, and it may not send the request again, since for all that
// it can know the request has run. Events: an answer reached its caller seconds after the gateway had handed it to its
// kernel; the gateway counted the idle time from the earlier moment, and closed it while its caller still used
// it by the limit that it was promised; the next request crossed the close. Cause: a connection was closed by its age
// alone, and by a close that reads on: the process read the request and threw it away. Proof: what a caller sees. Bytes
// that nobody has read are answered by the kernel with a reset; bytes that were read and thrown away by nothing.

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

// Symptom, cause: as above. Events: a large configuration keeps the process busy past the limit; a request waits in the
// kernel meanwhile; then the timers run before the sockets.
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

// Symptom: a caller whose request was cut in the middle waited, and was left without a word. Events: the head of a
// request arrives, its body stops. Cause: only the head had a time of its own; the idle limit closed what was there.
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

// Symptom, cause: as above. Events: a gateway is told to stop while a caller reads a stream whose head promised that
// the connection stays; the end of the stream came with a close, and the caller's next request crossed it.
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
