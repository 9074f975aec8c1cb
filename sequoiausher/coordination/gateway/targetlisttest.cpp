#include "sequoiausher/coordination/gateway/targetlist.h"

#include "sequoiausher/coordination/gateway/storeposition.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

using namespace Sequoiausher;

namespace {

GatewayTarget targetOf(const std::string &name, bool leaving = false)
{
    return {TargetId{name}, PoolId{"desk"}, "10.0.0.1:80", DataCentreId{"a"}, 6, leaving};
}

} // namespace

// Guards against late removals after a single failed call. A call to the store fails just before a target's entry is
// removed for good. When each failed call counted as an outage in which entries expire, the target got requests for two
// seconds more than allowed.
TEST_CASE("a single failed call delays no removal")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    list.storeLost(Millis{1000});
    list.storeReturned(Millis{1200});
    list.remove(TargetId{"a"}, 6, Millis{1250});
    CHECK(list.targets() == std::vector{targetOf("b")});
}

TEST_CASE("a peer's list replaces one that cannot be kept up to date")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    list.storeLost(Millis{1000});
    list.replaceFromPeer({targetOf("b"), targetOf("c")}, 9);
    CHECK(list.targets() == std::vector{targetOf("b"), targetOf("c")});
    CHECK(list.revision() == 9);
}

TEST_CASE("an entry that is removed while the store is available is gone at once")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    list.remove(TargetId{"a"}, 6, Millis{10});
    CHECK(list.targets() == std::vector{targetOf("b")});
    CHECK(list.revision() == 6);
}

// Guards against an incomplete list after an outage. The store is unavailable for eight seconds, so entries expire; for
// a second after its return it lists only one entry. When this list was taken as complete, all requests went to one
// target while the others were idle.
TEST_CASE("entries that expire during an outage of the store stay for about two seconds after its return")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b"), targetOf("c", true)}, 5, Millis{0});
    list.storeLost(Millis{1000});
    list.storeReturned(Millis{9000});
    list.replaceAll({targetOf("b")}, 9, Millis{9000});
    CHECK(list.targets() == std::vector{targetOf("a"), targetOf("b")});
    CHECK(list.hasMissing());
    CHECK_FALSE(list.tick(Millis{11000}));
    SUBCASE("and stay when they are written again")
    {
        list.put(targetOf("a"), 10);
        CHECK_FALSE(list.tick(Millis{12000}));
        CHECK(list.targets() == std::vector{targetOf("a"), targetOf("b")});
    }
    SUBCASE("and are removed after that")
    {
        CHECK(list.tick(Millis{11300}));
        CHECK(list.targets() == std::vector{targetOf("b")});
        list.remove(TargetId{"b"}, 11, Millis{12000});
        CHECK(list.empty());
    }
}

// Guards against a gateway that was cut off and treats entries removed after its return as expired.
TEST_CASE("an entry that is removed after the store's return is gone within the bound")
{
    constexpr Millis leaveBound{2000};
    for (const std::int64_t after : {0, 100, 180, 400, 1200, 2200}) {
        CAPTURE(after);
        TargetList list;
        list.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
        list.storeLost(Millis{1000});
        list.storeReturned(Millis{13930});
        list.replaceAll({targetOf("a"), targetOf("b")}, 20, Millis{13930});
        const Millis removedAt = Millis{13930 + after};
        list.remove(TargetId{"a"}, 22, removedAt);
        for (Millis now = removedAt; now < removedAt + leaveBound - Millis{200}; now += Millis{40}) {
            list.tick(now);
        }
        CHECK(list.targets() == std::vector{targetOf("b")});
    }
}

// Guards against keeping entries as expired where only this gateway did not reach the store.
TEST_CASE("a peer that always reached the store ends the wait for entries that may come back")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    CHECK_FALSE(list.isSettled(Millis{2299}));
    CHECK(list.isSettled(Millis{2300}));
    list.storeLost(Millis{3000});
    CHECK_FALSE(list.isSettled(Millis{4000}));
    list.storeReturned(Millis{9000});
    list.replaceAll({targetOf("b")}, 9, Millis{9000});
    CHECK(list.targets() == std::vector{targetOf("a"), targetOf("b")});
    CHECK_FALSE(list.isSettled(Millis{9100}));
    SUBCASE("but not a peer whose list has an earlier revision")
    {
        list.confirmSettledByPeer(8, Millis{9100});
        CHECK_FALSE(list.tick(Millis{9200}));
    }
    SUBCASE("but not a peer whose report may be from before the return")
    {
        list.confirmSettledByPeer(9, Millis{8900});
        CHECK_FALSE(list.tick(Millis{9200}));
    }
    SUBCASE("but no peer while this gateway does not reach the store again")
    {
        list.storeLost(Millis{9050});
        list.confirmSettledByPeer(9, Millis{9100});
        list.storeReturned(Millis{9150});
        CHECK_FALSE(list.tick(Millis{9200}));
    }
    SUBCASE("a peer with the same revision does")
    {
        list.confirmSettledByPeer(9, Millis{9100});
        CHECK(list.tick(Millis{9200}));
        CHECK(list.targets() == std::vector{targetOf("b")});
        list.remove(TargetId{"b"}, 10, Millis{9300});
        CHECK(list.empty());
    }
}

TEST_CASE("a list that follows another by its changes equals it after each of them")
{
    TargetList first;
    TargetList second;
    first.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    CHECK_FALSE(first.findChangesSince(0));
    second.replaceFromPeer(first.targets(), first.revision());
    const auto followChanges = [&] {
        const auto changes = first.findChangesSince(second.revision());
        REQUIRE(changes);
        CHECK(second.apply(*changes));
        CHECK(second.targets() == first.targets());
        CHECK(second.revision() == first.revision());
        return changes->written.size() + changes->gone.size();
    };
    first.put(targetOf("c"), 6);
    CHECK(followChanges() == 1);
    first.put(targetOf("a", true), 7);
    first.remove(TargetId{"b"}, 8, Millis{10});
    CHECK(followChanges() == 2);
    first.put(targetOf("d"), 12);
    first.remove(TargetId{"a"}, 12, Millis{20});
    // Removals at the follower's own revision are sent once more.
    CHECK(followChanges() == 3);
    // A target that is removed and written again in the same answer of the store is listed.
    first.remove(TargetId{"d"}, 13, Millis{30});
    first.put(targetOf("d"), 13);
    followChanges();
    CHECK(second.targets().size() == 2);
    CHECK(first.findChangesSince(13)->gone.empty());
    // Changes that begin after the list's revision or end before it are not applied.
    CHECK_FALSE(second.apply({20, 21, {}, {}}));
    CHECK_FALSE(second.apply({3, 12, {}, {TargetId{"c"}}}));
    CHECK(second.targets().size() == 2);
}

// Guards against removals that peers do not learn of. A target's entry expires during an outage of the store and is
// removed two seconds after the return, without a change in the store. When peers got changes by the store's revision
// alone, which had not changed, gateways that follow a hub kept sending to the dead target.
TEST_CASE("an entry that does not come back after an outage is removed at peers too")
{
    TargetList first;
    TargetList second;
    first.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    first.storeLost(Millis{1000});
    first.storeReturned(Millis{5000});
    first.remove(TargetId{"b"}, 6, Millis{5010});
    second.replaceFromPeer(first.targets(), first.revision());
    CHECK(second.targets().size() == 2);
    CHECK(first.tick(Millis{5000} + expiredEntryGrace));
    CHECK(first.lastExpiryAt() == Millis{5000} + expiredEntryGrace);
    CHECK(second.apply(*first.findChangesSince(second.revision())));
    CHECK(second.targets() == std::vector{targetOf("a")});
}

// Guards against incomplete changes. A target is removed; then a hub that started after that, or missed a part of the
// store's history, sends changes to a gateway with an older list. The hub never had the target, so it did not report
// the removal, and the gateway sent requests to the target three seconds after all others had removed it.
TEST_CASE("a list that missed a part of the history has no changes for that part, only the whole list")
{
    TargetList behind;
    behind.replaceAll({targetOf("a"), targetOf("gone")}, 8, Millis{0});
    SUBCASE("because it started later")
    {
        TargetList fresh;
        fresh.replaceAll({targetOf("a"), targetOf("new")}, 10, Millis{0});
        CHECK_FALSE(fresh.findChangesSince(8));
        CHECK(fresh.findChangesSince(10));
    }
    SUBCASE("because it read the whole list again")
    {
        TargetList jumped;
        jumped.replaceAll({targetOf("a")}, 5, Millis{0});
        jumped.replaceAll({targetOf("a"), targetOf("new")}, 10, Millis{0});
        CHECK_FALSE(jumped.findChangesSince(8));
        jumped.replaceFromPeer({targetOf("a")}, 14);
        CHECK_FALSE(jumped.findChangesSince(12));
        CHECK(jumped.findChangesSince(14));
    }
    SUBCASE("but it passes on removals of targets that it never had")
    {
        TargetList third;
        third.replaceAll({targetOf("a")}, 5, Millis{0});
        CHECK(third.apply({5, 10, {}, {TargetId{"gone"}}}));
        REQUIRE(third.findChangesSince(8));
        CHECK(behind.apply(*third.findChangesSince(8)));
        CHECK(behind.targets() == std::vector{targetOf("a")});
    }
}

// Guards against peers that miss a removal. A hub reaches the store again after a partition. Within its grace a
// target's entry is removed for good, but the hub keeps it, because it may only have expired. When the hub sent changes
// up to the current revision, its followers had the newest revision, got no further changes, and sent requests to the
// target for seconds after its removal.
TEST_CASE("a list that keeps an entry that may be gone has no changes to share, and an old revision for new gateways")
{
    TargetList hub;
    hub.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    CHECK(hub.shareableRevision() == 5);
    hub.storeLost(Millis{1000});
    hub.storeReturned(Millis{5000});
    hub.remove(TargetId{"b"}, 6, Millis{5010});
    hub.put(targetOf("c"), 7);
    CHECK(hub.hasMissing());
    CHECK_FALSE(hub.findChangesSince(5));
    CHECK(hub.shareableRevision() == 1);
    SUBCASE("until the entry is removed")
    {
        CHECK(hub.tick(Millis{5000} + expiredEntryGrace));
        REQUIRE(hub.findChangesSince(5));
        CHECK(hub.findChangesSince(5)->gone == std::vector{TargetId{"b"}});
    }
    SUBCASE("until the entry is back")
    {
        hub.put(targetOf("b"), 8);
        CHECK_FALSE(hub.hasMissing());
        CHECK(hub.findChangesSince(7));
    }
    CHECK(hub.shareableRevision() >= 7);
}

namespace {

GatewayTarget incarnationOf(const std::string &name, std::int64_t bornAt, bool leaving = false)
{
    GatewayTarget target = targetOf(name, leaving);
    target.bornAt = Millis{bornAt};
    target.id = incarnationId(TargetId{name}, target.bornAt);
    return target;
}

} // namespace

// Guards against using a restarted target as before. A target crashes during a partition, restarts under its name and
// writes its entry. When that entry was taken for a heartbeat of the known target, requests went there as if the target
// still held their prompts, over the old connections.
TEST_CASE("a later incarnation replaces the one before it")
{
    TargetList list;
    list.replaceAll({incarnationOf("a", 100), targetOf("b")}, 5, Millis{0});
    list.put(incarnationOf("a", 200), 6);
    CHECK(list.targets() == std::vector{incarnationOf("a", 200), targetOf("b")});
    CHECK(list.findChangesSince(5)->written == std::vector{incarnationOf("a", 200)});
}

// Guards against late entries of an old incarnation. A target announces during a partition that it leaves, dies, and
// restarts elsewhere; after the partition the old incarnation's entry arrives after the new one's first entry. When the
// entry written last was used regardless of its incarnation, the new target was skipped as leaving.
TEST_CASE("a late entry of an earlier incarnation changes nothing")
{
    TargetList list;
    list.replaceAll({incarnationOf("a", 200)}, 5, Millis{0});
    list.put(incarnationOf("a", 100, true), 6);
    CHECK(list.targets() == std::vector{incarnationOf("a", 200)});
    list.replaceAll({incarnationOf("a", 100, true)}, 7, Millis{10});
    CHECK(list.targets() == std::vector{incarnationOf("a", 200)});
    list.replaceFromPeer({incarnationOf("a", 100)}, 8);
    CHECK(list.targets() == std::vector{incarnationOf("a", 200)});
    CHECK(list.apply({8, 9, {incarnationOf("a", 100)}, {}}));
    CHECK(list.targets() == std::vector{incarnationOf("a", 200)});
    // After the entry is removed, the next entry of any incarnation is used.
    list.remove(TargetId{"a"}, 10, Millis{20});
    CHECK(list.empty());
    list.put(incarnationOf("a", 100), 11);
    CHECK(list.targets() == std::vector{incarnationOf("a", 100)});
}

// Guards against an old answer of the store that overwrites later changes. A gateway's watch waits at the store when
// the gateway starts to follow a peer, or when its connection to the store fails. The peer sends a later change, and
// then the watch is answered with data from before it. When this answer overwrote the change, but under the later
// revision, no peer sent the change again. The gateway kept sending to a target that had left, and to whatever used its
// address afterwards, until it read the whole list again; or it skipped a target that had restarted long before.
TEST_CASE("an answer of the store from before a peer's changes changes nothing")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b"), targetOf("c")}, 100, Millis{0});
    REQUIRE(list.apply({100, 200, {targetOf("a", true), targetOf("d")}, {TargetId{"b"}}}));
    const std::vector<GatewayTarget> expected = list.targets();
    SUBCASE("an entry of a target that has left or is leaving")
    {
        list.put(targetOf("b"), 120);
        list.put(targetOf("a"), 120);
    }
    SUBCASE("an entry that was written again since")
    {
        list.remove(TargetId{"d"}, 120, Millis{10});
        list.removeUnreadable(TargetId{"d"}, 120);
    }
    CHECK(list.targets() == expected);
    CHECK(list.revision() == 200);
    CHECK(list.findChangesSince(200)->written.empty());
    // Answers of the store with the same revision, or a later one, are applied.
    list.put(targetOf("b"), 200);
    list.remove(TargetId{"c"}, 201, Millis{20});
    CHECK(list.targets() == std::vector{targetOf("a", true), targetOf("b"), targetOf("d")});
}

TEST_CASE("an entry without an incarnation belongs to the current one")
{
    TargetList list;
    list.replaceAll({incarnationOf("a", 200)}, 5, Millis{0});
    list.put(targetOf("a", true), 6);
    CHECK(list.targets() == std::vector{incarnationOf("a", 200, true)});
    list.put(incarnationOf("a", 300), 7);
    CHECK(list.targets() == std::vector{incarnationOf("a", 300)});
}

// Guards against lists that differ after an entry was corrupted. Another writer overwrites a good entry by one that
// cannot be read. One gateway gets this by its watch, another one by reading the list again. When unreadable entries
// were left out of a list, but ignored as changes, only the first gateway kept sending requests to the target.
TEST_CASE("an unreadable entry removes its target, whether listed or watched, and keeps the other targets")
{
    TargetList watching;
    watching.replaceAll({incarnationOf("a", 200), targetOf("b")}, 5, Millis{0});
    watching.removeUnreadable(TargetId{"a"}, 6);
    TargetList listing;
    listing.replaceAll({incarnationOf("a", 200), targetOf("b")}, 5, Millis{0});
    // This also holds where missing entries are kept because the store was unavailable.
    listing.storeLost(Millis{1000});
    listing.storeReturned(Millis{9000});
    listing.replaceAll({targetOf("b")}, 6, Millis{9000});
    CHECK(listing.hasMissing());
    listing.removeUnreadable(TargetId{"a"}, 6);
    CHECK(watching.targets() == std::vector{targetOf("b")});
    CHECK(listing.targets() == watching.targets());
    CHECK_FALSE(listing.hasMissing());
    CHECK(watching.findChangesSince(5)->gone == std::vector{TargetId{"a"}});
    watching.put(incarnationOf("a", 200), 7);
    CHECK(watching.targets().size() == 2);
}

namespace {

/** A store that may be restored from a copy, the targets that write to it, a gateway that reads it, and a follower. */
class RestoredFleet
{
public:
    explicit RestoredFleet(unsigned int seed) : random(seed)
    {
        this->read();
    }

    void step()
    {
        this->now += Millis{40};
        switch (this->random() % 12) {
        case 0:
        case 1:
            this->write("t" + std::to_string(this->next++), false);
            break;
        case 2:
            this->markLeaving();
            break;
        case 3:
            this->removeTarget();
            break;
        case 4:
            this->backup = {this->content, this->revision};
            break;
        case 5:
            if (this->random() % 4 == 0) {
                this->restore();
            }
            break;
        case 6:
            this->sendToFollower();
            break;
        default:
            this->watch();
        }
        this->deliverMessage();
        this->reader.tick(this->now);
        this->follower.tick(this->now);
        this->checkInvariants();
    }

    /** Writes and delivers all lost entries again, and runs until no missing entry is kept. */
    void settle()
    {
        this->rewrite();
        this->watch();
        for (int i = 0; i < 200; ++i) {
            this->now += Millis{40};
            this->reader.tick(this->now);
            this->follower.tick(this->now);
            this->sendToFollower();
            this->deliverMessage();
        }
        std::vector<GatewayTarget> expected;
        for (const auto &[name, isLeaving] : this->alive) {
            expected.push_back(targetOf(name, isLeaving));
        }
        CHECK(this->reader.targets() == expected);
        CHECK(this->follower.targets() == expected);
        CHECK(this->follower.revision() == this->reader.revision());
    }

private:
    struct PeerMessage
    {
        Revision at = 0;
        std::optional<TargetChanges> changes;
        std::vector<GatewayTarget> all;
    };

    Revision position() const
    {
        return storePosition(this->era, this->revision);
    }

    void write(const std::string &name, bool isLeaving)
    {
        this->revision += 1;
        this->content[name] = isLeaving;
        this->alive[name] = isLeaving;
        this->events[this->revision] = name;
    }

    void remove(const std::string &name)
    {
        this->revision += 1;
        this->content.erase(name);
        this->events[this->revision] = name;
    }

    std::string pickTarget() const
    {
        return this->alive.empty() ? "" : std::next(this->alive.begin(), this->revision % this->alive.size())->first;
    }

    void markLeaving()
    {
        if (const std::string name = this->pickTarget(); !name.empty()) {
            this->write(name, true);
            this->leftTargets.insert(name);
        }
    }

    void removeTarget()
    {
        if (const std::string name = this->pickTarget(); !name.empty()) {
            this->alive.erase(name);
            this->leftTargets.insert(name);
            this->remove(name);
        }
    }

    void restore()
    {
        std::tie(this->content, this->revision) = this->backup;
        this->era += 1;
        this->events.clear();
        this->read();
        this->rewrite();
    }

    /** Targets write their entries again where the copy differs, and entries that no target renews are removed. */
    void rewrite()
    {
        for (const auto &[name, isLeaving] : std::map(this->alive)) {
            const auto found = this->content.find(name);
            if (found == this->content.end() || found->second != isLeaving) {
                this->write(name, isLeaving);
            }
        }
        for (const auto &[name, isLeaving] : std::map(this->content)) {
            if (!this->alive.contains(name)) {
                this->remove(name);
            }
        }
    }

    void read()
    {
        std::vector<GatewayTarget> listed;
        for (const auto &[name, isLeaving] : this->content) {
            listed.push_back(targetOf(name, isLeaving));
        }
        if (this->era != eraOf(this->reader.revision())) {
            this->reader.storeRestored(this->now);
        }
        this->reader.replaceAll(listed, this->position(), this->now);
    }

    void watch()
    {
        const auto first = this->events.upper_bound(revisionOf(this->reader.revision()));
        for (auto event = first; event != this->events.end(); ++event) {
            const auto found = this->content.find(event->second);
            if (found == this->content.end()) {
                this->reader.remove(TargetId{event->second}, this->position(), this->now);
            } else {
                this->reader.put(targetOf(event->second, found->second), this->position());
            }
        }
        this->observedLeft = this->leftTargets;
    }

    /** Sends the reader's changes to the follower; the message may arrive late, twice or out of order. */
    void sendToFollower()
    {
        const auto changes = this->reader.findChangesSince(this->follower.revision());
        const bool hasAll = !changes && !this->reader.hasMissing();
        if (changes || hasAll) {
            this->messages.push_back({this->reader.revision(), changes, this->reader.targets()});
        }
    }

    void deliverMessage()
    {
        if (this->messages.empty() || this->random() % 3 == 0) {
            return;
        }
        const std::size_t which = this->random() % this->messages.size();
        const PeerMessage message = this->messages[which];
        if (this->random() % 4 != 0) {
            this->messages.erase(this->messages.begin() + static_cast<std::ptrdiff_t>(which));
        }
        if (message.changes) {
            this->follower.apply(*message.changes);
        } else if (message.at > this->follower.revision()) {
            this->follower.replaceFromPeer(message.all, message.at);
        }
    }

    void checkInvariants()
    {
        CHECK(this->reader.revision() >= this->readerBefore);
        CHECK(this->follower.revision() >= this->followerBefore);
        this->readerBefore = this->reader.revision();
        this->followerBefore = this->follower.revision();
        for (const GatewayTarget &target : this->reader.targets()) {
            const bool isKept = this->reader.hasMissing();
            CHECK_FALSE((!target.isLeaving && !isKept && this->observedLeft.contains(target.id.value)));
        }
    }

    std::mt19937 random;
    Millis now{1000};
    std::uint64_t era = 1;
    Revision revision = 1;
    /** Names, and whether each target has announced that it leaves. */
    std::map<std::string, bool> content;
    std::pair<std::map<std::string, bool>, Revision> backup{{}, 1};
    std::map<Revision, std::string> events;
    std::map<std::string, bool> alive;
    std::set<std::string> leftTargets;
    std::set<std::string> observedLeft;
    int next = 0;
    TargetList reader;
    TargetList follower;
    Revision readerBefore = 0;
    Revision followerBefore = 0;
    std::deque<PeerMessage> messages;
};

} // namespace

// Guards against lists that diverge, go back or list removed targets again when the store is restored repeatedly.
TEST_CASE("a list and its follower agree with the targets after any series of restores from copies")
{
    for (unsigned int seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        RestoredFleet fleet(seed);
        for (int i = 0; i < 400; ++i) {
            fleet.step();
        }
        fleet.settle();
    }
}
