#include "sequoiausher/transport/router/loadpoller.h"

#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/http/testloop.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Internal;

namespace {

/** A target that answers each call with one status and body. */
class Target : public HttpHandler
{
public:
    Target() : server(*this, HttpServerOptions{})
    {
        testApplication();
        this->server.listen();
    }

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        ++this->calls;
        exchange->respond(this->status, {}, this->body);
    }

    TargetView view() const
    {
        TargetView view;
        view.description.target = TargetId{"t"};
        view.description.address = "127.0.0.1:" + std::to_string(this->server.port());
        return view;
    }

    int status = 200;
    std::string body;
    int calls = 0;

private:
    HttpServer server;
};

struct Outcome
{
    std::optional<ReportedLoad> load;
    int callsAfterOneTurn = 0;
};

/** What comes of asking target once, and of asking it again after a turn's time. */
Outcome ask(Target &target)
{
    HttpClient client({});
    Outcome outcome;
    LoadPoller poller(client, [&outcome](const TargetView &, const ReportedLoad &load) { outcome.load = load; });
    const Millis now = Millis::monotonicNow();
    poller.poll(now, {target.view()});
    runUntil([&target] { return target.calls == 1; });
    runUntil([&client] { return client.openCalls() == 0; });
    poller.poll(now + Millis{600}, {target.view()});
    runFor(100);
    outcome.callsAfterOneTurn = target.calls;
    return outcome;
}

} // namespace

TEST_CASE("what a target says of its load is taken only where it makes sense")
{
    // Guards against taking any object for a report of no load, as a plain service answers any path with one, and a
    // negative number for one of four billion.
    struct Case
    {
        int status;
        const char *body;
        std::optional<std::uint32_t> load;
        bool askedAgainSoon;
    };
    const Case cases[] = {
        {200, R"({"in_flight": 3, "queued": 2, "age_ms": 5, "incarnation": 7})", 5, true},
        {200, R"({"in_flight": 0})", 0, true},
        {200, "{}", std::nullopt, false},
        {200, "ok", std::nullopt, false},
        {200, R"({"in_flight": -1})", std::nullopt, false},
        {200, R"({"in_flight": 1, "queued": -5})", std::nullopt, false},
        {200, R"({"in_flight": 4294967295, "queued": 1})", std::nullopt, false},
        {200, R"({"in_flight": "many"})", std::nullopt, false},
        {404, "", std::nullopt, false},
        {503, "", std::nullopt, true},
    };
    for (const Case &row : cases) {
        const std::string body = row.body;
        CAPTURE(row.status);
        CAPTURE(body);
        Target target;
        target.status = row.status;
        target.body = body;
        const Outcome outcome = ask(target);
        CHECK(outcome.load.has_value() == row.load.has_value());
        if (outcome.load && row.load) {
            CHECK(outcome.load->load == *row.load);
        }
        CHECK(outcome.callsAfterOneTurn == (row.askedAgainSoon ? 2 : 1));
    }
}
