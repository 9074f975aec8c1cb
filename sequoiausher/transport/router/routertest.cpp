#include "sequoiausher/transport/router/router.h"

#include "sequoiausher/transport/router/testsurroundings.h"

#include <QTcpServer>

#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Internal;

namespace {

constexpr Millis notice{400};
constexpr Millis grace{1600};
/** The end of the grace, the last answers, and room for a busy machine. */
constexpr int stopLimitMs = 8000;
const std::string longerThanStop = "X-Deadline-Ms: 60000\r\n";
const std::string withinStop = "X-Deadline-Ms: 1000\r\n";

std::uint16_t freePort()
{
    testApplication();
    QTcpServer server;
    server.listen(QHostAddress::LocalHost);
    return server.serverPort();
}

/** Two routers, of which the first stops within 2 s. */
class StoppingRouter
{
public:
    /** @param rule further lines of the only rule. */
    explicit StoppingRouter(const std::string &rule = "")
    {
        const std::uint16_t otherPort = freePort();
        const std::vector<std::uint16_t> peerPorts{freePort(), freePort()};
        this->surroundings.documents["instances"]
            = instanceText("r1", this->port, peerPorts[0]) + instanceText("r2", otherPort, peerPorts[1]);
        this->surroundings.documents["rules/fleet"] += rule;
        this->router = this->start("r1", this->port, peerPorts[0], [this] { this->isStopped = true; });
        this->other = this->start("r2", otherPort, peerPorts[1], [] {});
        REQUIRE(runUntil([&] { return isReady(this->port) && isReady(otherPort); }));
    }

    void stop()
    {
        this->router->stop();
    }
    /** Waits for the end of the process, which closes what is open. */
    void finish()
    {
        CHECK(runUntil([this] { return this->isStopped; }, stopLimitMs));
        this->router.reset();
    }
    /** Has one request answered after the other, each at once. */
    void answer(std::size_t count)
    {
        this->surroundings.wholeBytes = 1;
        for (std::size_t i = 0; i < count; ++i) {
            PlainCaller caller(this->port);
            caller.send(PlainCaller::request("Connection: close\r\n"));
            REQUIRE(caller.readAll().starts_with("HTTP/1.1 200"));
        }
        this->surroundings.wholeBytes = 0;
        this->surroundings.chats = 0;
    }

    Surroundings surroundings;
    std::uint16_t port = freePort();

private:
    static std::string instanceText(const std::string &name, std::uint16_t port, std::uint16_t peerPort)
    {
        return "[instance " + name + "]\naddress = " + loopback(port) + "\npeer_address = " + loopback(peerPort)
            + "\ndata_centre = a\n";
    }
    static std::string loopback(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }
    std::unique_ptr<Router>
    start(const std::string &name, std::uint16_t callers, std::uint16_t peers, std::function<void()> onStopped) const
    {
        RouterSettings settings = settingsWith(this->surroundings);
        settings.name = InstanceId{name};
        settings.address = loopback(callers);
        settings.peerAddress = loopback(peers);
        settings.workers = 1;
        // Short, since a witness that has just started waits for them before it votes.
        settings.claims.lifetime = Millis{1000};
        settings.claims.dispatchWindow = Millis{300};
        settings.claims.claimTimeout = Millis{150};
        settings.claims.settleTime = Millis{400};
        settings.drain.notice = notice;
        settings.drain.grace = grace;
        settings.drain.handover = Millis{0};
        auto started = std::make_unique<Router>(settings, this->log, std::move(onStopped));
        started->start();
        return started;
    }
    static bool isReady(std::uint16_t port)
    {
        PlainCaller caller(port);
        caller.send("GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const std::string status = caller.readAll();
        return status.find(R"("ready":true)") != std::string::npos
            && status.find(R"("may_vote":true)") != std::string::npos;
    }

    const Log log{LogSettings{}};
    std::unique_ptr<Router> router;
    std::unique_ptr<Router> other;
    bool isStopped = false;
};

/** Waits for the first bytes of an answer. */
bool hasAnswer(PlainCaller &caller)
{
    return runUntil([&caller] { return caller.socket.bytesAvailable() > 0; });
}

bool has(const std::string &answer, const std::string &text)
{
    return answer.find(text) != std::string::npos;
}

void checkRefused(const std::string &answer, const std::string &ran)
{
    INFO(answer);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(has(answer, "X-Ran: " + ran + "\r\n"));
    CHECK(has(answer, "Retry-After: "));
    CHECK(has(answer, "Connection: close\r\n"));
    CHECK(has(answer, "\"code\":\"stopping\""));
}

/** The end of a stream that had begun: an error event, and the end of the body. */
void checkBrokenOff(const std::string &answer)
{
    INFO(answer);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(has(answer, "\"code\":\"stopping\""));
    CHECK(answer.ends_with("0\r\n\r\n"));
}

} // namespace

// Guards against a request that is begun during a planned stop and cut off at its end, where a refusal would have sent
// its caller to another router.
TEST_CASE("a request that may outlast a planned stop is refused before it is sent")
{
    StoppingRouter router;
    router.surroundings.holdsChats = true;
    PlainCaller first(router.port);
    PlainCaller keyed(router.port);
    PlainCaller slow(router.port);
    const std::string request = PlainCaller::request(longerThanStop);
    router.stop();
    first.send(request);
    keyed.send(PlainCaller::request(longerThanStop + "Idempotency-Key: k1\r\n"));
    slow.send(request.substr(0, request.size() - 1));
    checkRefused(first.readAll(), "no");
    checkRefused(keyed.readAll(), "unknown");
    // Its body ends after the notice.
    runFor(static_cast<int>(notice.count) + 100);
    slow.send(request.substr(request.size() - 1));
    checkRefused(slow.readAll(), "no");
    CHECK(router.surroundings.chats == 0);
    router.finish();
}

// Guards against a refusal of what can be served: a request whose deadline comes before the end of the grace, one that
// others of its kind let expect to be short, and a retry whose answer is known.
TEST_CASE("what ends before a planned stop does is served")
{
    StoppingRouter router;
    router.answer(1);
    const std::string keyed = PlainCaller::request(longerThanStop + "Idempotency-Key: k1\r\n");
    PlainCaller original(router.port);
    router.surroundings.wholeBytes = 1;
    original.send(keyed);
    REQUIRE(hasAnswer(original));
    router.stop();
    PlainCaller brief(router.port);
    brief.send(PlainCaller::request(longerThanStop));
    CHECK(hasAnswer(brief));
    CHECK(brief.socket.readAll().startsWith("HTTP/1.1 200"));
    const std::size_t chats = router.surroundings.chats;
    PlainCaller retry(router.port);
    retry.send(keyed);
    CHECK(hasAnswer(retry));
    CHECK(retry.socket.readAll().startsWith("HTTP/1.1 200"));
    CHECK(router.surroundings.chats == chats);
    router.finish();
}

// As above, where nothing is known of others of its kind.
TEST_CASE("a request with a deadline before the end of a planned stop is served")
{
    StoppingRouter router;
    router.surroundings.wholeBytes = 1;
    router.stop();
    PlainCaller caller(router.port);
    caller.send(PlainCaller::request(withinStop));
    CHECK(caller.readAll().starts_with("HTTP/1.1 200"));
    router.finish();
}

// Guards against a connection that ends without a word at the end of the grace, where its caller can't tell whether
// another attempt is safe.
TEST_CASE("what is left at the end of the grace is answered")
{
    StoppingRouter router;
    PlainCaller streamed(router.port);
    streamed.send(PlainCaller::request(longerThanStop, true));
    REQUIRE(runUntil([&] { return router.surroundings.stream != nullptr; }));
    router.surroundings.holdsChats = true;
    PlainCaller sent(router.port);
    sent.send(PlainCaller::request(longerThanStop));
    PlainCaller keyed(router.port);
    keyed.send(PlainCaller::request(longerThanStop + "Idempotency-Key: k1\r\n"));
    REQUIRE(runUntil([&] { return router.surroundings.chats == 3; }));
    PlainCaller retry(router.port);
    retry.send(PlainCaller::request(longerThanStop + "Idempotency-Key: k1\r\n"));
    PlainCaller partly(router.port);
    const std::string request = PlainCaller::request(longerThanStop);
    partly.send(request.substr(0, request.size() - 1));
    runFor(100);
    router.stop();
    router.finish();
    // Nothing tells whether the target ran the two; the retry followed one of them.
    for (PlainCaller *caller : {&sent, &keyed, &retry}) {
        const std::string answer = caller->readAll();
        INFO(answer);
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(has(answer, "X-Ran: unknown\r\n"));
        CHECK(has(answer, "Connection: close\r\n"));
    }
    checkBrokenOff(streamed.readAll());
    const std::string refused = partly.readAll();
    INFO(refused);
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(has(refused, "Retry-After: "));
    CHECK(has(refused, "Connection: close\r\n"));
}

// Guards against a request that waits for a place when the stop begins, is sent shortly before its end, and is cut off.
TEST_CASE("a request that waited for a place is not sent where it may outlast a planned stop")
{
    StoppingRouter router("then.in_flight = 1\n");
    PlainCaller running(router.port);
    running.send(PlainCaller::request(longerThanStop, true));
    REQUIRE(runUntil([&] { return router.surroundings.stream != nullptr; }));
    PlainCaller waiting(router.port);
    waiting.send(PlainCaller::request(longerThanStop));
    runFor(100);
    REQUIRE(router.surroundings.chats == 1);
    router.stop();
    runFor(100);
    running.socket.abort();
    checkRefused(waiting.readAll(), "no");
    CHECK(router.surroundings.chats == 1);
    router.finish();
}
