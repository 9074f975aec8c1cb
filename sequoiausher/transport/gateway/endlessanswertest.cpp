#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <QTimer>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

/** Bytes without an end: first begin, then piece again and again. */
struct Pouring
{
    std::string name;
    std::string begin;
    std::string piece;
};

constexpr std::size_t pieceBytes = 65536;
/** What a gateway may take from one target before it closes the connection; its sockets buffer some of it. */
constexpr std::size_t mostPoured = 24UL * 1024 * 1024;
constexpr Millis longestPouring{1500};

std::string answerHead(const FakeRequest &request, const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + request.header("X-Id") + "\r\nX-Signed: yes\r\n" + fields + "\r\n";
}

std::vector<Pouring> pourings(const FakeRequest &request)
{
    const std::string chunked = answerHead(request, "Transfer-Encoding: chunked\r\n");
    const std::string letters(pieceBytes, 'a');
    return {{"zero bytes", "", std::string(pieceBytes, '\0')},
            {"a status line", "HTTP/1.1 200 ", letters},
            {"a field", "HTTP/1.1 200 OK\r\nX: ", letters},
            {"interim answers", "", "HTTP/1.1 102 Processing\r\nX: " + std::string(1000, 'a') + "\r\n\r\n"},
            {"a chunk's line", chunked + "4;x=", letters},
            {"trailers", chunked + "4\r\nabcd\r\n0\r\nX: ", letters}};
}

/** A chunked answer without an end whose status states that the request did not run. */
Pouring refusalPouring(const FakeRequest &request, const std::string &fields)
{
    const std::string head = "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + request.header("X-Id") + "\r\n" + fields
        + "Transfer-Encoding: chunked\r\n\r\n";
    return {"a refusal", head, "10000\r\n" + std::string(pieceBytes, 'a') + "\r\n"};
}

Pouring eventPouring(const FakeRequest &request)
{
    const std::string head = answerHead(request, "Content-Type: text/event-stream\r\nConnection: close\r\n");
    return {"an event", head + "id: 1\ndata: x\n\nid: 2\ndata: ", std::string(pieceBytes, 'a')};
}

/** The first target that is asked pours until its connection is closed; the others answer. */
struct PouringBed : GatewayTestbed
{
    explicit PouringBed(const std::function<Pouring(const FakeRequest &request)> &draw)
    {
        this->publish(configuration());
        for (const std::string service : {"desk", "look", "llm"}) {
            for (int number = 1; number <= 4; ++number) {
                FakeServer &target = this->addTarget(service + std::to_string(number), service);
                target.isRecording = false;
                target.lost = [this](const FakeConnection &connection) {
                    if (&connection == this->pouredTo) {
                        this->isPouring = false;
                    }
                };
                target.answers = [this, draw](FakeRequest &request) {
                    this->runs += 1;
                    if (this->runs > 1) {
                        request.reply("200 OK", "whole");
                        return;
                    }
                    this->pouredTo = request.connection.get();
                    this->isPouring = true;
                    this->begunAt = Millis::monotonicNow();
                    const Pouring pouring = draw(request);
                    request.send(pouring.begin);
                    this->pour(request, pouring.piece);
                };
            }
        }
        this->start();
    }

    void pour(const FakeRequest &request, const std::string &piece)
    {
        QTimer::singleShot(1, [this, alive = std::weak_ptr(this->life), request, piece] {
            if (alive.expired()) {
                return;
            }
            if (!this->isPouring) {
                this->took = Millis::monotonicNow() - this->begunAt;
                return;
            }
            request.send(piece);
            this->poured += piece.size();
            this->pour(request, piece);
        });
    }

    void checkEnded()
    {
        CHECK(waitFor([this] { return !this->isPouring; }));
        waitFor([this] { return this->took > Millis{0}; });
        CHECK(this->poured <= mostPoured);
        CHECK(this->took <= longestPouring);
    }

    std::shared_ptr<const bool> life = std::make_shared<const bool>(true);
    const FakeConnection *pouredTo = nullptr;
    bool isPouring = false;
    std::size_t poured = 0;
    int runs = 0;
    Millis begunAt;
    Millis took;
};

constexpr std::size_t kinds = 6;

} // namespace

// Guards against an answer without an end that fills the memory of a gateway, and against "not run" for its request.
TEST_CASE("a request that may run once is told that its outcome is unknown when its answer has no end")
{
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        PouringBed bed([kind](const FakeRequest &request) { return pourings(request)[kind]; });
        CAPTURE(kind);
        const CallerReply reply = bed.call("POST", "/desk/1", "Content-Length: 0\r\n");
        CHECK(reply.status == 502);
        CHECK(bed.runs == 1);
        bed.checkEnded();
        CHECK(bed.call("POST", "/desk/2", "Content-Length: 0\r\n").status == 200);
    }
}

// Guards against callers who wait for the end of such an answer though another target may answer them.
TEST_CASE("a request that may be repeated is answered by another target when its answer has no end")
{
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        PouringBed bed([kind](const FakeRequest &request) { return pourings(request)[kind]; });
        CAPTURE(kind);
        const CallerReply reply = bed.call("GET", "/look/1");
        CHECK(reply.status == 200);
        CHECK(reply.body == "whole");
        bed.checkEnded();
    }
}

// Guards against "not run" for a request that ran, where the status that states it comes with a body without an end.
TEST_CASE("a refusal without an end is believed only where the target states that the request did not run")
{
    PouringBed unstated([](const FakeRequest &request) { return refusalPouring(request, ""); });
    CHECK(unstated.call("POST", "/desk/1", "Content-Length: 0\r\n").status == 502);
    CHECK(unstated.runs == 1);
    unstated.checkEnded();

    PouringBed stated([](const FakeRequest &request) { return refusalPouring(request, "X-Not-Run: 1\r\n"); });
    const CallerReply reply = stated.call("POST", "/desk/1", "Content-Length: 0\r\n");
    CHECK((reply.status == 200 || reply.status == 503));
    stated.checkEnded();
}

// Load: many callers whose answers have no end, and one with a whole answer. Guards against callers who wait behind
// them.
TEST_CASE("other callers are answered while targets pour bytes without an end")
{
    PouringBed bed([](const FakeRequest &request) { return pourings(request)[4]; });
    constexpr int poured = 20;
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (int i = 0; i < poured; ++i) {
        bed.runs = 0;
        const std::string path = "/desk/" + std::to_string(i);
        callers.push_back(std::make_unique<FakeCaller>(bed.address()));
        callers.back()->send(bed.request("POST", path, "Content-Length: 0\r\n"));
        GatewayTestbed::waitFor([&bed] { return bed.runs > 0; });
    }
    const Millis begun = Millis::monotonicNow();
    CHECK(bed.call("GET", "/look/1").status == 200);
    CHECK(Millis::monotonicNow() - begun < Millis{500});
    CHECK(GatewayTestbed::waitFor([&callers] {
        return std::all_of(callers.begin(), callers.end(), [](const auto &caller) { return caller->reply.isWhole; });
    }));
}

// Guards against an event without an end that fills the memory of a gateway while its caller waits for it.
TEST_CASE("a stream whose event has no end is cut off, and its whole events are delivered")
{
    PouringBed bed(eventPouring);
    const CallerReply reply = bed.call("POST", "/once/1", "Content-Length: 0\r\n");
    CHECK(reply.status == 200);
    CHECK(reply.body == "id: 1\ndata: x\n\n");
    CHECK_FALSE(reply.isWhole);
    bed.checkEnded();
}
