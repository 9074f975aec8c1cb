#include "sequoiausher/coordination/gateway/requestquarantine.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>
#include <string>

using namespace Sequoiausher;

namespace {

const RequestFingerprint culprit{1, 100};
const RequestFingerprint innocent{1, 200};
constexpr Millis runTime{60};

TargetId target(int number)
{
    return {"t" + std::to_string(number)};
}

/** Lets the target end with the request in flight. */
std::vector<RequestFingerprint>
crash(RequestQuarantine &quarantine, const RequestFingerprint &request, int number, Millis at)
{
    quarantine.recordLostConnection(request, target(number), at - runTime, at);
    return quarantine.recordTargetEnded(target(number), at + Millis{5});
}

/** Gateways that report to each other with delays, and lose some of their reports. */
struct Fleet
{
    Fleet(std::size_t count, std::size_t hubCount, std::uint64_t seed) : gateways(count), hubs(hubCount), random(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->nextReport.push_back(Millis{this->between(0, reportMs)});
        }
    }

    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(this->random);
    }

    bool reportsTo(std::size_t from, std::size_t to) const
    {
        if (this->hubs == 0 || (from < this->hubs && to < this->hubs)) {
            return from != to;
        }
        return from < this->hubs ? to % this->hubs == from : from % this->hubs == to;
    }

    UpdateScope scopeOf(std::size_t from, std::size_t to) const
    {
        if (this->hubs == 0 || from >= this->hubs) {
            return UpdateScope::Own;
        }
        return to < this->hubs ? UpdateScope::Group : UpdateScope::All;
    }

    UpdateScope heardAs(std::size_t from, std::size_t at) const
    {
        if (this->hubs == 0 || at >= this->hubs) {
            return UpdateScope::Own;
        }
        return from < this->hubs ? UpdateScope::All : UpdateScope::Group;
    }

    static InstanceId name(std::size_t gateway)
    {
        return {"g" + std::to_string(gateway)};
    }

    void pass(Millis now)
    {
        constexpr std::int64_t lostPercent = 20;
        for (std::size_t from = 0; from < this->gateways.size(); ++from) {
            if (now < this->nextReport[from]) {
                continue;
            }
            this->nextReport[from] = now + Millis{reportMs};
            for (std::size_t to = 0; to < this->gateways.size(); ++to) {
                if (!this->reportsTo(from, to)) {
                    continue;
                }
                auto news = this->gateways[from].reportFor(name(to), this->scopeOf(from, to), now);
                if (this->between(1, 100) > lostPercent) {
                    this->under.push_back({now + Millis{this->between(1, 60)}, from, to, std::move(news)});
                }
            }
        }
        std::deque<Message> later;
        for (Message &message : this->under) {
            if (message.at > now) {
                later.push_back(std::move(message));
                continue;
            }
            this->gateways[message.to].mergeReport(
                name(message.from), message.news, now, this->heardAs(message.from, message.to));
        }
        this->under = std::move(later);
    }

    struct Message
    {
        Millis at;
        std::size_t from = 0;
        std::size_t to = 0;
        std::vector<GatewayCrash> news;
    };

    static constexpr std::int64_t reportMs = 300;
    std::vector<RequestQuarantine> gateways;
    std::size_t hubs;
    std::vector<Millis> nextReport;
    std::deque<Message> under;
    std::mt19937_64 random;
};

} // namespace

TEST_CASE("a request is refused once three targets have ended with it, until no caller has sent it for ten minutes")
{
    RequestQuarantine quarantine;
    CHECK(crash(quarantine, culprit, 1, Millis{1000}).empty());
    CHECK(quarantine.mayRetry(culprit, Millis{1500}));
    CHECK(crash(quarantine, culprit, 2, Millis{2000}).empty());
    CHECK_FALSE(quarantine.refusedFor(culprit, Millis{2500}));
    CHECK_FALSE(quarantine.mayRetry(culprit, Millis{2500}));
    CHECK(crash(quarantine, culprit, 3, Millis{3000}) == std::vector{culprit});
    CHECK(quarantine.refusedFor(culprit, Millis{3100}) == Millis{600000});
    CHECK(quarantine.refusedFor(culprit, Millis{500000}) == Millis{600000});
    CHECK(quarantine.refusedFor(culprit, Millis{1000000}) == Millis{600000});
    CHECK_FALSE(quarantine.refusedFor(culprit, Millis{1600001}));
    CHECK_FALSE(quarantine.refusedFor(innocent, Millis{3100}));
}

TEST_CASE("a request is refused briefly while it is not known whether the third target ended")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(quarantine.refusedFor(culprit, Millis{i * 1000}));
        quarantine.recordLostConnection(culprit, target(i), Millis{i * 1000}, Millis{i * 1000 + 50});
        if (i < 2) {
            quarantine.recordTargetEnded(target(i), Millis{i * 1000 + 60});
        }
    }
    CHECK(quarantine.refusedFor(culprit, Millis{2060}) == Millis{250});
    SUBCASE("the target is alive")
    {
        quarantine.recordTargetAlive(target(2));
        CHECK_FALSE(quarantine.refusedFor(culprit, Millis{2070}));
    }
    SUBCASE("the state of the target stays unknown")
    {
        CHECK_FALSE(quarantine.refusedFor(culprit, Millis{4100}));
    }
}

TEST_CASE("only targets that ended count, once each")
{
    RequestQuarantine quarantine;
    SUBCASE("targets that stay alive")
    {
        for (int i = 0; i < 9; ++i) {
            quarantine.recordLostConnection(culprit, target(i), Millis{i * 1000}, Millis{i * 1000 + 50});
            quarantine.recordTargetAlive(target(i));
        }
        for (int i = 0; i < 9; ++i) {
            CHECK(quarantine.recordTargetEnded(target(i), Millis{20000}).empty());
        }
        quarantine.recordLostConnection(culprit, target(9), Millis{30000}, Millis{30000});
        CHECK(quarantine.targetsToCheck(Millis{35000}).size() == 1);
        CHECK(quarantine.targetsToCheck(Millis{35001}).empty());
    }
    SUBCASE("a target that is found to have ended long after the connection was lost")
    {
        for (int i = 0; i < 9; ++i) {
            const Millis at{i * 10000};
            quarantine.recordLostConnection(culprit, target(i), at, at);
            quarantine.recordLostConnection(innocent, target(100 + i), at + Millis{5000}, at + Millis{5000});
            CHECK(quarantine.recordTargetEnded(target(i), at + Millis{5001}).empty());
        }
    }
    SUBCASE("one target that had the request several times")
    {
        for (int i = 0; i < 9; ++i) {
            CHECK(crash(quarantine, culprit, 1, Millis{1000 + i * 500}).empty());
        }
    }
    CHECK_FALSE(quarantine.refusedFor(culprit, Millis{90100}));
}

TEST_CASE("a target behind a proxy that still accepts connections counts once the list has dropped it")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 3; ++i) {
        const Millis at{1000 + i * 10000};
        quarantine.recordLostConnection(culprit, target(i), at - runTime, at);
        quarantine.recordTargetAlive(target(i));
        CHECK_FALSE(quarantine.refusedFor(culprit, at + Millis{100}));
        CHECK(quarantine.targetsToCheck(at + Millis{100}) == std::vector{target(i)});
        const auto refused = quarantine.recordTargetEnded(target(i), at + Millis{3400});
        CHECK(refused == (i < 2 ? std::vector<RequestFingerprint>() : std::vector{culprit}));
        CHECK(quarantine.targetsToCheck(at + Millis{3400}).empty());
    }
}

TEST_CASE("targets that end together count once, unless the request reached one after the other had ended")
{
    RequestQuarantine quarantine;
    const auto lose = [&quarantine](int number, std::int64_t sentAt, std::int64_t at) {
        quarantine.recordLostConnection(culprit, target(number), Millis{sentAt}, Millis{at});
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
            {"g2"}, {{innocent.caller, innocent.content, {}, Millis{500}, Millis{0}}}, Millis{3000}, UpdateScope::Own);
    }
    CHECK(quarantine.mayRetry(innocent, Millis{3000}));
    CHECK(crash(quarantine, innocent, 3, Millis{4000}).empty());
    CHECK(crash(quarantine, innocent, 4, Millis{5000}).empty());
    CHECK(crash(quarantine, innocent, 5, Millis{6000}) == std::vector{innocent});
}

TEST_CASE("an answer at this gateway overrides a peer's report of earlier crashes, and the peer learns of it")
{
    RequestQuarantine quarantine;
    quarantine.recordAnswer(innocent, Millis{1000});
    std::vector<GatewayCrash> blame;
    for (int i = 0; i < 3; ++i) {
        blame.push_back({innocent.caller, innocent.content, target(i), Millis{4000 - i * 1000}, runTime});
    }
    CHECK(quarantine.mergeReport({"g2"}, blame, Millis{4500}, UpdateScope::Own).empty());
    const std::vector<GatewayCrash> news = quarantine.reportFor({"g2"}, UpdateScope::Own, Millis{4600});
    REQUIRE(news.size() == 1);
    CHECK(news[0].target.value.empty());
    CHECK(news[0].age == Millis{3600});
}

// Guards against refusing all requests that were in flight beside a request that crashes its targets.
TEST_CASE("crashes explained by a refused request do not count against other requests")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 3; ++i) {
        // The innocent request was in flight for longer each time.
        const Millis at{1000 + i * 1000};
        quarantine.recordLostConnection(innocent, target(i), at - Millis{700}, at);
        quarantine.recordLostConnection(culprit, target(i), at - runTime, at);
        const auto refused = quarantine.recordTargetEnded(target(i), at);
        CHECK(refused == (i < 2 ? std::vector<RequestFingerprint>() : std::vector{culprit}));
    }
    CHECK_FALSE(quarantine.refusedFor(innocent, Millis{4000}));
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
        crash(quarantine, {7, static_cast<std::uint64_t>(i)}, 10 + i, Millis{5000 + i});
        quarantine.recordAnswer({8, static_cast<std::uint64_t>(i)}, Millis{5000 + i});
    }
    CHECK(quarantine.refusedCount() == 1);
    CHECK(quarantine.refusedFor(culprit, Millis{9000}));
    CHECK(quarantine.reportFor({"g2"}, UpdateScope::All, Millis{9000}).size() <= 256);
}

// Guards against the loss of many targets filling the reports, which would leave out a request that crashes targets.
TEST_CASE("requests with the most crashes are reported first")
{
    RequestQuarantine quarantine;
    const RequestFingerprint last{~std::uint64_t{0}, 1};
    for (int i = 0; i < 1000; ++i) {
        crash(quarantine, {7, static_cast<std::uint64_t>(i)}, i, Millis{1000});
    }
    crash(quarantine, last, 1000, Millis{1000});
    crash(quarantine, last, 1001, Millis{1200});
    const std::vector<GatewayCrash> news = quarantine.reportFor({"g2"}, UpdateScope::Own, Millis{1300});
    CHECK(news.size() == 256);
    REQUIRE(news.size() > 2);
    CHECK(news[0].caller == last.caller);
    CHECK(news[1].caller == last.caller);
}

TEST_CASE("invalid values in a peer's report are ignored")
{
    RequestQuarantine quarantine;
    for (int i = 0; i < 9; ++i) {
        quarantine.mergeReport(
            {"g2"},
            {{1, 2, target(i), Millis::never(), Millis::never()}, {1, 3, target(i), Millis{-5}, Millis{-9}}},
            Millis{1000},
            UpdateScope::All);
    }
    CHECK_FALSE(quarantine.refusedFor({1, 2}, Millis{1000}));
    CHECK_FALSE(quarantine.refusedFor({1, 3}, Millis{1000}));
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
            Fleet fleet(size.gateways, size.hubs, seed);
            const auto any = [&fleet] {
                return static_cast<std::size_t>(fleet.between(0, static_cast<std::int64_t>(fleet.gateways.size()) - 1));
            };
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
                    const RequestFingerprint other{2, static_cast<std::uint64_t>(fleet.between(1, innocents))};
                    RequestQuarantine &at = fleet.gateways[any()];
                    innocentsAsked += 1;
                    if (at.refusedFor(other, now)) {
                        innocentsRefused += 1;
                    } else if (fleet.between(1, 4) == 1) {
                        at.recordAnswer(other, now);
                    }
                }
                if (now.count % 250 != 0) {
                    continue;
                }
                RequestQuarantine &at = fleet.gateways[any()];
                if (at.refusedFor(culprit, now)) {
                    continue;
                }
                ended += 1;
                lateArrivals += third && now > *third + size.contact ? 1 : 0;
                third = ended == 3 ? std::optional(now) : third;
                crash(at, culprit, ended, now);
                for (int beside = 0; beside < 10; ++beside) {
                    const RequestFingerprint other{2, static_cast<std::uint64_t>(fleet.between(1, innocents))};
                    RequestQuarantine &elsewhere = fleet.gateways[any()];
                    elsewhere.recordLostConnection(other, target(ended), now - Millis{fleet.between(50, 900)}, now);
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
