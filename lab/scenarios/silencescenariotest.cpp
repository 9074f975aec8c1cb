// Connections that go silent between clients, routers and targets, with a fleet of real processes.

#include "lab/relay/relay.h"
#include "lab/scenarios/fleetprobe.h"
#include "lab/support/labcall.h"

#include <QtCore/QCoreApplication>
#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

int argc = 0;
const QCoreApplication app(argc, nullptr);

const std::string chatPath = "/v1/chat/completions";
constexpr Millis deadline{1500};
/** How much later than its deadline a request may end: ticks of the router, and a busy machine. */
constexpr Millis deadlineSlack{1000};

FleetOptions small(std::size_t routers, std::size_t engines, std::size_t services)
{
    FleetOptions options;
    options.routers = routers;
    options.engines = engines;
    options.services = services;
    options.firstStart = services > 0;
    return options;
}

/** Relays between the routers and each engine: the engines are published under the relays' ports. */
class EngineRelays
{
public:
    explicit EngineRelays(Fleet &fleet)
    {
        std::vector<std::uint16_t> ports;
        for (const std::uint16_t port : fleet.enginePorts()) {
            this->relays.push_back(std::make_unique<Relay>(Endpoint{"127.0.0.1", 0}, Endpoint{"127.0.0.1", port}));
            ports.push_back(this->relays.back()->listening().port);
        }
        fleet.publish(std::string("targets/") + enginePool, engineDocument(ports));
        // The address of a known life stays; the new one is in force once the document is.
        LabCaller::waitFor([] { return false; }, Millis{500});
    }

    void setLinks(LinkMode mode)
    {
        for (const auto &relay : this->relays) {
            relay->setLink(Link{mode, {}});
        }
    }

private:
    std::vector<std::unique_ptr<Relay>> relays;
};

bool isEnded(const LabAnswer &answer)
{
    return answer.whole || answer.error.has_value();
}

/** How often text stands in body. */
std::size_t countOf(const std::string &body, const std::string &text)
{
    std::size_t count = 0;
    for (std::size_t at = body.find(text); at != std::string::npos; at = body.find(text, at + text.size())) {
        ++count;
    }
    return count;
}

/** Whether the streamed answer has each of tokens once, and its end mark. */
bool isWholeStream(const LabAnswer &answer, int tokens)
{
    bool each = answer.status == 200 && answer.whole && answer.body.ends_with("data: [DONE]\n\n");
    for (int i = 1; i < tokens; ++i) {
        each = each && countOf(answer.body, "\"t" + std::to_string(i) + " \"") == 1;
    }
    return each;
}

} // namespace

TEST_CASE("a stream whose connection goes silent midway is resumed, and the client sees one whole answer")
{
    // Symptom to be noticed: a stream that stands still for good, or one with a hole or a part that comes twice.
    // Sequence: a stream runs; something between router and engine loses track of the connection; new ones work.
    // Cause it guards against: waiting for a connection that will never speak again.
    Fleet fleet(small(1, 1, 0));
    fleet.start();
    EngineRelays relays(fleet);
    LabCaller caller(fleet.routerPort(0));
    constexpr int tokens = 400;
    std::vector<PendingAnswer> streams;
    for (int i = 0; i < 4; ++i) {
        streams.push_back(caller.start("POST",
                                       chatPath,
                                       Fleet::chatBody("s" + std::to_string(i), tokens, true),
                                       headersWithDeadline(Millis{15000}),
                                       Millis{16000}));
    }
    LabCaller::waitFor([] { return false; }, Millis{500});
    for (const PendingAnswer &stream : streams) {
        REQUIRE(stream->body.find("data:") != std::string::npos);
        REQUIRE_FALSE(isEnded(*stream));
    }
    relays.setLinks(LinkMode::SilentOpen);
    // New work goes over new connections meanwhile, and does not wait for anything.
    const Millis before = Millis::monotonicNow();
    const LabAnswer fresh
        = caller.call("POST", chatPath, Fleet::chatBody("new", 5, true), headersWithDeadline(Millis{4000}));
    CAPTURE(fresh.body);
    CHECK(isWholeStream(fresh, 5));
    const Millis took = Millis::monotonicNow() - before;
    MESSAGE("a new request took " << took.count << " ms");
    CHECK(took < Millis{1000});
    const bool ended = LabCaller::waitFor(
        [&] { return std::all_of(streams.begin(), streams.end(), [](const auto &s) { return isEnded(*s); }); },
        Millis{12000});
    CHECK(ended);
    for (const PendingAnswer &stream : streams) {
        CHECK(isWholeStream(*stream, tokens));
    }
    CHECK(fleet.runs().size() == streams.size() + 1);
}

TEST_CASE("a request that meets silence at its target ends by its deadline with an honest answer")
{
    struct Case
    {
        const char *name;
        LinkMode link;
        const char *fault;
        bool streamed;
    };
    const Case cases[] = {
        {"the connection is silent", LinkMode::Silent, "none", true},
        {"the connection is silent, answer in one piece", LinkMode::Silent, "none", false},
        {"the engine is silent", LinkMode::Pass, "silent", true},
        {"the engine is silent, answer in one piece", LinkMode::Pass, "silent", false},
    };
    Fleet fleet(small(1, 2, 0));
    fleet.start();
    EngineRelays relays(fleet);
    LabCaller caller(fleet.routerPort(0));
    for (const Case &row : cases) {
        CAPTURE(std::string(row.name));
        relays.setLinks(row.link);
        fleet.setEngineFault(row.fault, 1);
        const Millis before = Millis::monotonicNow();
        const LabAnswer answer = caller.call("POST",
                                             chatPath,
                                             Fleet::chatBody("x", 5, row.streamed),
                                             headersWithDeadline(deadline),
                                             deadline + deadlineSlack * 3);
        const Millis took = Millis::monotonicNow() - before;
        const std::string name = row.name;
        MESSAGE(name << ": " << answer.status << " after " << took.count << " ms, X-Ran "
                     << std::string(answer.headers.value("X-Ran")));
        CHECK(answer.whole);
        // A stream that the engine did run may still be resumed in time; then it must be whole.
        const bool resumed = row.streamed && isWholeStream(answer, 5);
        const bool honest = answer.status >= 502 && answer.status <= 504 && answer.headers.value("X-Ran") == "unknown";
        const bool fine = resumed || honest;
        CHECK(fine);
        CHECK(took < deadline + deadlineSlack);
        relays.setLinks(LinkMode::Pass);
        fleet.setEngineFault("none");
    }
    const LabAnswer after = caller.call("POST", chatPath, Fleet::chatBody("y", 5, true), Fleet::headers());
    CHECK(isWholeStream(after, 5));
}

TEST_CASE("a client whose connection went silent leaves nothing behind")
{
    // Symptom to be noticed: requests that a router carries for good. Sequence: a client streams; its connection goes
    // silent, so that the router never hears that it is gone. Cause it guards against: a request that only the
    // client's word ends.
    Fleet fleet(small(1, 1, 0));
    fleet.start();
    Relay relay({"127.0.0.1", 0}, {"127.0.0.1", fleet.routerPort(0)});
    LabCaller caller(relay.listening().port);
    const auto stream = caller.start(
        "POST", chatPath, Fleet::chatBody("gone", 100000, true), headersWithDeadline(deadline), Millis{12000});
    REQUIRE(LabCaller::waitFor([&] { return stream->body.find("data:") != std::string::npos; }));
    relay.setLink(Link{LinkMode::Silent, {}});
    FleetProbe probe(fleet);
    CHECK(probe.look()[0].requests == 1);
    const bool ended
        = probe.allWithin([](const RouterSight &sight) { return sight.requests == 0; }, deadline + deadlineSlack * 2);
    CHECK(ended);
    LabCaller engine(fleet.enginePorts().front());
    const bool idle = LabCaller::waitFor(
        [&engine] { return engine.call("GET", "/lab/stats").json().value("in_flight").toInteger() == 0; },
        Millis{3000});
    CHECK(idle);
    caller.hangUp();
}
