#include "sequoiausher/coordination/gateway/targetboard.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/gateway/coldtargetlimit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

using namespace Sequoiausher;

namespace {

const PoolId engines{"plate-llm"};

std::vector<GatewayTarget> twelveTargets()
{
    std::vector<GatewayTarget> targets;
    for (int i = 0; i < 12; ++i) {
        targets.push_back({TargetId{"i-" + std::to_string(i)},
                           engines,
                           "10.0.0." + std::to_string(i) + ":80",
                           DataCentreId{"a"},
                           64,
                           false});
    }
    return targets;
}

TargetCriteria criteriaFor(std::uint64_t part)
{
    TargetCriteria criteria;
    criteria.service = engines;
    criteria.partHash = part;
    return criteria;
}

} // namespace

TEST_CASE("requests that share a part go to the same target from each gateway")
{
    TargetBoard first(1);
    TargetBoard second(2);
    first.setTargets(twelveTargets(), Millis{0});
    second.setTargets(twelveTargets(), Millis{0});
    for (std::uint64_t part = 1; part < 50; ++part) {
        CHECK(first.choose(criteriaFor(part), Millis{0})->target.id
              == second.choose(criteriaFor(part), Millis{0})->target.id);
    }
}

// Guards against a hot part overloading its target. A third of all requests have one part, and come from seven gateways
// that each see a seventh of them and report to each other three times a second. When each gateway used only its own
// count, one engine held three times what the others held, and its streams paused.
TEST_CASE("a hot part spreads before its target holds twice the mean")
{
    constexpr std::size_t gatewayCount = 7;
    constexpr int stepMs = 8;
    constexpr int requestDurationSteps = 75;
    constexpr int stepsPerReport = 37;
    std::vector<std::unique_ptr<TargetBoard>> gateways;
    for (std::uint64_t i = 0; i < gatewayCount; ++i) {
        gateways.push_back(std::make_unique<TargetBoard>(i));
        gateways.back()->setTargets(twelveTargets(), Millis{0});
        gateways.back()->setOtherGateways(gatewayCount - 1);
    }
    std::map<TargetId, int> inFlight;
    std::deque<std::pair<std::size_t, TargetId>> running;
    std::deque<bool> window;
    std::mt19937 random(1);
    for (int step = 0; step < 4000; ++step) {
        const Millis now{step * stepMs};
        if (running.size() >= requestDurationSteps) {
            const auto [by, target] = running.front();
            running.pop_front();
            gateways[by]->recordEnd(target, TargetOutcome::Answered, now);
            inFlight[target] -= 1;
        }
        const std::size_t by = random() % gatewayCount;
        const std::uint64_t part = random() % 3 == 0 ? 1 : 100 + random() % 80;
        const auto chosen = gateways[by]->choose(criteriaFor(part), now);
        REQUIRE(chosen);
        gateways[by]->recordStart(chosen->target.id, now);
        inFlight[chosen->target.id] += 1;
        running.emplace_back(by, chosen->target.id);
        // Counts the requests of the last five seconds that went to a target with more than twice the mean plus three
        // requests in flight.
        window.push_back(static_cast<std::size_t>(inFlight[chosen->target.id]) * 12 > 2 * running.size() + 3 * 12);
        if (window.size() > 5000 / stepMs) {
            window.pop_front();
        }
        CHECK(std::count(window.begin(), window.end(), true) < 20);
        if (step % stepsPerReport == 0) {
            for (std::size_t from = 0; from < gatewayCount; ++from) {
                const std::vector<GatewayLoad> loads = gateways[from]->ownLoads(now);
                gateways[from]->beginRound();
                for (std::size_t to = 0; to < gatewayCount; ++to) {
                    if (from != to) {
                        gateways[to]->updatePeerLoads(InstanceId{std::to_string(from)}, loads, now);
                    }
                }
            }
        }
    }
}

TEST_CASE("leaving, full, failing and excluded targets are skipped")
{
    TargetBoard board(1);
    std::vector<GatewayTarget> targets = twelveTargets();
    targets.resize(3);
    board.setTargets(targets, Millis{0});
    const TargetId first = board.choose(criteriaFor(7), Millis{0})->target.id;
    TargetCriteria criteria = criteriaFor(7);
    criteria.excluded = {first};
    CHECK(board.choose(criteria, Millis{0})->target.id != first);

    board.recordStart(first, Millis{0});
    board.recordEnd(first, TargetOutcome::Full, Millis{0});
    CHECK(board.choose(criteriaFor(7), Millis{100})->target.id != first);
    CHECK(board.choose(criteriaFor(7), Millis{200})->target.id == first);

    for (int i = 0; i < 2; ++i) {
        board.recordStart(first, Millis{0});
        board.recordEnd(first, TargetOutcome::Lost, Millis{200});
    }
    CHECK(board.choose(criteriaFor(7), Millis{300})->target.id != first);
    CHECK(board.ownLoads(Millis{300}).front().suspected);

    for (GatewayTarget &target : targets) {
        target.isLeaving = target.id != first;
    }
    board.setTargets(targets, Millis{300});
    CHECK(board.choose(criteriaFor(7), Millis{300})->target.id == first);
    for (GatewayTarget &target : targets) {
        target.isLeaving = true;
    }
    board.setTargets(targets, Millis{300});
    CHECK_FALSE(board.choose(criteriaFor(7), Millis{300}));
    CHECK(board.isListed(first));
}

TEST_CASE("a hub reports sums to each peer without that peer's own loads")
{
    TargetBoard board(1);
    board.setTargets(twelveTargets(), Millis{0});
    board.recordStart(TargetId{"i-1"}, Millis{0});
    board.updatePeerLoads(InstanceId{"p"}, {{TargetId{"i-1"}, 2, false}}, Millis{0});
    board.updatePeerLoads(InstanceId{"q"}, {{TargetId{"i-1"}, 3, false}, {TargetId{"i-2"}, 1, false}}, Millis{0});
    board.updatePeerLoads(InstanceId{"q"}, {{TargetId{"i-1"}, 4, false}, {TargetId{"i-2"}, 1, false}}, Millis{0});
    CHECK(board.ownLoads(Millis{0}) == std::vector{GatewayLoad{TargetId{"i-1"}, 1, false}});
    CHECK(board.loads({InstanceId{"q"}}, Millis{0}) == std::vector{GatewayLoad{TargetId{"i-1"}, 3, false}});
    CHECK(board.loads({InstanceId{"p"}}, Millis{0})
          == std::vector{GatewayLoad{TargetId{"i-1"}, 5, false}, GatewayLoad{TargetId{"i-2"}, 1, false}});
    board.setTargets(twelveTargets(), Millis{0});
    CHECK(board.inFlight(engines, Millis{0}) == 8);
}

namespace {

/** Gateways that report their loads to each other, directly or through hubs. */
class ReportingGateways
{
public:
    explicit ReportingGateways(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->boards.push_back(std::make_unique<TargetBoard>(i));
            this->boards.back()->setTargets(twelveTargets(), Millis{0});
        }
    }

    static InstanceId name(std::size_t gateway)
    {
        return InstanceId{"g-" + std::to_string(gateway)};
    }

    void lose(std::size_t gateway, const TargetId &target, int count, Millis now)
    {
        for (int i = 0; i < count; ++i) {
            this->boards[gateway]->recordStart(target, now);
            this->boards[gateway]->recordEnd(target, TargetOutcome::Lost, now);
        }
    }

    void reportToAll(Millis now)
    {
        for (std::size_t from = 0; from < this->boards.size(); ++from) {
            for (std::size_t to = 0; to < this->boards.size(); ++to) {
                if (from != to) {
                    this->boards[to]->updatePeerLoads(name(from), this->boards[from]->ownLoads(now), now);
                }
            }
        }
    }

    /** The first gateways are hubs. Each other one reports to one of them, and gets the sums of all others from it. */
    void reportThroughHubs(std::size_t hubs, Millis now)
    {
        std::vector<InstanceId> hubNames;
        for (std::size_t hub = 0; hub < hubs; ++hub) {
            hubNames.push_back(name(hub));
        }
        for (std::size_t member = hubs; member < this->boards.size(); ++member) {
            const std::size_t hub = member % hubs;
            this->boards[hub]->updatePeerLoads(name(member), this->boards[member]->ownLoads(now), now);
            this->boards[member]->updatePeerLoads(name(hub), this->boards[hub]->loads({name(member)}, now), now);
        }
        for (std::size_t from = 0; from < hubs; ++from) {
            for (std::size_t to = 0; to < hubs; ++to) {
                if (from != to) {
                    this->boards[to]->updatePeerLoads(name(from), this->boards[from]->loads(hubNames, now), now);
                }
            }
        }
    }

    /** The target that a request of this part goes to while none is suspected. */
    TargetId home(std::uint64_t part) const
    {
        return this->boards.front()->choose(criteriaFor(part), Millis{0})->target.id;
    }

    /** Gateways that send a request of this part elsewhere. */
    std::size_t passingOver(const TargetId &target, std::uint64_t part, Millis now) const
    {
        return static_cast<std::size_t>(std::count_if(this->boards.begin(), this->boards.end(), [&](const auto &board) {
            return board->choose(criteriaFor(part), now)->target.id != target;
        }));
    }

private:
    std::vector<std::unique_ptr<TargetBoard>> boards;
};

} // namespace

// Guards against gateways that renew each other's suspicions: each has one failed request at the target, sends no
// others there, and reports the suspicions of its peers as its own, so the target stays unused.
TEST_CASE("peers' suspicions of a target end soon after the last ejection by a gateway's own requests")
{
    constexpr Millis roundTime{300};
    constexpr std::uint64_t part = 7;
    std::size_t hubs = 0;
    std::size_t gateways = 7;
    SUBCASE("all report to all")
    {
    }
    SUBCASE("reports go through hubs")
    {
        hubs = 3;
        gateways = 30;
    }
    ReportingGateways fleet(gateways);
    const TargetId target = fleet.home(part);
    CHECK(fleet.passingOver(target, part, Millis{0}) == 0);
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        fleet.lose(gateway, target, gateway + 1 == gateways ? 2 : 1, Millis{0});
    }
    // The first ejection lasts 400 ms, and a peer's suspicion counts for 500 ms.
    constexpr Millis told{300};
    constexpr Millis longestPassedOver{3000};
    constexpr Millis end{30000};
    for (Millis now{0}; now < end; now += roundTime) {
        if (hubs > 0) {
            fleet.reportThroughHubs(hubs, now);
        } else {
            fleet.reportToAll(now);
        }
        if (now == told) {
            CHECK(fleet.passingOver(target, part, now) == gateways);
        }
        if (now >= longestPassedOver) {
            CAPTURE(now.count);
            CHECK(fleet.passingOver(target, part, now) == 0);
        }
    }
}

// Guards against targets that answer and get more than twice the mean, because requests whose answers were lost without
// a sign count at the others until their callers leave.
TEST_CASE("overdue requests count in part at a target that loses answers, until it answers again")
{
    const TargetId target{"i-1"};
    TargetBoard board(1);
    board.setTargets(twelveTargets(), Millis{0});
    for (int i = 0; i < 12; ++i) {
        board.recordStart(target, Millis{i < 6 ? 0 : 300});
    }
    CHECK(board.inFlight(engines, Millis{1000}) == 12);
    board.recordEnd(target, TargetOutcome::Lost, Millis{300});
    CHECK(board.inFlight(engines, Millis{1000}) == 11);
    board.recordEnd(target, TargetOutcome::Lost, Millis{300});
    CHECK(board.inFlight(engines, Millis{300}) == 10);
    // Of the four oldest, two fifths of each.
    CHECK(board.inFlight(engines, Millis{400}) == 8);
    CHECK(board.inFlight(engines, Millis{700}) == 4);
    CHECK(board.ownLoads(Millis{700}) == std::vector{GatewayLoad{target, 4, false}});
    CHECK(board.loads({}, Millis{700}) == std::vector{GatewayLoad{target, 4, false}});
    board.recordEnd(target, TargetOutcome::Neutral, Millis{700});
    CHECK(board.inFlight(engines, Millis{700}) == 4);
    board.recordEnd(target, TargetOutcome::Answered, Millis{700});
    CHECK(board.inFlight(engines, Millis{700}) == 8);
    for (int i = 0; i < 9; ++i) {
        board.recordEnd(target, TargetOutcome::Lost, Millis{800});
    }
    CHECK(board.inFlight(engines, Millis{800}) == 0);
    board.setOverdueRequests({Millis{100}, 0});
    board.recordStart(target, Millis{800});
    CHECK(board.inFlight(engines, Millis{899}) == 1);
    CHECK(board.inFlight(engines, Millis{900}) == 0);
}

TEST_CASE("the loads of a dead peer expire")
{
    TargetBoard board(1);
    board.setTargets(twelveTargets(), Millis{0});
    board.updatePeerLoads(InstanceId{"p"}, {{TargetId{"i-1"}, 9, false}}, Millis{0});
    CHECK(board.inFlight(engines, Millis{1000}) == 9);
    CHECK(board.inFlight(engines, Millis{2000}) == 0);
    CHECK(board.totalSlots(engines) == 12 * 64);
}

namespace {

std::vector<GatewayTarget> incarnationStartedAt(std::int64_t bornAt)
{
    GatewayTarget target = twelveTargets().front();
    target.bornAt = Millis{bornAt};
    target.id = incarnationId(target.id, target.bornAt);
    return {target};
}

} // namespace

// Guards against state kept by name. A target crashes with requests in flight and restarts under its name, and peers'
// reports about the old incarnation still arrive. The new one was skipped for seconds, or taken for a holder of parts
// that it never read, because loads, failures and placements were kept by the name.
TEST_CASE("no state of an incarnation is carried over to the next one")
{
    TargetBoard board(1);
    board.setTargets(incarnationStartedAt(100), Millis{0});
    const GatewayTarget before = incarnationStartedAt(100).front();
    const GatewayTarget after = incarnationStartedAt(200).front();
    board.recordStart(before.id, Millis{0});
    board.recordStart(before.id, Millis{0});
    board.recordEnd(before.id, TargetOutcome::Lost, Millis{10});
    board.recordEnd(before.id, TargetOutcome::Lost, Millis{10});
    board.recordStart(before.id, Millis{0});
    board.updatePeerLoads(InstanceId{"p"}, {{before.id, 7, true}}, Millis{10});
    CHECK_FALSE(board.isReplaced(before));
    CHECK(board.isListed(before.id));

    board.setTargets(incarnationStartedAt(200), Millis{20});
    CHECK(board.isReplaced(before));
    CHECK_FALSE(board.isReplaced(after));
    CHECK_FALSE(board.isListed(before.id));
    CHECK(board.isListed(after.id));
    CHECK_FALSE(board.isListed(TargetId{"never"}));
    // A report about the old incarnation that arrives after the new one is listed.
    board.updatePeerLoads(InstanceId{"q"}, {{before.id, 5, true}}, Millis{20});
    const auto chosen = board.choose(criteriaFor(1), Millis{20});
    REQUIRE(chosen);
    CHECK(chosen->target == after);
    CHECK(chosen->inFlight == 0);
    CHECK(chosen->totalInFlight == 0);
    // A part that the old incarnation had read has no holder and no copy source.
    TargetCriteria criteria = criteriaFor(1);
    criteria.holders = {before.id};
    CHECK(board.choose(criteria, Millis{20})->target == after);
    CHECK_FALSE(board.findCopySource({before.id}, std::nullopt, Millis{20}));
    board.recordEnd(before.id, TargetOutcome::Neutral, Millis{30});
    CHECK(board.ownLoads(Millis{30}).empty());
}

// Guards against a list that lags behind, or was unavailable, overriding what a target announced about itself.
TEST_CASE("a target that announced that it leaves is not chosen again in that incarnation, however it is listed")
{
    TargetBoard board(1);
    std::vector<GatewayTarget> targets = twelveTargets();
    targets.resize(2);
    board.setTargets(targets, Millis{0});
    const auto isChosen = [&board](const TargetId &id, Millis now) {
        for (std::uint64_t part = 1; part < 50; ++part) {
            const auto chosen = board.choose(criteriaFor(part), now);
            if (chosen && chosen->target.id == id) {
                return true;
            }
        }
        return false;
    };
    const TargetId leaving = targets[0].id;
    CHECK(isChosen(leaving, Millis{10}));
    board.recordStart(leaving, Millis{0});
    CHECK(board.markLeaving(leaving, Millis{20}));
    CHECK_FALSE(board.markLeaving(leaving, Millis{30}));
    CHECK_FALSE(isChosen(leaving, Millis{40}));
    CHECK_FALSE(board.isStaying(leaving));
    CHECK(board.targetCount(engines) == 1);
    board.recordEnd(leaving, TargetOutcome::Answered, Millis{50});
    board.setTargets({targets[1]}, Millis{60});
    board.setTargets(targets, Millis{5000});
    CHECK_FALSE(isChosen(leaving, Millis{5010}));
    targets[0].bornAt = Millis{5500};
    targets[0].id = incarnationId(leaving, targets[0].bornAt);
    board.setTargets(targets, Millis{6000});
    CHECK(isChosen(targets[0].id, Millis{6010}));
}

// Guards against using targets in backoff because most of the others fail, or because the list was read again.
TEST_CASE("a target in backoff is not chosen before its end, whatever happens to other targets or the list")
{
    TargetBoard board(1);
    std::vector<GatewayTarget> targets = twelveTargets();
    targets.resize(4);
    board.setTargets(targets, Millis{0});
    const TargetId backingOff = targets[0].id;
    board.setBackoff(backingOff, Millis{3000}, Millis{0});
    board.setBackoff(backingOff, Millis{500}, Millis{100});
    const auto isChosen = [&board, &backingOff](Millis now) {
        for (std::uint64_t part = 1; part < 50; ++part) {
            const auto chosen = board.choose(criteriaFor(part), now);
            if (chosen && chosen->target.id == backingOff) {
                return true;
            }
        }
        return false;
    };
    CHECK_FALSE(isChosen(Millis{200}));
    for (std::size_t i = 1; i < targets.size(); ++i) {
        board.recordStart(targets[i].id, Millis{0});
        board.recordEnd(targets[i].id, TargetOutcome::Full, Millis{290});
    }
    CHECK(board.choose(criteriaFor(1), Millis{300}));
    CHECK_FALSE(isChosen(Millis{300}));
    board.setTargets({targets[1]}, Millis{400});
    board.setTargets(targets, Millis{500});
    CHECK_FALSE(isChosen(Millis{2999}));
    CHECK_FALSE(board.remainingBackoff(engines, Millis{600}));
    for (std::size_t i = 1; i < targets.size(); ++i) {
        board.setBackoff(targets[i].id, Millis{5000}, Millis{600});
    }
    CHECK(board.remainingBackoff(engines, Millis{1000}) == Millis{2000});
    CHECK_FALSE(board.choose(criteriaFor(1), Millis{1000}));
    CHECK(isChosen(Millis{3000}));
    board.setBackoff(backingOff, Millis::never(), Millis{4000});
    CHECK(isChosen(Millis{4000 + 3600000}));
}

namespace {

/** What a cold target bears a second, and the limit of the rule, which it must not exceed in any second. */
constexpr std::uint32_t bearable = 14;
constexpr std::size_t ruleLimit = 26;

/** A limit that is the same for each gateway and target. */
class FixedLimit : public ColdTargetLimit
{
public:
    explicit FixedLimit(std::uint32_t allowed, bool lastResort = false) : requests(allowed), isLast(lastResort)
    {
    }
    std::uint32_t requestsPerSecond(const PoolId & /*service*/, std::uint64_t /*targetHash*/, Millis /*now*/) override
    {
        return this->requests;
    }
    bool isLastResort() const override
    {
        return this->isLast;
    }

private:
    std::uint32_t requests;
    bool isLast;
};

/** Sends count requests of different parts within a moment. @return how many the target got. */
int sendTo(TargetBoard &board, const TargetId &counted, int count, Millis now)
{
    int got = 0;
    for (int i = 0; i < count; ++i) {
        if (const auto chosen = board.choose(criteriaFor(hash64(std::to_string(i))), now)) {
            board.recordStart(chosen->target.id, now);
            got += chosen->target.id == counted ? 1 : 0;
        }
    }
    return got;
}

} // namespace

TEST_CASE("a target that the store lists as cold gets its share until it is warm")
{
    FixedLimit limit(2);
    TargetBoard board(1);
    board.setColdLimit(&limit);
    board.setTargets(twelveTargets(), Millis{0});
    const TargetId cold{"i-3"};
    board.recordCold(cold, Millis{3000}, Millis{0});
    CHECK(sendTo(board, cold, 200, Millis{10}) == 2);
    CHECK(sendTo(board, cold, 200, Millis{900}) == 0);
    CHECK(sendTo(board, cold, 200, Millis{1010}) == 2);
    CHECK(board.coldTargets(Millis{1010}) == std::vector<GatewayColdTarget>{{cold, Millis{1990}}});
    board.recordCold(cold, Millis{0}, Millis{1200});
    CHECK(sendTo(board, cold, 200, Millis{1200}) > 2);
    CHECK(board.coldTargets(Millis{1200}).empty());
}

// Guards against a burst at a data centre that is taken back: its targets are cold by then, and their entries state so
// only with their next heartbeat.
TEST_CASE("targets of a data centre that was evacuated count as cold once it is taken back")
{
    FixedLimit limit(1);
    TargetBoard board(1);
    board.setColdLimit(&limit);
    board.setColdTimes({{engines, Millis{3000}}});
    std::vector<GatewayTarget> targets = twelveTargets();
    targets[3].dataCentre = DataCentreId{"b"};
    board.setTargets(targets, Millis{0});
    board.setEvacuated({DataCentreId{"b"}}, Millis{0});
    CHECK(sendTo(board, targets[3].id, 200, Millis{1000}) == 0);
    board.setEvacuated({}, Millis{9000});
    CHECK(sendTo(board, targets[3].id, 200, Millis{9000}) == 1);
    // Written before the data centre was taken back, and read after it.
    board.recordCold(targets[3].id, Millis{0}, Millis{9100});
    CHECK(sendTo(board, targets[3].id, 200, Millis{9200}) == 0);
    CHECK(sendTo(board, targets[3].id, 200, Millis{12000}) > 1);
}

// Guards against a burst at a target that has just started: a peer's list names it a moment before the report that
// states that it is cold.
TEST_CASE("a target that is new on the list counts as cold until something else is known")
{
    FixedLimit limit(1);
    TargetBoard board(1);
    board.setColdLimit(&limit);
    board.setColdTimes({{engines, Millis{3000}}});
    std::vector<GatewayTarget> targets = twelveTargets();
    const GatewayTarget last = targets.back();
    targets.pop_back();
    board.setTargets(targets, Millis{0});
    CHECK(board.coldTargets(Millis{0}).empty());
    SUBCASE("a peer's list")
    {
        board.setTargets(twelveTargets(), Millis{5000});
        CHECK(sendTo(board, last.id, 200, Millis{5000}) == 1);
        CHECK(sendTo(board, last.id, 200, Millis{8000}) > 1);
    }
    SUBCASE("an entry of a target that was warm all the while, as after an outage of the store")
    {
        board.recordCold(last.id, Millis{0}, Millis{5000});
        board.setTargets(twelveTargets(), Millis{5000});
        CHECK(sendTo(board, last.id, 200, Millis{5000}) > 1);
    }
    SUBCASE("a peer's report that came first")
    {
        board.recordPeerCold({{last.id, Millis{400}}}, Millis{5000});
        board.setTargets(twelveTargets(), Millis{5000});
        CHECK(board.coldTargets(Millis{5000}) == std::vector<GatewayColdTarget>{{last.id, Millis{400}}});
    }
}

TEST_CASE("as a last resort cold targets get requests only where no other target can")
{
    FixedLimit limit(5, true);
    TargetBoard board(1);
    board.setColdLimit(&limit);
    std::vector<GatewayTarget> targets = twelveTargets();
    targets.resize(3);
    board.setTargets(targets, Millis{0});
    const TargetId cold{"i-1"};
    board.recordCold(cold, Millis{3000}, Millis{0});
    CHECK(sendTo(board, cold, 100, Millis{0}) == 0);
    for (GatewayTarget &target : targets) {
        target.isLeaving = target.id != cold;
    }
    board.setTargets(targets, Millis{0});
    CHECK(sendTo(board, cold, 100, Millis{0}) == 5);
    CHECK_FALSE(board.choose(criteriaFor(7), Millis{0}));
}

// A data centre comes back cold just as callers press: 30 gateways know for half a second that six of twelve targets
// are cold, and send as fast as they can. Without the limit, the cold ones have the most room and get most of it.
TEST_CASE("a surge right after a data centre came back does not exceed what cold targets bear")
{
    constexpr std::size_t gatewayCount = 30;
    for (const ColdTargetUse use : {ColdTargetUse::Share, ColdTargetUse::LastResort, ColdTargetUse::Unlimited}) {
        struct Gateway
        {
            Gateway(std::size_t number, ColdTargetUse use)
                : directory(InstanceId{"g-" + std::to_string(number)}, {InstanceId{"g-0"}}, number)
                , limit(directory, use)
                , board(number)
            {
                this->limit.setServiceLimits({{engines, bearable}});
                this->board.setColdLimit(&this->limit);
            }
            PeerDirectory directory;
            SharedColdTargetLimit limit;
            TargetBoard board;
        };
        std::vector<std::unique_ptr<Gateway>> fleet;
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            fleet.push_back(std::make_unique<Gateway>(i, use));
            for (std::size_t other = 0; other < gatewayCount; ++other) {
                if (other != i) {
                    fleet[i]->directory.recordReport(InstanceId{"g-" + std::to_string(other)}, {}, Millis{0});
                }
            }
            fleet[i]->board.setTargets(twelveTargets(), Millis{0});
            for (int cold = 0; cold < 6; ++cold) {
                fleet[i]->board.recordCold(TargetId{"i-" + std::to_string(cold)}, Millis{3000}, Millis{5000});
            }
        }
        std::map<TargetId, std::deque<Millis>> arrivals;
        std::size_t busiest = 0;
        std::mt19937_64 random(1);
        for (Millis now{5000}; now < Millis{8000}; now = now + Millis{2}) {
            TargetBoard &board = fleet[random() % gatewayCount]->board;
            TargetCriteria criteria = criteriaFor(random());
            criteria.policy = PolicyKind::RoomRendezvous;
            criteria.requestHash = random();
            const auto chosen = board.choose(criteria, now);
            REQUIRE(chosen);
            board.recordStart(chosen->target.id, now);
            board.recordEnd(chosen->target.id, TargetOutcome::Answered, now);
            if (chosen->target.id < TargetId{"i-6"} && chosen->target.id.value.size() == 3) {
                std::deque<Millis> &times = arrivals[chosen->target.id];
                times.push_back(now);
                while (times.front() <= now - Millis{1000}) {
                    times.pop_front();
                }
                busiest = std::max(busiest, times.size());
            }
        }
        if (use == ColdTargetUse::Unlimited) {
            CHECK(busiest > ruleLimit);
        } else {
            CHECK(busiest <= bearable);
        }
    }
}

// Guards against a stream that is cut off although a target of its software version is there, since that target counts
// as failing and others, which cannot go on with the stream, do not.
TEST_CASE("a request bound to a software version goes to a target of it, also where only doubtful ones are left")
{
    std::vector<GatewayTarget> targets = twelveTargets();
    for (std::size_t i = 0; i < targets.size(); ++i) {
        targets[i].softwareVersion = i < 2 ? "v1" : "v2";
    }
    TargetBoard board(1);
    const Millis now{1000};
    board.setTargets(targets, now);
    TargetCriteria criteria = criteriaFor(1);
    criteria.softwareVersion = "v1";
    for (int i = 0; i < 20; ++i) {
        for (std::size_t failing = 0; failing < 2; ++failing) {
            board.recordStart(targets[failing].id, now);
            board.recordEnd(targets[failing].id, TargetOutcome::Lost, now);
        }
    }
    for (std::uint64_t part = 1; part < 20; ++part) {
        CHECK(board.choose(criteriaFor(part), now)->target.softwareVersion == "v2");
    }
    REQUIRE(board.choose(criteria, now));
    CHECK(board.choose(criteria, now)->target.softwareVersion == "v1");
    criteria.excluded = {targets[0].id};
    REQUIRE(board.choose(criteria, now));
    CHECK(board.choose(criteria, now)->target.id == targets[1].id);
    criteria.excluded = {targets[0].id, targets[1].id};
    CHECK_FALSE(board.choose(criteria, now));
}

// Guards against a fleet in which each gateway alone finds out that another target has taken the place of one that is
// still listed.
TEST_CASE("a target at whose address another one answers gets no requests of any gateway, for three seconds")
{
    std::vector<GatewayTarget> listed = twelveTargets();
    listed.resize(3);
    TargetBoard first(1);
    TargetBoard second(2);
    first.setTargets(listed, Millis{1000});
    second.setTargets(listed, Millis{1000});
    TargetCriteria criteria;
    criteria.service = listed.front().service;
    criteria.policy = PolicyKind::LeastLoaded;
    const TargetId gone = listed.front().id;
    first.recordStart(gone, Millis{1000});
    first.recordEnd(gone, TargetOutcome::Misdirected, Millis{1000});
    const auto chooses = [&criteria](TargetBoard &board, const TargetId &wanted, Millis now) {
        bool isChosen = false;
        for (int i = 0; i < 12; ++i) {
            const auto chosen = board.choose(criteria, now);
            REQUIRE(chosen);
            isChosen = isChosen || chosen->target.id == wanted;
            board.recordStart(chosen->target.id, now);
        }
        return isChosen;
    };
    CHECK(!chooses(first, gone, Millis{1010}));
    second.updatePeerLoads(InstanceId{"first"}, first.ownLoads(Millis{1010}), Millis{1010});
    CHECK(!chooses(second, gone, Millis{1010}));
    CHECK(second.countIneligible(criteria, Millis{1010}).text() == "misdirected:1");
    // What only a peer has found out is not reported on, or gateways would renew it for each other.
    for (const GatewayLoad &load : second.ownLoads(Millis{1010})) {
        CHECK(!load.misdirected);
    }
    CHECK(second.loads({}, Millis{1010}).size() == 3);
    CHECK(second.loads({InstanceId{"first"}}, Millis{1010}).size() == 2);
    // Guards against a target that stays passed over because each new list counts the peer's report once more.
    second.setTargets(listed, Millis{1020});
    second.setTargets(listed, Millis{1030});
    CHECK(second.countIneligible(criteria, Millis{1030}).text() == "misdirected:1");
    const Millis later{4100};
    second.updatePeerLoads(InstanceId{"first"}, first.ownLoads(later), later);
    CHECK(chooses(second, gone, later));
    CHECK(chooses(first, gone, later));
}

// Guards against targets that are crowded after a peer has died, because the mean still counts its requests.
TEST_CASE("loads of a peer whose link has broken count at their targets and not in the mean, until its next report")
{
    TargetBoard board(1);
    board.setTargets(twelveTargets(), Millis{0});
    std::vector<GatewayLoad> loads;
    for (const GatewayTarget &target : twelveTargets()) {
        loads.push_back({target.id, 10});
    }
    const InstanceId peer{"10.1.0.2:80"};
    board.updatePeerLoads(peer, loads, Millis{0});
    CHECK(board.choose(criteriaFor(1), Millis{10})->totalInFlight == 120);
    board.markPeerLost(peer, Millis{20});
    const auto chosen = board.choose(criteriaFor(1), Millis{30});
    CHECK(chosen->totalInFlight == 0);
    CHECK(chosen->inFlight == 10);
    // A list that arrives meanwhile changes nothing.
    board.setTargets(twelveTargets(), Millis{40});
    CHECK(board.choose(criteriaFor(1), Millis{50})->totalInFlight == 0);
    board.updatePeerLoads(peer, loads, Millis{60});
    CHECK(board.choose(criteriaFor(1), Millis{70})->totalInFlight == 120);
    board.markPeerLost(peer, Millis{80});
    CHECK(board.choose(criteriaFor(1), Millis{1700})->inFlight == 0);
}

TEST_CASE("a choice tells how much the gateway sent there itself, and how many peers it had reports of")
{
    TargetBoard board(1);
    board.setTargets(twelveTargets(), Millis{0});
    board.updatePeerLoads(InstanceId{"a"}, {}, Millis{100});
    board.updatePeerLoads(InstanceId{"b"}, {}, Millis{250});
    const TargetId first = board.choose(criteriaFor(1), Millis{300})->target.id;
    board.recordStart(first, Millis{300});
    const auto chosen = board.choose(criteriaFor(1), Millis{400});
    REQUIRE(chosen->target.id == first);
    CHECK(chosen->knowledge.ownInFlight == 1);
    CHECK(chosen->knowledge.reportingPeers == 2);
    CHECK(chosen->knowledge.oldestReport == Millis{300});
}
