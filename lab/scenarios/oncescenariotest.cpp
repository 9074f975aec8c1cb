// At most once, with real processes: kills, freezes, forgetting restarts, a split, and targets that fall silent.

#include "lab/scenarios/onceload.h"

#include <QtCore/QCoreApplication>
#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

int argc = 0;
const QCoreApplication app(argc, nullptr);

/** What holds whatever fails: nothing ran twice, no caller was told 'not run' wrongly, and no answer is mixed up. */
void checkSafety(const OnceFigures &figures)
{
    const std::string text = toText(figures);
    MESSAGE(text);
    INFO(text);
    CHECK(figures.doubleRuns == 0);
    CHECK(figures.falseNotRun == 0);
    CHECK(figures.incomplete == 0);
    CHECK(figures.differing == 0);
    CHECK(figures.silent == 0);
}

/** A service call with a key, as caller of router. */
const KeyedCall &order(OnceLoad &load, const std::string &key, std::size_t router, CallOrder which = CallOrder::First)
{
    return load.callNow(key, router, false, which);
}

std::string ranOf(const KeyedCall &call)
{
    return std::string(call.answer->headers.value("X-Ran"));
}

std::size_t runsOf(const Fleet &fleet, const std::string &key)
{
    std::size_t count = 0;
    for (const TargetRun &run : fleet.runs()) {
        count += run.idempotencyKey == key ? 1 : 0;
    }
    return count;
}

/** A load without calls of its own, for calls one by one. */
OncePlan byHand()
{
    OncePlan plan;
    plan.keys = 0;
    return plan;
}

} // namespace

TEST_CASE("without faults every keyed call is answered, whole, and runs once")
{
    // Symptom to be noticed: a duplicate that runs, is refused, or gets another answer than the first call.
    // Sequence: each key is called on one router, some milliseconds later on another, and once more on a third.
    Fleet fleet({});
    fleet.start();
    OncePlan plan;
    plan.keys = 600;
    OnceLoad load(fleet, plan);
    load.run();
    const OnceFigures figures = judge(load.calls(), fleet.runs());
    checkSafety(figures);
    CHECK(figures.refused == 0);
    CHECK(figures.cutOff == 0);
    CHECK(figures.brokenOff == 0);
    CHECK(figures.whole == figures.calls);
}

TEST_CASE("with one of seven routers dead nearly every first call is taken")
{
    // Symptom to be noticed: keys of which the dead router is a witness, or owns the target's shard, are refused.
    // Sequence: a router is killed in the middle of a load. Its callers' balancer sends them elsewhere. A second load
    // begins when the other routers have found out.
    // Cause it guards against: a claim that waits for all of its witnesses, a reservation that waits for its owner.
    Fleet fleet({});
    fleet.start();
    OncePlan plan;
    plan.keys = 350;
    plan.span = Millis{3000};
    plan.prefix = "dying";
    OnceLoad load(fleet, plan);
    load.at(Millis{300}, [&] {
        fleet.router(2).kill();
        load.setChosen(2, false);
    });
    load.run();
    checkSafety(judge(load.calls(), fleet.runs()));
    plan.prefix = "dead";
    OnceLoad after(fleet, plan);
    after.setChosen(2, false);
    after.run();
    const OnceFigures figures = judge(after.calls(), fleet.runs());
    checkSafety(figures);
    CHECK(figures.refusedFirst * 100 < figures.keys);
}

TEST_CASE("kills, freezes beyond the dispatch window and restarts that forgot make nothing run twice")
{
    // Symptom to be noticed: two runs of one key, or 'not run' for a key that ran.
    // Sequence: one router stands still for longer than its claims may be dispatched on, and wakes; two others are
    // killed and come back without what they knew, one while the frozen one sleeps.
    // Cause it guards against: a dispatch on a claim that is out of date, and a witness that votes for what it forgot.
    Fleet fleet({});
    fleet.start();
    OncePlan plan;
    plan.keys = 800;
    plan.span = Millis{7000};
    plan.lateAfter = Millis{2500};
    plan.late = 2;
    OnceLoad load(fleet, plan);
    load.at(Millis{1000}, [&] { fleet.router(0).freeze(); });
    load.at(Millis{1500}, [&] { fleet.router(1).kill(); });
    load.at(Millis{2000}, [&] { fleet.restartRouter(1); });
    load.at(Millis{4000}, [&] { fleet.router(0).thaw(); });
    load.at(Millis{5000}, [&] { fleet.router(3).kill(); });
    load.at(Millis{5200}, [&] { fleet.restartRouter(3); });
    load.run();
    const OnceFigures figures = judge(load.calls(), fleet.runs());
    checkSafety(figures);
    CHECK(figures.whole * 2 > figures.calls);
}

TEST_CASE("a split makes nothing run twice, and heals")
{
    // Symptom to be noticed: a key that runs on both sides of the split, or is told 'not run' on the other side.
    // Sequence: nothing reaches three routers for some seconds, then everything does again. Duplicates cross the cut.
    FleetOptions options;
    options.relays = true;
    Fleet fleet(options);
    fleet.start();
    OncePlan plan;
    plan.keys = 700;
    plan.span = Millis{6000};
    OnceLoad load(fleet, plan);
    const auto setLinks = [&fleet](LinkMode mode) {
        for (std::size_t router = 0; router < 3; ++router) {
            fleet.setLink(router, Link{mode, {}});
        }
    };
    load.at(Millis{1000}, [&] { setLinks(LinkMode::Cut); });
    load.at(Millis{3500}, [&] { setLinks(LinkMode::Pass); });
    load.run();
    checkSafety(judge(load.calls(), fleet.runs()));
    OncePlan after;
    after.keys = 100;
    after.span = Millis{500};
    after.prefix = "healed";
    OnceLoad healed(fleet, after);
    healed.run();
    const OnceFigures figures = judge(healed.calls(), fleet.runs());
    checkSafety(figures);
    CHECK(figures.refused == 0);
}

TEST_CASE("a target that falls silent after it took the request leaves 'unknown', and nothing is sent again")
{
    // Symptom to be noticed: a second run of the key, or a caller who is told that the first was not run.
    // Sequence: the target takes the request and never answers; it ran in one case and did not in the other. The
    // caller then asks again, on the same router and on others, when the target is well again.
    FleetOptions options;
    options.engines = 0;
    options.services = 1;
    options.firstByteTimeout = Millis{700};
    Fleet fleet(options);
    fleet.start();
    for (const std::int64_t runs : {1, 0}) {
        CAPTURE(runs);
        OnceLoad load(fleet, byHand());
        const std::string key = "silent-" + std::to_string(runs);
        fleet.setServiceFault("silent", runs);
        const KeyedCall &first = order(load, key, 0);
        CHECK(first.answer->status >= 500);
        CHECK(ranOf(first) == "unknown");
        fleet.setServiceFault("none");
        for (std::size_t router = 0; router < fleet.routers(); ++router) {
            const KeyedCall &again = order(load, key, router, CallOrder::Late);
            CAPTURE(router);
            CHECK(again.answer->whole);
            CHECK(again.answer->status != 200);
            CHECK(ranOf(again) == "unknown");
        }
        CHECK(runsOf(fleet, key) == static_cast<std::size_t>(runs));
        checkSafety(judge(load.calls(), fleet.runs()));
    }
}

TEST_CASE("a fleet that starts cold says when its witnesses will vote, and not to come back at once")
{
    // Symptom: callers of a fleet that came back from a power cut knock each second for ten minutes.
    // Sequence: all routers start without a founding word; nobody has claims to hand over, so all of them abstain.
    // Cause: a refusal that names the default of a second where its witnesses know better.
    FleetOptions options;
    options.engines = 0;
    options.firstStart = false;
    Fleet fleet(options);
    fleet.start();
    LabCaller::waitFor([] { return false; }, options.settleTime + Millis{1000});
    for (std::size_t router = 0; router < fleet.routers(); ++router) {
        OnceLoad load(fleet, byHand());
        const KeyedCall &call = order(load, "cold-" + std::to_string(router), router);
        const std::string retryAfter(call.answer->headers.value("Retry-After"));
        CAPTURE(router);
        CAPTURE(retryAfter);
        CHECK(call.answer->status == 503);
        CHECK(ranOf(call) == "unknown");
        REQUIRE(!retryAfter.empty());
        CHECK(std::stoi(retryAfter) >= 10);
    }
}
