#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <QTimer>

#include <doctest/doctest.h>

#include <string>

using namespace Sequoiausher;

namespace {

const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/** Targets that answer one request and then, before the answer to a later one, send a refusal that belongs to none. */
struct ForeignBed : GatewayTestbed
{
    ForeignBed()
    {
        this->publish(configuration());
        for (const std::string service : {"desk", "look"}) {
            for (const std::string name : {"1", "2"}) {
                FakeServer &target = this->addTarget(service + name, service);
                target.isRecording = false;
                target.answers = [this](FakeRequest &request) {
                    this->runs += 1;
                    if (this->runs > this->sound) {
                        request.send(refusal);
                    }
                    request.reply("200 OK", "whole");
                };
            }
        }
        this->start();
    }

    /** Each call has an attempt id of its own. */
    CallerReply callNext(const std::string &method, const std::string &route)
    {
        return this->call(method, route + std::to_string(++this->calls), "Content-Length: 0\r\n");
    }

    int runs = 0;
    /** So many requests are answered without a refusal before. */
    int sound = 1000;
    int calls = 0;
};

} // namespace

// Guards against "not run" for a request that runs, because bytes that belong to no request were taken for its answer.
TEST_CASE("a refusal without an id is not believed where the answers of its connection bear ids")
{
    ForeignBed bed;
    constexpr int kept = 8;
    for (int i = 0; i < kept; ++i) {
        REQUIRE(bed.callNext("POST", "/desk/").status == 200);
    }
    bed.sound = bed.runs;
    const CallerReply reply = bed.callNext("POST", "/desk/");
    CHECK(bed.runs == kept + 1);
    CHECK(reply.status == 502);
}

// The same for a request that may be repeated, which another target answers.
TEST_CASE("a request that may be repeated goes elsewhere where its connection has a foreign refusal")
{
    ForeignBed bed;
    constexpr int kept = 8;
    for (int i = 0; i < kept; ++i) {
        REQUIRE(bed.callNext("GET", "/look/").status == 200);
    }
    bed.sound = bed.runs + 1;
    CHECK(bed.callNext("GET", "/look/").status == 200);
}

// Guards against targets whose refusals are never believed, since they bear no ids at all.
TEST_CASE("a refusal without an id is believed on a connection without earlier answers")
{
    GatewayTestbed bed;
    bed.publish(GatewayTestbed::configuration());
    FakeServer &target = bed.addTarget("desk1", "desk");
    target.answers = [](FakeRequest &request) { request.send(refusal); };
    bed.start();
    CHECK(bed.call("POST", "/desk/1", "Content-Length: 0\r\n").status == 503);
}

// Guards against a request that is written to a connection with bytes that nobody asked for.
TEST_CASE("a connection with bytes that belong to no request is not used again")
{
    GatewayTestbed bed;
    bed.publish(GatewayTestbed::configuration());
    FakeServer &target = bed.addTarget("desk1", "desk");
    int unasked = 0;
    target.answers = [&unasked](FakeRequest &request) {
        request.reply("200 OK", "whole");
        QTimer::singleShot(1, [request, &unasked] {
            request.send(refusal);
            unasked += 1;
        });
    };
    bed.start();
    constexpr int calls = 6;
    for (int i = 1; i <= calls; ++i) {
        CHECK(bed.call("POST", "/desk/" + std::to_string(i), "Content-Length: 0\r\n").status == 200);
        // Bytes that come after the next request was written look like its answer.
        REQUIRE(GatewayTestbed::waitFor([&unasked, i] { return unasked == i; }));
    }
}

// Guards against bytes of a target in trouble that its caller gets as an answer, and against "not run" for its request.
TEST_CASE("a head that is none of an answer reaches no caller")
{
    for (const std::string line : {"HTTP/1.1 000 OK",
                                   "HTTP/1.1 099 OK",
                                   "HTTP/1.1 600 OK",
                                   "HTTP/1.1 999 OK",
                                   "HTTP/1.1 200 OK\r\nX Y: 1",
                                   "HTTP/1.1 200 OK\r\nX\x01Y: 1",
                                   "HTTP/1.1 200 OK\r\nX\t: 1"}) {
        CAPTURE(line);
        for (const bool isSafe : {false, true}) {
            ForeignBed bed;
            int spoilt = 0;
            for (const auto &[name, target] : bed.targets) {
                target->answers = [&](FakeRequest &request) {
                    spoilt += 1;
                    if (spoilt > 1) {
                        request.reply("200 OK", "whole");
                        return;
                    }
                    request.send(line + "\r\nX-Id: " + request.header("X-Id") + "\r\nX-Signed: yes\r\n"
                                 + "Content-Length: 6\r\n\r\nspoilt");
                };
            }
            const CallerReply reply = bed.callNext(isSafe ? "GET" : "POST", isSafe ? "/look/" : "/desk/");
            CHECK(reply.isWhole);
            CHECK(reply.status == (isSafe ? 200 : 502));
            CHECK(reply.body.find("spoilt") == std::string::npos);
            CHECK(spoilt == (isSafe ? 2 : 1));
        }
    }
}
