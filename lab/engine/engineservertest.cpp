#include "lab/engine/engineserver.h"

#include "lab/support/labcall.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QJsonArray>
#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

int argc = 0;
const QCoreApplication app(argc, nullptr);

const std::string firstId = "00000000000000000000000000000001";
const std::string secondId = "00000000000000000000000000000002";
const std::string chatPath = "/v1/chat/completions";

std::string chatBody(const std::string &nonce, int tokens, bool stream)
{
    return R"({"model": "m", "stream": )" + std::string(stream ? "true" : "false") + R"(, "max_tokens": )"
        + std::to_string(tokens) + R"(, "messages": [{"role": "user", "content": "say )" + nonce + R"("}]})";
}

HttpHeaders withId(const std::string &id)
{
    return {{{"X-Request-Id", id}}};
}

EngineServerOptions quickEngine()
{
    EngineServerOptions options;
    options.settings.stepMicros = 1000;
    options.settings.grace = Millis{150};
    return options;
}

/** An engine that listens, and a caller of it. */
struct Bench
{
    explicit Bench(const EngineServerOptions &options = quickEngine())
        : engine(options)
        , caller((this->engine.listen(), this->engine.port()))
    {
    }

    QJsonObject stats()
    {
        return this->caller.call("GET", "/lab/stats").json();
    }

    QJsonObject run(int index)
    {
        return this->caller.call("GET", "/lab/runs").json().value("runs").toArray().at(index).toObject();
    }

    EngineServer engine;
    LabCaller caller;
};

} // namespace

TEST_CASE("a chat is answered whole, streamed or not, under the request's id")
{
    for (const bool stream : {true, false}) {
        CAPTURE(stream);
        Bench bench;
        const LabAnswer answer = bench.caller.call("POST", chatPath, chatBody("n1", 3, stream), withId(firstId));
        CHECK(answer.whole);
        CHECK(answer.status == 200);
        CHECK(answer.headers.value("X-Request-Id") == firstId);
        CHECK(answer.body.find("chatcmpl-" + firstId) != std::string::npos);
        CHECK(answer.body.find("echo-n1 ") != std::string::npos);
        CHECK(answer.body.find(R"("completion_tokens":3)") != std::string::npos);
        CHECK(answer.body.ends_with("data: [DONE]\n\n") == stream);
    }
}

TEST_CASE("faults that show before or at the end of an answer")
{
    struct Case
    {
        const char *fault;
        int status;
        bool whole;
        bool ownId;
        int runs;
    };
    const Case cases[] = {
        {R"({"mode": "none"})", 200, true, true, 1},
        {R"({"mode": "refuse"})", 503, true, true, 0},
        {R"({"mode": "slow", "value": 30})", 200, true, true, 1},
        {R"({"mode": "silent"})", 0, false, false, 0},
        {R"({"mode": "silent", "value": 1})", 0, false, false, 1},
        {R"({"mode": "break_midway", "value": 2})", 200, false, true, 1},
        {R"({"mode": "wrong_id"})", 200, true, false, 1},
        {R"({"mode": "crossed"})", 200, true, true, 1},
        {R"({"mode": "error500"})", 500, true, true, 0},
        {R"({"mode": "error500", "value": 1})", 500, true, true, 1},
    };
    for (const Case &row : cases) {
        CAPTURE(row.fault);
        Bench bench;
        CHECK(bench.caller.call("POST", "/lab/fault", row.fault).status == 200);
        const LabAnswer answer
            = bench.caller.call("POST", chatPath, chatBody("n1", 5, true), withId(firstId), Millis{600});
        CHECK(answer.status == row.status);
        CHECK(answer.whole == row.whole);
        CHECK((answer.headers.value("X-Request-Id") == firstId) == row.ownId);
        CHECK(bench.stats().value("runs").toInteger() == row.runs);
    }
}

TEST_CASE("two crossed requests get each other's answer, ids and all")
{
    Bench bench;
    bench.caller.call("POST", "/lab/fault", R"({"mode": "crossed"})");
    const auto first = bench.caller.start("POST", chatPath, chatBody("n1", 2, true), withId(firstId));
    const auto second = bench.caller.start("POST", chatPath, chatBody("n2", 2, true), withId(secondId));
    CHECK(LabCaller::waitFor([&] { return first->whole && second->whole; }));
    CHECK(first->headers.value("X-Request-Id") == secondId);
    CHECK(first->body.find("echo-n2 ") != std::string::npos);
    CHECK(second->body.find("echo-n1 ") != std::string::npos);
}

TEST_CASE("a stream broken midway is resumed from an offset without running again")
{
    Bench bench;
    bench.caller.call("POST", "/lab/fault", R"({"mode": "break_midway", "value": 2})");
    const LabAnswer broken = bench.caller.call("POST", chatPath, chatBody("n1", 20, true), withId(firstId));
    CHECK(broken.error.has_value());
    const LabAnswer rest = bench.caller.call("GET", "/v1/streams/" + firstId + "?offset=2");
    CHECK(rest.whole);
    CHECK(rest.body.find(R"("offset":1,)") == std::string::npos);
    CHECK(rest.body.find(R"("offset":2,)") != std::string::npos);
    CHECK(rest.body.find("t19 ") != std::string::npos);
    CHECK(rest.body.ends_with("data: [DONE]\n\n"));
    CHECK(bench.stats().value("runs").toInteger() == 1);
    CHECK(bench.caller.call("GET", "/v1/streams/" + secondId + "?offset=0").status == 404);
    CHECK(bench.caller.call("GET", "/v1/streams/" + firstId + "?offset=99").status == 400);
}

TEST_CASE("a run is cancelled by DELETE, and by a closed connection after the grace time")
{
    for (const bool byDelete : {true, false}) {
        CAPTURE(byDelete);
        Bench bench;
        const auto answer = bench.caller.start("POST", chatPath, chatBody("n1", 100000, true), withId(firstId));
        CHECK(LabCaller::waitFor([&answer] { return !answer->body.empty(); }));
        if (byDelete) {
            CHECK(bench.caller.call("DELETE", "/v1/streams/" + firstId).status == 204);
            CHECK(LabCaller::waitFor([&answer] { return answer->whole; }));
            CHECK(answer->body.find("[DONE]") == std::string::npos);
            CHECK(answer->body.find(R"(data: {"error")") != std::string::npos);
        } else {
            bench.caller.hangUp();
            CHECK(LabCaller::waitFor([&bench] { return bench.stats().value("in_flight").toInteger() == 0; }));
        }
        CHECK(bench.run(0).value("cancelled").toBool());
        CHECK(bench.caller.call("DELETE", "/v1/streams/" + firstId).status == 404);
    }
}

TEST_CASE("load and cache events are published")
{
    EngineServerOptions options = quickEngine();
    options.settings.cacheEventLag = Millis{0};
    options.settings.loadLag = Millis{0};
    Bench bench(options);
    std::string words;
    for (int i = 0; i < 20; ++i) {
        words += "w" + std::to_string(i) + " ";
    }
    bench.caller.call("POST", chatPath, chatBody(words, 1, false));
    const QJsonObject events = bench.caller.call("GET", "/cache_events?after=0").json();
    CHECK(events.value("next").toInteger() == 1);
    CHECK(events.value("events").toArray().at(0).toObject().value("kind").toString() == "stored");
    const QJsonObject load = bench.caller.call("GET", "/load").json();
    CHECK(load.value("target").toString() == "engine");
    CHECK(load.value("in_flight").toInteger(-1) == 0);
    CHECK(load.value("capacity").toInteger() == 64);
}
