#include "sequoiausher/coordination/gateway/engineowner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace Sequoiausher;

namespace {

const PoolId service{"engines"};
const InstanceId gateway{"10.1.0.1:80"};
constexpr Millis start{10000};
constexpr std::uint32_t beginning = 2500;
constexpr std::uint32_t document = 6000;
constexpr std::uint32_t question = 500;

std::vector<OwnedTarget> targets(std::size_t count)
{
    std::vector<OwnedTarget> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back({TargetId{"t" + std::to_string(i)}, 64, 0});
    }
    return all;
}

/** An owner of some engines, and the requests that a gateway has placed. */
struct Bed
{
    explicit Bed(std::size_t count)
    {
        this->owner.setTargets(service, targets(count), start);
        // Beyond the time in which reported loads count.
        this->now = start + Millis{1500};
        this->owner.setTargets(service, targets(count), this->now);
    }

    GatewayAdmissionRequest request(std::uint64_t part, std::uint32_t tokens = document)
    {
        GatewayAdmissionRequest asked;
        asked.id = ++this->lastId;
        asked.service = service;
        asked.aim = Millis{800};
        asked.timeLeft = Millis{5000};
        asked.prompt = {{{1, beginning}, {part, tokens}}, question, 150, 4, true, true};
        return asked;
    }

    GatewayAdmissionReply ask(std::uint64_t part, std::uint32_t tokens = document)
    {
        return this->decide(this->request(part, tokens));
    }

    GatewayAdmissionReply decide(const GatewayAdmissionRequest &asked)
    {
        return this->owner.decide(gateway, asked, this->reported, this->now);
    }

    void release(const GatewayAdmissionReply &reply, PlaceOutcome outcome, Millis elapsed = {}, std::uint16_t slow = 0)
    {
        this->owner.release(gateway, {reply.id, outcome, elapsed, slow}, this->now);
    }

    /** Places a request that begins at once and stays. */
    GatewayAdmissionReply begin(std::uint64_t part)
    {
        GatewayAdmissionReply reply = this->ask(part);
        this->release(reply, PlaceOutcome::Begun, Millis{180});
        return reply;
    }

    /** Lets engines read enough prompts, 100 tokens in a ms, for the owner to know their rate. */
    void learnRate()
    {
        for (std::uint64_t part = 900; part < 920; ++part) {
            GatewayAdmissionReply reply = this->ask(part);
            this->release(reply, PlaceOutcome::Begun, Millis{reply.tokensToRead / 100});
            this->release(reply, PlaceOutcome::Answered);
        }
    }

    EngineOwner owner;
    PrefixDirectory reported;
    Millis now = start;
    std::uint64_t lastId = 0;
};

} // namespace

// Load: many long prompts that no engine has cached come within a moment, as after a start of all engines. Guards
// against prompts that queue at some engines while others are idle.
TEST_CASE("unread prompts that come together are spread over the engines")
{
    Bed bed(10);
    std::map<TargetId, int> placed;
    for (std::uint64_t part = 100; part < 110; ++part) {
        const GatewayAdmissionReply reply = bed.ask(part);
        CHECK(reply.verdict == AdmissionVerdict::Granted);
        CHECK(reply.tokensToRead == beginning + document + question);
        placed[reply.target] += 1;
    }
    for (const auto &[target, count] : placed) {
        CHECK(count <= 2);
    }
}

// Failure: all gateways lose power, and with them all knowledge of what the engines have cached. Guards against a new
// owner that has every part read again, at other engines than before.
TEST_CASE("an owner that knows nothing places a part where the one before it did, if that engine is idle")
{
    for (std::uint64_t part = 100; part < 130; ++part) {
        CHECK(Bed(10).ask(part).target == Bed(10).ask(part).target);
        Bed busy(10);
        busy.ask(999);
        CHECK(busy.owner.state(service).placesTaken == 1);
        CHECK(busy.ask(part).verdict == AdmissionVerdict::Granted);
    }
}

TEST_CASE("a request with a part that is being read waits at the same engine, with the priority of the part")
{
    Bed bed(4);
    const GatewayAdmissionReply first = bed.ask(100);
    const GatewayAdmissionReply second = bed.ask(100);
    CHECK(second.target == first.target);
    CHECK(second.copyFrom.empty());
    CHECK(second.tokensToRead == first.tokensToRead);
    CHECK(bed.owner.state(service).waitingTokens == first.tokensToRead + question);
}

TEST_CASE("a part that has been read is used where it is, or copied where that engine has much to read")
{
    Bed bed(4);
    for (std::uint64_t part = 200; part < 216; ++part) {
        bed.begin(part);
    }
    const GatewayAdmissionReply first = bed.begin(100);
    const GatewayAdmissionReply second = bed.ask(100);
    CHECK(second.target == first.target);
    CHECK(second.tokensToRead == question);
    bed.release(second, PlaceOutcome::Begun);
    GatewayAdmissionReply other = bed.ask(100);
    for (int i = 0; i < 30 && other.target == first.target; ++i) {
        other = bed.ask(100);
    }
    CHECK(other.target != first.target);
    CHECK(other.copyFrom == first.target);
    CHECK(other.tokensToRead == question);
}

// Guards against a copy that is ordered from an engine which has not read the part yet, and so brings nothing.
TEST_CASE("a part is not copied from an engine that still reads it")
{
    Bed bed(2);
    const GatewayAdmissionReply first = bed.ask(100);
    GatewayAdmissionRequest asked = bed.request(100);
    asked.excluded = {first.target};
    const GatewayAdmissionReply early = bed.decide(asked);
    CHECK(early.copyFrom.empty());
    CHECK(early.tokensToRead == beginning + document + question);
    bed.release(early, PlaceOutcome::Unused);
    bed.release(first, PlaceOutcome::Begun);
    asked.id = ++bed.lastId;
    const GatewayAdmissionReply late = bed.decide(asked);
    CHECK(late.copyFrom == first.target);
    CHECK(late.tokensToRead == question);
}

TEST_CASE("a new owner knows from reports which engines have read a part")
{
    Bed bed(20);
    bed.reported.recordPeerPlacement(gateway, 100, TargetId{"t7"}, bed.now, UpdateScope::Own);
    const GatewayAdmissionReply reply = bed.ask(100);
    CHECK(reply.target == TargetId{"t7"});
    CHECK(reply.tokensToRead == question);
}

// Guards against a refusal while another engine is free: the engine that has the part is cheaper, but too late.
TEST_CASE("a request is not refused while an engine with room is expected in time")
{
    Bed bed(2);
    bed.learnRate();
    const GatewayAdmissionReply holder = bed.begin(100);
    GatewayAdmissionRequest asked = bed.request(300, 20000);
    asked.prompt.isShortestFirst = false;
    asked.excluded = {holder.target == TargetId{"t0"} ? TargetId{"t1"} : TargetId{"t0"}};
    CHECK(bed.decide(asked).target == holder.target);
    asked = bed.request(100);
    asked.prompt.isShortestFirst = false;
    asked.prompt.mayCopy = false;
    asked.timeLeft = Millis{150};
    const GatewayAdmissionReply reply = bed.decide(asked);
    CHECK(reply.verdict == AdmissionVerdict::Granted);
    CHECK(reply.target != holder.target);
}

// Guards against engines that hold over twice the mean of their service, however hot a part is.
TEST_CASE("no engine gets requests beyond the bound while others are below it")
{
    Bed bed(10);
    std::map<TargetId, int> held;
    for (int i = 0; i < 200; ++i) {
        held[bed.begin(100).target] += 1;
    }
    constexpr int mean = 20;
    for (const auto &[target, count] : held) {
        CHECK(count <= 2 * mean + 3);
    }
}

TEST_CASE("an engine that says that its work takes long gets requests when the others have more to read")
{
    Bed bed(2);
    const GatewayAdmissionReply first = bed.ask(100);
    bed.release(first, PlaceOutcome::Begun, Millis{450}, 250);
    bed.release(first, PlaceOutcome::Answered);
    const GatewayAdmissionReply second = bed.ask(200);
    CHECK(second.target != first.target);
    // Its word is forgotten: otherwise nothing would show that it is fast again.
    bed.now += Millis{3000};
    bed.owner.setTargets(service, targets(2), bed.now - Millis{1500});
    CHECK(bed.ask(300).target == first.target);
}

TEST_CASE("a request whose first event would come after its caller has left is refused with a time to return")
{
    Bed bed(1);
    bed.learnRate();
    CHECK(bed.owner.state(service).tokensPerMs == doctest::Approx(100));
    int granted = 0;
    GatewayAdmissionReply reply;
    for (std::uint64_t part = 200; part < 300; ++part) {
        GatewayAdmissionRequest asked = bed.request(part, 100000);
        asked.timeLeft = Millis{3100};
        reply = bed.decide(asked);
        if (reply.verdict != AdmissionVerdict::Granted) {
            break;
        }
        granted += 1;
    }
    CHECK(granted == 3);
    CHECK(reply.verdict == AdmissionVerdict::Overloaded);
    CHECK(reply.retryAfter >= Millis{80});
    CHECK(reply.retryAfter <= Millis{3100 / 6});
    // Short prompts are read before the long ones that wait, so they are still served.
    CHECK(bed.ask(400, 100).verdict == AdmissionVerdict::Granted);
}

// Guards against engines that are crowded because another one announces that it holds far more than it does.
TEST_CASE("an engine that overstates what it holds does not raise the bound of the others")
{
    constexpr std::size_t engines = 20;
    Bed bed(engines);
    for (std::uint64_t part = 100; part < 100 + 2 * engines; ++part) {
        bed.begin(part);
    }
    const std::uint16_t bound = bed.ask(500).bound;
    const GatewayAdmissionReply reply = bed.ask(501);
    bed.owner.release(gateway, {reply.id, PlaceOutcome::Begun, Millis{180}, 0, 255}, bed.now);
    const GatewayAdmissionReply next = bed.ask(502);
    CHECK(next.bound <= bound + 3);
    CHECK(next.target != reply.target);
}

// Guards against a bound that rises with the number of engines that cannot be used.
TEST_CASE("the bound is a multiple of the mean of all engines, and of an even load among those that are left")
{
    constexpr std::size_t engines = 20;
    Bed bed(engines);
    for (std::uint64_t part = 100; part < 100 + 2 * engines; ++part) {
        bed.begin(part);
    }
    const std::uint16_t bound = bed.ask(500).bound;
    std::vector<OwnedTarget> some = targets(engines);
    for (std::size_t i = 0; i < engines / 4; ++i) {
        some[i].isUsable = false;
    }
    bed.owner.setTargets(service, some, bed.now);
    CHECK(bed.ask(501).bound <= bound + 1);
    GatewayAdmissionRequest asked = bed.request(502);
    for (std::size_t i = 0; i + 1 < engines; ++i) {
        asked.excluded.push_back(some[i].id);
    }
    const GatewayAdmissionReply last = bed.decide(asked);
    CHECK(last.verdict == AdmissionVerdict::Granted);
    CHECK(last.target == some.back().id);
    CHECK(last.held < last.bound);
}

// Guards against engines that are crowded while requests whose answers were lost count as load.
TEST_CASE("requests that the engines do not hold any more raise no bound")
{
    constexpr std::size_t engines = 20;
    Bed bed(engines);
    for (std::uint64_t part = 100; part < 100 + 6 * engines; ++part) {
        bed.ask(part);
    }
    const std::uint16_t crowded = bed.ask(800).bound;
    bed.now += Millis{1000};
    CHECK(bed.ask(801).bound < crowded / 2);
}

// Guards against engines that are crowded after gateways have died, because the mean still counts their requests.
TEST_CASE("requests of a gateway whose link has broken raise no bound, and count again where it goes on")
{
    Bed bed(12);
    const InstanceId other{"10.1.0.2:80"};
    for (std::uint64_t part = 100; part < 172; ++part) {
        GatewayAdmissionRequest asked = bed.request(part);
        const GatewayAdmissionReply reply = bed.owner.decide(other, asked, bed.reported, bed.now);
        bed.owner.release(other, {reply.id, PlaceOutcome::Begun, Millis{180}, 0}, bed.now);
    }
    const GatewayAdmissionReply before = bed.begin(1);
    CHECK(before.bound >= 12);
    bed.owner.setLost(other, true);
    const GatewayAdmissionReply lost = bed.begin(2);
    // One request is all that is certain, and twice the mean and three is the limit.
    CHECK(lost.bound <= 3);
    CHECK(lost.held >= lost.bound);
    SUBCASE("its link works again")
    {
        bed.owner.setLost(other, false);
        CHECK(bed.begin(3).bound >= 12);
    }
    SUBCASE("it asks again")
    {
        bed.owner.decide(other, bed.request(4), bed.reported, bed.now);
        CHECK(bed.begin(5).bound >= 12);
    }
    SUBCASE("it is gone")
    {
        bed.owner.releaseAll(other);
        CHECK(bed.begin(6).held <= 1);
    }
    SUBCASE("its places end while the link is down")
    {
        for (std::uint64_t id = 1; id <= 72; ++id) {
            bed.owner.release(other, {id, PlaceOutcome::Answered}, bed.now);
        }
        CHECK(bed.begin(7).held <= 1);
    }
}

TEST_CASE("a repeated request gets the same place, and engines that the gateway cannot use are left out")
{
    Bed bed(3);
    GatewayAdmissionRequest asked = bed.request(100);
    asked.excluded = {TargetId{"t0"}, TargetId{"t2"}};
    const GatewayAdmissionReply reply = bed.decide(asked);
    CHECK(reply.target == TargetId{"t1"});
    CHECK(bed.decide(asked) == reply);
    CHECK(bed.owner.state(service).placesTaken == 1);
    asked = bed.request(100);
    asked.excluded = {TargetId{"t0"}, TargetId{"t1"}, TargetId{"t2"}};
    CHECK(bed.decide(asked).verdict == AdmissionVerdict::NoTarget);
}

// Guards against prompts that count as waiting for ever because their gateway ended, or their releases were lost.
TEST_CASE("places end with their gateway, and with their deadline")
{
    Bed bed(3);
    bed.ask(100);
    bed.ask(200);
    CHECK(bed.owner.holders() == std::vector<InstanceId>{gateway});
    bed.owner.releaseAll(gateway);
    CHECK(bed.owner.state(service).placesTaken == 0);
    CHECK(bed.owner.state(service).waitingTokens == 0);
    bed.ask(300);
    bed.now += Millis{6000};
    bed.owner.setTargets(service, targets(3), bed.now);
    bed.ask(400);
    CHECK(bed.owner.state(service).placesTaken == 1);
}

TEST_CASE("counts stay consistent whatever comes in whatever order")
{
    CHECK(rc::check("no place and no token is left once all requests have ended", [] {
        Bed bed(5);
        std::vector<GatewayAdmissionReply> placed;
        const int steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            const int action = *rc::gen::inRange(0, 4);
            if (action == 0 || placed.empty()) {
                placed.push_back(bed.ask(100 + static_cast<std::uint64_t>(*rc::gen::inRange(0, 6))));
            } else {
                const auto index = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(placed.size())));
                bed.release(
                    placed[index],
                    *rc::gen::element(
                        PlaceOutcome::Begun, PlaceOutcome::Answered, PlaceOutcome::Rejected, PlaceOutcome::Unused));
            }
            if (*rc::gen::inRange(0, 10) == 0) {
                bed.owner.setTargets(service, targets(static_cast<std::size_t>(*rc::gen::inRange(1, 7))), bed.now);
            }
        }
        for (const GatewayAdmissionReply &reply : placed) {
            bed.release(reply, PlaceOutcome::Unused);
        }
        RC_ASSERT(bed.owner.state(service).placesTaken == 0U);
        RC_ASSERT(bed.owner.state(service).waitingTokens == 0U);
    }));
}
