#include "sequoiausher/coordination/admission/shardowner.h"

#include "sequoiausher/base/hashing.h"

#include <doctest/doctest.h>

#include <utility>

using namespace Sequoiausher;

namespace {

const PoolId pool{"plates"};
const InstanceId entry{"r1"};
const InstanceId other{"r2"};

TargetView targetOf(const std::string &name, LifeState state = LifeState::Live, std::optional<std::uint32_t> cap = {})
{
    return {{TargetId{name}, "", DataCentreId{}, {1, state}, cap}, hash64(name)};
}

struct OwnerFixture
{
    ShardOwner owner{{pool, 0}, OwnerSettings{}, 1, Millis{0}};
    std::uint64_t lastRequest = 0;
    std::uint64_t chat = 7;

    OwnerFixture()
    {
        this->owner.setTargets(Millis{0}, {targetOf("a"), targetOf("b")});
        this->owner.setEntries({entry, other});
        this->owner.receive(Millis{0}, entry, HoldingsReport{pool, 0, 1, {}});
        this->owner.receive(Millis{0}, other, HoldingsReport{pool, 0, 1, {}});
    }

    std::optional<ReserveReply> ask(Millis now, std::uint64_t request, std::vector<TargetId> excluded = {})
    {
        Outbox outbox;
        const ReserveRequest message{
            RequestId{0, request}, pool, 0, this->chat, PolicyKind::BoundedRendezvous, 125, std::move(excluded)};
        this->owner.receive(now, entry, message, outbox);
        return outbox.empty() ? std::nullopt : std::optional(std::get<ReserveReply>(outbox.front().message));
    }

    TargetId grant(Millis now)
    {
        return this->ask(now, ++this->lastRequest).value().target;
    }

    std::uint32_t total() const
    {
        return this->owner.counted(TargetId{"a"}) + this->owner.counted(TargetId{"b"});
    }
};

} // namespace

// Guards against urgent requests that wait at one router while other routers send background work: in a full pool, an
// owner that ignores classes gives each freed place to the next request that arrives.
TEST_CASE_FIXTURE(OwnerFixture, "the last places of a target are kept for the more important classes")
{
    constexpr std::uint32_t capacity = 16;
    this->owner.setTargets(Millis{0}, {targetOf("a", LifeState::Live, capacity)});
    const auto granted = [&](RequestClass requestClass) {
        std::uint32_t count = 0;
        for (;;) {
            Outbox outbox;
            ReserveRequest message{RequestId{1, ++this->lastRequest}, pool, 0, 7, PolicyKind::LeastLoaded, 125, {}};
            message.requestClass = requestClass;
            this->owner.receive(Millis{1}, entry, message, outbox);
            if (std::get<ReserveReply>(outbox.front().message).verdict != ReserveVerdict::Granted) {
                return count;
            }
            count += 1;
        }
    };
    CHECK(granted(RequestClass::Background) == 13);
    CHECK(granted(RequestClass::Interactive) == 2);
    CHECK(granted(RequestClass::Urgent) == 1);
    // A target with few places keeps none, otherwise less important classes would never get a place.
    CHECK(ShardOwner::keptPlaces(RequestClass::Background, 1) == 0);
}

TEST_CASE("new chats of one prefix go to the same target while it has headroom")
{
    ShardOwner owner({pool, 0}, OwnerSettings{}, 1, Millis{0});
    std::vector<TargetView> targets;
    for (int i = 0; i < 8; ++i) {
        targets.push_back(targetOf("t" + std::to_string(i)));
    }
    owner.setTargets(Millis{0}, targets);
    const auto grant = [&owner](std::uint64_t chat, std::uint64_t prefix) {
        Outbox outbox;
        ReserveRequest message{RequestId{0, chat}, pool, 0, hash64(std::to_string(chat))};
        message.policy = PolicyKind::PrefixRendezvous;
        message.prefixHash = prefix;
        owner.receive(Millis{1}, entry, message, outbox);
        owner.receive(Millis{1}, entry, Release{message.request, pool, 0});
        return std::get<ReserveReply>(outbox.front().message).target;
    };
    const TargetId first = grant(1, 9);
    for (std::uint64_t chat = 2; chat < 30; ++chat) {
        CHECK(grant(chat, 9) == first);
    }
    bool anotherIsUsed = false;
    for (std::uint64_t prefix = 10; prefix < 20; ++prefix) {
        anotherIsUsed = anotherIsUsed || grant(prefix * 100, prefix) != first;
    }
    CHECK(anotherIsUsed);
}

TEST_CASE_FIXTURE(OwnerFixture, "a repeated reservation gets the same target and counts once")
{
    const auto first = this->ask(Millis{1}, 5);
    CHECK(this->ask(Millis{2}, 5) == first);
    CHECK(this->total() == 1);
    this->owner.receive(Millis{3}, entry, Release{RequestId{0, 5}, pool, 0});
    this->owner.receive(Millis{3}, entry, Release{RequestId{0, 5}, pool, 0});
    CHECK(this->total() == 0);
}

TEST_CASE_FIXTURE(OwnerFixture, "a release that overtakes its reservation leaves nothing counted")
{
    // Guards against a target that counts one reservation too many for ever: the entry gives up on a slow answer, its
    // release arrives over a new connection before the reservation, and the reservation is then granted to nobody.
    this->owner.receive(Millis{1}, entry, Release{RequestId{0, 5}, pool, 0});
    CHECK_FALSE(this->ask(Millis{2}, 5).has_value());
    CHECK(this->owner.holdings() == 0);
}

TEST_CASE_FIXTURE(OwnerFixture, "leaving, full and excluded targets get nothing")
{
    this->owner.setTargets(Millis{1}, {targetOf("a", LifeState::Leaving), targetOf("b", LifeState::Live, 2)});
    CHECK(this->grant(Millis{1}) == TargetId{"b"});
    CHECK(this->ask(Millis{1}, 50, {TargetId{"b"}})->verdict == ReserveVerdict::NoTarget);
    CHECK(this->grant(Millis{1}) == TargetId{"b"});
    const auto full = this->ask(Millis{1}, 51);
    CHECK(full->verdict == ReserveVerdict::Full);
    CHECK(full->retryAfter > Millis{0});
    CHECK(this->owner.sum(Millis{1}) == ShardSum{pool, 0, 2, 1});
}

TEST_CASE_FIXTURE(OwnerFixture, "a report replaces the counted reservations except grants younger than reportGrace")
{
    this->grant(Millis{0});
    this->grant(Millis{0});
    this->owner.receive(Millis{5000}, entry, HoldingsReport{pool, 0, 2, {{RequestId{0, 1}, TargetId{"a"}}}});
    CHECK(this->owner.holdings() == 1);
    this->grant(Millis{6000});
    // This report was sent before the grant reached the entry.
    this->owner.receive(Millis{6001}, entry, HoldingsReport{pool, 0, 3, {{RequestId{0, 1}, TargetId{"a"}}}});
    CHECK(this->owner.holdings() == 2);
    // An older report that arrives late.
    this->owner.receive(Millis{9999}, entry, HoldingsReport{pool, 0, 2, {}});
    CHECK(this->owner.holdings() == 2);
}

TEST_CASE_FIXTURE(OwnerFixture, "reservations of a dead entry are dropped, but the target's report counts for a while")
{
    // Guards against an engine that still runs a dead router's streams and gets as many requests again: the count falls
    // at once, but the engine notices its broken connections later.
    for (int i = 0; i < 10; ++i) {
        this->grant(Millis{0});
    }
    this->owner.reportLoad(TargetId{"a"}, this->owner.counted(TargetId{"a"}), Millis{100});
    const std::uint32_t reported = this->owner.counted(TargetId{"a"});
    this->owner.dropEntry(entry);
    CHECK(this->owner.holdings() == 0);
    CHECK(this->owner.sum(Millis{200}).inFlight == reported);
    CHECK(this->grant(Millis{200}) == TargetId{"b"});
    CHECK(this->owner.sum(Millis{20000}).inFlight == 1);
}

TEST_CASE_FIXTURE(OwnerFixture, "an entry that sends no messages is dropped, an entry that reports is kept")
{
    this->grant(Millis{0});
    this->owner.receive(Millis{10000}, entry, HoldingsReport{pool, 0, 2, {{RequestId{0, 1}, TargetId{"a"}}}});
    this->owner.tick(Millis{20000});
    CHECK(this->owner.holdings() == 1);
    this->owner.tick(Millis{25000});
    CHECK(this->owner.holdings() == 0);
}

TEST_CASE_FIXTURE(OwnerFixture, "reported load that was not reserved here counts: another router owns the shard too")
{
    // Guards against both sides of a partition filling the same engine to the bound, as each side's owner counts only
    // its own reservations.
    this->owner.reportLoad(TargetId{"a"}, 6, Millis{19900});
    CHECK(this->owner.sum(Millis{20000}).inFlight == 6);
    // 7 is within ceil(1.25 * total / 2) from a total of 10 on.
    for (int i = 0; i < 4; ++i) {
        CHECK(this->grant(Millis{20000}) == TargetId{"b"});
    }
    CHECK(this->owner.counted(TargetId{"a"}) == 0);
    this->chat = 8;
    while (rendezvousWeight(hash64("a"), this->chat) < rendezvousWeight(hash64("b"), this->chat)) {
        ++this->chat;
    }
    CHECK(this->grant(Millis{20000}) == TargetId{"a"});
}

TEST_CASE("a new owner counts reported loads until every entry has reported")
{
    ShardOwner owner{{pool, 0}, OwnerSettings{}, 1, Millis{0}};
    owner.setTargets(Millis{0}, {targetOf("a")});
    owner.setEntries({entry, other});
    owner.reportLoad(TargetId{"a"}, 8, Millis{5});
    owner.receive(Millis{11}, entry, HoldingsReport{pool, 0, 1, {{RequestId{0, 1}, TargetId{"a"}}}});
    CHECK_FALSE(owner.isSettled(Millis{11}));
    CHECK(owner.sum(Millis{11}).inFlight == 8);
    SUBCASE("all entries have reported")
    {
        owner.receive(Millis{12}, other, HoldingsReport{pool, 0, 1, {}});
        CHECK(owner.isSettled(Millis{12}));
    }
    SUBCASE("the last entry without a report left the list")
    {
        owner.setEntries({entry});
        CHECK(owner.isSettled(Millis{12}));
    }
    SUBCASE("settleTime is over")
    {
        CHECK(owner.isSettled(Millis{10000}));
    }
}

TEST_CASE_FIXTURE(OwnerFixture, "low reports do not make a pool full")
{
    // Guards against a queue that stands still for a second in a burst although every target has room: the owner counts
    // requests that had not reached their targets when these measured their load. With a bound by the reported totals
    // alone, no target is below the bound, and the owner answers that the pool is full.
    for (int i = 0; i < 10; ++i) {
        this->grant(Millis{10});
    }
    this->owner.reportLoad(TargetId{"a"}, 0, Millis{11});
    this->owner.reportLoad(TargetId{"b"}, 0, Millis{11});
    CHECK(this->ask(Millis{12}, 50).value().verdict == ReserveVerdict::Granted);
    CHECK(this->owner.counted(TargetId{"a"}) <= 6);
    CHECK(this->owner.counted(TargetId{"b"}) <= 6);
}

TEST_CASE_FIXTURE(OwnerFixture, "reservations of an entry whose connection broke are left out of the mean for a while")
{
    // Guards against the highest load over the mean in the second after a router's death: its streams end together, but
    // the targets' reports lag, so the bound would use an outdated mean.
    HoldingsReport report{pool, 0, 2, {}};
    for (std::uint64_t i = 0; i < 20; ++i) {
        report.holdings.push_back(Holding{RequestId{9, i}, TargetId{i % 2 == 0 ? "a" : "b"}});
    }
    this->owner.receive(Millis{1}, other, report);
    const Millis suspectedAt{10};
    this->owner.suspectEntry(suspectedAt, other);
    // By the smaller mean, the first target has room for one more request; the next request goes to the other target.
    const TargetId first = this->grant(suspectedAt);
    const TargetId second = this->grant(suspectedAt);
    CHECK(second != first);
    CHECK(this->total() == 22);
    SUBCASE("while the entry is suspected")
    {
        CHECK(this->grant(Millis{21}) == second);
        CHECK(this->grant(Millis{22}) == first);
    }
    SUBCASE("until the entry sends a message")
    {
        report.sequence = 3;
        this->owner.receive(Millis{20}, other, report);
        // The chat stays on its last target.
        CHECK(this->grant(Millis{21}) == second);
        CHECK(this->grant(Millis{22}) == second);
    }
    SUBCASE("until suspicionTime is over")
    {
        const Millis end = suspectedAt + OwnerSettings{}.suspicionTime;
        CHECK(this->grant(end) == second);
        CHECK(this->grant(end) == second);
    }
}

namespace {

/** An owner of one target with 16 places, where reservations without room wait for 100 ms. */
struct WaitingFixture
{
    static constexpr std::uint32_t places = 16;

    ShardOwner owner{{pool, 0}, OwnerSettings{.maxWaitTime = Millis{100}}, 1, Millis{0}};
    Outbox outbox;
    std::uint64_t lastRequest = 0;

    WaitingFixture()
    {
        this->owner.setTargets(Millis{0}, {targetOf("a", LifeState::Live, places)});
        this->owner.setEntries({});
    }

    RequestId ask(Millis now, RequestClass requestClass, std::uint16_t organisation, const InstanceId &from = entry)
    {
        ReserveRequest message{RequestId{0, ++this->lastRequest}, pool, 0, 7, PolicyKind::LeastLoaded, 125, {}};
        message.requestClass = requestClass;
        message.organisation = organisation;
        this->owner.receive(now, from, message, this->outbox);
        return message.request;
    }

    /** The answers since the last call. */
    std::vector<ReserveReply> answers()
    {
        std::vector<ReserveReply> replies;
        for (const Outgoing &out : std::exchange(this->outbox, {})) {
            replies.push_back(std::get<ReserveReply>(out.message));
        }
        return replies;
    }

    void releaseAndServe(Millis now, std::uint64_t request)
    {
        this->owner.receive(now, entry, Release{RequestId{0, request}, pool, 0});
        this->owner.serveWaiting(now, this->outbox);
    }

    /** Takes all places with urgent requests, each of another organisation; requests 1 to 16. */
    void fill()
    {
        for (std::uint16_t i = 0; i < places; ++i) {
            this->ask(Millis{1}, RequestClass::Urgent, static_cast<std::uint16_t>(100 + i));
        }
        CHECK(this->answers().size() == places);
    }
};

} // namespace

// Guards against an urgent request that waits while other requests get the freed places: the pool is full, seven
// routers ask again every 50 ms, and each freed place goes to the next request that arrives.
TEST_CASE_FIXTURE(WaitingFixture, "a freed place goes to the most important waiting reservation")
{
    this->fill();
    const RequestId interactive = this->ask(Millis{2}, RequestClass::Interactive, 1);
    const RequestId urgent = this->ask(Millis{3}, RequestClass::Urgent, 1);
    CHECK(this->answers().empty());
    CHECK(this->owner.waiting() == 2);
    this->releaseAndServe(Millis{10}, 1);
    std::vector<ReserveReply> answered = this->answers();
    REQUIRE(answered.size() == 1);
    CHECK(answered.front().request == urgent);
    CHECK(answered.front().verdict == ReserveVerdict::Granted);
    CHECK(this->owner.counted(TargetId{"a"}) == places);
    this->releaseAndServe(Millis{11}, 2);
    this->releaseAndServe(Millis{12}, 3);
    answered = this->answers();
    REQUIRE(answered.size() == 1);
    CHECK(answered.front().request == interactive);
}

TEST_CASE_FIXTURE(WaitingFixture, "a reservation that gets no place in time is refused once and may be retried at once")
{
    this->fill();
    const RequestId late = this->ask(Millis{2}, RequestClass::Urgent, 1);
    this->owner.serveWaiting(Millis{101}, this->outbox);
    CHECK(this->answers().empty());
    this->owner.serveWaiting(Millis{102}, this->outbox);
    const std::vector<ReserveReply> answered = this->answers();
    REQUIRE(answered.size() == 1);
    CHECK(answered.front() == ReserveReply{late, ReserveVerdict::Full, {}, Millis{1}});
    this->releaseAndServe(Millis{103}, 1);
    CHECK(this->answers().empty());
    CHECK(this->owner.counted(TargetId{"a"}) == places - 1);
}

// Guards against a counted place that nobody holds: a router gives up, or dies, while its reservation waits, and the
// reservation stays in the list and gets the next free place.
TEST_CASE_FIXTURE(WaitingFixture, "nothing is granted to a reservation that was given up or to a dead router")
{
    this->fill();
    const RequestId first = this->ask(Millis{2}, RequestClass::Urgent, 1);
    this->ask(Millis{2}, RequestClass::Urgent, 1, other);
    this->owner.receive(Millis{3}, entry, Release{first, pool, 0});
    this->owner.dropEntry(other);
    this->releaseAndServe(Millis{4}, 1);
    CHECK(this->answers().empty());
    CHECK(this->owner.waiting() == 0);
    CHECK(this->owner.counted(TargetId{"a"}) == places - 1);
}

TEST_CASE_FIXTURE(WaitingFixture, "a request that is repeated while it waits is answered once")
{
    this->fill();
    this->ask(Millis{2}, RequestClass::Urgent, 1);
    this->lastRequest -= 1;
    this->ask(Millis{3}, RequestClass::Urgent, 1);
    CHECK(this->owner.waiting() == 1);
    this->releaseAndServe(Millis{4}, 1);
    CHECK(this->answers().size() == 1);
}

// Guards against nine organisations that wait because of a tenth, although each router's queue is fair: the tenth sends
// ten times its rate through all routers and holds nearly all places of an owner that ignores organisations.
TEST_CASE_FIXTURE(WaitingFixture, "an organisation far above its share leaves the last places to the others")
{
    for (std::uint16_t organisation = 2; organisation <= 5; ++organisation) {
        this->ask(Millis{1}, RequestClass::Interactive, organisation);
    }
    for (int i = 0; i < 20; ++i) {
        this->ask(Millis{1}, RequestClass::Interactive, 1);
    }
    CHECK(this->owner.counted(TargetId{"a"}) == 13);
    for (std::uint16_t organisation = 2; organisation <= 5; ++organisation) {
        this->ask(Millis{1}, RequestClass::Interactive, organisation);
    }
    CHECK(this->owner.counted(TargetId{"a"}) == places);
    // From interactive requests of an organisation that is alone, or of none, only one place is kept.
    CHECK(ShardOwner::keptPlaces(RequestClass::Interactive, places) == 1);
}

TEST_CASE_FIXTURE(WaitingFixture, "an organisation alone in a shard is limited by its class only")
{
    for (int i = 0; i < 20; ++i) {
        this->ask(Millis{1}, RequestClass::Interactive, 1);
    }
    CHECK(this->owner.counted(TargetId{"a"}) == 15);
}
