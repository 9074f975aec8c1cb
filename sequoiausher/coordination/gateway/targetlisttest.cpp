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

// Symptom: a target that had left got requests for two seconds more than it may.
// Events: a single call to the store fails; just then a target's entry is removed for good.
// Cause: each failed call counted as an absence in which entries lapse.
TEST_CASE("a call that fails once delays no removal")
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

TEST_CASE("an entry that is removed while the store is well is gone at once")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b")}, 5, Millis{0});
    list.remove(TargetId{"a"}, 6, Millis{10});
    CHECK(list.targets() == std::vector{targetOf("b")});
    CHECK(list.revision() == 6);
}

// Symptom: after an outage of the store all requests went to one target, the others idle.
// Events: the store is away for eight seconds, so entries lapse; it returns, and lists one entry for a second.
// Cause: the list without the lapsed entries was believed.
TEST_CASE("entries that lapse while the store is away stay for about two seconds after its return")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b"), targetOf("c", true)}, 5, Millis{0});
    list.storeLost(Millis{1000});
    list.storeReturned(Millis{9000});
    list.replaceAll({targetOf("b")}, 9, Millis{9000});
    CHECK(list.targets() == std::vector{targetOf("a"), targetOf("b")});
    CHECK(list.hasMissing());
    CHECK_FALSE(list.tick(Millis{11000}));
    SUBCASE("and go on as before when they come back")
    {
        list.put(targetOf("a"), 10);
        CHECK_FALSE(list.tick(Millis{12000}));
        CHECK(list.targets() == std::vector{targetOf("a"), targetOf("b")});
    }
    SUBCASE("and are gone after it")
    {
        CHECK(list.tick(Millis{11300}));
        CHECK(list.targets() == std::vector{targetOf("b")});
        list.remove(TargetId{"b"}, 11, Millis{12000});
        CHECK(list.empty());
    }
}

// Guards against a gateway that was cut off and takes what leaves after its return for lapsed.
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

// Guards against entries that are kept as lapsed where only this gateway was without the store.
TEST_CASE("a peer that had the store all the while ends the wait for entries that may come back")
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
    SUBCASE("one whose list has not come as far does not")
    {
        list.confirmSettledByPeer(8, Millis{9100});
        CHECK_FALSE(list.tick(Millis{9200}));
    }
    SUBCASE("nor one whose word may be of before the return")
    {
        list.confirmSettledByPeer(9, Millis{8900});
        CHECK_FALSE(list.tick(Millis{9200}));
    }
    SUBCASE("nor any while this gateway is without the store again")
    {
        list.storeLost(Millis{9050});
        list.confirmSettledByPeer(9, Millis{9100});
        list.storeReturned(Millis{9150});
        CHECK_FALSE(list.tick(Millis{9200}));
    }
    SUBCASE("another one does")
    {
        list.confirmSettledByPeer(9, Millis{9100});
        CHECK(list.tick(Millis{9200}));
        CHECK(list.targets() == std::vector{targetOf("b")});
        list.remove(TargetId{"b"}, 10, Millis{9300});
        CHECK(list.empty());
    }
}

TEST_CASE("a list that follows another by its changes is the same after each of them")
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
    // What went at the follower's own revision is told once more.
    CHECK(followChanges() == 3);
    // One that is removed and written again in the same answer of the store is there.
    first.remove(TargetId{"d"}, 13, Millis{30});
    first.put(targetOf("d"), 13);
    followChanges();
    CHECK(second.targets().size() == 2);
    CHECK(first.findChangesSince(13)->gone.empty());
    // Old and far changes are left alone.
    CHECK_FALSE(second.apply({20, 21, {}, {}}));
    CHECK_FALSE(second.apply({3, 12, {}, {TargetId{"c"}}}));
    CHECK(second.targets().size() == 2);
}

// Symptom: gateways that rest while a hub reads the store went on sending to a dead target after an outage of the
// store. Events: its entry lapses during the outage and is let go two seconds after the return, with no change in the
// store. Cause: peers were told of changes by the store's revision alone, which had not moved.
TEST_CASE("what does not come back after an outage is gone for peers too")
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

// Symptom: a gateway sent requests to a target three seconds after it had gone, while all others had dropped it.
// Events: the target goes; a hub that started after that, or missed a stretch of the store's history, tells a gateway
// whose list is older what changed since. Cause: the hub had never seen the target, so it did not name it as gone.
TEST_CASE("who did not see all of a stretch tells the whole list, not the changes in it")
{
    TargetList behind;
    behind.replaceAll({targetOf("a"), targetOf("gone")}, 8, Millis{0});
    SUBCASE("since it started after it")
    {
        TargetList fresh;
        fresh.replaceAll({targetOf("a"), targetOf("new")}, 10, Millis{0});
        CHECK_FALSE(fresh.findChangesSince(8));
        CHECK(fresh.findChangesSince(10));
    }
    SUBCASE("since it read the list again")
    {
        TargetList jumped;
        jumped.replaceAll({targetOf("a")}, 5, Millis{0});
        jumped.replaceAll({targetOf("a"), targetOf("new")}, 10, Millis{0});
        CHECK_FALSE(jumped.findChangesSince(8));
        jumped.replaceFromPeer({targetOf("a")}, 14);
        CHECK_FALSE(jumped.findChangesSince(12));
        CHECK(jumped.findChangesSince(14));
    }
    SUBCASE("but passes on what it was told of targets that it never had")
    {
        TargetList third;
        third.replaceAll({targetOf("a")}, 5, Millis{0});
        CHECK(third.apply({5, 10, {}, {TargetId{"gone"}}}));
        REQUIRE(third.findChangesSince(8));
        CHECK(behind.apply(*third.findChangesSince(8)));
        CHECK(behind.targets() == std::vector{targetOf("a")});
    }
}

// Symptom: gateways that rest sent requests to a target for seconds after it had gone. Events: a hub comes back from a
// cut; within its grace the target's entry is removed for good, and the hub keeps it, since it may only have lapsed. It
// tells what changed up to the present revision. Cause: the listener was then as new as everybody, and was told no
// more.
TEST_CASE("who keeps an entry that may be gone tells nothing, but a list of old to those who have none")
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
    SUBCASE("until it is let go")
    {
        CHECK(hub.tick(Millis{5000} + expiredEntryGrace));
        REQUIRE(hub.findChangesSince(5));
        CHECK(hub.findChangesSince(5)->gone == std::vector{TargetId{"b"}});
    }
    SUBCASE("until it is back")
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
    target.id = targetLife(TargetId{name}, target.bornAt);
    return target;
}

} // namespace

// Symptom: requests went to a restarted target as to one that holds their prompts, over connections of before.
// Events: a target crashes behind a cut, starts again under its name, and writes its entry.
// Cause: the entry was taken for a heartbeat of the target that was known.
TEST_CASE("a later life takes the place of the one before it")
{
    TargetList list;
    list.replaceAll({incarnationOf("a", 100), targetOf("b")}, 5, Millis{0});
    list.put(incarnationOf("a", 200), 6);
    CHECK(list.targets() == std::vector{incarnationOf("a", 200), targetOf("b")});
    CHECK(list.findChangesSince(5)->written == std::vector{incarnationOf("a", 200)});
}

// Symptom: a target that had just started was passed over as leaving.
// Events: a target says that it leaves behind a cut, dies, and starts again elsewhere; the cut heals, and what the old
// life had written arrives after the new one's first entry.
// Cause: the entry that was written last was believed, whichever life it was of.
TEST_CASE("an earlier life's word that comes late changes nothing")
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
    // The entry is removed: whoever writes there next is believed.
    list.remove(TargetId{"a"}, 10, Millis{20});
    CHECK(list.empty());
    list.put(incarnationOf("a", 100), 11);
    CHECK(list.targets() == std::vector{incarnationOf("a", 100)});
}

// Symptom: a gateway went on sending to a target that had left, and to its address after it, until it read the whole
// list again; or it passed a target over that had long started anew. Events: its watch waits at the store when it
// begins to follow a peer, or when its way to the store fails; the peer tells it of a later change; then the answer of
// the watch arrives, from before that change. Cause: the later word was overwritten by the earlier one, under the later
// one's revision, so no peer told it again.
TEST_CASE("an answer of the store from before what a peer told changes nothing")
{
    TargetList list;
    list.replaceAll({targetOf("a"), targetOf("b"), targetOf("c")}, 100, Millis{0});
    REQUIRE(list.apply({100, 200, {targetOf("a", true), targetOf("d")}, {TargetId{"b"}}}));
    const std::vector<GatewayTarget> expected = list.targets();
    SUBCASE("an entry that has left, or leaves")
    {
        list.put(targetOf("b"), 120);
        list.put(targetOf("a"), 120);
    }
    SUBCASE("one that is written anew since")
    {
        list.remove(TargetId{"d"}, 120, Millis{10});
        list.removeUnreadable(TargetId{"d"}, 120);
    }
    CHECK(list.targets() == expected);
    CHECK(list.revision() == 200);
    CHECK(list.findChangesSince(200)->written.empty());
    // What the store says of the same revision, or of a later one, counts.
    list.put(targetOf("b"), 200);
    list.remove(TargetId{"c"}, 201, Millis{20});
    CHECK(list.targets() == std::vector{targetOf("a", true), targetOf("b"), targetOf("d")});
}

TEST_CASE("an entry that tells no life is of the known one")
{
    TargetList list;
    list.replaceAll({incarnationOf("a", 200)}, 5, Millis{0});
    list.put(targetOf("a", true), 6);
    CHECK(list.targets() == std::vector{incarnationOf("a", 200, true)});
    list.put(incarnationOf("a", 300), 7);
    CHECK(list.targets() == std::vector{incarnationOf("a", 300)});
}

// Symptom: one gateway sent requests to an entry that another writer had spoilt, another one did not.
// Events: a good entry is overwritten by one that cannot be read; the first gateway hears of it by its watch, the
// second reads the list anew. Cause: what could not be read was left out of a list, and ignored where it came as a
// change.
TEST_CASE("an entry that cannot be read names no target, however it is learnt, and the others hold")
{
    TargetList watching;
    watching.replaceAll({incarnationOf("a", 200), targetOf("b")}, 5, Millis{0});
    watching.removeUnreadable(TargetId{"a"}, 6);
    TargetList listing;
    listing.replaceAll({incarnationOf("a", 200), targetOf("b")}, 5, Millis{0});
    // Also where entries that are missing are kept since the store was away.
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

/** A store that may return from a copy, the targets that write to it, and two gateways: one reads it, one is told. */
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

    /** All that is lost is written again and heard, and nothing is kept any more. */
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

    /** Targets write their entries again where the copy has others, and entries that nobody renews are removed. */
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
        const auto first = this->events.upper_bound(revisionIn(this->reader.revision()));
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

    /** A word of the reader to the other one; it may come late, twice or after a later one. */
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
    /** Names, and whether each says that it leaves. */
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

// Guards against lists that part, go back or bring back who left when the store returns from copies again and again.
TEST_CASE("a list and one that is told of it agree with the targets after any series of returns from copies")
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
