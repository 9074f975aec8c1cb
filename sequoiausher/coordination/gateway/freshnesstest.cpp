#include "sequoiausher/coordination/gateway/freshness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <vector>

using namespace Sequoiausher;

TEST_CASE("the age of a proof counts from the start of its call")
{
    Freshness freshness;
    CHECK(freshness.age(3, Millis{500}) == Millis::never());
    freshness.recordProof(3, Millis{1000});
    CHECK(freshness.age(3, Millis{1400}) == Millis{400});
    freshness.recordProof(3, Millis{900});
    CHECK(freshness.age(3, Millis{1400}) == Millis{400});
}

// Guards against gateways that refuse keyed requests for some 40 ms several times a second during a rapid series of
// changes, and so fall out of rotation. This happens if the recent proof of the version in force is discarded when a
// peer proves a version that has not arrived yet. The older proof stays valid: that version was the newest at that
// moment.
TEST_CASE("a proof of a newer version neither removes nor renews the proof of an older one")
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

// Guards against gateways that all refuse keyed requests for some 40 ms after each version of a rapid series: 226
// refusals in three seconds, while other gateways were being killed. A version arrives from a peer or a watch, and its
// own proof needs a further read of the store or a further report of a peer. The refusals happen if only proofs of
// exactly the version in force count.
TEST_CASE("a proof of an older version holds for a newer one")
{
    Freshness freshness;
    freshness.recordProof(3, Millis{1000});
    CHECK(freshness.age(4, Millis{1400}) == Millis{400});
    freshness.recordProof(4, Millis{900});
    CHECK(freshness.age(4, Millis{1400}) == Millis{400});
    CHECK(freshness.age(3, Millis{1400}) == Millis{400});
    CHECK_FALSE(freshness.isBehind(4));
    // The proof also holds after more versions than are tracked.
    for (Revision version = 5; version < 100; ++version) {
        freshness.recordProof(version, Millis{500});
    }
    CHECK(freshness.age(99, Millis{1400}) == Millis{400});
}

namespace {

constexpr Millis maxAge{5000};

/** One published version with its time and keys. Only the check knows all of them; the gateways do not. */
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

    /** Since when a key of version has been revoked without being restored; never() where it is not revoked. */
    Millis revokedSince(Revision version, int key, Millis now) const
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

/** A gateway reduced to what matters to Freshness: the version in force and the reports of its peers. */
struct NaiveGateway
{
    Freshness freshness;
    Published held;
    /** Time of each peer's newest report by the clock of that peer; the clocks differ by their offsets. */
    std::array<Millis, 3> echoes{};
    Millis clockOffset;
};

/** A message in flight: an answer of the store or a report of a peer. */
struct InFlightMessage
{
    Millis arrives;
    std::size_t to = 0;
    /** An answer of the store; otherwise a report of a peer. */
    bool isAnswer = false;
    Published held;
    Millis startedAt;
    Millis proofAge;
    Millis echo;
    std::size_t from = 0;
    Millis sentAt;
};

/** Simulates gateways, a store and the messages between them from one seed. */
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

    /** Counts keys that a gateway still accepts by its age() although they were revoked longer ago than that age. */
    std::size_t countWronglyAccepted(Millis now)
    {
        std::size_t wrong = 0;
        for (const NaiveGateway &gateway : this->gateways) {
            const Millis age = gateway.freshness.age(gateway.held.version, now + gateway.clockOffset);
            if (age == Millis::never() || age > maxAge) {
                continue;
            }
            for (const int key : gateway.held.keys) {
                const Millis gone = this->store.revokedSince(gateway.held.version, key, now);
                this->accepted += 1;
                wrong += gone != Millis::never() && now - gone > age ? 1 : 0;
            }
        }
        return wrong;
    }

    std::size_t accepted = 0;

private:
    bool oneIn(std::uint32_t many)
    {
        return this->random() % many == 0;
    }

    Millis upTo(std::int64_t most)
    {
        return Millis{static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(most + 1))};
    }

    /** One message in eight is delayed by up to six seconds. */
    Millis delay(std::int64_t usual)
    {
        return this->oneIn(8) ? this->upTo(6000) : this->upTo(usual);
    }

    void act(std::size_t index, Millis now)
    {
        NaiveGateway &gateway = this->gateways.at(index);
        const Millis clock = now + gateway.clockOffset;
        if (this->oneIn(30)) {
            // The store answers with what it has now; the call started earlier.
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
            const InFlightMessage message = this->underway.at(i);
            if (message.arrives > now) {
                ++i;
                continue;
            }
            this->underway.erase(this->underway.begin() + static_cast<std::ptrdiff_t>(i));
            this->take(message);
        }
    }

    void take(const InFlightMessage &message)
    {
        NaiveGateway &to = this->gateways.at(message.to);
        // Links are bound to one process: a message for a gateway that has restarted since never arrives.
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
        // A peer reports the number of its version first; the version itself may be lost.
        const bool comesAlong = message.isAnswer || this->oneIn(3);
        if (comesAlong && message.held.version > to.held.version) {
            to.held = message.held;
        }
    }

    std::mt19937 random;
    NaiveStore store;
    std::uint32_t publishOneIn;
    std::array<NaiveGateway, 3> gateways;
    std::vector<InFlightMessage> underway;
};

} // namespace

// Guards against a revoked key that is still accepted after the bounded time. Keys are revoked and restored in a rapid
// series of versions, answers of the store arrive late and out of order, gateways receive versions and proofs from each
// other with delays of seconds, and they restart and have different clocks. The check compares with everything that was
// published: no gateway that relies on age() accepts a key that was revoked longer ago than that age.
TEST_CASE("no schedule of proofs lets a gateway accept a key that was revoked too long ago")
{
    std::size_t accepted = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        Schedule schedule(seed);
        for (Millis now{1}; now < Millis{15000}; now = now + Millis{20}) {
            CAPTURE(now.count);
            schedule.step(now);
            REQUIRE(schedule.countWronglyAccepted(now) == 0);
        }
        accepted += schedule.accepted;
    }
    // Enough keys were accepted for the check to be meaningful.
    CHECK(accepted > 100000);
}
