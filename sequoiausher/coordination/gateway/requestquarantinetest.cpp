#include "sequoiausher/coordination/gateway/requestquarantine.h"
#include "sequoiausher/coordination/gateway/crashreportnetwork.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

const SuspectedRequest culprit{{1, 100}, {}};
const SuspectedRequest innocent{{1, 200}, {}};
constexpr Millis runTime{60};

TargetId target(int number)
{
    return {"t" + std::to_string(number)};
}

std::vector<SuspectKey> keyOf(const SuspectedRequest &request)
{
    return {keysOf(request).front()};
}

std::optional<Millis> refusedFor(RequestQuarantine &quarantine, const SuspectedRequest &request, Millis now)
{
    const std::optional<QuarantineRefusal> refusal = quarantine.refusal(request, now);
    return refusal ? std::optional(refusal->wait) : std::nullopt;
}

constexpr std::uint64_t first = 11;
constexpr std::uint64_t second = 12;
constexpr std::uint64_t bad = 13;

/** A request like no other, with these shared parts. */
SuspectedRequest requestWith(const std::vector<std::uint64_t> &parts)
{
    static std::uint64_t number = 1000;
    number += 1;
    return {{culprit.fingerprint.caller, number}, parts};
}

std::vector<SuspectKey> partKey(std::uint64_t part)
{
    return {{SuspectKind::PromptPart, culprit.fingerprint.caller, part}};
}

/** Lets the target end with the request in flight. */
std::vector<SuspectKey> crash(RequestQuarantine &quarantine, const SuspectedRequest &request, int number, Millis at)
{
    quarantine.recordLostConnection(request, {target(number), at - runTime}, at);
    return quarantine.recordTargetEnded(target(number), at + Millis{5});
}

} // namespace

TEST_CASE("a request is refused once three targets have ended with it, until no caller has sent it for ten minutes")
{
    RequestQuarantine quarantine;
    CHECK(crash(quarantine, culprit, 1, Millis{1000}).empty());
    CHECK(quarantine.mayRetry(culprit, Millis{1500}));
    CHECK(crash(quarantine, culprit, 2, Millis{2000}).empty());
    CHECK_FALSE(refusedFor(quarantine, culprit, Millis{2500}));
    CHECK_FALSE(quarantine.mayRetry(culprit, Millis{2500}));
    CHECK(crash(quarantine, culprit, 3, Millis{3000}) == keyOf(culprit));
    CHECK(refusedFor(quarantine, culprit, Millis{3100}) == Millis{600000});
    CHECK(refusedFor(quarantine, culprit, Millis{500000}) == Millis{600000});
    CHECK(refusedFor(quarantine, culprit, Millis{1000000}) == Millis{600000});
    CHECK_FALSE(refusedFor(quarantine, culprit, Millis{1600001}));
    CHECK_FALSE(refusedFor(quarantine, innocent, Millis{3100}));
}

TEST_CASE("a request is refused briefly while it is not known whether the third target ended")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(refusedFor(quarantine, culprit, Millis{i * 1000}));
        quarantine.recordLostConnection(culprit, {target(i), Millis{i * 1000}}, Millis{i * 1000 + 50});
        if (i < 2) {
            quarantine.recordTargetEnded(target(i), Millis{i * 1000 + 60});
        }
    }
    CHECK(refusedFor(quarantine, culprit, Millis{2060}) == Millis{250});
    SUBCASE("the target is alive")
    {
        quarantine.recordTargetAlive(target(2));
        CHECK_FALSE(refusedFor(quarantine, culprit, Millis{2070}));
    }
    SUBCASE("the state of the target stays unknown")
    {
        CHECK_FALSE(refusedFor(quarantine, culprit, Millis{4100}));
    }
}

// Guards against refusing sound requests because targets ended under a shared part before it was answered, as long as
// it is not known that they ended.
TEST_CASE("a connection lost before an answer counts neither while the state of its target is unknown nor later")
{
    RequestQuarantine quarantine;
    const SuspectedRequest sound = requestWith({first, second});
    for (int i = 0; i < 6; ++i) {
        const Millis at{i * 10};
        quarantine.recordLostConnection(requestWith({first, bad}), {target(i), at}, at + Millis{2});
        quarantine.recordAnswer(sound, at + Millis{5});
        CHECK_FALSE(refusedFor(quarantine, requestWith({first, second}), at + Millis{6}));
        CHECK(quarantine.mayRetry(requestWith({first, second}), at + Millis{6}));
    }
    CHECK(refusedFor(quarantine, requestWith({first, bad}), Millis{60}) == Millis{250});
    for (int i = 0; i < 6; ++i) {
        quarantine.recordTargetEnded(target(i), Millis{70});
    }
    CHECK_FALSE(refusedFor(quarantine, requestWith({first, second}), Millis{80}));
    CHECK(refusedFor(quarantine, requestWith({first, bad}), Millis{80}) == Millis{600000 - 80 + 52});
}

// Guards against refusing sound requests on a fast fleet, where an end and the next answer fall into one millisecond.
TEST_CASE("an answer in the millisecond of a target's end clears its suspects of that end")
{
    RequestQuarantine quarantine;
    constexpr Millis at{1000};
    constexpr std::uint64_t otherBad = 14;
    int number = 0;
    for (const std::uint64_t crashing : {bad, bad, otherBad, otherBad, bad, otherBad}) {
        const bool isConfirmedFirst = number % 2 == 0;
        quarantine.recordLostConnection(requestWith({first, crashing}), {target(number), at}, at);
        if (isConfirmedFirst) {
            quarantine.recordTargetEnded(target(number), at);
        }
        CHECK_FALSE(refusedFor(quarantine, requestWith({first, second}), at));
        quarantine.recordAnswer(requestWith({first, second}), at);
        if (!isConfirmedFirst) {
            quarantine.recordTargetEnded(target(number), at);
        }
        number += 1;
    }
    CHECK_FALSE(refusedFor(quarantine, requestWith({first, second}), at));
    CHECK(refusedFor(quarantine, requestWith({first, bad}), at) == Millis{600000});
    CHECK(refusedFor(quarantine, requestWith({first, otherBad}), at) == Millis{600000});
}

// Guards against the lower threshold of parts that were never answered, as long as no end has been confirmed.
TEST_CASE("a part that was answered before keeps its higher threshold while the state of its targets is unknown")
{
    RequestQuarantine quarantine;
    quarantine.recordAnswer(requestWith({first}), Millis{10});
    for (int i = 0; i < 4; ++i) {
        const Millis at{1000 + i * 40};
        quarantine.recordLostConnection(requestWith({first, bad}), {target(i), at}, at + Millis{2});
    }
    CHECK_FALSE(refusedFor(quarantine, requestWith({first}), Millis{1200}));
    quarantine.recordLostConnection(requestWith({first, bad}), {target(4), Millis{1160}}, Millis{1162});
    CHECK(refusedFor(quarantine, requestWith({first}), Millis{1200}) == Millis{250});
}

TEST_CASE("only targets that ended count, once each")
{
    RequestQuarantine quarantine;
    SUBCASE("targets that stay alive")
    {
        for (int i = 0; i < 9; ++i) {
            quarantine.recordLostConnection(culprit, {target(i), Millis{i * 1000}}, Millis{i * 1000 + 50});
            quarantine.recordTargetAlive(target(i));
        }
        for (int i = 0; i < 9; ++i) {
            CHECK(quarantine.recordTargetEnded(target(i), Millis{20000}).empty());
        }
        quarantine.recordLostConnection(culprit, {target(9), Millis{30000}}, Millis{30000});
        CHECK(quarantine.targetsToCheck(Millis{35000}).size() == 1);
        CHECK(quarantine.targetsToCheck(Millis{35001}).empty());
    }
    SUBCASE("a target that is found to have ended long after the connection was lost")
    {
        for (int i = 0; i < 9; ++i) {
            const Millis at{i * 10000};
            quarantine.recordLostConnection(culprit, {target(i), at}, at);
            quarantine.recordLostConnection(innocent, {target(100 + i), at + Millis{5000}}, at + Millis{5000});
            CHECK(quarantine.recordTargetEnded(target(i), at + Millis{5001}).empty());
        }
    }
    SUBCASE("one target that had the request several times")
    {
        for (int i = 0; i < 9; ++i) {
            CHECK(crash(quarantine, culprit, 1, Millis{1000 + i * 500}).empty());
        }
    }
    CHECK_FALSE(refusedFor(quarantine, culprit, Millis{90100}));
}

TEST_CASE("a target behind a proxy that still accepts connections counts once the list has dropped it")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 3; ++i) {
        const Millis at{1000 + i * 10000};
        quarantine.recordLostConnection(culprit, {target(i), at - runTime}, at);
        quarantine.recordTargetAlive(target(i));
        CHECK_FALSE(refusedFor(quarantine, culprit, at + Millis{100}));
        CHECK(quarantine.targetsToCheck(at + Millis{100}) == std::vector{target(i)});
        const auto refused = quarantine.recordTargetEnded(target(i), at + Millis{3400});
        CHECK(refused == (i < 2 ? std::vector<SuspectKey>() : keyOf(culprit)));
        CHECK(quarantine.targetsToCheck(at + Millis{3400}).empty());
    }
}

TEST_CASE("targets that end together count once, unless the request reached one after the other had ended")
{
    RequestQuarantine quarantine;
    const auto lose = [&quarantine](int number, std::int64_t sentAt, std::int64_t at) {
        quarantine.recordLostConnection(culprit, {target(number), Millis{sentAt}}, Millis{at});
        return quarantine.recordTargetEnded(target(number), Millis{at + 5}).size();
    };
    SUBCASE("the loss of a whole rack")
    {
        for (int i = 0; i < 9; ++i) {
            CHECK(lose(i, 900 + i, 1000 + i) == 0);
        }
    }
    SUBCASE("retries that crash one target right after the other")
    {
        CHECK(lose(1, 990, 1000) == 0);
        CHECK(lose(2, 1000, 1010) == 0);
        CHECK(lose(3, 1010, 1020) == 1);
    }
}

// Guards against refusing a popular request only because it was in flight at every target that ended.
TEST_CASE("a complete answer clears a request of earlier crashes")
{
    RequestQuarantine quarantine;
    crash(quarantine, innocent, 1, Millis{1000});
    crash(quarantine, innocent, 2, Millis{2000});
    SUBCASE("an answer at this gateway")
    {
        quarantine.recordAnswer(innocent, Millis{2500});
    }
    SUBCASE("an answer at a peer")
    {
        quarantine.mergeReport(
            {"g2"},
            {{{innocent.fingerprint.caller, innocent.fingerprint.content, {}, Millis{500}, Millis{0}}}, {}},
            Millis{3000},
            UpdateScope::Own);
    }
    CHECK(quarantine.mayRetry(innocent, Millis{3000}));
    CHECK(crash(quarantine, innocent, 3, Millis{4000}).empty());
    CHECK(crash(quarantine, innocent, 4, Millis{5000}).empty());
    CHECK(crash(quarantine, innocent, 5, Millis{6000}) == keyOf(innocent));
}

TEST_CASE("an answer at this gateway overrides a peer's report of earlier crashes, and the peer learns of it")
{
    RequestQuarantine quarantine;
    quarantine.recordAnswer(innocent, Millis{1000});
    std::vector<GatewayCrash> blame;
    for (int i = 0; i < 3; ++i) {
        blame.push_back(
            {innocent.fingerprint.caller, innocent.fingerprint.content, target(i), Millis{4000 - i * 1000}, runTime});
    }
    CHECK(quarantine.mergeReport({"g2"}, {blame, {}}, Millis{4500}, UpdateScope::Own).empty());
    const std::vector<GatewayCrash> news = quarantine.reportFor({"g2"}, UpdateScope::Own, Millis{4600}).requests;
    REQUIRE(news.size() == 1);
    CHECK(news[0].target.value.empty());
    CHECK(news[0].age == Millis{3600});
}

// Guards against an answer that grows younger with each peer that passes it on, and clears a request of later crashes.
TEST_CASE("an answer that gateways report to each other keeps its time")
{
    constexpr Millis networkDelay{50};
    std::vector<RequestQuarantine> fleet(3);
    fleet[0].recordAnswer(culprit, Millis{1000});
    Millis now{1400};
    crash(fleet[0], culprit, 1, now);
    for (int round = 0; round < 20; ++round) {
        now += Millis{300};
        for (std::size_t from = 0; from < fleet.size(); ++from) {
            for (std::size_t to = 0; to < fleet.size(); ++to) {
                const InstanceId sender{"g" + std::to_string(from)};
                const InstanceId receiver{"g" + std::to_string(to)};
                fleet[to].recordPeerState(sender, true);
                const CrashNews news = fleet[from].reportFor(receiver, UpdateScope::Own, now - networkDelay);
                if (from != to) {
                    fleet[to].mergeReport(sender, news, now, UpdateScope::Own);
                }
            }
        }
    }
    crash(fleet[0], culprit, 2, now + Millis{1000});
    CHECK(crash(fleet[0], culprit, 3, now + Millis{2000}) == keyOf(culprit));
}

// Guards against refusing all requests that were in flight beside a request that crashes its targets.
TEST_CASE("crashes explained by a refused request do not count against other requests")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 3; ++i) {
        // The innocent request was in flight for longer each time.
        const Millis at{1000 + i * 1000};
        quarantine.recordLostConnection(innocent, {target(i), at - Millis{700}}, at);
        quarantine.recordLostConnection(culprit, {target(i), at - runTime}, at);
        const auto refused = quarantine.recordTargetEnded(target(i), at);
        CHECK(refused == (i < 2 ? std::vector<SuspectKey>() : keyOf(culprit)));
    }
    CHECK_FALSE(refusedFor(quarantine, innocent, Millis{4000}));
}

// Guards against requests that share a prompt part, no two alike, and crash one target after the other.
TEST_CASE("a prompt part under which three targets ended is refused, whatever else its requests hold")
{
    RequestQuarantine quarantine;
    quarantine.recordAnswer(requestWith({first, second}), Millis{500});
    CHECK(crash(quarantine, requestWith({first, second, bad}), 1, Millis{1000}).empty());
    CHECK(crash(quarantine, requestWith({bad, second}), 2, Millis{2000}).empty());
    CHECK(crash(quarantine, requestWith({first, bad}), 3, Millis{3000}) == partKey(bad));
    CHECK(refusedFor(quarantine, requestWith({first, second, bad}), Millis{3100}) == Millis{599900});
    CHECK(refusedFor(quarantine, requestWith({bad}), Millis{3100}));
    CHECK_FALSE(quarantine.mayRetry(requestWith({bad}), Millis{3100}));
    CHECK_FALSE(refusedFor(quarantine, requestWith({first, second}), Millis{3100}));
    CHECK_FALSE(refusedFor(quarantine, {{culprit.fingerprint.caller + 1, 1}, {bad}}, Millis{3100}));
    REQUIRE(quarantine.refusal(requestWith({bad}), Millis{3100}));
    CHECK(quarantine.refusal(requestWith({bad}), Millis{3100})->targets
          == std::vector{target(1), target(2), target(3)});
}

// Guards against accusing a part that many requests share of targets that ended for another reason.
TEST_CASE("a prompt part that was answered before is refused only after five ends without an answer")
{
    RequestQuarantine quarantine;
    quarantine.recordAnswer(requestWith({first}), Millis{500});
    for (int i = 0; i < 4; ++i) {
        CHECK(crash(quarantine, requestWith({first}), i, Millis{1000 + i * 1000}).empty());
    }
    SUBCASE("an answer clears it")
    {
        quarantine.recordAnswer(requestWith({first}), Millis{4500});
        CHECK(crash(quarantine, requestWith({first}), 4, Millis{5000}).empty());
    }
    SUBCASE("so does an answer that has begun a while ago")
    {
        quarantine.recordPromptRead(requestWith({first}), Millis{4500});
        CHECK(crash(quarantine, requestWith({first}), 4, Millis{5000}).empty());
    }
    SUBCASE("the fifth end has it refused")
    {
        CHECK(crash(quarantine, requestWith({first}), 4, Millis{5000}) == partKey(first));
    }
}

TEST_CASE("a target that ends in the middle of an answer accuses no prompt part")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 9; ++i) {
        const Millis at{1000 + i * 1000};
        quarantine.recordLostConnection(requestWith({bad}), {target(i), at - runTime, true}, at);
        CHECK(quarantine.recordTargetEnded(target(i), at).empty());
    }
    CHECK_FALSE(refusedFor(quarantine, requestWith({bad}), Millis{20000}));
}

// Guards against refusing all requests with a popular part because the part beside it crashes targets.
TEST_CASE("of parts that were always in the same requests, none alone is refused until more is known")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 3; ++i) {
        crash(quarantine, requestWith({first, bad}), i, Millis{1000 + i * 1000});
    }
    CHECK(refusedFor(quarantine, requestWith({first, bad}), Millis{4000}));
    CHECK_FALSE(refusedFor(quarantine, requestWith({first, second}), Millis{4000}));
    CHECK_FALSE(refusedFor(quarantine, requestWith({second, bad}), Millis{4000}));
    SUBCASE("an answer clears one of them")
    {
        quarantine.recordAnswer(requestWith({first, second}), Millis{4100});
        CHECK(refusedFor(quarantine, requestWith({second, bad}), Millis{4200}));
    }
    SUBCASE("one more crash accuses the other")
    {
        crash(quarantine, requestWith({second, bad}), 3, Millis{4100});
        CHECK(refusedFor(quarantine, requestWith({second, bad}), Millis{4200}));
        CHECK_FALSE(refusedFor(quarantine, requestWith({first, second}), Millis{4200}));
    }
}

// Guards against refusing a whole session because its caller repeats one request that crashes targets.
TEST_CASE("a request that crashes targets has its prompt parts refused for no other request")
{
    RequestQuarantine quarantine;
    const SuspectedRequest repeated = requestWith({first, second});
    for (int i = 0; i < 3; ++i) {
        crash(quarantine, repeated, i, Millis{1000 + i * 1000});
    }
    CHECK(refusedFor(quarantine, repeated, Millis{4000}));
    CHECK_FALSE(refusedFor(quarantine, requestWith({first, second}), Millis{4000}));
}

// Guards against refusing popular parts for good after the loss of a whole rack.
TEST_CASE("targets that end together count for a prompt part as two at most")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 9; ++i) {
        const Millis at{1000 + i};
        quarantine.recordLostConnection(requestWith({first}), {target(i), Millis{900 + i}}, at);
        CHECK(quarantine.recordTargetEnded(target(i), at).empty());
    }
    CHECK(crash(quarantine, requestWith({first}), 9, Millis{3000}) == partKey(first));
}

TEST_CASE("requests with a refused part are sent again ten minutes after the last end, and one more end has it refused")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 3; ++i) {
        crash(quarantine, requestWith({bad}), i, Millis{1000 + i * 1000});
    }
    CHECK(refusedFor(quarantine, requestWith({bad}), Millis{603000}));
    CHECK_FALSE(refusedFor(quarantine, requestWith({bad}), Millis{603001}));
    SUBCASE("one more end")
    {
        crash(quarantine, requestWith({bad}), 3, Millis{604000});
        CHECK(refusedFor(quarantine, requestWith({bad}), Millis{605000}) == Millis{599000});
    }
    SUBCASE("an answer")
    {
        quarantine.recordAnswer(requestWith({bad}), Millis{604000});
        CHECK(crash(quarantine, requestWith({bad}), 3, Millis{605000}).empty());
    }
    SUBCASE("nothing for ten more minutes")
    {
        CHECK(crash(quarantine, requestWith({bad}), 3, Millis{1204000}).empty());
    }
}

// Guards against callers who make up parts without end and displace what others are suspected of.
TEST_CASE("an organisation with many suspects displaces no other one's")
{
    RequestQuarantineSettings settings;
    settings.maxSuspects = 100;
    RequestQuarantine quarantine(settings);
    crash(quarantine, requestWith({bad}), 1, Millis{1000});
    crash(quarantine, requestWith({bad}), 2, Millis{2000});
    for (int i = 0; i < 1000; ++i) {
        const std::uint64_t part = 1000 + static_cast<std::uint64_t>(i);
        crash(quarantine, {{99, part}, {part, part + 5000}}, 10 + i, Millis{3000 + i});
        CHECK(quarantine.suspectCount() <= settings.maxSuspects);
    }
    CHECK(crash(quarantine, requestWith({bad}), 3, Millis{5000}) == partKey(bad));
}

// Guards against memory that grows with suspects that answers have cleared.
TEST_CASE("suspects that were answered after their crashes take no more memory than others")
{
    RequestQuarantineSettings settings;
    settings.maxSuspects = 100;
    RequestQuarantine quarantine(settings);
    for (int i = 0; i < 1000; ++i) {
        const std::uint64_t part = 1000 + static_cast<std::uint64_t>(i);
        quarantine.recordAnswer(requestWith({part}), Millis{5000});
        const GatewayCrash earlier{culprit.fingerprint.caller, part, target(i), Millis{1000}, runTime};
        quarantine.mergeReport({"g2"}, {{}, {earlier}}, Millis{5500}, UpdateScope::Own);
    }
    CHECK(quarantine.suspectCount() <= settings.maxSuspects);
}

// Guards against a gateway that starts and sends what its peers refuse, since its first report was lost.
TEST_CASE("a peer that has received no report is told everything")
{
    RequestQuarantine quarantine;
    crash(quarantine, requestWith({bad}), 1, Millis{1000});
    for (int i = 0; i < 3; ++i) {
        CHECK(quarantine.reportFor({"g2"}, UpdateScope::Own, Millis{9000 + i * 300}).parts.size() == 1);
    }
    quarantine.recordPeerState({"g2"}, true);
    CHECK(quarantine.reportFor({"g2"}, UpdateScope::Own, Millis{10000}).parts.empty());
    quarantine.recordPeerState({"g2"}, false);
    CHECK(quarantine.reportFor({"g2"}, UpdateScope::Own, Millis{10300}).parts.size() == 1);
}

TEST_CASE("memory is bounded, and refused requests are dropped last")
{
    RequestQuarantineSettings settings;
    settings.maxSuspects = 50;
    settings.maxAnswers = 50;
    RequestQuarantine quarantine(settings);
    for (int i = 0; i < 3; ++i) {
        crash(quarantine, culprit, i, Millis{i * 1000});
    }
    for (int i = 0; i < 1000; ++i) {
        crash(quarantine, {{7, static_cast<std::uint64_t>(i)}, {}}, 10 + i, Millis{5000 + i});
        quarantine.recordAnswer({{8, static_cast<std::uint64_t>(i)}, {}}, Millis{5000 + i});
    }
    CHECK(quarantine.refusedCount() == 1);
    CHECK(refusedFor(quarantine, culprit, Millis{9000}));
    CHECK(quarantine.reportFor({"g2"}, UpdateScope::All, Millis{9000}).requests.size() <= 256);
}

// Guards against the loss of many targets filling the reports, which would leave out a request that crashes targets.
TEST_CASE("requests with the most crashes are reported first")
{
    RequestQuarantine quarantine;
    const SuspectedRequest last{{~std::uint64_t{0}, 1}, {}};
    for (int i = 0; i < 1000; ++i) {
        crash(quarantine, {{7, static_cast<std::uint64_t>(i)}, {}}, i, Millis{1000});
    }
    crash(quarantine, last, 1000, Millis{1000});
    crash(quarantine, last, 1001, Millis{1200});
    const std::vector<GatewayCrash> news = quarantine.reportFor({"g2"}, UpdateScope::Own, Millis{1300}).requests;
    CHECK(news.size() == 256);
    REQUIRE(news.size() > 2);
    CHECK(news[0].caller == last.fingerprint.caller);
    CHECK(news[1].caller == last.fingerprint.caller);
}

TEST_CASE("invalid values in a peer's report are ignored")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 9; ++i) {
        quarantine.mergeReport(
            {"g2"},
            {{{1, 2, target(i), Millis::never(), Millis::never()}, {1, 3, target(i), Millis{-5}, Millis{-9}}}, {}},
            Millis{1000},
            UpdateScope::All);
    }
    CHECK_FALSE(refusedFor(quarantine, {{1, 2}, {}}, Millis{1000}));
    CHECK_FALSE(refusedFor(quarantine, {{1, 3}, {}}, Millis{1000}));
}

// Guards against a fleet in which each gateway, or each that receives reports late, sends such a request once more.
TEST_CASE("a fleet sends a request that crashes targets at most three more times once the third crash was reported")
{
    struct Size
    {
        std::size_t gateways;
        std::size_t hubs;
        Millis contact;
    };
    for (const Size size : {Size{3, 0, Millis{3000}}, Size{7, 0, Millis{3000}}, Size{300, 12, Millis{5000}}}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(size.gateways);
            CAPTURE(seed);
            CrashReportNetwork fleet(size.gateways, size.hubs, seed);
            int ended = 0;
            int lateArrivals = 0;
            int innocentsAsked = 0;
            int innocentsRefused = 0;
            std::optional<Millis> third;
            for (Millis now{0}; now < Millis{30000}; now += Millis{10}) {
                fleet.pass(now);
                constexpr std::int64_t innocents = 40;
                if (fleet.between(1, 5) == 1) {
                    // Other callers repeat their requests, some of which have just lost their target.
                    const SuspectedRequest other{{2, static_cast<std::uint64_t>(fleet.between(1, innocents))}, {}};
                    CrashJudge &at = *fleet.gateways[fleet.anyGateway()];
                    innocentsAsked += 1;
                    if (at.refuses(other, now)) {
                        innocentsRefused += 1;
                    } else if (fleet.between(1, 4) == 1) {
                        at.recordAnswer(other, now);
                    }
                }
                if (now.count % 250 != 0) {
                    continue;
                }
                CrashJudge &at = *fleet.gateways[fleet.anyGateway()];
                if (at.refuses(culprit, now)) {
                    continue;
                }
                ended += 1;
                lateArrivals += third && now > *third + size.contact ? 1 : 0;
                third = ended == 3 ? std::optional(now) : third;
                at.recordLostConnection(culprit, {target(ended), now - runTime}, now);
                at.recordTargetEnded(target(ended), now + Millis{5});
                for (int beside = 0; beside < 10; ++beside) {
                    const SuspectedRequest other{{2, static_cast<std::uint64_t>(fleet.between(1, innocents))}, {}};
                    CrashJudge &elsewhere = *fleet.gateways[fleet.anyGateway()];
                    elsewhere.recordLostConnection(other, {target(ended), now - Millis{fleet.between(50, 900)}}, now);
                    elsewhere.recordTargetEnded(target(ended), now + Millis{5});
                }
            }
            CHECK(third);
            CHECK(lateArrivals <= 3);
            // Reports are a third of a second apart, pass two hubs, and every fifth of them is lost.
            CHECK(ended <= 12);
            MESSAGE(size.gateways,
                    " gateways, seed ",
                    seed,
                    ": ",
                    ended,
                    " targets ended, ",
                    lateArrivals,
                    " late arrivals, ",
                    innocentsRefused,
                    " of ",
                    innocentsAsked,
                    " other requests refused");
            CHECK(innocentsRefused * 50 <= innocentsAsked);
        }
    }
}
