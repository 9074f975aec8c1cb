// Targets that leave, die, flap and return, before a fleet of real processes under load.

#include "lab/fleet/reservedport.h"
#include "lab/relay/relay.h"
#include "lab/scenarios/fleetprobe.h"
#include "lab/support/labcall.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QJsonArray>
#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

int argc = 0;
const QCoreApplication app(argc, nullptr);

constexpr Millis leavingLimit{3000};
constexpr Millis callEvery{25};
const std::string chatPath = "/v1/chat/completions";

/** Streams a short chat through each router in turn, a different chat each time, for as long as it is run. */
class Traffic
{
public:
    explicit Traffic(const Fleet &fleet)
    {
        for (std::size_t i = 0; i < fleet.routers(); ++i) {
            this->callers.push_back(std::make_unique<LabCaller>(fleet.routerPort(i)));
        }
    }

    void start(int maxTokens)
    {
        const std::string prompt = "chat" + std::to_string(this->answers.size());
        LabCaller &caller = *this->callers[this->answers.size() % this->callers.size()];
        this->startTimes.push_back(Millis::monotonicNow());
        this->answers.push_back(
            caller.start("POST", chatPath, Fleet::chatBody(prompt, maxTokens, true), Fleet::headers(), Millis{15000}));
    }

    void runFor(Millis span)
    {
        const Millis end = Millis::monotonicNow() + span;
        while (Millis::monotonicNow() < end) {
            this->start(10);
            LabCaller::waitFor([] { return false; }, callEvery);
        }
    }

    void finish()
    {
        LabCaller::waitFor(
            [this] {
                return std::all_of(this->answers.begin(), this->answers.end(), [](const PendingAnswer &answer) {
                    return answer->whole || answer->error.has_value();
                });
            },
            Millis{15000});
    }

    /** Those that did not end as a whole stream. */
    std::size_t broken() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->answers.begin(), this->answers.end(), [](const PendingAnswer &answer) {
                return answer->status != 200 || !answer->whole || !answer->body.ends_with("data: [DONE]\n\n");
            }));
    }

    std::size_t size() const
    {
        return this->answers.size();
    }

    /** When the call with this request id was started. Only for calls that were answered. */
    std::optional<Millis> startTime(const std::string &requestId) const
    {
        for (std::size_t i = 0; i < this->answers.size(); ++i) {
            if (this->answers[i]->headers.value("X-Request-Id") == requestId) {
                return this->startTimes[i];
            }
        }
        return std::nullopt;
    }

private:
    std::vector<std::unique_ptr<LabCaller>> callers;
    std::vector<PendingAnswer> answers;
    std::vector<Millis> startTimes;
};

/**
 * Checks all runs at a target that leaves: none is of a call that started once all routers knew it, and none begins
 * later than the limit. Returns how many began after all routers knew it.
 */
std::size_t checkRunsAtLeaving(const Fleet &fleet, const Traffic &traffic, Millis said, Millis known)
{
    std::size_t late = 0;
    for (const TargetRun &run : fleet.runs()) {
        if (run.target != "plate-1" || run.at <= known) {
            continue;
        }
        ++late;
        const std::optional<Millis> started = traffic.startTime(run.requestId);
        CAPTURE(run.requestId);
        CAPTURE(toText(run.at - known));
        REQUIRE(started.has_value());
        MESSAGE("run " << run.requestId << " began " << toText(run.at - known) << " after all routers knew, its call "
                       << toText(known - *started) << " before that");
        CHECK(*started < known);
        CHECK(run.at < said + leavingLimit);
    }
    return late;
}

std::int64_t runsAt(std::uint16_t engine)
{
    LabCaller caller(engine);
    return caller.call("GET", "/lab/stats").json().value("runs").toInteger();
}

std::int64_t unfinishedAt(std::uint16_t engine)
{
    LabCaller caller(engine);
    return caller.call("GET", "/lab/stats").json().value("in_flight").toInteger();
}

void setTarget(const Fleet &fleet,
               const std::string &state,
               const std::string &pool = enginePool,
               const std::string &target = "plate-1")
{
    LabCaller caller(fleet.platformPort());
    const std::string body = R"({"pool": ")" + pool + R"(", "name": ")" + target + R"(", "state": ")" + state + R"("})";
    REQUIRE(caller.call("POST", "/lab/target", body).status == 200);
}

/** The engines' document with plate-1 in a life. */
std::string engines(const Fleet &fleet, Incarnation incarnation, const std::string &state)
{
    std::string text = engineDocument(fleet.enginePorts());
    const std::string line = "incarnation = 1\n";
    return text.replace(
        text.find(line), line.size(), "incarnation = " + std::to_string(incarnation) + "\nstate = " + state + "\n");
}

FleetProbe::Condition showsLife(Incarnation incarnation, LifeState state, const std::string &target = "plate-1")
{
    return [incarnation, state, target](const RouterSight &sight) {
        const auto found = sight.targets.find(target);
        return found != sight.targets.end() && found->second.incarnation == incarnation && found->second.state == state;
    };
}

FleetOptions enginesOnly()
{
    FleetOptions options;
    options.services = 0;
    options.firstStart = false;
    return options;
}

} // namespace

TEST_CASE("a leaving target gets no new work after three seconds, on every router, and finishes what it has")
{
    // Symptom to be noticed: runs that begin at a target long after the platform said that it leaves, or requests in
    // progress there that are cut off. Sequence: load on all seven routers; the platform says leaving; three of the
    // routers hear the platform half a second late. Cause it guards against: a router that waits for its own list.
    ReservedPort door;
    FleetOptions options = enginesOnly();
    options.platformDoors = {door.number(), door.number(), door.number()};
    Fleet fleet(options);
    Relay late({"127.0.0.1", door.number()}, {"127.0.0.1", fleet.platformPort()});
    fleet.start();
    late.setLink(Link{LinkMode::Delay, Millis{250}});
    FleetProbe probe(fleet);
    Traffic traffic(fleet);
    traffic.runFor(Millis{500});
    for (int i = 0; i < 28; ++i) {
        traffic.start(1200);
    }
    LabCaller::waitFor([] { return false; }, Millis{300});
    const std::uint16_t leaving = fleet.enginePorts().front();
    REQUIRE(unfinishedAt(leaving) > 0);
    const Millis said = Millis::monotonicNow();
    setTarget(fleet, "leaving");
    const auto times = probe.times(showsLife(1, LifeState::Leaving), leavingLimit);
    const std::string text = toText(times);
    MESSAGE("leaving known after: " << text);
    REQUIRE(longest(times).has_value());
    const Millis known = Millis::monotonicNow();
    REQUIRE(unfinishedAt(leaving) > 0);
    const std::int64_t others = runsAt(fleet.enginePorts().back());
    traffic.runFor(Millis{2500});
    const std::int64_t runs = runsAt(leaving);
    traffic.runFor(Millis{500});
    CHECK(runsAt(leaving) == runs);
    CHECK(runsAt(fleet.enginePorts().back()) > others);
    traffic.finish();
    CHECK(unfinishedAt(leaving) == 0);
    const std::size_t broken = traffic.broken();
    MESSAGE("calls: " << traffic.size() << ", not whole: " << broken);
    CHECK(broken == 0);
    checkRunsAtLeaving(fleet, traffic, said, known);
    CHECK(probe.reversions() == 0);
}

// Guards against a check that takes a slow target for a late router. A target that stands still reads requests after
// all routers know that it leaves, although they were sent before.
TEST_CASE("requests that a leaving target reads late are of calls from before it left")
{
    Fleet fleet(enginesOnly());
    fleet.start();
    FleetProbe probe(fleet);
    Traffic traffic(fleet);
    traffic.runFor(Millis{300});
    fleet.engines().freeze();
    for (int i = 0; i < 28; ++i) {
        traffic.start(10);
    }
    LabCaller::waitFor([] { return false; }, Millis{300});
    const Millis said = Millis::monotonicNow();
    setTarget(fleet, "leaving");
    REQUIRE(probe.allWithin(showsLife(1, LifeState::Leaving), leavingLimit));
    const Millis known = Millis::monotonicNow();
    // Times are whole milliseconds: a run of the millisecond in which all routers knew does not count as later.
    LabCaller::waitFor([] { return false; }, Millis{20});
    fleet.engines().thaw();
    traffic.runFor(Millis{500});
    traffic.finish();
    CHECK(traffic.broken() == 0);
    CHECK(checkRunsAtLeaving(fleet, traffic, said, known) > 0);
}

// Guards against requests that a router sends to a target although it knows that the target leaves. This happens to a
// request that got its place there before and then waits, here for claims that take four tenths of a second.
TEST_CASE("a request that waits while its target starts to leave is sent to another target")
{
    FleetOptions options;
    options.routers = 5;
    options.engines = 0;
    options.services = 2;
    options.relays = true;
    Fleet fleet(options);
    fleet.start();
    FleetProbe probe(fleet);
    std::vector<std::unique_ptr<LabCaller>> callers;
    std::vector<PendingAnswer> answers;
    for (std::size_t i = 0; i < options.routers; ++i) {
        fleet.setLink(i, Link{LinkMode::Delay, Millis{200}});
        callers.push_back(std::make_unique<LabCaller>(fleet.routerPort(i)));
    }
    for (int i = 0; i < 60; ++i) {
        LabCaller &caller = *callers[static_cast<std::size_t>(i) % callers.size()];
        const std::string key = "waits-" + std::to_string(i);
        answers.push_back(caller.start("POST", "/orders", "{}", headersWithDeadline(Millis{9000}, key), Millis{10000}));
    }
    LabCaller::waitFor([] { return false; }, Millis{50});
    setTarget(fleet, "leaving", servicePool, "desk-1");
    REQUIRE(probe.allWithin(showsLife(1, LifeState::Leaving, "desk-1"), leavingLimit));
    const Millis known = Millis::monotonicNow();
    LabCaller::waitFor(
        [&answers] {
            return std::all_of(answers.begin(), answers.end(), [](const PendingAnswer &answer) {
                return answer->whole || answer->error.has_value();
            });
        },
        Millis{10000});
    const std::vector<TargetRun> runs = fleet.runs();
    CHECK(runs.size() == answers.size());
    for (const TargetRun &run : runs) {
        CAPTURE(run.idempotencyKey);
        CAPTURE(toText(run.at - known));
        CHECK((run.target != "desk-1" || run.at < known));
    }
    CHECK(std::all_of(answers.begin(), answers.end(), [](const PendingAnswer &answer) {
        return answer->whole && answer->status == 200;
    }));
    const auto isLate = [known](const TargetRun &run) { return run.at >= known; };
    // Without requests that still waited the case would show nothing.
    CHECK(std::any_of(runs.begin(), runs.end(), isLate));
}

TEST_CASE("with a list that lags, a leaving target still gets no new work three seconds after it says so")
{
    Fleet fleet(enginesOnly());
    fleet.start();
    FleetProbe probe(fleet);
    Traffic traffic(fleet);
    LabCaller platform(fleet.platformPort());
    REQUIRE(platform.call("POST", "/lab/mode", R"({"list_lag_ms": 1500})").status == 200);
    setTarget(fleet, "leaving");
    const Millis said = Millis::monotonicNow();
    const auto times = probe.times(showsLife(1, LifeState::Leaving), Millis{1500} + leavingLimit);
    const std::string text = toText(times);
    MESSAGE("leaving known, with a lag of 1500 ms, after: " << text);
    REQUIRE(longest(times).has_value());
    CHECK(Millis::monotonicNow() - said < leavingLimit);
    const std::int64_t runs = runsAt(fleet.enginePorts().front());
    traffic.runFor(Millis{1000});
    traffic.finish();
    CHECK(runsAt(fleet.enginePorts().front()) == runs);
    CHECK(traffic.broken() == 0);
}

TEST_CASE("a target's life never goes back, and only a new incarnation brings it back")
{
    // Symptom to be noticed: a target that left gets work again. Sequence: it leaves; the platform's list flaps and
    // says live; then it comes back as a new incarnation, which leaves at once, and once more. Cause it guards
    // against: taking the platform's last word for its newest.
    Fleet fleet(enginesOnly());
    fleet.start();
    FleetProbe probe(fleet);
    Traffic traffic(fleet);
    setTarget(fleet, "leaving");
    REQUIRE(probe.allWithin(showsLife(1, LifeState::Leaving), leavingLimit));
    const std::int64_t runs = runsAt(fleet.enginePorts().front());
    for (int i = 0; i < 5; ++i) {
        setTarget(fleet, "live");
        traffic.runFor(Millis{150});
        setTarget(fleet, "leaving");
        probe.look();
    }
    setTarget(fleet, "live");
    traffic.runFor(Millis{700});
    CHECK(probe.allWithin(showsLife(1, LifeState::Leaving), Millis{1000}));
    CHECK(runsAt(fleet.enginePorts().front()) == runs);

    for (Incarnation incarnation = 2; incarnation <= 4; ++incarnation) {
        fleet.publish(std::string("targets/") + enginePool, engines(fleet, incarnation, "live"));
        probe.look();
        fleet.publish(std::string("targets/") + enginePool, engines(fleet, incarnation, "leaving"));
        probe.look();
    }
    fleet.publish(std::string("targets/") + enginePool, engines(fleet, 5, "live"));
    CHECK(probe.allWithin(showsLife(5, LifeState::Live), leavingLimit));
    traffic.runFor(Millis{1000});
    CHECK(runsAt(fleet.enginePorts().front()) > runs);
    // An old life's news comes last.
    fleet.publish(std::string("targets/") + enginePool, engines(fleet, 3, "leaving"));
    traffic.runFor(Millis{700});
    CHECK(probe.allWithin(showsLife(5, LifeState::Live), Millis{1000}));
    traffic.finish();
    CHECK(traffic.broken() == 0);
    CHECK(probe.reversions() == 0);
}

TEST_CASE("requests that find a dead target go to another one and are answered whole")
{
    // Symptom to be noticed: refusals though three engines work. Sequence: a target dies; the platform still lists it.
    // Cause it guards against: taking a refused connection for the end of the request.
    Fleet fleet(enginesOnly());
    fleet.start();
    const ReservedPort nobody;
    std::vector<std::uint16_t> ports = fleet.enginePorts();
    ports.push_back(nobody.number());
    fleet.publish(std::string("targets/") + enginePool, engineDocument(ports));
    FleetProbe probe(fleet);
    REQUIRE(probe.allWithin([](const RouterSight &sight) { return sight.targets.size() == 5; }, leavingLimit));
    Traffic traffic(fleet);
    traffic.runFor(Millis{2000});
    traffic.finish();
    const std::size_t broken = traffic.broken();
    MESSAGE("calls with a dead target among five: " << traffic.size() << ", not whole: " << broken);
    CHECK(broken == 0);
}
