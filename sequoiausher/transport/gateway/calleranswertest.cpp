#include "sequoiausher/transport/gateway/calleranswer.h"

#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;

/** A caller that keeps what it is given, and takes as much of it as a test says. */
class Reader : public CallerSide
{
public:
    void write(std::string_view bytes) override
    {
        this->given += bytes;
    }
    void finished(bool /*closes*/) override
    {
    }
    void cutOff() override
    {
    }
    void abort() override
    {
    }
    std::size_t pendingBytes() const override
    {
        return this->pending;
    }
    std::uint64_t connectionNumber() const override
    {
        return 1;
    }

    std::string given;
    std::size_t pending = 0;
};

/** A target that is told whether to go on. */
class Target : public AnswerSource
{
public:
    bool setReading(bool on) override
    {
        this->asked += 1;
        this->isRead = this->isThere ? on : this->isRead;
        return this->isThere;
    }

    bool isThere = true;
    bool isRead = true;
    int asked = 0;
};

HttpHead requestHead(bool keepAlive = true, const std::string &method = "GET")
{
    HttpHead head;
    head.method = method;
    head.keepAlive = keepAlive;
    return head;
}

/** One answer with all that it needs. */
struct Given
{
    explicit Given(HttpHead request = requestHead())
        : head(std::move(request))
        , context(*this->bed.dialect, *this->bed.log, this->metrics, this->bed.settings, 1)
        , answer(this->context, this->caller, this->target, this->head)
    {
    }

    void begin(RouteKind kind, bool isEventStream, int status = 200)
    {
        HttpHead said;
        said.status = status;
        TargetAnswer known;
        known.status = status;
        known.isEventStream = isEventStream;
        this->answer.expect(kind, "");
        this->answer.beginAttempt();
        this->answer.began(said, known);
    }

    void add(std::string_view bytes)
    {
        if (this->answer.add(bytes)) {
            this->answer.writeReady();
        }
    }

    bool hasGiven(std::string_view part) const
    {
        return this->caller.given.find(part) != std::string::npos;
    }

    GatewayTestbed bed;
    Metrics metrics;
    HttpHead head;
    GatewayContext context;
    Reader caller;
    Target target;
    CallerAnswer answer;
};

} // namespace

TEST_CASE("a stream is given event by event, from all its targets under one head")
{
    Given given;
    given.begin(RouteKind::Stream, true);
    given.add("id: 1\ndata: a");
    CHECK(given.caller.given.empty());
    CHECK_FALSE(given.answer.isBegun());
    given.add("\n\nid: 2\nda");
    CHECK(given.answer.isBegun());
    CHECK(given.hasGiven("HTTP/1.1 200 "));
    CHECK(given.hasGiven("Transfer-Encoding: chunked\r\n"));
    CHECK(given.hasGiven("\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"));
    CHECK(given.answer.lastEventId() == "1");

    given.caller.given.clear();
    given.answer.beginAttempt();
    CHECK_FALSE(given.answer.hasHead());
    given.answer.began(given.answer.targetHead(), given.answer.targetAnswer());
    given.add("id: 2\ndata: b\n\n");
    CHECK(given.caller.given == "f\r\nid: 2\ndata: b\n\n\r\n");
    CHECK(given.answer.eventCount() == 2);
    given.answer.endStream();
    CHECK(given.caller.given == "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
}

TEST_CASE("a plain answer is held until it is whole, and what an earlier target left of it is dropped")
{
    Given given;
    given.begin(RouteKind::Idempotent, false);
    given.add("half");
    given.answer.beginAttempt();
    given.answer.began(given.answer.targetHead(), given.answer.targetAnswer());
    given.add("who");
    given.add("le");
    CHECK(given.caller.given.empty());
    CHECK_FALSE(given.answer.isForwardedAsItArrives());
    given.answer.writeHeld();
    CHECK(given.hasGiven("Content-Length: 5\r\n"));
    CHECK(given.hasGiven("\r\n\r\nwhole"));
    CHECK(given.answer.status() == 200);
}

TEST_CASE("a plain answer that is too long to be held is given as it comes")
{
    Given given;
    given.begin(RouteKind::Idempotent, false);
    given.add(std::string(mebibyte, 'a'));
    CHECK(given.caller.given.empty());
    given.add("b");
    CHECK(given.answer.isBegun());
    CHECK(given.answer.isForwardedAsItArrives());
    CHECK(given.hasGiven("\r\n\r\n100001\r\naaa"));
    given.caller.given.clear();
    given.add("cc");
    given.answer.endStream();
    CHECK(given.caller.given == "2\r\ncc\r\n0\r\n\r\n");
}

// Guards against an answer without an end that fills the memory of a gateway while its caller takes none of it.
TEST_CASE("of a plain answer that its caller does not take a bounded part is read")
{
    constexpr std::size_t mostHeld = 16UL * mebibyte;
    Given given;
    given.begin(RouteKind::Idempotent, false);
    given.caller.pending = mostHeld;
    given.add(std::string(mebibyte + 1, 'x'));
    CHECK(given.target.isRead);
    given.caller.pending += 1;
    given.add("x");
    CHECK_FALSE(given.target.isRead);
    CHECK(given.answer.isReadingPaused());
    given.caller.pending = 0;
    given.answer.callerDrained();
    CHECK(given.target.isRead);
}

// Guards against "not run" that a caller is told of a request that ran, by an answer that is passed on as it comes.
TEST_CASE("an answer whose status states that nothing ran is not passed on before it is whole")
{
    Given given;
    given.begin(RouteKind::AtMostOnce, false, 503);
    given.add(std::string(mebibyte, 'x'));
    CHECK_FALSE(given.answer.isTooLong());
    given.add("x");
    CHECK(given.answer.isTooLong());
    CHECK(given.caller.given.empty());
}

TEST_CASE("what calls itself a stream is one only with success, on a route for streams")
{
    Given given;
    given.begin(RouteKind::Stream, true);
    CHECK(given.answer.isEventStream());
    given.begin(RouteKind::Stream, true, 500);
    CHECK_FALSE(given.answer.isEventStream());
    given.begin(RouteKind::Stream, false);
    CHECK_FALSE(given.answer.isEventStream());
    given.begin(RouteKind::Idempotent, true);
    CHECK_FALSE(given.answer.isEventStream());
}

// Guards against a process that grows by what a slow caller has not read, because its target is read regardless.
TEST_CASE("a target whose caller takes less than it is given is not read until it does")
{
    Given given;
    given.begin(RouteKind::Stream, true);
    given.caller.pending = 256UL * 1024;
    given.add("id: 1\n\n");
    CHECK(given.target.isRead);
    given.caller.pending += 1;
    given.add("id: 2\n\n");
    CHECK_FALSE(given.target.isRead);
    CHECK(given.answer.isReadingPaused());
    given.add("id: 3\n\n");
    CHECK(given.target.asked == 1);
    given.answer.callerDrained();
    CHECK(given.target.isRead);
    CHECK_FALSE(given.answer.isReadingPaused());
    given.answer.callerDrained();
    CHECK(given.target.asked == 2);
}

// Guards against a resumed stream that never times out. Its caller reads slowly when the first target breaks off, and
// the silence of the second target is ignored because the stream still counts as paused.
TEST_CASE("a stream that goes on at another target does not count as paused by the one before")
{
    Given given;
    given.begin(RouteKind::Stream, true);
    given.caller.pending = mebibyte;
    given.add("id: 1\ndata: x\n\n");
    REQUIRE(given.answer.isReadingPaused());
    given.answer.beginAttempt();
    CHECK_FALSE(given.answer.isReadingPaused());
}

TEST_CASE("where no target is read, none counts as paused")
{
    Given given;
    given.begin(RouteKind::Stream, true);
    given.caller.pending = mebibyte;
    given.target.isThere = false;
    given.add("id: 1\n\n");
    CHECK_FALSE(given.answer.isReadingPaused());
}

TEST_CASE("an answer says whether its connection closes, and keeps to what it said")
{
    SUBCASE("the caller asked for it")
    {
        Given given(requestHead(false));
        given.begin(RouteKind::Idempotent, false);
        given.answer.writeHeld();
        CHECK(given.hasGiven("Connection: close\r\n"));
        CHECK(given.answer.closes());
    }
    SUBCASE("the gateway stops")
    {
        Given given;
        given.begin(RouteKind::Idempotent, false);
        given.context.stop.begin({Millis{8000}, Millis{3000}}, Millis{1});
        given.answer.writeHeld();
        CHECK(given.hasGiven("Connection: close\r\n"));
        CHECK(given.answer.closes());
    }
    SUBCASE("a stop that begins within a stream comes too late to be said")
    {
        Given given;
        given.begin(RouteKind::Stream, true);
        given.add("id: 1\n\n");
        given.context.stop.begin({Millis{8000}, Millis{3000}}, Millis{1});
        given.answer.endStream();
        CHECK_FALSE(given.hasGiven("Connection: close"));
        CHECK_FALSE(given.answer.closes());
    }
}

TEST_CASE("the gateway's own answer")
{
    CallerRequest request;
    request.attemptId = "a-1";
    SUBCASE("has a reason, and says when to come back")
    {
        Given given;
        given.answer.answerOwn(request, 503, "no target", Millis{250});
        CHECK(given.hasGiven("HTTP/1.1 503 "));
        CHECK(given.hasGiven("Retry-After: 0.250\r\n"));
        CHECK(given.hasGiven("a-1"));
        CHECK(given.hasGiven("\r\n\r\nno target\n"));
        CHECK(given.answer.status() == 503);
    }
    SUBCASE("has no body where the request was HEAD")
    {
        Given given(requestHead(false, "HEAD"));
        given.answer.answerOwn(request, 502, "failed", std::nullopt);
        CHECK(given.hasGiven("Content-Length: 0\r\n"));
        CHECK_FALSE(given.hasGiven("failed"));
        CHECK(given.answer.closes());
    }
}
