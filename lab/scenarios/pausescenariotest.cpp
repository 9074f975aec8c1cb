// A router frozen for longer than its limits, and woken among a fleet of real processes.

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

bool isEnded(const PendingAnswer &answer)
{
    return answer->whole || answer->error.has_value();
}

bool allEnded(const std::vector<PendingAnswer> &answers, Millis limit)
{
    return LabCaller::waitFor([&] { return std::all_of(answers.begin(), answers.end(), isEnded); }, limit);
}

} // namespace

TEST_CASE("a woken router learns anew before it serves, sends nothing to a target that left, and declares nobody dead")
{
    // Symptom: a router that woke passed for ready, and sent a request to a target that had left while it slept. Its
    // workers ran before the control thread's first tick, which notices the pause. Sequence: the router freezes; a rule
    // changes and a target leaves; it wakes, and requests reach it in the same moment.
    FleetOptions options;
    options.routers = 4;
    options.engines = 1;
    options.services = 0;
    options.firstStart = false;
    options.rules = versionedRules("before");
    Fleet fleet(options);
    fleet.start();
    FleetProbe probe(fleet);
    const auto seesAll = [](const RouterSight &sight) { return sight.reachable == 4; };
    REQUIRE(probe.allWithin(seesAll, Millis{5000}));
    for (int round = 0; round < 2; ++round) {
        CAPTURE(round);
        const std::string now = "after" + std::to_string(round);
        fleet.router(0).freeze();
        LabCaller::waitFor([] { return false; }, Millis{300});
        fleet.publish("rules/fleet", versionedRules(now));
        if (round == 0) {
            LabCaller platform(fleet.platformPort());
            const LabAnswer said = platform.call(
                "POST", "/lab/target", R"({"pool": "plate-model", "name": "plate-1", "state": "leaving"})");
            REQUIRE(said.status == 200);
        }
        LabCaller::waitFor([] { return false; }, Millis{3500});
        // These wait in the frozen router's accept queue, and are read at the moment it wakes.
        LabCaller caller(fleet.routerPort(0));
        std::vector<PendingAnswer> versions;
        std::vector<PendingAnswer> chats;
        for (int i = 0; i < 10; ++i) {
            versions.push_back(caller.start("GET", "/version", {}, Fleet::headers()));
            chats.push_back(caller.start("POST", chatPath, Fleet::chatBody("c", 3, true), Fleet::headers()));
        }
        const auto ready = caller.start("GET", "/readyz");
        LabCaller::waitFor([] { return false; }, Millis{100});
        const std::size_t runsBefore = fleet.runs().size();
        fleet.router(0).thaw();
        CHECK(allEnded(versions, Millis{5000}));
        CHECK(allEnded(chats, Millis{5000}));
        for (const PendingAnswer &answer : versions) {
            const std::string message
                = answer->json().value("error").toObject().value("message").toString().toStdString();
            const bool honest = answer->status == 503 || message == now;
            CHECK(honest);
        }
        for (const PendingAnswer &answer : chats) {
            CHECK(answer->status == 503);
            CHECK(answer->headers.value("X-Ran") == "no");
        }
        CHECK(fleet.runs().size() == runsBefore);
        CHECK(LabCaller::waitFor([&] { return isEnded(ready); }));
        MESSAGE("the first /readyz after the pause: " << ready->status);
        CHECK(ready->status == 503);
        // The woken one must not take the others' silence while it slept for their death.
        const Millis until = Millis::monotonicNow() + Millis{2500};
        std::size_t fewest = 4;
        while (Millis::monotonicNow() < until) {
            const RouterSight &sight = probe.look()[0];
            fewest = sight.answered ? std::min(fewest, sight.reachable) : fewest;
        }
        CHECK(fewest == 4);
        CHECK(fleet.waitUntilReady(0));
        CHECK(versionAt(fleet, 0) == now);
        CHECK(probe.allWithin(seesAll, Millis{10000}));
    }
    CHECK(probe.reversions() == 0);
}

TEST_CASE("an answer that arrives while its router sleeps past the deadline is dropped, and nobody else gets it")
{
    Fleet fleet([] {
        FleetOptions options;
        options.routers = 1;
        options.engines = 1;
        options.services = 0;
        options.firstStart = false;
        return options;
    }());
    fleet.start();
    LabCaller caller(fleet.routerPort(0));
    std::vector<PendingAnswer> late;
    for (int i = 0; i < 5; ++i) {
        late.push_back(caller.start("POST",
                                    chatPath,
                                    Fleet::chatBody("late" + std::to_string(i), 200, false),
                                    headersWithDeadline(Millis{2000}),
                                    Millis{8000}));
    }
    LabCaller::waitFor([] { return false; }, Millis{300});
    fleet.router(0).freeze();
    LabCaller::waitFor([] { return false; }, Millis{3000});
    fleet.router(0).thaw();
    CHECK(allEnded(late, Millis{5000}));
    for (std::size_t i = 0; i < late.size(); ++i) {
        CHECK(late[i]->whole);
        // Whole and its own, or given up honestly.
        const bool own
            = late[i]->status == 200 && late[i]->body.find("echo-late" + std::to_string(i) + " ") != std::string::npos;
        const bool honest = late[i]->status == 504 && late[i]->headers.value("X-Ran") == "unknown";
        const bool fine = own || honest;
        CHECK(fine);
    }
    REQUIRE(fleet.waitUntilReady(0));
    for (int i = 0; i < 5; ++i) {
        const std::string name = "next" + std::to_string(i);
        const LabAnswer next = caller.call("POST", chatPath, Fleet::chatBody(name, 5, false), Fleet::headers());
        CHECK(next.status == 200);
        CHECK(next.body.find("echo-" + name + " ") != std::string::npos);
    }
}
