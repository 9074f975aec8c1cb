#include "sequoiausher/transport/gateway/cutoffbed.h"
#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <QTimer>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

using namespace Sequoiausher;

namespace {

constexpr int lastEvent = 3;

/** How an answer tells where it ends. */
enum class Framing {
    /** It ends with its connection. */
    Close,
    Chunks,
    Length,
};

std::string eventText(int id, const std::string &lineEnd)
{
    return "id: " + std::to_string(id) + lineEnd + "data: x" + lineEnd + lineEnd;
}

std::string events(int from, int to, const std::string &lineEnd = "\n")
{
    std::string text;
    for (int id = from; id <= to; ++id) {
        text += eventText(id, lineEnd);
    }
    return text;
}

/** How many whole events begin the text. */
int wholeEvents(const std::string &text, const std::string &lineEnd)
{
    int count = 0;
    while (count < lastEvent && text.size() >= events(1, count + 1, lineEnd).size()) {
        count += 1;
    }
    return count;
}

std::string answerHead(const FakeRequest &request, const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + request.header("X-Id") + "\r\nX-Signed: yes\r\n" + fields + "\r\n";
}

/** Sends the body as a whole one as far as its framing goes. */
void sendStream(const FakeRequest &request, Framing framing, const std::string &body)
{
    const std::string type = "Content-Type: text/event-stream\r\n";
    switch (framing) {
    case Framing::Close:
        request.send(answerHead(request, type + "Connection: close\r\n") + body);
        // A gateway that has read the whole head before the close also learns of the close apart from it.
        QTimer::singleShot(1, [request] { request.close(); });
        return;
    case Framing::Length:
        request.send(answerHead(request, type + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
        return;
    case Framing::Chunks:
        break;
    }
    request.send(answerHead(request, type + "Transfer-Encoding: chunked\r\n"));
    if (!body.empty()) {
        std::ostringstream chunk;
        chunk << std::hex << body.size() << "\r\n" << body << "\r\n";
        request.send(chunk.str());
    }
    request.endEvents();
}

/** The first request of each call is answered by breaks, a further one with what is left of the stream. */
struct BreakingBed : GatewayTestbed
{
    BreakingBed()
    {
        this->publish(configuration());
        // Half of all answers break off, so targets count as failing: enough of them for one that does not.
        constexpr int targetCount = 8;
        for (int number = 1; number <= targetCount; ++number) {
            const std::string name = "t" + std::to_string(number);
            FakeServer &target = this->addTarget(name, "llm");
            target.isRecording = false;
            target.answers = [this, name](FakeRequest &request) {
                this->runs += 1;
                if (this->runs == 1) {
                    this->breaks(request, name);
                    return;
                }
                const std::string after = request.header("X-After");
                sendStream(request,
                           Framing::Chunks,
                           events(after.empty() ? 1 : std::stoi(after) + 1, lastEvent, this->lineEnd));
            };
        }
    }

    CallerReply callOnce(const std::string &route)
    {
        this->runs = 0;
        // Each is a request of its own, which has not lost a target before.
        this->calls += 1;
        return this->call("POST", route + std::to_string(this->calls), "Content-Length: 0\r\n");
    }

    std::function<void(const FakeRequest &request, const std::string &name)> breaks;
    std::string lineEnd = "\n";
    int runs = 0;
    int calls = 0;
};

/**
 * Listens in place of a target and sends the beginning of an answer without a length as soon as a connection is there,
 * whatever has come of the request.
 */
struct EarlyTarget
{
    EarlyTarget(const std::string &address, std::string statusLine, bool resets)
        : status(std::move(statusLine))
        , isReset(resets)
        , listener(
              address,
              [this](int descriptor) { this->answer(descriptor); },
              // A small window, so that a long request is not written at once.
              4096)
    {
    }
    ~EarlyTarget()
    {
        for (const int descriptor : this->open) {
            ::close(descriptor);
        }
    }
    EarlyTarget(const EarlyTarget &) = delete;
    EarlyTarget &operator=(const EarlyTarget &) = delete;

    void answer(int descriptor)
    {
        this->connections += 1;
        const std::string text
            = "HTTP/1.1 " + this->status + "\r\nX-Id: id-1\r\nX-Signed: yes\r\nConnection: close\r\n\r\npart";
        REQUIRE(::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
        if (this->isReset) {
            const linger now{1, 0};
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            ::close(descriptor);
        } else {
            ::shutdown(descriptor, SHUT_WR);
            this->open.push_back(descriptor);
        }
    }

    std::string status;
    bool isReset;
    int connections = 0;
    std::vector<int> open;
    StreamListener listener;
};

/** Has the target's process replaced by one that answers early. */
std::unique_ptr<EarlyTarget>
makeEarly(GatewayTestbed &bed, const std::string &name, const std::string &status, bool isReset)
{
    const std::string address = bed.targets.at(name)->address();
    bed.crashTarget(name);
    return std::make_unique<EarlyTarget>(address, status, isReset);
}

/** A request with a body that is longer than what is written at once. */
std::string longRequest(const GatewayTestbed &bed, const std::string &path)
{
    constexpr std::size_t bytes = 3900000;
    return bed.request("POST", path, "Content-Length: " + std::to_string(bytes) + "\r\n") + std::string(bytes, 'b');
}

CallerReply ask(const GatewayTestbed &bed, const std::string &request)
{
    FakeCaller caller(bed.address());
    caller.send(request);
    GatewayTestbed::waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; });
    return caller.reply;
}

} // namespace

// Guards against a torn event that reaches its caller as the end of a whole answer, because its target, whose run
// crashed, closed the connection in order or framed what it had.
TEST_CASE("a stream that ends inside an event goes on at another target, wherever it was cut and however it is framed")
{
    BreakingBed bed;
    bed.start();
    for (const std::string lineEnd : {"\n", "\r\n"}) {
        bed.lineEnd = lineEnd;
        const std::string whole = events(1, lastEvent, lineEnd);
        for (const Framing framing : {Framing::Close, Framing::Chunks, Framing::Length}) {
            for (std::size_t cut = 1; cut < whole.size(); ++cut) {
                const std::string body = whole.substr(0, cut);
                const int given = wholeEvents(body, lineEnd);
                if (body == events(1, given, lineEnd)) {
                    continue;
                }
                CAPTURE(cut);
                CAPTURE(static_cast<int>(framing));
                bed.breaks
                    = [&](const FakeRequest &request, const std::string &) { sendStream(request, framing, body); };
                const CallerReply reply = bed.callOnce("/talk/");
                CHECK(reply.isWhole);
                CHECK(reply.body == whole);
                CHECK(bed.runs == 2);
            }
        }
    }
}

// Guards against the same where nothing may go on with the stream: its caller has to see that it is not whole.
TEST_CASE("a stream that runs at most once and ends inside an event is cut off after its last whole event")
{
    BreakingBed bed;
    bed.start();
    const std::string whole = events(1, lastEvent);
    for (const Framing framing : {Framing::Close, Framing::Chunks, Framing::Length}) {
        for (std::size_t cut = 1; cut < whole.size(); ++cut) {
            const std::string body = whole.substr(0, cut);
            const int given = wholeEvents(body, "\n");
            if (body == events(1, given)) {
                continue;
            }
            CAPTURE(cut);
            CAPTURE(static_cast<int>(framing));
            bed.breaks = [&](const FakeRequest &request, const std::string &) { sendStream(request, framing, body); };
            const CallerReply reply = bed.callOnce("/once/");
            CHECK(bed.runs == 1);
            if (given == 0) {
                CHECK(reply.status == 502);
            } else {
                CHECK_FALSE(reply.isWhole);
                CHECK(reply.body == events(1, given));
            }
        }
    }
}

TEST_CASE("a stream that ends with its connection between two events is whole while its target lives")
{
    BreakingBed bed;
    bed.start();
    for (int given = 1; given <= lastEvent; ++given) {
        bed.breaks = [&](const FakeRequest &request, const std::string &) {
            sendStream(request, Framing::Close, events(1, given));
        };
        const CallerReply reply = bed.callOnce("/talk/");
        CHECK(reply.isWhole);
        CHECK(reply.body == events(1, given));
        CHECK(bed.runs == 1);
    }
}

// Guards against a stream without any event that counts as whole, because its target closed before it made the first.
TEST_CASE("a stream that ends with its connection before its first event is none")
{
    BreakingBed bed;
    bed.start();
    bed.breaks = [](const FakeRequest &request, const std::string &) { sendStream(request, Framing::Close, ""); };
    CHECK(bed.callOnce("/once/").status == 502);
    const CallerReply reply = bed.callOnce("/talk/");
    CHECK(reply.body == events(1, lastEvent));
    CHECK(bed.runs == 2);
}

// Guards against a stream that looks whole because the process of its target ended between two events: the kernel
// closes its connections in order.
TEST_CASE("a stream whose target ends between two events goes on at another target, or is cut off")
{
    for (const std::string route : {"/talk/", "/once/"}) {
        BreakingBed bed;
        bed.start();
        bed.breaks = [&bed](const FakeRequest &request, const std::string &name) {
            const std::string type = "Content-Type: text/event-stream\r\nConnection: close\r\n";
            request.send(answerHead(request, type) + events(1, 2));
            QTimer::singleShot(20, [&bed, name] { bed.crashTarget(name); });
        };
        const CallerReply reply = bed.callOnce(route);
        CHECK(reply.isWhole == (route == "/talk/"));
        CHECK(reply.body == events(1, route == "/talk/" ? lastEvent : 2));
    }
}

// Guards against half an answer of a plain service that passes for a whole one, because its target's process ended and
// its kernel closed the connection in order.
TEST_CASE("a plain answer without a length is whole only while its target lives")
{
    GatewayTestbed bed;
    bed.publish(GatewayTestbed::configuration());
    bool isFirst = true;
    for (const char *name : {"t1", "t2"}) {
        bed.addTarget(name, "desk").answers = [&bed, &isFirst, name = std::string(name)](FakeRequest &request) {
            if (std::exchange(isFirst, false)) {
                request.send(answerHead(request, "Connection: close\r\n") + "ha");
                QTimer::singleShot(20, [&bed, name] { bed.crashTarget(name); });
            } else {
                request.reply("200 OK", "half");
            }
        };
    }
    bed.start();
    SUBCASE("nothing of it reaches the caller of a request that runs at most once")
    {
        const CallerReply reply = bed.call("POST", "/desk/1", "Content-Length: 0\r\n");
        CHECK(reply.status == 502);
        CHECK(reply.body.find("ha") == std::string::npos);
    }
    SUBCASE("and one that may run twice is asked of another target")
    {
        CHECK(bed.call("GET", "/look/1").body == "half");
    }
}

// Guards against the same over a tunnel, whose other end tells that the target closed in order.
TEST_CASE("a stream that ends inside an event is not whole through another gateway either")
{
    CutOffBed bed;
    int runs = 0;
    for (const auto &[name, target] : bed.targets) {
        target->answers = [&runs](FakeRequest &request) {
            runs += 1;
            const std::string after = request.header("X-After");
            const std::string rest = events(after.empty() ? 1 : std::stoi(after) + 1, lastEvent);
            const bool breaks = runs == 1;
            sendStream(request, breaks ? Framing::Close : Framing::Chunks, rest.substr(0, breaks ? 20 : rest.size()));
        };
    }
    bed.startBoth();
    bed.cutAndNotice();
    runs = 0;
    const CallerReply resumed = bed.call("POST", "/talk/1", "Content-Length: 0\r\n");
    CHECK(resumed.isWhole);
    CHECK(resumed.body == events(1, lastEvent));
    runs = 0;
    const CallerReply cut = bed.call("POST", "/once/1", "Content-Length: 0\r\n");
    CHECK_FALSE(cut.isWhole);
    CHECK(cut.body == events(1, 1));
}

// Guards against an answer whose head was cut and that its caller gets as a whole one with an empty or short body.
TEST_CASE("an answer that ends inside its head is none, wherever it was cut and however its connection ends")
{
    BreakingBed bed;
    bed.start();
    for (const bool isReset : {false, true}) {
        for (const std::string fields : {"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
                                         "Content-Type: text/event-stream\r\nContent-Length: 0\r\n",
                                         "Content-Type: text/event-stream\r\nConnection: close\r\n"}) {
            constexpr std::size_t step = 3;
            for (std::size_t left = 1; left < answerHead(FakeRequest(), fields).size(); left += step) {
                CAPTURE(left);
                bed.breaks = [&](const FakeRequest &request, const std::string &) {
                    const std::string head = answerHead(request, fields);
                    request.send(head.substr(0, head.size() - std::min(left, head.size())));
                    QTimer::singleShot(1, [request, isReset] { isReset ? request.reset() : request.close(); });
                };
                CHECK(bed.callOnce("/once/").status == 502);
                const CallerReply resumed = bed.callOnce("/talk/");
                CHECK(resumed.isWhole);
                CHECK(resumed.body == events(1, lastEvent));
            }
        }
    }
}

// Guards against the same for plain answers, directly and over a tunnel.
TEST_CASE("a plain answer that ends inside its head is none, through another gateway either")
{
    for (const bool isTunnelled : {false, true}) {
        CAPTURE(isTunnelled);
        CutOffBed bed;
        bed.startBoth();
        if (isTunnelled) {
            bed.cutAndNotice();
        }
        std::size_t left = 0;
        for (const auto &[name, target] : bed.targets) {
            target->answers = [&left](FakeRequest &request) {
                const std::string head = answerHead(request, "Content-Length: 0\r\n");
                request.send(head.substr(0, head.size() - std::min(left, head.size())));
                QTimer::singleShot(1, [request] { request.close(); });
            };
        }
        for (left = 1; left < answerHead(FakeRequest(), "Content-Length: 0\r\n").size(); left += 4) {
            CAPTURE(left);
            const int status = bed.call("POST", "/desk/1", "Content-Length: 0\r\n").status;
            CHECK(status >= 500);
        }
    }
}

// Guards against callers of HTTP/1.0, who know no chunks, that get the marks of chunks within a stream, or cannot tell
// one that broke off: for them the close of the connection is the end.
TEST_CASE("a caller of HTTP/1.0 gets a stream without chunks, and a reset where it breaks off")
{
    BreakingBed bed;
    bed.start();
    const auto call = [&bed](const std::string &path) {
        bed.runs = 0;
        FakeCaller caller(bed.address());
        caller.send("POST " + path + " HTTP/1.0\r\nHost: x\r\nX-Key: k1\r\nX-Id: id-1\r\nContent-Length: 0\r\n\r\n");
        CHECK(GatewayTestbed::waitFor([&caller] { return caller.reply.hasEnded; }));
        return caller.reply;
    };
    bed.breaks = [](const FakeRequest &request, const std::string &) {
        sendStream(request, Framing::Chunks, events(1, lastEvent));
    };
    const CallerReply whole = call("/once/1");
    CHECK(whole.isWhole);
    CHECK_FALSE(whole.head.chunked);
    CHECK(whole.body == events(1, lastEvent));
    bed.breaks = [](const FakeRequest &request, const std::string &) {
        const std::string torn = events(1, 2);
        sendStream(request, Framing::Close, torn.substr(0, torn.size() - 1));
    };
    const CallerReply broken = call("/once/2");
    CHECK(broken.status == 200);
    CHECK_FALSE(broken.isWhole);
    CHECK(broken.end == StreamEnd::Reset);
}

// Guards against a part of an answer that passes for a whole one: its target reset the connection while the request was
// being written, and the write met the reset before the read did.
TEST_CASE("an answer without a length that is reset before its request was written is none")
{
    for (const bool isLong : {false, true}) {
        CAPTURE(isLong);
        GatewayTestbed bed;
        bed.publish(GatewayTestbed::configuration());
        bed.addTarget("t1", "desk");
        bed.start();
        const auto early = makeEarly(bed, "t1", "200 OK", true);
        for (int i = 0; i < 5; ++i) {
            const std::string path = "/desk/" + std::to_string(i);
            const CallerReply reply
                = ask(bed, isLong ? longRequest(bed, path) : bed.request("POST", path, "Content-Length: 0\r\n"));
            CHECK(reply.status >= 500);
            CHECK(reply.body.find("part") == std::string::npos);
        }
        CHECK(early->connections > 0);
    }
}

// Guards against the same where the target, or its kernel, closes in order: nothing else marks the end of the answer,
// and the target has not had the request.
TEST_CASE("a success without a length that ends before its request was written whole is none")
{
    GatewayTestbed bed;
    bed.publish(GatewayTestbed::configuration());
    bed.addTarget("t1", "desk");
    bed.start();
    SUBCASE("and its caller hears that the outcome is unknown")
    {
        const auto early = makeEarly(bed, "t1", "200 OK", false);
        const CallerReply reply = ask(bed, longRequest(bed, "/desk/1"));
        CHECK(reply.status == 502);
        CHECK(early->connections > 0);
    }
    SUBCASE("but its caller gets a target's reason for not reading on")
    {
        const auto early = makeEarly(bed, "t1", "413 Payload Too Large", false);
        const CallerReply reply = ask(bed, longRequest(bed, "/desk/1"));
        CHECK(reply.status == 413);
        CHECK(reply.body == "part");
    }
    SUBCASE("and a short request, which was written whole, has its answer")
    {
        const auto early = makeEarly(bed, "t1", "200 OK", false);
        const CallerReply reply = ask(bed, bed.request("POST", "/desk/1", "Content-Length: 0\r\n"));
        CHECK(reply.status == 200);
        CHECK(reply.body == "part");
    }
}

// Guards against both through another gateway, which tells how the target's connection ended.
TEST_CASE("an early answer that ends with its connection is none through another gateway either")
{
    for (const bool isReset : {true, false}) {
        CAPTURE(isReset);
        CutOffBed bed;
        bed.startBoth();
        bed.cutAndNotice();
        std::vector<std::unique_ptr<EarlyTarget>> early;
        for (int i = 0; i < 4; ++i) {
            early.push_back(makeEarly(bed, "desk" + std::to_string(i), "200 OK", isReset));
        }
        const CallerReply reply = ask(bed, longRequest(bed, "/desk/1"));
        CHECK(reply.status >= 500);
        CHECK(reply.body.find("part") == std::string::npos);
    }
}
