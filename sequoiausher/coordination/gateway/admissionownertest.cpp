#include "sequoiausher/coordination/gateway/admissionowner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <string>

using namespace Sequoiausher;

namespace {

const PoolId service{"ledger"};
const InstanceId gateway{"10.1.0.1:80"};
constexpr Millis start{10000};

GatewayAdmissionRequest request(std::uint64_t id)
{
    GatewayAdmissionRequest asked;
    asked.id = id;
    asked.service = service;
    asked.organisation = 1;
    asked.requestClass = RequestClass::Background;
    asked.aim = Millis{300};
    asked.timeLeft = Millis{3000};
    return asked;
}

std::vector<OwnedTarget> targets(std::size_t count)
{
    std::vector<OwnedTarget> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back({TargetId{"t" + std::to_string(i)}, 6, 0});
    }
    return all;
}

/** An owner whose targets have each answered some requests in the given time. */
struct Bed
{
    explicit Bed(std::size_t count, Millis answerTime = Millis{60})
    {
        this->owner.setTargets(service, targets(count), start);
        for (std::size_t i = 0; i < count * 30; ++i) {
            this->answer(this->ask(), answerTime);
        }
    }

    GatewayAdmissionReply ask(RequestClass requestClass = RequestClass::Background, std::uint32_t organisation = 1)
    {
        GatewayAdmissionRequest asked = request(++this->lastId);
        asked.requestClass = requestClass;
        asked.organisation = organisation;
        return this->owner.decide(gateway, asked, this->now);
    }

    void answer(const GatewayAdmissionReply &reply, Millis elapsed)
    {
        this->owner.release(gateway, {reply.id, PlaceOutcome::Answered, elapsed}, this->now);
    }

    /** Asks until the first refusal. @return the number of grants. */
    std::size_t fill(RequestClass requestClass)
    {
        std::size_t granted = 0;
        while (this->ask(requestClass, ++this->lastOrganisation).verdict == AdmissionVerdict::Granted) {
            granted += 1;
        }
        return granted;
    }

    AdmissionOwner owner;
    Millis now = start;
    std::uint64_t lastId = 0;
    std::uint32_t lastOrganisation = 1000;
};

} // namespace

TEST_CASE("requests go to the target that is expected to answer first")
{
    Bed bed(3);
    std::map<TargetId, int> granted;
    for (int i = 0; i < 18; ++i) {
        granted[bed.ask().target] += 1;
    }
    CHECK(granted.size() == 3);
    for (const auto &[target, count] : granted) {
        CHECK(count == 6);
    }
}

// Guards against a target that is slow for a moment and never gets requests again, because nothing shows its recovery.
TEST_CASE("a target that was slow gets requests again without an answer of its own")
{
    Bed bed(2);
    const TargetId slow{"t0"};
    for (int i = 0; i < 20; ++i) {
        const GatewayAdmissionReply one = bed.ask();
        const GatewayAdmissionReply other = bed.ask();
        bed.answer(one, one.target == slow ? Millis{400} : Millis{60});
        bed.answer(other, other.target == slow ? Millis{400} : Millis{60});
    }
    const auto countSlow = [&bed, &slow] {
        int count = 0;
        std::vector<GatewayAdmissionReply> held;
        for (int i = 0; i < 10; ++i) {
            held.push_back(bed.ask());
            count += held.back().target == slow ? 1 : 0;
        }
        for (const GatewayAdmissionReply &reply : held) {
            bed.owner.release(gateway, {reply.id, PlaceOutcome::Unused, Millis{0}}, bed.now);
        }
        return count;
    };
    CHECK(countSlow() <= 3);
    bed.now = bed.now + Millis{2500};
    CHECK(countSlow() >= 4);
}

// Load: more requests than the service can answer within the aim.
TEST_CASE("what cannot be answered in time is refused at once, the less urgent classes first")
{
    const std::size_t background = Bed(3).fill(RequestClass::Background);
    const std::size_t interactive = Bed(3).fill(RequestClass::Interactive);
    const std::size_t urgent = Bed(3).fill(RequestClass::Urgent);
    CHECK(background >= 18);
    CHECK(interactive > background);
    CHECK(urgent > interactive);
    // With 60 ms of work and 18 places, 90 requests at once are answered in 300 ms.
    CHECK(urgent <= 90);
    Bed bed(3);
    bed.fill(RequestClass::Urgent);
    const GatewayAdmissionReply refused = bed.ask(RequestClass::Urgent);
    CHECK(refused.verdict == AdmissionVerdict::Overloaded);
    CHECK(refused.target.empty());
    CHECK(refused.retryAfter > Millis{0});
    // Callers honour a third of the time left, and the time is spread over up to twice itself.
    CHECK(refused.retryAfter <= Millis{500});
}

TEST_CASE("a request whose caller leaves before the expected answer is refused")
{
    Bed bed(1, Millis{200});
    while (bed.owner.state(service, bed.now).placesTaken < 6) {
        bed.ask();
    }
    GatewayAdmissionRequest asked = request(++bed.lastId);
    asked.requestClass = RequestClass::Urgent;
    asked.aim = Millis{5000};
    asked.timeLeft = Millis{150};
    CHECK(bed.owner.decide(gateway, asked, bed.now).verdict == AdmissionVerdict::Overloaded);
    asked.id = ++bed.lastId;
    asked.timeLeft = Millis{2000};
    CHECK(bed.owner.decide(gateway, asked, bed.now).verdict == AdmissionVerdict::Granted);
}

// Load: one organisation sends ten times what the others send together; the service can answer about 300 a second.
TEST_CASE("an organisation whose traffic surges does not displace the others, and is not starved")
{
    Bed bed(3);
    std::map<std::uint32_t, std::pair<int, int>> granted;
    struct Running
    {
        GatewayAdmissionReply reply;
        Millis elapsed;
    };
    std::multimap<Millis, Running> running;
    constexpr int seconds = 5;
    for (int ms = 0; ms < seconds * 1000; ++ms) {
        bed.now = start + Millis{ms};
        while (!running.empty() && running.begin()->first <= bed.now) {
            bed.answer(running.begin()->second.reply, running.begin()->second.elapsed);
            running.erase(running.begin());
        }
        if (ms % 50 == 0) {
            bed.owner.setTargets(service, targets(3), bed.now);
        }
        const bool isSurging = ms % 10 != 0;
        const std::uint32_t organisation = isSurging ? 1 : 2 + static_cast<std::uint32_t>(ms / 10 % 10);
        const GatewayAdmissionReply reply = bed.ask(RequestClass::Background, organisation);
        granted[organisation].second += 1;
        if (reply.verdict == AdmissionVerdict::Granted) {
            granted[organisation].first += 1;
            const auto queued = static_cast<double>(bed.owner.state(service, bed.now).placesTaken) / 18;
            const Millis elapsed{std::llround(60 * std::max(queued, 1.0))};
            running.emplace(bed.now + elapsed, Running{reply, elapsed});
        }
    }
    for (const auto &entry : granted) {
        const std::uint32_t organisation = entry.first;
        const std::pair<int, int> &counts = entry.second;
        CAPTURE(organisation);
        if (organisation == 1) {
            // What the service can do beyond the others' 100 a second.
            CHECK(counts.first > 150 * seconds);
            CHECK(counts.first < 250 * seconds);
        } else {
            CHECK(counts.first >= counts.second * 98 / 100);
        }
    }
}

// Guards against places that are lost for good with the gateway that held them.
TEST_CASE("a place is taken back when its gateway ends, and when the deadline of its request has passed")
{
    Bed bed(1);
    bed.ask();
    bed.ask();
    CHECK(bed.owner.state(service, bed.now).placesTaken == 2);
    CHECK(bed.owner.holders() == std::vector<InstanceId>{gateway});
    bed.owner.releaseAll(gateway);
    CHECK(bed.owner.state(service, bed.now).placesTaken == 0);
    bed.ask();
    bed.now = bed.now + Millis{3400};
    CHECK(bed.owner.state(service, bed.now).placesTaken == 1);
    bed.now = bed.now + Millis{200};
    CHECK(bed.owner.state(service, bed.now).placesTaken == 0);
}

// Guards against a target whose queue holds requests of others: its rejections must not be asked for again and again.
TEST_CASE("a target that rejected a request is left out for a moment; if all did, requests are refused at once")
{
    Bed bed(2);
    const GatewayAdmissionReply first = bed.ask();
    bed.owner.release(gateway, {first.id, PlaceOutcome::Rejected, Millis{0}}, bed.now);
    for (int i = 0; i < 6; ++i) {
        CHECK(bed.ask().target != first.target);
    }
    const GatewayAdmissionReply other = bed.ask();
    bed.owner.release(gateway, {other.id, PlaceOutcome::Rejected, Millis{0}}, bed.now);
    CHECK(bed.ask().verdict == AdmissionVerdict::Overloaded);
    bed.now = bed.now + Millis{100};
    CHECK(bed.ask().verdict == AdmissionVerdict::Granted);
}

// Guards against streams that run at a target without a place, since their first events count as their ends.
TEST_CASE("a request whose stream has begun keeps its place until it ends")
{
    Bed bed(1);
    const GatewayAdmissionReply granted = bed.ask();
    bed.owner.release(gateway, {granted.id, PlaceOutcome::Begun, Millis{20}}, bed.now);
    CHECK(bed.owner.state(service, bed.now).placesTaken == 1);
    bed.owner.release(gateway, {granted.id, PlaceOutcome::Answered, Millis{400}}, bed.now);
    CHECK(bed.owner.state(service, bed.now).placesTaken == 0);
}

// Guards against a new owner that takes full targets for empty ones.
TEST_CASE("a new owner counts the reported loads at once, and as long as they are reported")
{
    AdmissionOwner owner;
    std::vector<OwnedTarget> loaded = targets(2);
    loaded.front().reportedInFlight = 20;
    owner.setTargets(service, loaded, start);
    for (std::uint64_t id = 1; id <= 10; ++id) {
        CHECK(owner.decide(gateway, request(id), start).target == loaded.back().id);
    }
    Millis later = start + Millis{1100};
    owner.setTargets(service, loaded, later);
    CHECK(owner.decide(gateway, request(11), later).target == loaded.back().id);
    loaded.front().reportedInFlight = 0;
    loaded.back().reportedInFlight = 11;
    constexpr int seconds = 2;
    for (int i = 0; i < seconds * 20; ++i) {
        later += Millis{50};
        owner.setTargets(service, loaded, later);
    }
    CHECK(owner.decide(gateway, request(12), later).target == loaded.front().id);
}

TEST_CASE("excluded targets are not granted, a repeated request keeps its place, unknown services have no target")
{
    Bed bed(2);
    GatewayAdmissionRequest asked = request(++bed.lastId);
    asked.excluded = {TargetId{"t0"}};
    CHECK(bed.owner.decide(gateway, asked, bed.now).target == TargetId{"t1"});
    CHECK(bed.owner.decide(gateway, asked, bed.now).target == TargetId{"t1"});
    CHECK(bed.owner.state(service, bed.now).placesTaken == 1);
    asked.id = ++bed.lastId;
    asked.excluded = {TargetId{"t0"}, TargetId{"t1"}};
    CHECK(bed.owner.decide(gateway, asked, bed.now).verdict == AdmissionVerdict::NoTarget);
    asked.id = ++bed.lastId;
    asked.service = PoolId{"other"};
    CHECK(bed.owner.decide(gateway, asked, bed.now).verdict == AdmissionVerdict::NoTarget);
}

// Guards against counts that drift: releases of unknown places, repeated releases, and targets that come and go.
TEST_CASE("the places taken are those granted and not given back, over random series")
{
    rc::check("places", [] {
        AdmissionOwner owner;
        std::map<std::uint64_t, TargetId> held;
        Millis now = start;
        owner.setTargets(service, targets(3), now);
        const auto steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            now = now + Millis{*rc::gen::inRange(0, 5)};
            const auto id = static_cast<std::uint64_t>(*rc::gen::inRange(1, 40));
            if (*rc::gen::arbitrary<bool>()) {
                const GatewayAdmissionReply reply = owner.decide(gateway, request(id), now);
                if (reply.verdict == AdmissionVerdict::Granted) {
                    held[id] = reply.target;
                }
            } else {
                owner.release(gateway, {id, PlaceOutcome::Answered, Millis{50}}, now);
                held.erase(id);
            }
            RC_ASSERT(owner.state(service, now).placesTaken == held.size());
        }
        owner.setTargets(service, targets(1), now);
        for (const auto &[id, target] : held) {
            owner.release(gateway, {id, PlaceOutcome::Unused, Millis{0}}, now);
        }
        RC_ASSERT(owner.state(service, now).placesTaken == 0U);
        RC_ASSERT(owner.holders().empty());
    });
}

namespace {

/** Requests that may be hedged, at most ten in a hundred in ten seconds. */
struct HedgeBed : Bed
{
    explicit HedgeBed(std::size_t count, std::uint16_t hedgePercent = 10) : Bed(count), percent(hedgePercent)
    {
        for (int i = 0; i < 200; ++i) {
            this->answer(this->askHedged(), i % 10 == 0 ? Millis{400} : Millis{60});
            this->now = this->now + Millis{5};
        }
    }

    GatewayAdmissionReply askHedged()
    {
        GatewayAdmissionRequest asked = request(++this->lastId);
        asked.hedgePercent = this->percent;
        asked.hedgeWindow = Millis{10000};
        return this->owner.decide(gateway, asked, this->now);
    }

    GatewayAdmissionReply askSecond(const GatewayAdmissionReply &first)
    {
        GatewayAdmissionRequest asked = request(++this->lastId);
        asked.hedgePercent = this->percent;
        asked.hedgeWindow = Millis{10000};
        asked.hedgeOf = first.id;
        return this->owner.decide(gateway, asked, this->now);
    }

    std::uint16_t percent;
};

} // namespace

TEST_CASE("a request may be hedged after the time in which nine in ten answers come, at another target")
{
    HedgeBed bed(3);
    const GatewayAdmissionReply first = bed.askHedged();
    CHECK(first.hedgeAfter >= Millis{50});
    CHECK(first.hedgeAfter <= Millis{460});
    bed.now = bed.now + Millis{150};
    const GatewayAdmissionReply second = bed.askSecond(first);
    CHECK(second.verdict == AdmissionVerdict::Granted);
    CHECK(second.target != first.target);
    CHECK(bed.owner.state(service, bed.now).placesTaken == 2);
}

TEST_CASE("without a limit in the rule nothing is hedged")
{
    HedgeBed bed(3, 0);
    const GatewayAdmissionReply first = bed.askHedged();
    CHECK(first.hedgeAfter == Millis{0});
    bed.now = bed.now + Millis{150};
    CHECK(bed.askSecond(first).verdict == AdmissionVerdict::NoHedge);
}

// Guards against second copies that make an overloaded service slower.
TEST_CASE("nothing is hedged without a free place, when the service is slow as a whole, or without a gain")
{
    HedgeBed bed(2);
    const GatewayAdmissionReply soon = bed.askHedged();
    bed.now = bed.now + Millis{1};
    CHECK(bed.askSecond(soon).verdict == AdmissionVerdict::NoHedge);
    const GatewayAdmissionReply first = bed.askHedged();
    std::vector<GatewayAdmissionReply> others;
    while (bed.owner.state(service, bed.now).placesTaken < 12) {
        others.push_back(bed.ask());
    }
    bed.now = bed.now + Millis{150};
    CHECK(bed.askSecond(first).verdict == AdmissionVerdict::NoHedge);
    for (const GatewayAdmissionReply &other : others) {
        bed.answer(other, Millis{60});
    }
    CHECK(bed.askSecond(first).verdict == AdmissionVerdict::Granted);
    for (int i = 0; i < 60; ++i) {
        bed.answer(bed.askHedged(), Millis{300});
    }
    const GatewayAdmissionReply late = bed.askHedged();
    bed.now = bed.now + Millis{400};
    CHECK(bed.askSecond(late).verdict == AdmissionVerdict::NoHedge);
}

// Load: every request is slow and asks for a second copy. Guards against a limit that a burst exceeds.
TEST_CASE("second copies stay within the limit in every window, and a rejected one is given back")
{
    for (const std::uint16_t percent : {1, 2, 5, 10}) {
        CAPTURE(percent);
        HedgeBed bed(4, percent);
        std::vector<std::pair<Millis, bool>> sent;
        for (int i = 0; i < 6000; ++i) {
            bed.now = bed.now + Millis{5};
            const GatewayAdmissionReply first = bed.askHedged();
            sent.emplace_back(bed.now, false);
            // A pause without second copies, so that as many as possible are saved up.
            if (i > 2000 && i < 4000) {
                bed.answer(first, Millis{60});
                continue;
            }
            const Millis before = bed.now;
            bed.now = bed.now + Millis{150};
            const GatewayAdmissionReply second = bed.askSecond(first);
            bed.now = before;
            if (second.verdict == AdmissionVerdict::Granted) {
                sent.emplace_back(bed.now, true);
                bed.owner.release(gateway, {second.id, PlaceOutcome::Unused, Millis{0}}, bed.now);
            }
            bed.answer(first, i % 10 == 0 ? Millis{400} : Millis{60});
        }
        std::size_t begin = 0;
        double requests = 0;
        double copies = 0;
        double most = 0;
        for (const auto &[at, isSecond] : sent) {
            (isSecond ? copies : requests) += 1;
            while (sent[begin].first <= at - Millis{10000}) {
                (sent[begin].second ? copies : requests) -= 1;
                begin += 1;
            }
            most = at > sent.front().first + Millis{10000} ? std::max(most, copies / requests * 100) : most;
        }
        CHECK(most <= percent);
        CHECK(most > 0);
    }
    HedgeBed bed(3, 1);
    std::size_t granted = 0;
    for (int i = 0; i < 100; ++i) {
        bed.now = bed.now + Millis{5};
        const GatewayAdmissionReply first = bed.askHedged();
        const Millis before = bed.now;
        bed.now = bed.now + Millis{150};
        const GatewayAdmissionReply second = bed.askSecond(first);
        granted += second.verdict == AdmissionVerdict::Granted ? 1 : 0;
        bed.owner.release(gateway, {second.id, PlaceOutcome::Rejected, Millis{0}}, before);
        bed.now = before;
        bed.answer(first, i % 10 == 0 ? Millis{400} : Millis{60});
    }
    // One balance is enough for all, since each copy was rejected.
    CHECK(granted > 10);
}

TEST_CASE("a second copy of an unknown place, or of one that was given back, is not granted")
{
    HedgeBed bed(3);
    const GatewayAdmissionReply first = bed.askHedged();
    bed.answer(first, Millis{60});
    CHECK(bed.askSecond(first).verdict == AdmissionVerdict::NoHedge);
}

// Guards against places that are forgotten while a target cannot be used for a moment.
TEST_CASE("a target that is unusable for a moment keeps its places")
{
    Bed bed(2);
    std::vector<GatewayAdmissionReply> held;
    for (int i = 0; i < 8; ++i) {
        held.push_back(bed.ask());
    }
    std::vector<OwnedTarget> listed = targets(2);
    listed.front().isUsable = false;
    bed.owner.setTargets(service, listed, bed.now);
    CHECK(bed.ask().target == listed.back().id);
    CHECK(bed.owner.state(service, bed.now).placesTaken == 9);
    listed.front().isUsable = true;
    bed.owner.setTargets(service, listed, bed.now);
    CHECK(bed.owner.state(service, bed.now).placesTaken == 9);
    CHECK(bed.ask().target == listed.front().id);
}

// Load: urgent requests alone fill the service. Guards against classes and organisations that get nothing.
TEST_CASE("a background request a second of each organisation is admitted beside a surge of urgent ones")
{
    Bed bed(3);
    bed.fill(RequestClass::Urgent);
    bed.owner.release(gateway, {bed.lastId - 1, PlaceOutcome::Unused, Millis{0}}, bed.now);
    CHECK(bed.ask(RequestClass::Background, 7).verdict == AdmissionVerdict::Overloaded);
    CHECK(bed.ask(RequestClass::Background, 7).verdict == AdmissionVerdict::Granted);
    CHECK(bed.ask(RequestClass::Background, 7).verdict == AdmissionVerdict::Overloaded);
}

// Guards against limits that two owners of one service hold in turn, and that add up.
TEST_CASE("an owner that comes back has saved no second copies")
{
    HedgeBed bed(3);
    bed.now = bed.now + Millis{5000};
    bed.owner.setTargets(service, targets(3), bed.now);
    const GatewayAdmissionReply first = bed.askHedged();
    CHECK(first.hedgeAfter == Millis{0});
    bed.now = bed.now + Millis{150};
    CHECK(bed.askSecond(first).verdict == AdmissionVerdict::NoHedge);
}
