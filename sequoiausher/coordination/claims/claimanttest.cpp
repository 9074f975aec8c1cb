#include "sequoiausher/coordination/claims/claimant.h"

#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const ClaimKey key{7, 7};
const RequestId mine{0, 5};
const RequestId smaller{0, 1};
const RequestId larger{0, 9};
const Millis start{1000};

/** A claimant whose five witnesses answer by hand. */
struct Fixture
{
    Fixture() : claimant(InstanceId{"r1"}, ClaimParameters{})
    {
        this->claimant.setInstances(makeInstanceList({{"r1"}, {"r2"}, {"r3"}, {"r4"}, {"r5"}}));
        this->claimant.begin(start, Claim{key, mine, 1}, this->outbox);
        for (const Outgoing &out : this->outbox) {
            this->witnesses.push_back(out.to);
        }
    }

    void
    vote(std::size_t witness, ClaimVerdict verdict, Millis at, const RequestId &heldBy = {}, std::uint32_t round = 1)
    {
        ClaimVote vote{key, mine, round, verdict, InstanceId{"other"}, heldBy, Millis{5000}};
        this->outbox.clear();
        this->claimant.receive(at, this->witnesses.at(witness), vote, this->outbox);
    }

    void grant(std::size_t count, Millis at)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->vote(i, ClaimVerdict::Granted, at);
        }
    }

    void tick(Millis at)
    {
        this->outbox.clear();
        this->claimant.tick(at, this->outbox);
    }

    template<typename Message>
    std::size_t sent() const
    {
        std::size_t count = 0;
        for (const Outgoing &out : this->outbox) {
            count += std::holds_alternative<Message>(out.message) ? 1 : 0;
        }
        return count;
    }

    ClaimOutcome only()
    {
        const std::vector<ClaimOutcome> outcomes = this->claimant.takeOutcomes();
        REQUIRE(outcomes.size() == 1);
        return outcomes.front();
    }

    Claimant claimant;
    Outbox outbox;
    std::vector<InstanceId> witnesses;
};

} // namespace

TEST_CASE("four of five grants acquire, and allow one dispatch")
{
    Fixture f;
    CHECK(f.witnesses.size() == 5);
    f.grant(3, start + Millis{2});
    CHECK(f.claimant.takeOutcomes().empty());
    f.vote(3, ClaimVerdict::Granted, start + Millis{3});
    const ClaimOutcome outcome = f.only();
    CHECK(outcome.kind == ClaimOutcomeKind::Acquired);
    CHECK(outcome.dispatchBy == start + ClaimParameters{}.dispatchWindow);
    CHECK(f.claimant.isRunning(key));
    CHECK(f.claimant.mayDispatch(mine, start + Millis{4}));
    CHECK_FALSE(f.claimant.mayDispatch(mine, start + Millis{4}));
    f.claimant.finishAttempt(mine);
    CHECK_FALSE(f.claimant.isRunning(key));
    CHECK(f.claimant.size() == 0);
}

// Symptom: two runs, minutes apart. Events: the process pauses between the quorum and the dispatch. Cause: it still
// acts on votes that the witnesses may have forgotten.
TEST_CASE("a process that paused does not dispatch")
{
    const Millis late = start + ClaimParameters{}.dispatchWindow;
    SUBCASE("after the quorum")
    {
        Fixture f;
        f.grant(4, start + Millis{2});
        CHECK(f.claimant.isKeyUnrun(mine, late - Millis{1}));
        CHECK_FALSE(f.claimant.isKeyUnrun(mine, late));
        CHECK_FALSE(f.claimant.mayDispatch(mine, late));
        f.tick(late);
        CHECK(f.sent<ClaimWithdraw>() == 5);
        CHECK_FALSE(f.claimant.isRunning(key));
    }
    SUBCASE("before the votes are read")
    {
        Fixture f;
        f.grant(3, start + Millis{2});
        f.vote(3, ClaimVerdict::Granted, late);
        CHECK(f.only().kind == ClaimOutcomeKind::NoQuorum);
        CHECK(f.sent<ClaimWithdraw>() == 5);
        CHECK_FALSE(f.claimant.mayDispatch(mine, late));
    }
}

TEST_CASE("who holds the key at a quorum is named at once")
{
    Fixture f;
    for (std::size_t i = 0; i < 4; ++i) {
        f.vote(i, ClaimVerdict::Held, start + Millis{2}, larger);
    }
    const ClaimOutcome outcome = f.only();
    CHECK(outcome.kind == ClaimOutcomeKind::HeldBy);
    CHECK(outcome.heldBy == larger);
    CHECK(outcome.holder == InstanceId{"other"});
}

// Symptom: after a rolling update a retry hears 'unknown', though the key's answer is kept.
// Events: one of a key's witnesses grants a second attempt, or, having just started, withholds its vote but remembers
// it. The others name the first attempt, which the second one follows. Once these were replaced, witnesses that learnt
// from that one name the second attempt as holder. Cause: it did not withdraw, since the first one has a quorum.
TEST_CASE("an attempt that follows another withdraws where a witness has recorded it")
{
    Fixture f;
    SUBCASE("granted before the others named the holder")
    {
        f.vote(4, ClaimVerdict::Granted, start + Millis{1});
        for (std::size_t i = 0; i < 4; ++i) {
            f.vote(i, ClaimVerdict::Held, start + Millis{2}, smaller);
        }
    }
    SUBCASE("withheld before that")
    {
        f.vote(4, ClaimVerdict::Abstains, start + Millis{1});
        for (std::size_t i = 0; i < 4; ++i) {
            f.vote(i, ClaimVerdict::Held, start + Millis{2}, smaller);
        }
    }
    SUBCASE("withheld after that")
    {
        for (std::size_t i = 0; i < 4; ++i) {
            f.vote(i, ClaimVerdict::Held, start + Millis{2}, smaller);
        }
        CHECK(f.sent<ClaimWithdraw>() == 0);
        f.vote(4, ClaimVerdict::Abstains, start + Millis{3});
    }
    CHECK(f.outbox == Outbox{Outgoing{f.witnesses.at(4), ClaimWithdraw{key, mine, 1}}});
    CHECK(f.only().kind == ClaimOutcomeKind::HeldBy);
}

TEST_CASE("a key used for another body is refused as such")
{
    Fixture f;
    for (std::size_t i = 0; i < 4; ++i) {
        f.vote(i, ClaimVerdict::BodyDiffers, start + Millis{2}, larger);
    }
    CHECK(f.only().kind == ClaimOutcomeKind::BodyDiffers);
}

// Symptom: a client waits for a second and is then refused, though nothing could have changed. Cause: the claimant
// waits for votes that cannot make a quorum.
TEST_CASE("two abstentions refuse at once, with the time to come back")
{
    Fixture f;
    f.vote(0, ClaimVerdict::Abstains, start + Millis{2});
    f.vote(1, ClaimVerdict::Abstains, start + Millis{2});
    CHECK(f.claimant.takeOutcomes().empty() == false);
    CHECK(f.sent<ClaimWithdraw>() == 5);
}

TEST_CASE("silence ends in a refusal after the claim's time")
{
    Fixture f;
    f.grant(3, start + Millis{2});
    f.tick(start + Millis{150});
    CHECK(f.sent<ClaimRequest>() == 2);
    f.tick(start + ClaimParameters{}.claimTimeout);
    const ClaimOutcome outcome = f.only();
    CHECK(outcome.kind == ClaimOutcomeKind::NoQuorum);
    CHECK_FALSE(f.claimant.isKeyUnrun(mine, start));
    CHECK(outcome.retryAfter > Millis{0});
}

// Symptom: both calls of a client wait until they time out. Events: two attempts reach two and three witnesses.
// Cause: neither gives way.
TEST_CASE("the larger of two attempts gives way, the smaller asks again")
{
    Fixture f;
    f.grant(2, start + Millis{2});
    SUBCASE("larger")
    {
        f.vote(2, ClaimVerdict::Held, start + Millis{2}, smaller);
        f.vote(3, ClaimVerdict::Held, start + Millis{2}, smaller);
        CHECK(f.sent<ClaimWithdraw>() == 3); // Two that granted and one that may.
        f.tick(f.claimant.nextDeadline());
        CHECK(f.sent<ClaimRequest>() == 5);
    }
    SUBCASE("smaller")
    {
        for (std::size_t i = 2; i < 5; ++i) {
            f.vote(i, ClaimVerdict::Held, start + Millis{2}, larger);
        }
        CHECK(f.sent<ClaimWithdraw>() == 0);
        f.tick(f.claimant.nextDeadline());
        CHECK(f.sent<ClaimRequest>() == 3);
        f.vote(2, ClaimVerdict::Granted, start + Millis{60});
        f.vote(3, ClaimVerdict::Granted, start + Millis{60});
        CHECK(f.only().kind == ClaimOutcomeKind::Acquired);
    }
}

// Symptom: a key that nobody runs stays blocked. Events: the withdrawal is lost on its way to one witness. Cause: it
// is not acknowledged.
TEST_CASE("a lost withdrawal is repeated, and answers every late grant")
{
    Fixture f;
    f.grant(4, start + Millis{2});
    f.outbox.clear();
    f.claimant.withdraw(start + Millis{3}, mine, f.outbox);
    CHECK(f.sent<ClaimWithdraw>() == 5);
    CHECK_FALSE(f.claimant.mayDispatch(mine, start + Millis{4}));
    f.vote(4, ClaimVerdict::Granted, start + Millis{10});
    CHECK(f.sent<ClaimWithdraw>() == 1);
    f.tick(f.claimant.nextDeadline());
    CHECK(f.sent<ClaimWithdraw>() == 5);
    CHECK(f.claimant.repeatWithdrawal(start + Millis{200}, mine, f.outbox));
    while (f.claimant.nextDeadline() != Millis::never()) {
        f.tick(f.claimant.nextDeadline());
    }
    CHECK(f.claimant.size() == 0);
}

TEST_CASE("a running claim is renewed at the witnesses of the present list")
{
    Fixture f;
    f.grant(4, start + Millis{2});
    CHECK(f.claimant.mayDispatch(mine, start + Millis{3}));
    f.claimant.setInstances(makeInstanceList({{"a"}, {"b"}, {"c"}, {"d"}, {"e"}}));
    f.tick(f.claimant.nextDeadline());
    REQUIRE(f.sent<ClaimRequest>() == 5);
    CHECK(f.outbox.front().to.value.size() == 1);
}

TEST_CASE("an attempt that found the key held begins again in a later round")
{
    // Symptom: a retry runs, and its claim is gone. Sequence: its first round ended as held by another, which then
    // said that it had not run; the retry claims anew, and the withdrawal of its first round arrives after that.
    // Cause: a withdrawal that does not say of which round it is.
    Fixture fixture;
    for (std::size_t i = 0; i < 4; ++i) {
        fixture.vote(i, ClaimVerdict::Held, start, smaller);
    }
    CHECK(fixture.only().kind == ClaimOutcomeKind::HeldBy);
    fixture.outbox.clear();
    fixture.claimant.begin(start + Millis{10}, Claim{key, mine, 1}, fixture.outbox);
    REQUIRE(fixture.sent<ClaimRequest>() == 5);
    CHECK(std::get<ClaimRequest>(fixture.outbox.front().message).round == 2);
    for (std::size_t i = 0; i < 4; ++i) {
        fixture.vote(i, ClaimVerdict::Granted, start + Millis{20}, {}, 2);
    }
    CHECK(fixture.only().kind == ClaimOutcomeKind::Acquired);
    CHECK(fixture.claimant.mayDispatch(mine, start + Millis{30}));
}

TEST_CASE("an attempt begins once")
{
    Fixture f;
    CHECK_THROWS_AS(f.claimant.begin(start, Claim{key, mine, 1}, f.outbox), Error);
}

TEST_CASE("an attempt that never reached its target may go to another, under the same deadline")
{
    // Symptom: a keyed call is refused although other targets are free. Sequence: the first target refuses the
    // connection; the entry asks whether it may dispatch again. Cause: one dispatch was taken for the only one, though
    // nothing had been sent. A pause in between must still stop it: the witnesses may have forgotten.
    Fixture f;
    f.grant(4, start + Millis{2});
    CHECK_FALSE(f.claimant.mayRedispatch(mine, start + Millis{3}));
    CHECK(f.claimant.mayDispatch(mine, start + Millis{4}));
    CHECK(f.claimant.mayRedispatch(mine, start + Millis{5}));
    CHECK_FALSE(f.claimant.mayRedispatch(mine, start + ClaimParameters{}.dispatchWindow));
}
