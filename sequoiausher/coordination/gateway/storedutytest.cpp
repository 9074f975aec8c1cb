#include "sequoiausher/coordination/gateway/storeduty.h"

#include "sequoiausher/coordination/gateway/peerdirectory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

using namespace Sequoiausher;

namespace {

constexpr Millis tick{50};
constexpr Millis networkDelay{10};
constexpr StoreDutySettings settings{Millis{4000}, Millis{5000}, Millis{800}};

InstanceId nameOf(std::size_t i)
{
    return InstanceId{"10.0.0." + std::to_string(i) + ":8229"};
}

DataCentreId dataCentreOf(std::size_t i)
{
    return DataCentreId{std::string(1, static_cast<char>('a' + i % 6))};
}

/** A fleet of gateways that report to each other and of which some read a store. All start at second 1. */
class Fleet
{
public:
    explicit Fleet(std::size_t size) : random(size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            const std::vector<InstanceId> seeds{nameOf(0), nameOf(1), nameOf(999)};
            Gateway &gateway = this->gateways.emplace_back(nameOf(i), seeds, i);
            gateway.directory.setSelf(static_cast<std::uint16_t>(i % 7), dataCentreOf(i));
            gateway.nextRound = Millis{1000} + Millis{static_cast<std::int64_t>(this->random() % 300)};
        }
    }

    /** Runs the fleet for the given time. @return the number of reads and watches that were started. */
    std::size_t run(Millis time)
    {
        const std::size_t before = this->reads;
        for (const Millis end = this->now + time; this->now < end; this->now = this->now + tick) {
            this->deliver();
            for (std::size_t i = 0; i < this->gateways.size(); ++i) {
                if (!this->dead.contains(i)) {
                    this->runGateway(i);
                }
            }
        }
        return this->reads - before;
    }

    /** The age of the oldest knowledge among the gateways that are alive and not cut off. */
    Millis oldestKnowledge() const
    {
        Millis oldest;
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            if (!this->dead.contains(i) && !this->isolated.contains(i)) {
                oldest = std::max(oldest, this->gateways[i].duty.knowledgeAge(this->now));
            }
        }
        return oldest;
    }

    std::size_t readers() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            count += !this->dead.contains(i) && !this->gateways[i].duty.mayFollowPeers(this->roleOf(i), this->now) ? 1
                                                                                                                   : 0;
        }
        return count;
    }

    /** The first hub in the order that all gateways share. */
    std::size_t firstHub() const
    {
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            if (this->gateways[i].directory.hubRank(this->now) == std::size_t{0}) {
                return i;
            }
        }
        return 0;
    }

    std::set<std::size_t> dead;
    /** Gateways that reach neither the others nor the store. */
    std::set<std::size_t> isolated;
    /** Gateways that the store refuses. */
    std::set<std::size_t> refused;

private:
    struct Gateway
    {
        Gateway(const InstanceId &name, const std::vector<InstanceId> &seeds, std::uint64_t seed)
            : directory(name, seeds, seed)
            , duty(settings, seed)
        {
        }

        PeerDirectory directory;
        StoreDuty duty;
        Millis nextRound;
        Millis nextRead;
        bool wasFollowing = false;
    };

    struct Message
    {
        Millis at;
        std::size_t from = 0;
        std::size_t to = 0;
        GatewayReport report;
    };

    StoreRole roleOf(std::size_t i) const
    {
        const PeerDirectory &directory = this->gateways[i].directory;
        return {true, directory.hasHubs(this->now), directory.hubRank(this->now), directory.fleetSize(this->now)};
    }

    void runGateway(std::size_t i)
    {
        Gateway &gateway = this->gateways[i];
        const StoreRole role = this->roleOf(i);
        const bool follows = gateway.duty.mayFollowPeers(role, this->now);
        if (!follows && (this->now >= gateway.nextRead || gateway.wasFollowing)) {
            this->read(gateway, i);
            gateway.nextRead = this->now
                + (this->reaches(i) ? gateway.duty.maxProofAge(role, this->now) : gateway.duty.maxRetryPause(role));
        }
        gateway.wasFollowing = follows;
        if (this->now >= gateway.nextRound) {
            gateway.nextRound = this->now + reportInterval;
            for (const DueReport &due : gateway.directory.takeDueReports(this->now)) {
                this->send(i, due.peer, due.wantsReply, false);
            }
        }
    }

    bool reaches(std::size_t i) const
    {
        return !this->isolated.contains(i) && !this->refused.contains(i);
    }

    void read(Gateway &gateway, std::size_t i)
    {
        // A call of an isolated gateway does not reach the store.
        this->reads += this->isolated.contains(i) ? 0 : 1;
        if (this->reaches(i)) {
            gateway.duty.recordStoreAnswer(this->now);
            gateway.duty.recordFirstFullRead(this->now);
        }
    }

    void send(std::size_t from, const InstanceId &to, bool wantsReply, bool isReply)
    {
        const Gateway &gateway = this->gateways[from];
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            if (nameOf(i) == to) {
                GatewayReport report;
                report.sentAt = this->now;
                report.echo = gateway.directory.newestReportFrom(to);
                report.storeAge = gateway.duty.knowledgeAge(this->now);
                report.isHub = gateway.directory.isHub(this->now);
                report.isResting = gateway.duty.mayFollowPeers(this->roleOf(from), this->now)
                    || !gateway.duty.hasRecentStoreAnswer(this->now);
                report.strength = static_cast<std::uint16_t>(from % 7);
                report.dataCentre = dataCentreOf(from);
                report.wantsReply = wantsReply;
                report.isReply = isReply;
                if (isReply || report.isHub || !gateway.directory.hasHubs(this->now)) {
                    report.members = gateway.directory.members(this->now);
                }
                this->messages.push_back({this->now + networkDelay, from, i, std::move(report)});
            }
        }
    }

    void deliver()
    {
        const std::deque<Message> due = std::exchange(this->messages, {});
        for (const Message &message : due) {
            const bool isLost = this->dead.contains(message.to) || this->dead.contains(message.from)
                || this->isolated.contains(message.to) || this->isolated.contains(message.from);
            if (!isLost) {
                this->receive(message);
            }
        }
    }

    void receive(const Message &message)
    {
        Gateway &gateway = this->gateways[message.to];
        const InstanceId from = nameOf(message.from);
        const GatewayReport &report = message.report;
        gateway.directory.recordReport(from, report, this->now);
        const bool comesBefore = gateway.directory.comesBefore(from, this->now);
        gateway.duty.recordPeerReport({report.storeAge, report.echo, report.isHub, !report.isResting, comesBefore},
                                      this->now);
        if (gateway.directory.mustReply(from, report, this->now)) {
            this->send(message.to, from, false, true);
        }
    }

    std::mt19937_64 random;
    Millis now{1000};
    mutable std::deque<Gateway> gateways;
    std::deque<Message> messages;
    std::size_t reads = 0;
};

} // namespace

TEST_CASE("knowledge is as old as the report that it answers plus the age of its sender's knowledge")
{
    StoreDuty duty(settings, 1);
    const StoreRole role{true, true, std::nullopt, 100};
    CHECK(duty.knowledgeAge(Millis{10000}) == Millis::never());
    CHECK_FALSE(duty.mayFollowPeers(role, Millis{10000}));
    duty.recordPeerReport({Millis{500}, Millis{0}, true, true, true}, Millis{10000});
    duty.recordPeerReport({Millis::never(), Millis{9900}, true, true, true}, Millis{10000});
    CHECK(duty.knowledgeAge(Millis{10000}) == Millis::never());
    duty.recordPeerReport({Millis{500}, Millis{9900}, true, true, true}, Millis{10000});
    CHECK(duty.knowledgeAge(Millis{10000}) == Millis{600});
    CHECK(duty.mayFollowPeers(role, Millis{10000}));
    CHECK(duty.mayShareKnowledge(Millis{10000}));
    CHECK_FALSE(duty.hasRecentStoreAnswer(Millis{10000}));
    duty.recordStoreAnswer(Millis{10000});
    CHECK(duty.hasRecentStoreAnswer(Millis{10000}));
    CHECK(duty.knowledgeAge(Millis{10000}) == Millis{0});
}

// Guards against counting knowledge for a list that has not reached the revision of the report.
TEST_CASE("a report that is ahead of the list counts once the list has reached its revision")
{
    StoreDuty duty(settings, 1);
    const StoreRole role{true, true, std::nullopt, 100};
    duty.recordListRevision(7);
    duty.recordPeerReport({Millis{500}, Millis{9900}, true, true, true, 8}, Millis{10000});
    CHECK(duty.knowledgeAge(Millis{10000}) == Millis::never());
    CHECK_FALSE(duty.mayFollowPeers(role, Millis{10000}));
    duty.recordStoreRevision(9, Millis{9950});
    CHECK_FALSE(duty.hasRecentStoreAnswer(Millis{10000}));
    duty.recordListRevision(8);
    CHECK(duty.knowledgeAge(Millis{10000}) == Millis{600});
    CHECK(duty.mayFollowPeers(role, Millis{10000}));
    CHECK_FALSE(duty.hasRecentStoreAnswer(Millis{10000}));
    duty.recordListRevision(9);
    CHECK(duty.knowledgeAge(Millis{10000}) == Millis{50});
    CHECK(duty.hasRecentStoreAnswer(Millis{10000}));
    duty.recordStoreRevision(9, Millis{9990});
    CHECK(duty.knowledgeAge(Millis{10000}) == Millis{10});
}

TEST_CASE("a gateway of a small fleet reads the store itself, and a gateway without peers does so at once")
{
    StoreDuty duty(settings, 1);
    duty.recordFirstFullRead(Millis{1000});
    CHECK(duty.mayFollowPeers({true, false, std::nullopt, 12}, Millis{1100}));
    CHECK_FALSE(duty.mayFollowPeers({true, false, std::nullopt, 7}, Millis{2500}));
    CHECK_FALSE(duty.mayFollowPeers({false, false, std::nullopt, 1}, Millis{1100}));
    CHECK(duty.maxProofAge({true, false, std::nullopt, 7}, Millis{2500}) == settings.proofInterval);
}

// Guards against too many calls to the store. 295 gateways that started together called it 2,600 times, and after that
// nine hubs called it twice a second each. Each gateway read, requested proofs and watched by itself until it had found
// a hub, since its own first read did not count, and hubs did not use each other's reads.
TEST_CASE("each gateway of a fleet that starts together reads once, then one gateway reads for all")
{
    for (const std::size_t size : {11UL, 18UL, 66UL, 295UL}) {
        CAPTURE(size);
        Fleet fleet(size);
        CHECK(fleet.run(Millis{3000}) < size * 3 / 2 + 20);
        CHECK(fleet.run(Millis{10000}) < 30);
        CHECK(fleet.readers() == 1);
        for (int step = 0; step < 40; ++step) {
            fleet.run(Millis{70});
            CHECK(fleet.oldestKnowledge() < Millis{2000});
        }
    }
}

// Guards against a fleet without a reader. The first hub dies, is cut off or is refused by the store just when a target
// leaves. When no other gateway read the store, many gateways sent requests to that target.
TEST_CASE("when the first hub no longer reads, another gateway does within the bound, but not all")
{
    for (const std::size_t size : {18UL, 295UL}) {
        CAPTURE(size);
        Fleet fleet(size);
        fleet.run(Millis{6000});
        const std::size_t first = fleet.firstHub();
        SUBCASE("it is dead")
        {
            fleet.dead.insert(first);
        }
        SUBCASE("it is cut off")
        {
            fleet.isolated.insert(first);
        }
        SUBCASE("the store refuses it")
        {
            fleet.refused.insert(first);
        }
        Millis oldest;
        std::size_t reads = 0;
        for (int step = 0; step < 100; ++step) {
            reads += fleet.run(Millis{50});
            oldest = std::max(oldest, fleet.oldestKnowledge());
        }
        CHECK(oldest < settings.leaveBound * 3 / 4);
        CHECK(reads < 60);
    }
}

// Guards against calls by all gateways that lose their hub. When 88 of 295 gateways were cut off, a third of the others
// lost its hub, and the others called the store 3,000 times in eight seconds. The next hub was asked only after the old
// one had failed, which took longer than a gateway waits before it reads everything itself.
TEST_CASE("gateways that lose their hub find another one before they read the store themselves")
{
    Fleet fleet(295);
    fleet.run(Millis{6000});
    std::mt19937 random(1);
    while (fleet.isolated.size() < 88) {
        fleet.isolated.insert(random() % 295);
    }
    CHECK(fleet.run(Millis{8000}) < 150);
    CHECK(fleet.oldestKnowledge() < settings.leaveBound * 3 / 4);
}

// Guards against too many retries in an outage. In an outage of 4.5 s a fleet of 295 made 2,000 calls, because each
// gateway tried by itself once hubs had no recent knowledge, although the hubs kept trying.
TEST_CASE("while the store is unavailable to all, the fleet tries about ten times a second")
{
    Fleet fleet(295);
    fleet.run(Millis{6000});
    for (std::size_t i = 0; i < 295; ++i) {
        fleet.refused.insert(i);
    }
    CHECK(fleet.run(Millis{4500}) < 150);
    fleet.refused.clear();
    fleet.run(Millis{1500});
    CHECK(fleet.oldestKnowledge() < Millis{2000});
}

TEST_CASE("when the store refuses all hubs, what other gateways read reaches all gateways")
{
    Fleet fleet(66);
    fleet.run(Millis{6000});
    for (std::size_t i = 0; i < 66; ++i) {
        if (i % 7 >= 5) {
            fleet.refused.insert(i);
        }
    }
    fleet.run(Millis{5000});
    CHECK(fleet.oldestKnowledge() < settings.leaveBound);
}
