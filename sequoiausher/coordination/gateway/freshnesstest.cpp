#include "sequoiausher/coordination/gateway/freshness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <vector>

using namespace Sequoiausher;

TEST_CASE("a proof is as old as the start of its call")
{
    Freshness freshness;
    CHECK(freshness.age(3, Millis{500}) == Millis::never());
    freshness.recordProof(3, Millis{1000});
    CHECK(freshness.age(3, Millis{1400}) == Millis{400});
    freshness.recordProof(3, Millis{900});
    CHECK(freshness.age(3, Millis{1400}) == Millis{400});
}

// Symptom: in a storm of changes gateways refused keyed requests for some 40 ms each, several times a second, and fell
// out of rotation. Events: a peer proves a version that is still on its way to this gateway. Cause: the proof of the
// version in force, milliseconds old, was thrown away. It says no less than before: that version was the newest then.
TEST_CASE("a newer version takes no proof away from an older one, and gives it none of its own")
{
    Freshness freshness;
    freshness.recordProof(3, Millis{1000});
    CHECK_FALSE(freshness.isBehind(3));
    freshness.recordProof(4, Millis{1100});
    CHECK(freshness.isBehind(3));
    CHECK_FALSE(freshness.isBehind(4));
    CHECK(freshness.age(3, Millis{1200}) == Millis{200});
    CHECK(freshness.age(4, Millis{1200}) == Millis{100});
    freshness.recordProof(4, Millis{9000});
    CHECK(freshness.age(3, Millis{9000}) == Millis{8000});
    CHECK(freshness.age(2, Millis{9000}) == Millis::never());
    CHECK(freshness.age(0, Millis{9000}) == Millis::never());
    for (Revision version = 5; version < 60; ++version) {
        freshness.recordProof(version, Millis{9000});
    }
    CHECK(freshness.age(4, Millis{9000}) == Millis::never());
    CHECK(freshness.age(59, Millis{9001}) == Millis{1});
}

// Symptom: with each version of a storm all gateways refused keyed requests for some 40 ms, 226 in three seconds, while
// others of them were killed. Events: a version arrives by a peer or a watch; its own proof takes a reading of the
// store or a peer's report more. Cause: only proofs of the very version in force counted.
TEST_CASE("a proof of an older version holds for a newer one")
{
    Freshness freshness;
    freshness.recordProof(3, Millis{1000});
    CHECK(freshness.age(4, Millis{1400}) == Millis{400});
    freshness.recordProof(4, Millis{900});
    CHECK(freshness.age(4, Millis{1400}) == Millis{400});
    CHECK(freshness.age(3, Millis{1400}) == Millis{400});
    CHECK_FALSE(freshness.isBehind(4));
    // Also where more versions came than are remembered.
    for (Revision version = 5; version < 100; ++version) {
        freshness.recordProof(version, Millis{500});
    }
    CHECK(freshness.age(99, Millis{1400}) == Millis{400});
}

namespace {

constexpr Millis longestAge{5000};

/** Everything that was published, when and with which keys: what no gateway knows and the check does. */
struct Published
{
    Revision version = 0;
    Millis at;
    std::set<int> keys;
};

class NaiveStore
{
public:
    explicit NaiveStore(std::mt19937 &generator) : random(generator)
    {
        this->publish(Millis{0});
    }

    void publish(Millis now)
    {
        Published next = this->versions.empty() ? Published{} : this->versions.back();
        next.version += 1 + this->random() % 3;
        next.at = now;
        const int key = static_cast<int>(this->random() % 4);
        if (next.keys.erase(key) == 0) {
            next.keys.insert(key);
        }
        this->versions.push_back(next);
    }

    const Published &newest(Millis at) const
    {
        const Published *found = &this->versions.front();
        for (const Published &one : this->versions) {
            found = one.at <= at ? &one : found;
        }
        return *found;
    }

    /** Since when a key of version is gone without having been given back; never() where it is not. */
    Millis goneSince(Revision version, int key, Millis now) const
    {
        Millis since = Millis::never();
        for (const Published &one : this->versions) {
            if (one.version <= version || one.at > now) {
                continue;
            }
            const bool has = one.keys.contains(key);
            since = has ? Millis::never() : std::min(since, one.at);
        }
        return since;
    }

    std::vector<Published> versions;

private:
    std::mt19937 &random;
};

/** A gateway as it is where only Freshness matters: what it has in force, and whom it hears. */
struct NaiveGateway
{
    Freshness freshness;
    Published held;
    /** Each peer's newest report by this gateway's own clock, which runs apart from the others'. */
    std::array<Millis, 3> echoes{};
    Millis clockOffset;
};

/** A message on its way: an answer of the store or a peer's report. */
struct Underway
{
    Millis arrives;
    std::size_t to = 0;
    /** Of the store; otherwise of a peer. */
    bool isAnswer = false;
    Published held;
    Millis startedAt;
    Millis proofAge;
    Millis echo;
    std::size_t from = 0;
    Millis sentAt;
};

/** Gateways, a store and messages between them, all by one seed. */
class Schedule
{
public:
    explicit Schedule(std::uint32_t seed) : random(seed), store(random), publishOneIn(seed % 2 == 0 ? 5 : 60)
    {
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            this->gateways.at(i).clockOffset = Millis{static_cast<std::int64_t>(i) * 100000 + 1000};
        }
    }

    void step(Millis now)
    {
        if (this->oneIn(this->publishOneIn)) {
            this->store.publish(now);
        }
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            this->act(i, now);
        }
        this->deliver(now);
    }

    /** Keys that were opened by a gateway's age and are gone for longer than it says. */
    std::size_t wronglyOpened(Millis now)
    {
        std::size_t wrong = 0;
        for (const NaiveGateway &gateway : this->gateways) {
            const Millis age = gateway.freshness.age(gateway.held.version, now + gateway.clockOffset);
            if (age == Millis::never() || age > longestAge) {
                continue;
            }
            for (const int key : gateway.held.keys) {
                const Millis gone = this->store.goneSince(gateway.held.version, key, now);
                this->opened += 1;
                wrong += gone != Millis::never() && now - gone > age ? 1 : 0;
            }
        }
        return wrong;
    }

    std::size_t opened = 0;

private:
    bool oneIn(std::uint32_t many)
    {
        return this->random() % many == 0;
    }

    Millis upTo(std::int64_t most)
    {
        return Millis{static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(most + 1))};
    }

    /** One message in eight is held back for seconds. */
    Millis delay(std::int64_t usual)
    {
        return this->oneIn(8) ? this->upTo(6000) : this->upTo(usual);
    }

    void act(std::size_t index, Millis now)
    {
        NaiveGateway &gateway = this->gateways.at(index);
        const Millis clock = now + gateway.clockOffset;
        if (this->oneIn(30)) {
            // The store answers by what it has now; the call began earlier.
            this->underway.push_back(
                {now + this->delay(60), index, true, this->store.newest(now), clock - this->upTo(40), {}, {}, 0, {}});
        }
        if (this->oneIn(10)) {
            const std::size_t peer = (index + 1 + this->random() % 2) % this->gateways.size();
            this->underway.push_back({now + this->delay(30),
                                      peer,
                                      false,
                                      gateway.held,
                                      {},
                                      gateway.freshness.age(gateway.held.version, clock),
                                      gateway.echoes.at(peer),
                                      index,
                                      clock});
        }
        if (this->oneIn(3000)) {
            const Millis offset = gateway.clockOffset;
            gateway = NaiveGateway{};
            gateway.clockOffset = offset + Millis{500000};
        }
    }

    void deliver(Millis now)
    {
        for (std::size_t i = 0; i < this->underway.size();) {
            const Underway message = this->underway.at(i);
            if (message.arrives > now) {
                ++i;
                continue;
            }
            this->underway.erase(this->underway.begin() + static_cast<std::ptrdiff_t>(i));
            this->take(message);
        }
    }

    void take(const Underway &message)
    {
        NaiveGateway &to = this->gateways.at(message.to);
        // Links tell lives apart: what was for the life before never arrives.
        const Millis dated = message.isAnswer ? message.startedAt : message.echo;
        if (dated < to.clockOffset && (message.isAnswer || message.echo != Millis{0})) {
            return;
        }
        if (message.isAnswer) {
            to.freshness.recordProof(message.held.version, message.startedAt);
        } else {
            to.freshness.recordPeerProof(message.held.version, message.proofAge, message.echo);
            to.echoes.at(message.from) = std::max(to.echoes.at(message.from), message.sentAt);
        }
        // A peer tells of its version first; the version itself may be lost on its way.
        const bool comesAlong = message.isAnswer || this->oneIn(3);
        if (comesAlong && message.held.version > to.held.version) {
            to.held = message.held;
        }
    }

    std::mt19937 random;
    NaiveStore store;
    std::uint32_t publishOneIn;
    std::array<NaiveGateway, 3> gateways;
    std::vector<Underway> underway;
};

} // namespace

// Symptom if it were wrong: a key that was taken away opens a route later than it may.
// Events: keys are taken away and given back in a storm of versions; answers of the store come late and out of order;
// gateways hear versions and proofs from each other, also held back for seconds; they restart, and their clocks differ.
// What is checked, against everything that was ever published: no gateway that goes by age() opens a key that has been
// gone for longer than that age says.
TEST_CASE("no schedule of proofs opens a key that is gone for too long")
{
    std::size_t opened = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        Schedule schedule(seed);
        for (Millis now{1}; now < Millis{15000}; now = now + Millis{20}) {
            CAPTURE(now.count);
            schedule.step(now);
            REQUIRE(schedule.wronglyOpened(now) == 0);
        }
        opened += schedule.opened;
    }
    // Enough keys were opened for the check to mean something.
    CHECK(opened > 100000);
}
