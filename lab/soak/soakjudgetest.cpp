#include "lab/soak/soakjudge.h"

#include "lab/soak/streamcheck.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

GatewayConfiguration version(Revision revision, const std::string &service, const std::string &key)
{
    GatewayConfiguration configuration;
    configuration.revision = revision;
    GatewayRoute route;
    route.name = "job";
    route.pathPrefix = "/job/";
    route.timeout = Millis{1000};
    route.services = {{PoolId{service}, 1}};
    configuration.routes = {route};
    configuration.organisations = {{OrganisationId{"garage"}, {key}, std::nullopt}};
    configuration.limits.idleTime = Millis{1000};
    return configuration;
}

/** A judge that knows one version, and shorthands for what callers and targets see. */
struct Bench
{
    Bench()
    {
        this->judge.configurationAcknowledged(version(1, "desk", "k1"), Millis{0});
    }

    SoakCall call(const std::string &id, Millis at, CallKind kind = CallKind::Job) const
    {
        SoakCall one;
        one.id = id;
        one.kind = kind;
        one.key = "k1";
        one.method = "POST";
        one.path = "/job/" + id;
        one.sentAt = at;
        one.timeLeft = Millis{2000};
        return one;
    }

    void send(const std::string &id, Millis at, CallKind kind = CallKind::Job)
    {
        this->judge.sent(this->call(id, at, kind));
    }

    SoakArrival arrival(const std::string &id, const std::string &target, Millis at) const
    {
        SoakArrival one;
        one.id = id;
        one.target = target;
        one.service = "desk";
        one.at = at;
        one.runs = true;
        one.organisation = "garage";
        one.method = "POST";
        one.path = "/job/" + id;
        one.timeLeft = Millis{1000};
        return one;
    }

    void run(const std::string &id, const std::string &target, Millis at)
    {
        this->judge.arrived(this->arrival(id, target, at));
    }

    void answer(const std::string &id, int status, Millis at)
    {
        SoakAnswer one;
        one.status = status;
        one.isWhole = status != 0;
        this->judge.answered(id, one, at);
    }

    std::string promises() const
    {
        std::string all;
        for (const SoakViolation &violation : this->judge.violations()) {
            all += violation.promise + " ";
        }
        return all;
    }

    SoakJudge judge{SoakBounds{}};
};

} // namespace

TEST_CASE("a job that runs, is answered and ends breaks nothing")
{
    Bench bench;
    bench.send("a", Millis{100});
    bench.run("a", "t1", Millis{110});
    bench.judge.made("t1.a", 200, "plate");
    bench.judge.runEnded("a", "t1", RunEnd::Answered, Millis{150});
    SoakAnswer answer{200, true, "a", "t1.a", "plate"};
    bench.judge.answered("a", answer, Millis{151});
    bench.judge.tick(Millis{60000});
    bench.judge.finish(Millis{60000});
    CHECK(bench.promises().empty());
    CHECK(bench.judge.servedSince(Millis{0}) == 1);
}

TEST_CASE("what must run at most once is counted at the targets, and 'not run' is taken at its word")
{
    Bench bench;
    bench.send("a", Millis{100});
    bench.run("a", "t1", Millis{110});
    bench.run("a", "t2", Millis{120});
    CHECK(bench.promises() == "twice budget ");
    bench.send("b", Millis{200});
    bench.run("b", "t1", Millis{210});
    bench.answer("b", 503, Millis{220});
    CHECK(bench.promises() == "twice budget refused ");
    bench.send("c", Millis{300});
    bench.answer("c", 503, Millis{310});
    bench.run("c", "t1", Millis{320});
    CHECK(bench.promises() == "twice budget refused refused ");
}

TEST_CASE("an answer must be the call's own, as its target made it")
{
    Bench bench;
    bench.judge.made("t1.a", 200, "plate");
    const auto check = [&bench](const std::string &id, const SoakAnswer &answer) {
        bench.send(id, Millis{100});
        bench.judge.answered(id, answer, Millis{150});
    };
    check("a", {200, true, "a", "t1.a", "plat"});
    CHECK(bench.promises() == "mixed ");
    check("b", {200, true, "b", "t1.a", "plate"});
    CHECK(bench.promises() == "mixed mixed ");
    check("c", {200, true, "c", "", "plate"});
    CHECK(bench.promises() == "mixed mixed mixed ");
}

TEST_CASE("a stream must be whole and in order, and of one run unless it may go on elsewhere")
{
    SoakCall call;
    call.id = "s";
    call.kind = CallKind::Note;
    std::string whole;
    for (std::uint32_t number = 1; number <= eventsOf("s"); ++number) {
        whole += eventOf("s", number, "t1");
    }
    CHECK_FALSE(streamFault(call, whole, true));
    CHECK(streamFault(call, whole.substr(0, whole.size() - 1), true));
    CHECK(streamFault(call, eventOf("s", 1, "t1") + eventOf("s", 3, "t1"), false));
    CHECK(streamFault(call, eventOf("s", 1, "t1") + eventOf("s", 1, "t1"), false));
    CHECK(streamFault(call, eventOf("x", 1, "t1"), false));
    const std::string joined = eventOf("s", 1, "t1") + eventOf("s", 2, "t2");
    CHECK(streamFault(call, joined, false));
    call.kind = CallKind::Chat;
    CHECK_FALSE(streamFault(call, joined, false));
    call.id = "t";
    call.takesUp = "s";
    call.lastEvent = 1;
    CHECK_FALSE(streamFault(call, eventOf("s", 2, "t2"), false));
    CHECK(streamFault(call, eventOf("s", 1, "t2"), false));
    CHECK(streamFault(call, eventOf("t", 2, "t2"), false));
    CHECK(wholeEventsIn(joined + "id: 3\n") == 2);
    CHECK(targetsIn(joined) == std::set<std::string>{"t1", "t2"});
}

TEST_CASE("a request that reaches a target must be one that a caller sent, as it was sent")
{
    Bench bench;
    bench.run("nobody", "t1", Millis{10});
    CHECK(bench.promises() == "unasked ");
    bench.send("a", Millis{100});
    SoakArrival keyed = bench.arrival("a", "t1", Millis{110});
    keyed.hasKey = true;
    keyed.body = "more";
    keyed.timeLeft = Millis{9000};
    bench.judge.arrived(keyed);
    CHECK(bench.promises() == "unasked unasked unasked budget ");
}

TEST_CASE("a version is in force after its time at gateways that were in touch, and never given up again")
{
    Bench bench;
    bench.judge.configurationAcknowledged(version(2, "desk-b", "k1"), Millis{1000});
    bench.send("early", Millis{2000});
    bench.run("early", "t1", Millis{2010});
    CHECK(bench.promises().empty());
    SUBCASE("late at a calm gateway")
    {
        bench.send("late", Millis{9000});
        bench.run("late", "t1", Millis{9010});
        CHECK(bench.promises() == "config ");
    }
    SUBCASE("late at a gateway that was cut off")
    {
        bench.judge.disturbances().begin(SoakJudge::gatewaySubject(0), Millis{7000});
        bench.send("late", Millis{9000});
        bench.run("late", "t1", Millis{9010});
        CHECK(bench.promises().empty());
    }
    SUBCASE("back to the old one, even where cut off")
    {
        bench.judge.disturbances().begin(SoakJudge::gatewaySubject(0), Millis{1000});
        bench.send("new", Millis{2100});
        SoakArrival moved = bench.arrival("new", "t9", Millis{2110});
        moved.service = "desk-b";
        bench.judge.arrived(moved);
        bench.send("back", Millis{4000});
        bench.run("back", "t1", Millis{4010});
        CHECK(bench.promises() == "config ");
    }
    SUBCASE("a service that no version names")
    {
        bench.send("lost", Millis{2100});
        SoakArrival other = bench.arrival("lost", "t9", Millis{2110});
        other.service = "llm";
        bench.judge.arrived(other);
        CHECK(bench.promises() == "route ");
    }
}

TEST_CASE("a key that was taken away opens nothing after its time, at whichever gateway")
{
    Bench bench;
    bench.judge.configurationAcknowledged(version(2, "desk", "k2"), Millis{1000});
    bench.judge.disturbances().begin(SoakJudge::gatewaySubject(0), Millis{0});
    bench.send("soon", Millis{5900});
    bench.run("soon", "t1", Millis{5910});
    CHECK(bench.promises().empty());
    bench.send("late", Millis{6100});
    bench.run("late", "t1", Millis{6110});
    CHECK(bench.promises() == "revoked ");
}

TEST_CASE("what every version in force allows must not be denied")
{
    Bench bench;
    bench.send("a", Millis{100});
    bench.answer("a", 401, Millis{110});
    CHECK(bench.promises() == "denied ");
    bench.judge.configurationAcknowledged(version(2, "desk", "k2"), Millis{1000});
    bench.send("b", Millis{1100});
    bench.answer("b", 401, Millis{1110});
    CHECK(bench.promises() == "denied ");
}

TEST_CASE("a target that leaves gets nothing new after its time")
{
    Bench bench;
    bench.judge.leavingAcknowledged("t1", Millis{4000});
    bench.send("a", Millis{5000});
    bench.run("a", "t1", Millis{5900});
    CHECK(bench.promises().empty());
    bench.send("b", Millis{7000});
    bench.run("b", "t1", Millis{7010});
    CHECK(bench.promises() == "drain ");
}

TEST_CASE("an evacuated data centre gets nothing new after its time, until it is taken back")
{
    Bench bench;
    bench.judge.placed("t1", DataCentreId{"a"});
    bench.judge.placed("t2", DataCentreId{"b"});
    bench.judge.evacuationAcknowledged(DataCentreId{"a"}, Millis{4000});
    bench.send("a", Millis{8000});
    bench.run("a", "t1", Millis{9200});
    bench.send("b", Millis{9400});
    bench.run("b", "t2", Millis{9410});
    CHECK(bench.promises().empty());
    bench.send("c", Millis{9400});
    bench.run("c", "t1", Millis{9410});
    CHECK(bench.promises() == "evacuation ");
    bench.judge.evacuationEnded(DataCentreId{"a"});
    bench.send("d", Millis{9500});
    bench.run("d", "t1", Millis{9510});
    CHECK(bench.promises() == "evacuation ");
}

TEST_CASE("a cold target gets few requests in any second, from gateways out of touch too")
{
    Bench bench;
    bench.judge.cold("t1", Millis{5000});
    bench.judge.disturbances().begin(SoakJudge::gatewaySubject(0), Millis{0});
    const auto runAt = [&bench](const std::string &id, Millis at) {
        bench.send(id, at);
        bench.run(id, "t1", at);
    };
    for (int i = 0; i < 5; ++i) {
        runAt("a" + std::to_string(i), Millis{1000 + i});
    }
    for (int i = 0; i < 5; ++i) {
        runAt("b" + std::to_string(i), Millis{2004 + i});
    }
    CHECK(bench.promises().empty());
    runAt("c", Millis{2900});
    CHECK(bench.promises() == "cold ");
    for (int i = 0; i < 9; ++i) {
        runAt("d" + std::to_string(i), Millis{6000 + i});
    }
    CHECK(bench.promises() == "cold ");
}

TEST_CASE("a request that was passed on is answered unless target or gateway was disturbed")
{
    Bench bench;
    bench.send("a", Millis{100});
    bench.run("a", "t1", Millis{110});
    bench.answer("a", 0, Millis{200});
    CHECK(bench.promises() == "lost ");
    bench.send("b", Millis{1000});
    bench.run("b", "t1", Millis{1010});
    bench.judge.runEnded("b", "t1", RunEnd::Spoilt, Millis{1050});
    bench.answer("b", 0, Millis{1100});
    bench.send("c", Millis{2000});
    bench.run("c", "t1", Millis{2010});
    bench.judge.disturbances().begin(SoakJudge::gatewaySubject(0) + SoakJudge::unplannedSuffix, Millis{2050});
    bench.answer("c", 0, Millis{2060});
    CHECK(bench.promises() == "lost ");
}

namespace {

/** A gateway that is asked to stop at 10 s, and requests of a route that allows 15 s. */
struct StopBench : Bench
{
    StopBench()
    {
        GatewayConfiguration longer = version(2, "desk", "k1");
        longer.routes.front().timeout = Millis{15000};
        this->judge.configurationAcknowledged(longer, Millis{1});
        this->judge.stopAsked(0, 0, stop);
        this->judge.disturbances().begin(SoakJudge::gatewaySubject(0), stop);
    }

    void send(const std::string &id, Millis at, CallKind kind = CallKind::Chat, bool isInParts = false)
    {
        SoakCall one = this->call(id, at, kind);
        one.timeLeft = Millis{16000};
        one.isDirect = true;
        one.isInParts = isInParts;
        this->judge.sent(one);
    }

    /** The connection ends in the middle of the answer. */
    void cut(const std::string &id, Millis at)
    {
        SoakAnswer one;
        one.status = 503;
        this->judge.answered(id, one, at);
    }

    static constexpr Millis stop{10000};
    static constexpr Millis cutAt{17500};
};

} // namespace

TEST_CASE("a request that was sent late in a planned stop and passed on must be answered")
{
    StopBench bench;
    bench.send("a", StopBench::stop + Millis{3001});
    bench.run("a", "t1", StopBench::stop + Millis{3010});
    bench.cut("a", StopBench::cutAt);
    CHECK(bench.promises() == "lost ");
    CHECK(bench.judge.stops().streamsCut == 1);
}

TEST_CASE("a stop may cut off what was sent early and is at work in the last sixth of the grace")
{
    StopBench bench;
    for (const char *id : {"a", "b", "c", "d"}) {
        bench.send(id, StopBench::stop + Millis{3000});
        bench.run(id, "t1", StopBench::stop + Millis{3010});
    }
    bench.cut("a", StopBench::cutAt);
    bench.judge.runEnded("b", "t1", RunEnd::Cancelled, StopBench::cutAt);
    bench.cut("b", StopBench::cutAt);
    CHECK(bench.promises().empty());
    bench.judge.runEnded("c", "t1", RunEnd::Cancelled, StopBench::stop + Millis{6666});
    bench.cut("c", StopBench::cutAt);
    CHECK(bench.promises() == "lost ");
    bench.judge.runEnded("d", "t1", RunEnd::Answered, StopBench::cutAt);
    bench.cut("d", StopBench::cutAt);
    CHECK(bench.promises() == "lost lost ");
    CHECK(bench.judge.stops().streamsCut == 4);
}

TEST_CASE("a stop must not cut off what is at work before the last sixth of the grace")
{
    StopBench bench;
    bench.send("a", StopBench::stop - Millis{500});
    bench.run("a", "t1", StopBench::stop - Millis{490});
    bench.cut("a", StopBench::stop + Millis{6666});
    CHECK(bench.promises() == "lost ");
}

TEST_CASE("a process that was not asked to stop must not cut off anything")
{
    StopBench bench;
    SoakCall next = bench.call("a", StopBench::stop);
    next.gatewayLife = 1;
    next.timeLeft = Millis{16000};
    bench.judge.sent(next);
    bench.run("a", "t1", StopBench::stop + Millis{10});
    bench.cut("a", StopBench::cutAt);
    CHECK(bench.promises() == "lost ");
    CHECK(bench.judge.stops().streamsCut == 0);
}

TEST_CASE("a second request to stop excuses nothing that the first one does not")
{
    StopBench bench;
    bench.judge.stopAsked(0, 0, StopBench::stop + Millis{2000});
    bench.send("a", StopBench::stop + Millis{3001});
    bench.run("a", "t1", StopBench::stop + Millis{3010});
    bench.cut("a", StopBench::cutAt);
    CHECK(bench.promises() == "lost ");
}

TEST_CASE("around a stop, a target that broke off and a deadline that was reached excuse the end of an answer")
{
    StopBench bench;
    bench.send("a", StopBench::stop + Millis{4000});
    bench.run("a", "t1", StopBench::stop + Millis{4010});
    bench.judge.runEnded("a", "t1", RunEnd::Spoilt, StopBench::stop + Millis{5000});
    bench.cut("a", StopBench::stop + Millis{5010});
    bench.send("b", StopBench::cutAt - Millis{14500});
    bench.run("b", "t1", StopBench::stop);
    bench.cut("b", StopBench::cutAt);
    CHECK(bench.promises().empty());
    CHECK(bench.judge.stops().streamsCut == 1);
}

TEST_CASE("around a stop, an unplanned disturbance of the gateway excuses the end of an answer")
{
    StopBench bench;
    const std::string unplanned = SoakJudge::gatewaySubject(0) + SoakJudge::unplannedSuffix;
    bench.judge.disturbances().begin(unplanned, StopBench::stop + Millis{3500});
    bench.judge.disturbances().end(unplanned, StopBench::stop + Millis{4000});
    bench.send("a", StopBench::stop + Millis{4200});
    bench.run("a", "t1", StopBench::stop + Millis{4210});
    bench.cut("a", StopBench::cutAt);
    bench.send("b", StopBench::stop + Millis{6900});
    bench.cut("b", StopBench::cutAt);
    CHECK(bench.promises().empty());
    bench.send("c", StopBench::stop + Millis{7001});
    bench.cut("c", StopBench::cutAt);
    CHECK(bench.promises() == "lost ");
}

TEST_CASE("around a stop, a request that was not passed on is answered if there was time to read it")
{
    StopBench bench;
    bench.send("a", StopBench::stop + Millis{100});
    bench.cut("a", StopBench::stop + Millis{300});
    CHECK(bench.promises().empty());
    bench.send("b", StopBench::stop + Millis{100});
    bench.cut("b", StopBench::stop + Millis{301});
    CHECK(bench.promises() == "lost ");
    SoakAnswer unread;
    unread.isUnread = true;
    bench.send("c", StopBench::stop + Millis{100});
    bench.judge.answered("c", unread, StopBench::stop + Millis{300});
    CHECK(bench.promises() == "lost ");
    bench.send("d", StopBench::stop + Millis{100});
    bench.judge.answered("d", unread, StopBench::stop + Millis{301});
    CHECK(bench.promises() == "lost lost ");
    bench.send("e", StopBench::stop + Millis{8000});
    bench.cut("e", StopBench::stop + Millis{9001});
    CHECK(bench.promises() == "lost lost ");
}

TEST_CASE("a body that comes in parts counts from its last byte, and not where that was never sent")
{
    StopBench bench;
    bench.send("a", StopBench::stop, CallKind::Chat, true);
    bench.cut("a", StopBench::stop + Millis{4000});
    bench.send("b", StopBench::stop, CallKind::Chat, true);
    bench.answer("b", 0, StopBench::stop + Millis{4000});
    bench.send("c", StopBench::stop, CallKind::Chat, true);
    bench.judge.sentWhole("c", StopBench::stop + Millis{3800});
    bench.cut("c", StopBench::stop + Millis{4000});
    CHECK(bench.promises().empty());
    bench.send("d", StopBench::stop, CallKind::Chat, true);
    bench.judge.sentWhole("d", StopBench::stop + Millis{3799});
    bench.cut("d", StopBench::stop + Millis{4000});
    CHECK(bench.promises() == "lost ");
    bench.send("e", StopBench::stop, CallKind::Chat, true);
    bench.judge.sentWhole("e", StopBench::stop + Millis{3001});
    bench.run("e", "t1", StopBench::stop + Millis{3010});
    bench.cut("e", StopBench::cutAt);
    CHECK(bench.promises() == "lost lost ");
}

TEST_CASE("at the end of a stop, only what a disturbance held up may get nothing at all")
{
    StopBench bench;
    const std::string unplanned = SoakJudge::gatewaySubject(0) + SoakJudge::unplannedSuffix;
    bench.judge.disturbances().begin(unplanned, StopBench::stop + Millis{1000});
    bench.judge.disturbances().end(unplanned, StopBench::stop + Millis{2000});
    bench.send("a", StopBench::stop + Millis{4000});
    bench.answer("a", 0, StopBench::cutAt);
    CHECK(bench.promises().empty());
    bench.send("b", StopBench::stop + Millis{4000});
    bench.answer("b", 0, StopBench::stop + Millis{7000});
    CHECK(bench.promises() == "silent ");
    bench.send("c", StopBench::stop + Millis{5100});
    bench.answer("c", 0, StopBench::cutAt);
    CHECK(bench.promises() == "silent silent lost ");
}

TEST_CASE("what a gateway that stops has refused is counted with its next attempt")
{
    StopBench bench;
    bench.judge.made("t1.b", 200, "plate");
    bench.send("before", StopBench::stop - Millis{20});
    bench.answer("before", 503, StopBench::stop - Millis{10});
    for (const char *id : {"a", "c"}) {
        bench.send(id, StopBench::stop + Millis{10});
        bench.answer(id, 503, StopBench::stop + Millis{20});
    }
    SoakCall again = bench.call("b", StopBench::stop + Millis{30});
    again.comesAgainFor = "a";
    bench.judge.sent(again);
    bench.run("b", "t1", StopBench::stop + Millis{35});
    bench.judge.answered("b", {200, true, "b", "t1.b", "plate"}, StopBench::stop + Millis{40});
    CHECK(bench.judge.stops().refused == 2);
    CHECK(bench.judge.stops().cameAgain == 1);
    CHECK(bench.judge.stops().servedAgain == 1);
    CHECK(bench.promises().empty());
}

TEST_CASE("the route's time is kept, and a caller that left is not worked for")
{
    Bench bench;
    bench.send("a", Millis{5000});
    bench.judge.tick(Millis{6700});
    CHECK(bench.promises().empty());
    bench.judge.tick(Millis{6900});
    CHECK(bench.promises() == "timeout ");
    bench.send("b", Millis{10000});
    bench.run("b", "t1", Millis{10010});
    bench.judge.left("b", Millis{10100});
    bench.judge.tick(Millis{10800});
    CHECK(bench.promises() == "timeout ");
    bench.judge.tick(Millis{11000});
    CHECK(bench.promises() == "timeout gone ");
    SUBCASE("what this process slept through is granted")
    {
        bench.send("c", Millis{20000});
        bench.judge.paused(Millis{21400}, Millis{1000});
        bench.judge.tick(Millis{22000});
        CHECK(bench.promises() == "timeout gone ");
    }
}

TEST_CASE("repeats stay within their share of the requests")
{
    Bench bench;
    for (int i = 0; i < 100; ++i) {
        const std::string id = "r" + std::to_string(i);
        SoakCall call = bench.call(id, Millis{1000 + i});
        call.mostTargets = 3;
        call.kind = CallKind::Look;
        bench.judge.sent(call);
        bench.run(id, "t1", Millis{1100 + i});
        bench.run(id, "t2", Millis{1200 + i});
    }
    bench.judge.finish(Millis{2000});
    CHECK(bench.promises().find("budget") != std::string::npos);
}

namespace {

/** A kept connection's request to a gateway's own socket. */
SoakCall lastingCall(const Bench &bench, const std::string &id, Millis at, Millis idleFor)
{
    SoakCall call = bench.call(id, at);
    call.isDirect = true;
    call.idleFor = idleFor;
    return call;
}

} // namespace

// Guards against a gateway that reads a request which crosses the close of its connection, and discards it.
TEST_CASE(
    "a request that ends with nothing was read, unless its caller's kernel heard otherwise or the process was killed")
{
    Bench bench;
    bench.judge.sent(lastingCall(bench, "a", Millis{5000}, Millis{1000}));
    SUBCASE("read and thrown away")
    {
        bench.answer("a", 0, Millis{5200});
        CHECK(bench.promises() == "silent ");
    }
    SUBCASE("also where the gateway was frozen, stopped or out of touch")
    {
        bench.judge.disturbances().begin(SoakJudge::gatewaySubject(0), Millis{5000});
        bench.judge.disturbances().begin(SoakJudge::gatewaySubject(0) + SoakJudge::unplannedSuffix, Millis{5000});
        bench.answer("a", 0, Millis{5200});
        CHECK(bench.promises() == "silent ");
    }
    SUBCASE("also where a target's fault spoilt its run")
    {
        bench.run("a", "t1", Millis{5050});
        bench.judge.runEnded("a", "t1", RunEnd::Spoilt, Millis{5100});
        bench.answer("a", 0, Millis{5200});
        CHECK(bench.promises() == "silent ");
    }
    SUBCASE("killed meanwhile")
    {
        bench.judge.disturbances().begin(SoakJudge::gatewaySubject(0) + SoakJudge::killedSuffix, Millis{5100});
        bench.answer("a", 0, Millis{5200});
        CHECK(bench.promises().empty());
    }
    SUBCASE("killed long before")
    {
        const std::string subject = SoakJudge::gatewaySubject(0) + SoakJudge::killedSuffix;
        bench.judge.disturbances().begin(subject, Millis{3000});
        bench.judge.disturbances().end(subject, Millis{4000});
        bench.answer("a", 0, Millis{5200});
        CHECK(bench.promises() == "silent ");
    }
    SUBCASE("refused by the gateway's kernel")
    {
        SoakAnswer unread;
        unread.isUnread = true;
        bench.judge.answered("a", unread, Millis{5200});
        CHECK(bench.promises().empty());
    }
}

TEST_CASE("a request that passed a relay may have been lost there")
{
    Bench bench;
    bench.send("a", Millis{5000});
    bench.answer("a", 0, Millis{5200});
    CHECK(bench.promises().empty());
}

TEST_CASE("what a kernel refused has not run and never runs")
{
    Bench bench;
    SoakAnswer unread;
    unread.isUnread = true;
    SUBCASE("before")
    {
        bench.judge.sent(lastingCall(bench, "a", Millis{5000}, Millis{1000}));
        bench.run("a", "t1", Millis{5050});
        bench.judge.answered("a", unread, Millis{5200});
    }
    SUBCASE("after")
    {
        bench.judge.sent(lastingCall(bench, "a", Millis{5000}, Millis{1000}));
        bench.judge.answered("a", unread, Millis{5200});
        bench.run("a", "t1", Millis{5250});
    }
    CHECK(bench.promises() == "refused ");
}

TEST_CASE("a connection that was idle for less than callers may leave it is not closed to them")
{
    Bench bench;
    GatewayConfiguration longer = version(2, "desk", "k1");
    longer.limits.idleTime = Millis{2000};
    bench.judge.configurationAcknowledged(longer, Millis{10});
    SoakAnswer unread;
    unread.isUnread = true;
    const auto meet = [&bench, &unread](const std::string &id, Millis idleFor) {
        bench.judge.sent(lastingCall(bench, id, Millis{5000}, idleFor));
        bench.judge.answered(id, unread, Millis{5010});
    };
    SUBCASE("too early, by more than what this machine's scheduling takes")
    {
        meet("a", Millis{490});
        CHECK(bench.promises() == "kept ");
    }
    SUBCASE("near the limit")
    {
        meet("a", Millis{510});
        CHECK(bench.promises().empty());
    }
    SUBCASE("at a gateway that stops")
    {
        bench.judge.disturbances().begin(SoakJudge::gatewaySubject(0), Millis{4900});
        meet("a", Millis{100});
        CHECK(bench.promises().empty());
    }
}

TEST_CASE("an unread request was not served where it opened its connection, and does not count on a kept one")
{
    Bench bench;
    SoakAnswer unread;
    unread.isUnread = true;
    const auto meet = [&bench, &unread](const std::string &id, bool isFirst) {
        SoakCall call = lastingCall(bench, id, Millis{5000}, Millis{4000});
        call.isFirst = isFirst;
        bench.judge.sent(call);
        bench.judge.answered(id, unread, Millis{5010});
    };
    meet("kept", false);
    CHECK(bench.judge.sentSince(Millis{0}) == 0);
    meet("first", true);
    CHECK(bench.judge.unread() == 2);
    CHECK(bench.judge.sentSince(Millis{0}) == 1);
    CHECK(bench.judge.servedSince(Millis{0}) == 0);
}

TEST_CASE("no gateway writes that it threw bytes away after it closed an unused connection")
{
    Bench bench;
    const std::string line = "warning part=entry bytes thrown away after a close connection=7 bytes=222 why=";
    bench.judge.logged(0, line + "answered", Millis{100});
    bench.judge.logged(0, line + "unreadable", Millis{100});
    bench.judge.logged(0, "connection closed why=idle", Millis{100});
    CHECK(bench.promises().empty());
    bench.judge.logged(0, line + "idle", Millis{100});
    bench.judge.logged(0, line + "stopping", Millis{100});
    CHECK(bench.promises() == "silent silent ");
}

TEST_CASE("a request that ended three targets may reach three more, and those that get it before gateways can know")
{
    Bench bench;
    const auto end = [&bench](int number, Millis at) {
        SoakCall call = bench.call("x" + std::to_string(number), at);
        call.path = crashingPath;
        call.endsTargets = true;
        bench.judge.sent(call);
        SoakArrival arrival = bench.arrival(call.id, "t" + std::to_string(number), at);
        arrival.path = crashingPath;
        arrival.endsTarget = true;
        bench.judge.arrived(arrival);
    };
    for (int i = 0; i < 12; ++i) {
        end(i, Millis{10000 + i * 200});
    }
    for (int i = 12; i < 15; ++i) {
        end(i, Millis{20000 + i * 200});
    }
    CHECK(bench.judge.violations().empty());
    SUBCASE("the fourth is one too many")
    {
        end(15, Millis{24000});
        end(16, Millis{25000});
        REQUIRE(bench.judge.violations().size() == 1);
        CHECK(bench.judge.violations()[0].promise == "budget");
    }
    SUBCASE("unless its gateway was out of touch")
    {
        bench.judge.disturbances().begin(SoakJudge::gatewaySubject(0), Millis{23000});
        bench.judge.disturbances().end(SoakJudge::gatewaySubject(0), Millis{23100});
        end(15, Millis{24000});
        CHECK(bench.judge.violations().empty());
    }
}

// Guards against a judge that misses a stream with events of two software versions, in one answer or over attempts.
TEST_CASE("a stream has events of one software version, over all attempts that take it up")
{
    Bench bench;
    bench.judge.serves("a", "v1");
    bench.judge.serves("b", "v2");
    bench.judge.serves("c", "v1");
    const auto send = [&bench](const std::string &id, const std::string &takesUp, std::uint32_t lastEvent) {
        SoakCall call = bench.call(id, Millis{100}, CallKind::Chat);
        call.takesUp = takesUp;
        call.lastEvent = lastEvent;
        bench.judge.sent(call);
    };
    const auto answer = [&bench](const std::string &id, const std::string &body) {
        bench.judge.made("by." + id, 200, "");
        SoakAnswer one;
        one.status = 200;
        one.attemptId = id;
        one.signature = "by." + id;
        one.body = body;
        bench.judge.answered(id, one, Millis{300});
    };
    send("s", "", 0);
    answer("s", eventOf("s", 1, "a") + eventOf("s", 2, "c"));
    send("s-2", "s", 2);
    answer("s-2", eventOf("s", 3, "c"));
    CHECK(bench.promises().find("version") == std::string::npos);
    send("s-3", "s", 3);
    answer("s-3", eventOf("s", 4, "b"));
    CHECK(bench.promises().find("version") != std::string::npos);
}

TEST_CASE("streams that are taken up must go on half as often as new ones begin, while two targets serve")
{
    for (const int goingOn : {4, 5}) {
        Bench bench;
        bench.judge.serves("a", "v1");
        bench.judge.serves("c", "v1");
        const auto play = [&bench](const std::string &id, const std::string &takesUp, bool hasEvent) {
            SoakCall call = bench.call(id, Millis{10000}, CallKind::Chat);
            call.takesUp = takesUp;
            call.lastEvent = takesUp.empty() ? 0 : 1;
            bench.judge.sent(call);
            bench.judge.made("by." + id, 200, "");
            SoakAnswer one;
            one.status = hasEvent ? 200 : 503;
            one.attemptId = id;
            one.signature = hasEvent ? "by." + id : "";
            one.body = hasEvent ? eventOf(takesUp.empty() ? id : takesUp, takesUp.empty() ? 1 : 2, "a") : "";
            bench.judge.answered(id, one, Millis{10100});
        };
        constexpr int streams = 12;
        for (int i = 0; i < streams; ++i) {
            // Nine of twelve begin: half of that share is four and a half of twelve.
            play("s" + std::to_string(i), "", i < 9);
        }
        for (int i = 0; i < streams; ++i) {
            play("t" + std::to_string(i), "s" + std::to_string(i % 9), i < goingOn);
        }
        bench.judge.finish(Millis{11000});
        CHECK((bench.promises().find("taken up") != std::string::npos) == (goingOn < 5));
    }
}

// Guards against blaming a gateway for the time that a request waited in a path that was silent.
TEST_CASE("a request that a silent path held up may arrive with more time than is left")
{
    Bench bench;
    const auto arrive = [&bench](const std::string &id, std::size_t gateway, Millis sentAt, Millis at) {
        SoakCall call = bench.call(id, sentAt);
        call.gateway = gateway;
        bench.judge.sent(call);
        SoakArrival arrival = bench.arrival(id, "t1", at);
        arrival.timeLeft = call.timeLeft;
        bench.judge.arrived(arrival);
    };
    bench.judge.pathsCut({1}, Millis{10000}, Millis{12000});
    arrive("held", 1, Millis{10500}, Millis{12100});
    CHECK(bench.judge.violations().empty());
    arrive("elsewhere", 2, Millis{10500}, Millis{12100});
    CHECK(bench.judge.violations().size() == 1);
    arrive("later", 1, Millis{15000}, Millis{16600});
    CHECK(bench.judge.violations().size() == 2);
}
