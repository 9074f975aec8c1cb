#include "sequoiausher/coordination/gateway/peerdirectory.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <map>
#include <set>

using namespace Sequoiausher;

namespace {

InstanceId nameOf(std::size_t i)
{
    return InstanceId{"10.0.0." + std::to_string(i) + ":8229"};
}

/** Gateways that send each other the reports that are due, some of them dead. */
class Fleet
{
public:
    explicit Fleet(std::size_t size)
    {
        const std::vector<InstanceId> seeds{nameOf(0), nameOf(1), nameOf(999)};
        for (std::size_t i = 0; i < size; ++i) {
            this->directories.emplace_back(nameOf(i), seeds, i);
            this->directories.back().setStrength(static_cast<std::uint16_t>(i % 7));
            this->indexes[nameOf(i)] = i;
        }
    }

    void round(Millis now)
    {
        this->sent = 0;
        for (std::size_t i = 0; i < this->directories.size(); ++i) {
            if (this->dead.contains(i)) {
                continue;
            }
            for (const DueReport &due : this->directories[i].due(now)) {
                this->deliver(i, due.peer, due.wantsReply, now);
            }
        }
    }

    void deliver(std::size_t from, const InstanceId &to, bool wantsReply, Millis now, bool isReply = false)
    {
        this->sent += 1;
        const auto index = this->indexes.find(to);
        if (index == this->indexes.end() || this->dead.contains(index->second)) {
            return;
        }
        GatewayReport report;
        report.sentAt = now;
        report.isHub = this->directories[from].isHub(now);
        report.strength = static_cast<std::uint16_t>(from % 7);
        report.wantsReply = wantsReply;
        report.isReply = isReply;
        if (isReply || report.isHub || !this->directories[from].hasHubs(now)) {
            report.members = this->directories[from].members(now);
        }
        PeerDirectory &receiver = this->directories[index->second];
        receiver.heardFrom(nameOf(from), report, now);
        if (receiver.mustReply(nameOf(from), report, now)) {
            this->deliver(index->second, nameOf(from), false, now, true);
        }
    }

    std::size_t hubCount(Millis now) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->directories.size(); ++i) {
            count += !this->dead.contains(i) && this->directories[i].isHub(now) ? 1 : 0;
        }
        return count;
    }

    std::deque<PeerDirectory> directories;
    std::map<InstanceId, std::size_t> indexes;
    std::set<std::size_t> dead;
    std::size_t sent = 0;
};

} // namespace

TEST_CASE("all gateways learn of all others from three seeds, of which one is stale")
{
    for (const std::size_t size : {7UL, 66UL, 300UL}) {
        CAPTURE(size);
        Fleet fleet(size);
        for (int round = 1; round <= 12; ++round) {
            fleet.round(Millis{round * 300});
        }
        const Millis now{12 * 300};
        for (const PeerDirectory &directory : fleet.directories) {
            CHECK(directory.fleetSize(now) == size);
        }
        CHECK(fleet.directories[0].hasHubs(now) == (size > 10));
    }
}

TEST_CASE("what a large fleet says in a round grows with its size, not with its square")
{
    Fleet fleet(300);
    for (int round = 1; round <= 15; ++round) {
        fleet.round(Millis{round * 300});
    }
    // Each gateway's report and its reply, and those between nine hubs.
    CHECK(fleet.hubCount(Millis{4500}) == 9);
    CHECK(fleet.sent < 300 * 2 + 9 * 8);
}

// Symptom: a change of the routes took seconds to reach a part of the fleet. Events: the configuration grows to half a
// megabyte, and a hub on a slow link passes it on to twenty others. Cause: hubs were chosen whatever they can carry.
TEST_CASE("hubs are among the strongest")
{
    Fleet fleet(66);
    for (int round = 1; round <= 12; ++round) {
        fleet.round(Millis{round * 300});
    }
    for (std::size_t i = 0; i < 66; ++i) {
        CHECK((!fleet.directories[i].isHub(Millis{3600}) || i % 7 == 6));
    }
}

// Symptom: a tenth of a fleet refused all keyed requests for seconds. Events: a hub dies, and its gateways go on asking
// it for proofs. Cause: nobody looked for another one.
TEST_CASE("gateways whose hub is dead report to another one within three rounds")
{
    Fleet fleet(66);
    for (int round = 1; round <= 10; ++round) {
        fleet.round(Millis{round * 300});
    }
    const Millis before{10 * 300};
    for (std::size_t i = 0; i < 66 && fleet.dead.empty(); ++i) {
        if (fleet.directories[i].isHub(before)) {
            fleet.dead.insert(i);
        }
    }
    std::vector<Millis> newest(66);
    for (int round = 11; round <= 30; ++round) {
        const Millis now{round * 300};
        fleet.round(now);
        for (std::size_t i = 0; i < 66; ++i) {
            for (const InstanceId &hub : fleet.directories[i].hubPeers()) {
                newest[i] = std::max(newest[i], fleet.directories[i].newestFrom(hub));
            }
            if (!fleet.dead.contains(i)) {
                CAPTURE(i);
                CAPTURE(round);
                CAPTURE(fleet.directories[i].isHub(now));
                CHECK((now - newest[i]).count <= 900);
            }
        }
    }
    CHECK(fleet.hubCount(Millis{9000}) == 4);
}

// Symptom: two gateways sent each other thousands of reports a second, and nothing else went on.
// Events: each of them knows of a large fleet, and takes the other for none of its hubs; one report goes out.
// Cause: an answer was answered like a report.
TEST_CASE("an answer is never answered")
{
    Fleet fleet(66);
    for (int round = 1; round <= 12; ++round) {
        fleet.round(Millis{round * 300});
        CHECK(fleet.sent < 66 * 20);
    }
    GatewayReport report;
    report.isReply = true;
    for (const PeerDirectory &directory : fleet.directories) {
        CHECK_FALSE(directory.mustReply(nameOf(500), report, Millis{3600}));
    }
}

TEST_CASE("one that is silent is no member soon, and is forgotten after a minute")
{
    PeerDirectory directory(nameOf(0), {nameOf(1)}, 1);
    CHECK(directory.fleetSize(Millis{0}) == 12);
    GatewayReport report;
    report.sentAt = Millis{77};
    directory.heardFrom(nameOf(1), report, Millis{1000});
    directory.heardFrom(nameOf(2), report, Millis{1000});
    CHECK(directory.members(Millis{2000}).size() == 2);
    CHECK(directory.newestFrom(nameOf(2)) == Millis{77});
    CHECK(directory.members(Millis{7000}).empty());
    CHECK(directory.fleetSize(Millis{7000}) == 3);
    directory.heardFrom(nameOf(1), report, Millis{62000});
    CHECK(directory.fleetSize(Millis{62000}) == 2);
    CHECK(directory.peers() == std::vector{nameOf(1)});
}
