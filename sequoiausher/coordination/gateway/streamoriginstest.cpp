#include "sequoiausher/coordination/gateway/streamorigins.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

const PoolId engines{"llm"};
constexpr Millis span{30000};
constexpr Millis life{15000};
/** When the gateways have known their targets for longer than the span. */
constexpr Millis start{100000};

std::vector<GatewayTarget> targetsOf(const std::vector<std::string> &versions)
{
    std::vector<GatewayTarget> targets;
    for (const std::string &version : versions) {
        GatewayTarget target;
        target.id.value = "i-" + version;
        target.service = engines;
        target.softwareVersion = version;
        targets.push_back(target);
    }
    return targets;
}

StreamKey keyOf(int number, const std::string &organisation = "garage")
{
    return streamKeyOf(OrganisationId{organisation}, "attempt-" + std::to_string(number));
}

/** One gateway of a fleet in one process. */
struct Gateway
{
    Gateway(InstanceId named, const std::vector<InstanceId> &seeds, const StreamOriginSettings &settings)
        : name(std::move(named))
        , peers(this->name, seeds, 1)
        , origins(this->peers, settings)
    {
    }

    InstanceId name;
    PeerDirectory peers;
    StreamOrigins origins;
    bool isAlive = true;
    /** Messages from and to it are lost. */
    bool isCutOff = false;
    /** It does not know the messages about origins, as gateways of the last release. */
    bool isOld = false;
};

/** Gateways whose messages arrive at once, or never where one end is dead. */
class Fleet
{
public:
    explicit Fleet(std::size_t size,
                   const StreamOriginSettings &settings = {},
                   const std::vector<std::string> &versions = {"v1", "v2"})
        : with(settings)
    {
        for (std::size_t i = 0; i < size; ++i) {
            this->add();
        }
        this->introduceAll();
        this->setTargets(versions, Millis{0});
        this->hearUntil(start);
    }

    /** All gateways hear the store, as often as they do with a calm one. */
    void hearUntil(Millis until)
    {
        for (const auto &gateway : this->gateways) {
            for (Millis at = this->heardAt; at < until; at += Millis{1000}) {
                hear(*gateway, at);
            }
            hear(*gateway, until);
        }
        this->heardAt = until;
    }

    Gateway &add()
    {
        const InstanceId name{"10.0." + std::to_string(this->gateways.size()) + ".1:7340"};
        std::vector<InstanceId> seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(this->gateways.size(), 3); ++i) {
            seeds.push_back(this->gateways[i]->name);
        }
        this->gateways.push_back(std::make_unique<Gateway>(name, seeds, this->with));
        return *this->gateways.back();
    }

    void introduce(Gateway &to, const Gateway &peer) const
    {
        GatewayReport report;
        report.sentAt = this->now;
        if (&to != &peer) {
            to.peers.recordReport(peer.name, report, this->now);
        }
    }

    void introduceAll()
    {
        for (const auto &to : this->gateways) {
            for (const auto &peer : this->gateways) {
                if (peer->isAlive) {
                    this->introduce(*to, *peer);
                }
            }
        }
    }

    void setTargets(const std::vector<std::string> &versions, Millis at)
    {
        for (const auto &gateway : this->gateways) {
            gateway->origins.setTargets(targetsOf(versions), at);
        }
    }

    Gateway *find(const InstanceId &name) const
    {
        const auto found = std::find_if(
            this->gateways.begin(), this->gateways.end(), [&name](const auto &one) { return one->name == name; });
        return found != this->gateways.end() ? found->get() : nullptr;
    }

    /** The gateway learns what the store listed at that moment; its list was complete up to then. */
    static void hear(Gateway &by, Millis asOf)
    {
        by.origins.recordProof(asOf);
    }

    void deliver(const InstanceId &from, const Outbox &outbox)
    {
        const Gateway *sender = this->find(from);
        for (const Outgoing &out : outbox) {
            this->sent += 1;
            Gateway *to = this->find(out.to);
            const bool isCut = to != nullptr && (to->isCutOff || (sender != nullptr && sender->isCutOff));
            if (to != nullptr && to->isAlive && !to->isOld && !isCut) {
                const Outbox replies = to->origins.receive(from, std::get<GatewayStreamOrigin>(out.message), this->now);
                this->deliver(to->name, replies);
            }
        }
    }

    /** @return the gateways that were told. */
    std::vector<InstanceId> record(Gateway &by, const StreamKey &key, const std::string &version)
    {
        const Outbox outbox = by.origins.record(key, {engines, version}, life, this->now);
        std::vector<InstanceId> told;
        for (const Outgoing &out : outbox) {
            told.push_back(out.to);
        }
        this->deliver(by.name, outbox);
        return told;
    }

    OriginFinding ask(Gateway &by, const StreamKey &key)
    {
        std::optional<OriginFinding> result;
        const auto found = [&result](const OriginFinding &finding) {
            CHECK_FALSE(result);
            result = finding;
        };
        this->deliver(by.name, by.origins.find({key, engines, span}, this->now, found));
        if (!result) {
            this->waited += 1;
            by.origins.tick(this->now + Millis{149});
            CHECK_FALSE(result);
            by.origins.tick(this->now + Millis{150});
        }
        if (!result) {
            // Its list has not been proven up to the question.
            by.origins.tick(this->now + Millis{999});
            CHECK_FALSE(result);
            by.origins.tick(this->now + Millis{1000});
        }
        REQUIRE(result);
        return *result;
    }

    bool knows(Gateway &by, const StreamKey &key, const std::string &version)
    {
        return this->ask(by, key) == OriginFinding{OriginFindingKind::Recorded, engines, version};
    }

    StreamOriginSettings with;
    Millis now = start;
    /** Up to when all gateways have heard the store. */
    Millis heardAt{1};
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::size_t sent = 0;
    int waited = 0;
};

} // namespace

TEST_CASE("each gateway finds the version that began a stream, in fleets of any size")
{
    std::mt19937 random(1);
    for (const std::size_t size : {1, 2, 3, 7, 10, 11, 40, 300}) {
        CAPTURE(size);
        Fleet fleet(size);
        for (int stream = 0; stream < 20; ++stream) {
            Gateway &teller = *fleet.gateways[random() % size];
            const std::string version = stream % 2 == 0 ? "v1" : "v2";
            CHECK(fleet.record(teller, keyOf(stream), version).size() <= 3);
            Gateway &asker = *fleet.gateways[random() % size];
            CHECK(fleet.knows(asker, keyOf(stream), version));
            CHECK(fleet.knows(teller, keyOf(stream), version));
        }
        CHECK(fleet.waited == 0);
    }
}

// Guards against a stream that nobody knows because the gateway that began it has died, maybe with others that were
// told.
TEST_CASE("a stream is known as long as one gateway that was told is alive")
{
    std::mt19937 random(2);
    for (const std::size_t size : {4, 7, 12, 40, 300}) {
        CAPTURE(size);
        for (std::size_t left = 0; left <= 3; ++left) {
            Fleet fleet(size);
            Gateway &teller = *fleet.gateways[random() % size];
            std::vector<InstanceId> told = fleet.record(teller, keyOf(1), "v2");
            REQUIRE(told.size() == 3);
            teller.isAlive = false;
            std::shuffle(told.begin(), told.end(), random);
            for (std::size_t i = left; i < told.size(); ++i) {
                fleet.find(told[i])->isAlive = false;
            }
            for (const auto &asker : fleet.gateways) {
                if (asker->isAlive) {
                    CHECK(fleet.knows(*asker, keyOf(1), "v2") == (left > 0));
                }
            }
        }
    }
}

// Guards against a stream that nobody finds because gateways came or went since it was told, which shifts the order in
// which others are told and asked.
TEST_CASE("a stream is found after gateways have come and gone")
{
    std::mt19937 random(3);
    for (const std::size_t size : {7, 40, 300}) {
        CAPTURE(size);
        Fleet fleet(size);
        int known = 0;
        constexpr int streams = 60;
        for (int stream = 0; stream < streams; ++stream) {
            fleet.record(*fleet.gateways[random() % size], keyOf(stream), "v1");
        }
        // More than a planned roll replaces at a time.
        for (int i = 0; i < 2; ++i) {
            fleet.gateways[random() % size]->isAlive = false;
            fleet.add().origins.setTargets(targetsOf({"v1", "v2"}), start);
        }
        fleet.now = start + Millis{6000};
        fleet.introduceAll();
        for (int stream = 0; stream < streams; ++stream) {
            Gateway &asker = *fleet.gateways[random() % fleet.gateways.size()];
            if (!asker.isAlive) {
                known += 1;
                continue;
            }
            known += fleet.knows(asker, keyOf(stream), "v1") ? 1 : 0;
        }
        CHECK(known == streams);
    }
}

TEST_CASE("a gateway that has just started and knows its seeds alone asks these")
{
    Fleet fleet(4);
    fleet.record(*fleet.gateways[3], keyOf(1), "v2");
    Gateway &fresh = fleet.add();
    CHECK(fleet.knows(fresh, keyOf(1), "v2"));
}

// Guards against a wrong word of a gateway whose list of targets is out of date: a record is right whatever such a list
// shows, who has seen several versions is not overruled by who has not, and who has seen one proves nothing for the
// time after its own proof, which only the list of the gateway that asks can show.
TEST_CASE("a record decides before what lists show, and several versions before one")
{
    const InstanceId stale{"s"};
    const auto answer = [](OriginFindingKind kind, const std::string &version) {
        GatewayStreamOrigin message;
        message.purpose = StreamOriginPurpose::Answer;
        message.key = keyOf(1);
        message.finding = {kind, engines, version};
        // What it says is proven up to the question.
        message.span = Millis{kind == OriginFindingKind::Only ? 1 : 0};
        return message;
    };
    const GatewayStreamOrigin recorded = answer(OriginFindingKind::Recorded, "v2");
    const GatewayStreamOrigin onlyOld = answer(OriginFindingKind::Only, "v1");
    GatewayStreamOrigin onlyOldUndated = onlyOld;
    onlyOldUndated.span = Millis{0};
    GatewayStreamOrigin onlyOldBefore = onlyOld;
    onlyOldBefore.span = Millis{502};
    const GatewayStreamOrigin onlyNew = answer(OriginFindingKind::Only, "v2");
    const GatewayStreamOrigin several = answer(OriginFindingKind::Several, "");
    const GatewayStreamOrigin unknown = answer(OriginFindingKind::Unknown, "");
    struct Case
    {
        std::vector<GatewayStreamOrigin> answers;
        OriginFinding result;
    };
    const OriginFinding isSeveral{OriginFindingKind::Several, engines, ""};
    const std::vector<Case> cases{
        {{onlyOld, recorded}, recorded.finding},
        {{several, recorded}, recorded.finding},
        {{recorded}, recorded.finding},
        {{onlyOld, unknown}, onlyOld.finding},
        {{unknown, onlyOld}, onlyOld.finding},
        {{onlyOld, several}, isSeveral},
        {{several, onlyOld}, isSeveral},
        {{onlyOld, onlyNew}, isSeveral},
        {{unknown, unknown}, {}},
        // Not all have answered when the time is over.
        {{onlyOld}, onlyOld.finding},
        {{}, {}},
        // A gateway of the last release, and a list that was proven before the own one was known.
        {{onlyOldUndated}, {}},
        {{onlyOldUndated, onlyNew}, isSeveral},
        {{onlyOldBefore}, {}},
        {{onlyOldBefore, onlyOld}, onlyOld.finding},
    };
    for (const Case &one : cases) {
        for (const bool isProven : {true, false}) {
            CAPTURE(isProven);
            Fleet fleet(3);
            Gateway &asker = *fleet.gateways[0];
            StreamOrigins fresh(asker.peers);
            // It has started half a second ago.
            fresh.setTargets(targetsOf({"v1"}), start - Millis{500});
            fresh.recordProof(start - Millis{500});
            std::optional<OriginFinding> result;
            const Outbox asked = fresh.find(
                {keyOf(1), engines, span}, start, [&result](const OriginFinding &found) { result = found; });
            REQUIRE(asked.size() == 2);
            for (std::size_t i = 0; i < one.answers.size(); ++i) {
                fresh.receive(asked[i].to, one.answers[i], start);
                // An answer that comes twice, or from somebody who was not asked, counts for nothing.
                fresh.receive(asked[i].to, onlyNew, start);
                fresh.receive(stale, onlyNew, start);
            }
            fresh.tick(start + Millis{150});
            const bool needsProof = one.result.kind == OriginFindingKind::Only;
            REQUIRE(result.has_value() == !needsProof);
            fresh.recordProof(isProven ? start : start - Millis{1});
            fresh.tick(start + Millis{1000});
            REQUIRE(result);
            const OriginFinding expected = needsProof && !isProven ? OriginFinding{} : one.result;
            CHECK(result->kind == expected.kind);
            CHECK(result->softwareVersion == expected.softwareVersion);
        }
    }
}

TEST_CASE("where nothing was recorded, a version counts that was the only one for long enough")
{
    Fleet fleet(7);
    CHECK(fleet.ask(*fleet.gateways[0], keyOf(1)).kind == OriginFindingKind::Several);
    fleet.setTargets({"v2"}, start);
    fleet.now = start + span - Millis{1};
    fleet.introduceAll();
    CHECK(fleet.ask(*fleet.gateways[0], keyOf(1)).kind == OriginFindingKind::Several);
    fleet.now = start + span;
    fleet.introduceAll();
    fleet.hearUntil(fleet.now);
    const OriginFinding only = fleet.ask(*fleet.gateways[0], keyOf(1));
    CHECK(only == OriginFinding{OriginFindingKind::Only, engines, "v2"});
    // A gateway that has just started is told by the others.
    Gateway &fresh = fleet.add();
    fresh.origins.setTargets(targetsOf({"v2"}), fleet.now);
    Fleet::hear(fresh, fleet.now);
    fleet.introduceAll();
    CHECK(fleet.ask(fresh, keyOf(1)) == only);
}

// Guards against a stream that goes on at another version, at a gateway that was out of step while targets of a new
// version joined: nobody who has the record answers, and the gateway's own list is older than the stream.
TEST_CASE("a gateway out of step takes no version for the only one while a new one joins")
{
    enum class OutOfStep {
        /** Cut off from its peers; an answer of the store arrives whose call began before the new version joined. */
        HearsStoreLate,
        /** It stood still for less than two seconds, and nothing has arrived since. */
        StoodStill,
        /** It stood still, and reads a message that waited in its socket. */
        ReadsQueuedMessage,
        /** It hears the store late, and reaches gateways that are as late and were not told. */
        AmongOthersAsLate,
    };
    for (const std::size_t size : {3, 7, 40, 300}) {
        for (const OutOfStep how : {OutOfStep::HearsStoreLate,
                                    OutOfStep::StoodStill,
                                    OutOfStep::ReadsQueuedMessage,
                                    OutOfStep::AmongOthersAsLate}) {
            CAPTURE(size);
            CAPTURE(static_cast<int>(how));
            Fleet fleet(size, {}, {"v1"});
            Gateway &late = *fleet.gateways[0];
            Gateway &teller = *fleet.gateways[1];
            late.isCutOff = true;
            const Millis heardAt = fleet.now;
            fleet.now += Millis{1000};
            teller.origins.setTargets(targetsOf({"v1", "v2"}), fleet.now);
            Fleet::hear(teller, fleet.now);
            const std::vector<InstanceId> told = fleet.record(teller, keyOf(1), "v2");
            fleet.now += Millis{900};
            if (how == OutOfStep::AmongOthersAsLate) {
                late.isCutOff = false;
                teller.isAlive = false;
                for (const InstanceId &each : told) {
                    fleet.find(each)->isAlive = fleet.find(each) == &late;
                }
            }
            if (how != OutOfStep::StoodStill) {
                Fleet::hear(late, heardAt + Millis{500});
            }
            CHECK(fleet.ask(late, keyOf(1)).kind == OriginFindingKind::Unknown);
        }
    }
}

// The proof that a list is complete up to a question comes after it: the question waits, and is answered with the
// proof.
TEST_CASE("with one version a stream goes on as soon as the list is proven up to the question")
{
    for (const std::size_t size : {1, 3, 7, 40, 300}) {
        CAPTURE(size);
        Fleet fleet(size, {}, {"v1"});
        fleet.now = start + Millis{200};
        Gateway &asker = *fleet.gateways[0];
        std::optional<OriginFinding> result;
        const auto found = [&result](const OriginFinding &finding) { result = finding; };
        fleet.deliver(asker.name, asker.origins.find({keyOf(1), engines, span}, fleet.now, found));
        asker.origins.tick(fleet.now + Millis{300});
        CHECK_FALSE(result);
        CHECK(asker.origins.awaitsProof(fleet.now + Millis{300}));
        Fleet::hear(asker, fleet.now - Millis{1});
        asker.origins.tick(fleet.now + Millis{400});
        CHECK_FALSE(result);
        Fleet::hear(asker, fleet.now);
        asker.origins.tick(fleet.now + Millis{500});
        REQUIRE(result);
        CHECK(*result == OriginFinding{OriginFindingKind::Only, engines, "v1"});
        CHECK_FALSE(asker.origins.awaitsProof(fleet.now + Millis{500}));
    }
}

// Guards against reports that every stream which is taken up asks for, and against a caller that is held until its time
// is over.
TEST_CASE("a question asks for a proof only where all else is known, and is held for no longer than it allows")
{
    Fleet fleet(3, {}, {"v1"});
    fleet.now = start + Millis{200};
    Gateway &asker = *fleet.gateways[0];
    std::vector<OriginFinding> results;
    const auto found = [&results](const OriginFinding &finding) { results.push_back(finding); };
    asker.origins.find({keyOf(1), engines, span}, fleet.now, found);
    CHECK_FALSE(asker.origins.awaitsProof(fleet.now + Millis{149}));
    CHECK(asker.origins.awaitsProof(fleet.now + Millis{150}));
    asker.origins.tick(fleet.now + Millis{1000});
    CHECK(results.size() == 1);
    CHECK_FALSE(asker.origins.awaitsProof(fleet.now + Millis{1000}));
    asker.origins.findOnly({{}, engines, span, Millis{300}}, fleet.now, found);
    asker.origins.tick(fleet.now + Millis{299});
    CHECK(results.size() == 1);
    asker.origins.tick(fleet.now + Millis{300});
    REQUIRE(results.size() == 2);
    CHECK(results[1].kind == OriginFindingKind::Unknown);
}

// Guards against a new version that shows in the list while a question waits for its proof.
TEST_CASE("a version that joins before the list is proven counts")
{
    Fleet fleet(7, {}, {"v1"});
    fleet.now = start + Millis{200};
    Gateway &asker = *fleet.gateways[0];
    std::optional<OriginFinding> result;
    const auto found = [&result](const OriginFinding &finding) { result = finding; };
    asker.origins.findOnly({{}, engines, span}, fleet.now, found);
    CHECK_FALSE(result);
    asker.origins.setTargets(targetsOf({"v1", "v2"}), fleet.now);
    Fleet::hear(asker, fleet.now);
    asker.origins.tick(fleet.now);
    REQUIRE(result);
    CHECK(result->kind == OriginFindingKind::Several);
}

// Guards against an answer that waited in a socket and counts for a later question about the same stream.
TEST_CASE("an answer to an earlier question proves no more than it did then")
{
    Fleet fleet(3);
    StreamOrigins fresh(fleet.gateways[0]->peers);
    std::vector<OriginFinding> results;
    const auto found = [&results](const OriginFinding &finding) { results.push_back(finding); };
    const Outbox asked = fresh.find({keyOf(1), engines, span}, start, found);
    REQUIRE(asked.size() == 2);
    fresh.tick(start + Millis{1000});
    REQUIRE(results.size() == 1);
    fresh.setTargets(targetsOf({"v1"}), start + Millis{1500});
    fresh.recordProof(start + Millis{1500});
    const Millis later = start + Millis{2000};
    CHECK(fresh.find({keyOf(1), engines, span}, later, found).size() == 2);
    GatewayStreamOrigin answer;
    answer.purpose = StreamOriginPurpose::Answer;
    answer.key = keyOf(1);
    answer.finding = {OriginFindingKind::Only, engines, "v1"};
    answer.span = Millis{1};
    fresh.receive(asked[0].to, answer, later);
    fresh.recordProof(later);
    fresh.tick(later + Millis{1000});
    REQUIRE(results.size() == 2);
    CHECK(results[1].kind == OriginFindingKind::Unknown);
}

// Guards against another organisation that learns of a stream, or binds one, by naming its attempt.
TEST_CASE("a stream is known to its own organisation only")
{
    Fleet fleet(7);
    fleet.record(*fleet.gateways[0], keyOf(1), "v2");
    CHECK(fleet.ask(*fleet.gateways[0], keyOf(1, "another")).kind == OriginFindingKind::Several);
    fleet.record(*fleet.gateways[1], keyOf(1, "another"), "v1");
    CHECK(fleet.knows(*fleet.gateways[2], keyOf(1), "v2"));
    CHECK(fleet.knows(*fleet.gateways[2], keyOf(1, "another"), "v1"));
}

// Guards against a caller that uses one attempt id for two streams: neither version is surely right.
TEST_CASE("an attempt with two origins has none")
{
    Fleet fleet(3);
    fleet.record(*fleet.gateways[0], keyOf(1), "v1");
    fleet.record(*fleet.gateways[1], keyOf(1), "v2");
    for (const auto &gateway : fleet.gateways) {
        const OriginFinding finding = fleet.ask(*gateway, keyOf(1));
        CHECK(finding.kind == OriginFindingKind::Several);
    }
    fleet.record(*fleet.gateways[0], keyOf(2), "v1");
    fleet.record(*fleet.gateways[0], keyOf(2), "v1");
    CHECK(fleet.knows(*fleet.gateways[2], keyOf(2), "v1"));
}

TEST_CASE("gateways of the last release are told and asked in vain, and the others still find a stream")
{
    std::mt19937 random(4);
    Fleet fleet(8);
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.gateways[i]->isOld = true;
    }
    int known = 0;
    constexpr int streams = 100;
    for (int stream = 0; stream < streams; ++stream) {
        Gateway &teller = *fleet.gateways[4 + random() % 4];
        fleet.record(teller, keyOf(stream), "v1");
        const OriginFinding finding = fleet.ask(*fleet.gateways[4 + random() % 4], keyOf(stream));
        CHECK((finding.kind == OriginFindingKind::Recorded || finding.kind == OriginFindingKind::Several));
        known += finding.kind == OriginFindingKind::Recorded ? 1 : 0;
    }
    // The teller is asked too: in a small fleet all are.
    CHECK(known == streams);
}

TEST_CASE("origins are forgotten after the time for which their callers may come back, and are limited in number")
{
    Fleet fleet(2, {.maxOrigins = 10});
    Gateway &one = *fleet.gateways[0];
    for (int stream = 0; stream < 30; ++stream) {
        fleet.now = start + Millis{stream};
        fleet.record(one, keyOf(stream), "v1");
    }
    CHECK(one.origins.size() == 10);
    CHECK(fleet.gateways[1]->origins.size() == 10);
    CHECK(fleet.knows(one, keyOf(29), "v1"));
    CHECK_FALSE(fleet.knows(one, keyOf(19), "v1"));
    one.origins.tick(start + Millis{20} + life);
    CHECK(one.origins.size() == 9);
    one.origins.tick(start + Millis{29} + life);
    CHECK(one.origins.size() == 0);
}
