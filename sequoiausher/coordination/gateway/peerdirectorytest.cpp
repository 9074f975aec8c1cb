#include "sequoiausher/coordination/gateway/peerdirectory.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <map>
#include <set>

using namespace Sequoiausher;

namespace {

InstanceId gatewayNamed(std::size_t i)
{
    return InstanceId{"10.0.0." + std::to_string(i) + ":8229"};
}

DataCentreId dataCentreOf(std::size_t i)
{
    return DataCentreId{std::string(1, static_cast<char>('a' + i % 6))};
}

/** Gateways that send each other the reports that are due; some of them are dead. */
class Fleet
{
public:
    explicit Fleet(std::size_t size)
    {
        const std::vector<InstanceId> seeds{gatewayNamed(0), gatewayNamed(1), gatewayNamed(999)};
        for (std::size_t i = 0; i < size; ++i) {
            this->directories.emplace_back(gatewayNamed(i), seeds, i);
            this->directories.back().setSelf(static_cast<std::uint16_t>(i % 7), dataCentreOf(i));
            this->indexes[gatewayNamed(i)] = i;
        }
    }

    void round(Millis now)
    {
        this->sent = 0;
        for (std::size_t i = 0; i < this->directories.size(); ++i) {
            this->tick(i, now);
        }
    }

    /** The round of one gateway. */
    void tick(std::size_t i, Millis now)
    {
        if (this->dead.contains(i)) {
            return;
        }
        for (const DueReport &due : this->directories[i].takeDueReports(now)) {
            this->deliver(i, due.peer, due.wantsReply, now);
        }
        this->rounds[i] += 1;
    }

    /** Lets the gateways send their reports for some time, each in rounds of its own. */
    void play(Millis from, Millis until, const std::function<void(Millis)> &check)
    {
        constexpr Millis step{10};
        constexpr std::int64_t spread = 7;
        for (Millis now = from; now < until; now += step) {
            for (std::size_t i = 0; i < this->directories.size(); ++i) {
                const std::int64_t phase = static_cast<std::int64_t>(i) * spread * step.count % reportInterval.count;
                if (now.count % reportInterval.count == phase) {
                    this->tick(i, now);
                }
            }
            check(now);
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
        report.dataCentre = dataCentreOf(from);
        report.wantsReply = wantsReply;
        report.isReply = isReply;
        const bool isListDue = !this->sparesLists || this->rounds[from] % roundsPerMemberList == 0;
        if (report.isHub ? isListDue : isReply || !this->directories[from].hasHubs(now)) {
            report.members = this->directories[from].members(now);
        }
        PeerDirectory &receiver = this->directories[index->second];
        receiver.recordReport(gatewayNamed(from), report, now);
        if (receiver.mustReply(gatewayNamed(from), report, now)) {
            this->deliver(index->second, gatewayNamed(from), false, now, true);
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
    /** Hubs send their lists of members in some rounds only, as in GatewayPeers. */
    bool sparesLists = false;
    std::map<std::size_t, std::uint64_t> rounds;
    std::size_t sent = 0;
};

} // namespace

TEST_CASE("all gateways learn of all others from three seeds, one of them stale")
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

TEST_CASE("the number of reports per round of a large fleet grows with its size, not with its square")
{
    Fleet fleet(300);
    for (int round = 1; round <= 15; ++round) {
        fleet.round(Millis{round * 300});
    }
    // Each gateway's report and the reply, and the reports between nine hubs.
    CHECK(fleet.hubCount(Millis{4500}) == 9);
    CHECK(fleet.sent < 300 * 2 + 9 * 8);
}

// Guards against hubs with too little capacity. When hubs were chosen regardless of strength, a hub on a slow link
// passed a configuration of half a megabyte on to twenty gateways, and a change of the routes took seconds to reach
// them.
TEST_CASE("hubs are among the strongest gateways")
{
    Fleet fleet(66);
    for (int round = 1; round <= 12; ++round) {
        fleet.round(Millis{round * 300});
    }
    for (std::size_t i = 0; i < 66; ++i) {
        CHECK((!fleet.directories[i].isHub(Millis{3600}) || i % 7 == 6));
    }
}

// Guards against gateways that stay with a dead hub. When they kept asking it for proofs, a tenth of a fleet refused
// all keyed requests for seconds.
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
            for (const InstanceId &hub : fleet.directories[i].statedHubs()) {
                newest[i] = std::max(newest[i], fleet.directories[i].newestReportFrom(hub));
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

// Guards against endless replies. Two gateways know of a large fleet, and each considers the other no hub. When replies
// were answered like reports, one report made them send each other thousands a second, and they did nothing else.
// Guards against a live gateway that counts as silent between two lists of members, so that gateways differ about who
// is the first of an order.
TEST_CASE("the gateways of a large fleet agree at all times on the first of the strongest")
{
    for (const std::size_t size : {69UL, 83UL, 300UL}) {
        CAPTURE(size);
        Fleet fleet(size);
        fleet.sparesLists = true;
        const auto ignore = [](Millis /*now*/) {};
        fleet.play(Millis{300}, Millis{6000}, ignore);
        std::size_t differences = 0;
        Millis oldest;
        fleet.play(Millis{6000}, Millis{9000}, [&](Millis now) {
            if (now.count % 100 != 0) {
                return;
            }
            for (const std::uint64_t key : {1UL, 2UL, 3UL}) {
                const InstanceId first = fleet.directories.front().strongestByRendezvous(key, now).front();
                for (PeerDirectory &directory : fleet.directories) {
                    differences += directory.strongestByRendezvous(key, now).front() == first ? 0 : 1;
                }
            }
            for (std::size_t i = 1; i < size; ++i) {
                oldest = std::max(oldest, fleet.directories.front().silence(gatewayNamed(i), now));
            }
        });
        CHECK(differences == 0);
        CHECK(oldest < maxMemberAge);
    }
}

TEST_CASE("a reply is never answered")
{
    Fleet fleet(66);
    for (int round = 1; round <= 12; ++round) {
        fleet.round(Millis{round * 300});
        CHECK(fleet.sent < 66 * 20);
    }
    GatewayReport report;
    report.isReply = true;
    for (const PeerDirectory &directory : fleet.directories) {
        CHECK_FALSE(directory.mustReply(gatewayNamed(500), report, Millis{3600}));
    }
}

TEST_CASE("a silent gateway is no member after a few seconds, and is forgotten after a minute")
{
    PeerDirectory directory(gatewayNamed(0), {gatewayNamed(1)}, 1);
    CHECK(directory.fleetSize(Millis{0}) == 12);
    GatewayReport report;
    report.sentAt = Millis{77};
    directory.recordReport(gatewayNamed(1), report, Millis{1000});
    directory.recordReport(gatewayNamed(2), report, Millis{1000});
    CHECK(directory.members(Millis{2000}).size() == 2);
    CHECK(directory.newestReportFrom(gatewayNamed(2)) == Millis{77});
    CHECK(directory.members(Millis{7000}).empty());
    CHECK(directory.fleetSize(Millis{7000}) == 3);
    directory.recordReport(gatewayNamed(1), report, Millis{62000});
    CHECK(directory.fleetSize(Millis{62000}) == 2);
    CHECK(directory.peers() == std::vector{gatewayNamed(1)});
}

// Guards against reports that cross between data centres needlessly. 295 gateways in six data centres report three
// times a second. When each chose its hub by a hash, five in six hubs were in another data centre, no rule gave each
// data centre a hub, and reports made up most of the bytes between data centres.
TEST_CASE("each data centre has a hub, and its gateways report to that hub")
{
    Fleet fleet(295);
    for (int round = 1; round <= 40; ++round) {
        fleet.round(Millis{round * 300});
    }
    const Millis now{40 * 300};
    std::set<DataCentreId> withHub;
    std::size_t near = 0;
    std::size_t others = 0;
    for (std::size_t i = 0; i < fleet.directories.size(); ++i) {
        if (fleet.directories[i].isHub(now)) {
            withHub.insert(dataCentreOf(i));
            continue;
        }
        const std::vector<DueReport> due = fleet.directories[i].takeDueReports(now);
        REQUIRE(due.size() == 1);
        others += 1;
        near += dataCentreOf(fleet.indexes.at(due.front().peer)) == dataCentreOf(i) ? 1 : 0;
    }
    CHECK(withHub.size() == 6);
    CHECK(near == others);
}

TEST_CASE("a gateway whose hub died uses one of another data centre, and returns once its own has one")
{
    Fleet fleet(66);
    for (int round = 1; round <= 12; ++round) {
        fleet.round(Millis{round * 300});
    }
    const Millis now{12 * 300};
    std::size_t gateway = 0;
    while (fleet.directories[gateway].isHub(now)) {
        gateway += 1;
    }
    const InstanceId hub = fleet.directories[gateway].takeDueReports(now).front().peer;
    fleet.dead.insert(fleet.indexes.at(hub));
    std::set<InstanceId> asked;
    for (int round = 13; round <= 16; ++round) {
        fleet.round(Millis{round * 300});
        for (const DueReport &due : fleet.directories[gateway].takeDueReports(Millis{round * 300})) {
            asked.insert(due.peer);
        }
    }
    asked.erase(hub);
    CHECK_FALSE(asked.empty());
    for (int round = 17; round <= 60; ++round) {
        fleet.round(Millis{round * 300});
    }
    const InstanceId last = fleet.directories[gateway].takeDueReports(Millis{61 * 300}).front().peer;
    CHECK(last != hub);
    CHECK(fleet.directories[fleet.indexes.at(last)].isHub(Millis{61 * 300}));
}

TEST_CASE("a weak gateway does not become a hub only because its data centre has no other")
{
    PeerDirectory directory(gatewayNamed(0), {}, 1);
    directory.setSelf(1, DataCentreId{"lonely"});
    for (std::size_t i = 1; i <= 20; ++i) {
        GatewayReport report;
        report.sentAt = Millis{1000};
        report.strength = 10;
        report.dataCentre = DataCentreId{"busy"};
        directory.recordReport(gatewayNamed(i), report, Millis{1000});
    }
    CHECK(directory.hasHubs(Millis{1000}));
    CHECK_FALSE(directory.isHub(Millis{1000}));
}

// Guards against taking a report that a peer sent before it noticed this gateway's restart for a reply.
TEST_CASE("a peer is reached once it echoes a report from after the start")
{
    PeerDirectory directory(gatewayNamed(0), {gatewayNamed(1)}, 0);
    directory.takeDueReports(Millis{1000});
    GatewayReport report;
    directory.recordReport(gatewayNamed(1), report, Millis{1001});
    CHECK_FALSE(directory.hasReached(gatewayNamed(1)));
    report.echo = Millis{900};
    directory.recordReport(gatewayNamed(1), report, Millis{1002});
    CHECK_FALSE(directory.hasReceivedReply());
    report.echo = Millis{1000};
    directory.recordReport(gatewayNamed(1), report, Millis{1003});
    CHECK(directory.hasReached(gatewayNamed(1)));
    CHECK(directory.hasReceivedReply());
    report.echo = Millis{0};
    directory.recordReport(gatewayNamed(1), report, Millis{1004});
    CHECK_FALSE(directory.hasReached(gatewayNamed(1)));
    CHECK(directory.hasReceivedReply());
}

TEST_CASE("gateways that stop are known by their own reports, until they start again or are gone")
{
    constexpr Millis now{100000};
    PeerDirectory directory(gatewayNamed(0), {gatewayNamed(1)}, 1);
    CHECK_FALSE(directory.hasStayingPeer(now));
    GatewayReport stops;
    stops.leaving = true;
    directory.recordReport(gatewayNamed(1), stops, now);
    CHECK(directory.isLeaving(gatewayNamed(1), now));
    CHECK_FALSE(directory.isLeaving(gatewayNamed(2), now));
    CHECK_FALSE(directory.hasStayingPeer(now));
    SUBCASE("another gateway is known from a list alone")
    {
        stops.members = {{gatewayNamed(2), Millis{10}, 1, dataCentreOf(2)}};
        directory.recordReport(gatewayNamed(1), stops, now);
        CHECK(directory.hasStayingPeer(now));
        CHECK_FALSE(directory.hasStayingPeer(now + Millis{10000}));
    }
    SUBCASE("another one goes on, here or elsewhere")
    {
        directory.setSelf(1, dataCentreOf(0));
        GatewayReport goesOn;
        goesOn.dataCentre = dataCentreOf(1);
        directory.recordReport(gatewayNamed(2), goesOn, now);
        CHECK(directory.successor(now) == StopSuccessor::Elsewhere);
        goesOn.dataCentre = dataCentreOf(0);
        directory.recordReport(gatewayNamed(3), goesOn, now);
        CHECK(directory.successor(now) == StopSuccessor::Neighbour);
        CHECK(directory.successor(now + Millis{10000}) == StopSuccessor::None);
    }
    SUBCASE("it starts again, and reports to another hub")
    {
        GatewayReport ofHub;
        ofHub.members = {{gatewayNamed(1), Millis{10}, 1, dataCentreOf(1)}};
        directory.recordReport(gatewayNamed(2), ofHub, now + Millis{9000});
        CHECK_FALSE(directory.isLeaving(gatewayNamed(1), now + Millis{9000}));
    }
    SUBCASE("it starts again")
    {
        directory.recordReport(gatewayNamed(1), GatewayReport(), now + Millis{9000});
        CHECK_FALSE(directory.isLeaving(gatewayNamed(1), now + Millis{9000}));
        CHECK(directory.hasStayingPeer(now + Millis{9000}));
    }
}

// Guards against knowledge that is dated hours ahead, and so never grows old: after a loss of power a machine's clock
// begins anew, while its peers still answer a report from before it.
TEST_CASE("an echo is used only if this process may have sent it")
{
    const InstanceId peer = gatewayNamed(1);
    PeerDirectory directory(gatewayNamed(0), {peer}, 1);
    GatewayReport report;
    report.echo = Millis{3600000};
    directory.recordReport(peer, report, Millis{900});
    CHECK_FALSE(directory.hasReached(peer));
    CHECK(directory.ownEcho(report.echo, Millis{900}) == Millis{0});
    directory.takeDueReports(Millis{1000});
    directory.recordReport(peer, report, Millis{1500});
    CHECK_FALSE(directory.hasReached(peer));
    for (const Millis echo : {Millis{0}, Millis{999}, Millis{1501}, report.echo}) {
        CHECK(directory.ownEcho(echo, Millis{1500}) == Millis{0});
    }
    for (const Millis echo : {Millis{1000}, Millis{1500}}) {
        CHECK(directory.ownEcho(echo, Millis{1500}) == echo);
    }
    report.echo = Millis{1200};
    directory.recordReport(peer, report, Millis{1500});
    CHECK(directory.hasReached(peer));
}
