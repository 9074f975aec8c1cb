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

/** A claimant with five witnesses, whose votes the test supplies. */
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

TEST_CASE("four of five grants acquire the key and allow one dispatch")
{
    Fixture f;
    CHECK(f.witnesses.size() == 5);
    f.grant(3, start + Millis{2});
    CHECK(f.claimant.takeOutcomes().empty());
    f.vote(3, ClaimVerdict::Granted, start + Millis{3});
    const ClaimOutcome outcome = f.only();
    CHECK(outcome.kind == ClaimOutcomeKind::Acquired);
    CHECK(outcome.dispatchBy == start + ClaimParameters{}.dispatchWindow);
    CHECK(f.claimant.hasActiveAttempt(key));
    CHECK(f.claimant.mayDispatch(mine, start + Millis{4}));
    CHECK_FALSE(f.claimant.mayDispatch(mine, start + Millis{4}));
    f.claimant.finishAttempt(mine);
    CHECK_FALSE(f.claimant.hasActiveAttempt(key));
    CHECK(f.claimant.size() == 0);
}

// Guards against two runs of a key, minutes apart: a process that was paused between the quorum and the dispatch uses
// votes that the witnesses may have forgotten.
TEST_CASE("a process that was paused beyond the dispatch window does not dispatch")
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
        CHECK_FALSE(f.claimant.hasActiveAttempt(key));
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

TEST_CASE("an attempt that holds the key at a quorum is reported at once")
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

// Guards against a retry that is answered with 'unknown' after a rolling update, although the key's answer is kept. One
// witness of the key grants a second attempt, or, since it has just started, abstains but records it. The other
// witnesses name the first attempt, which therefore has a quorum, so that the second attempt attaches to it without a
// withdrawal. Once these other witnesses have been replaced, the new ones that pulled claims from that one witness name
// the second attempt as the holder.
TEST_CASE("an attempt that finds the key held withdraws from the witness that has recorded it")
{
    Fixture f;
    SUBCASE("granted before the others named the holder")
    {
        f.vote(4, ClaimVerdict::Granted, start + Millis{1});
        for (std::size_t i = 0; i < 4; ++i) {
            f.vote(i, ClaimVerdict::Held, start + Millis{2}, smaller);
        }
    }
    SUBCASE("abstained before that")
    {
        f.vote(4, ClaimVerdict::Abstains, start + Millis{1});
        for (std::size_t i = 0; i < 4; ++i) {
            f.vote(i, ClaimVerdict::Held, start + Millis{2}, smaller);
        }
    }
    SUBCASE("abstained after that")
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

TEST_CASE("a key that was used for another body ends as BodyDiffers")
{
    Fixture f;
    for (std::size_t i = 0; i < 4; ++i) {
        f.vote(i, ClaimVerdict::BodyDiffers, start + Millis{2}, larger);
    }
    CHECK(f.only().kind == ClaimOutcomeKind::BodyDiffers);
}

// Guards against a refusal that comes only after a second: the claimant waits for votes that cannot make a quorum.
TEST_CASE("two abstentions end the claim at once")
{
    Fixture f;
    f.vote(0, ClaimVerdict::Abstains, start + Millis{2});
    f.vote(1, ClaimVerdict::Abstains, start + Millis{2});
    CHECK(f.claimant.takeOutcomes().empty() == false);
    CHECK(f.sent<ClaimWithdraw>() == 5);
}

TEST_CASE("a claim without a quorum is refused after claimTimeout")
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

// Guards against two calls of a client that both time out: two attempts reach two and three witnesses, and neither
// withdraws.
TEST_CASE("the attempt with the larger id backs off, the one with the smaller id asks again")
{
    Fixture f;
    f.grant(2, start + Millis{2});
    SUBCASE("larger")
    {
        f.vote(2, ClaimVerdict::Held, start + Millis{2}, smaller);
        f.vote(3, ClaimVerdict::Held, start + Millis{2}, smaller);
        CHECK(f.sent<ClaimWithdraw>() == 3); // Two witnesses that granted, and one that has not answered.
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

// Guards against a key that stays blocked although no attempt runs: the withdrawal to one witness is lost, and
// withdrawals are not acknowledged.
TEST_CASE("a withdrawal is repeated, and sent in answer to every late grant")
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
    // Guards against a running attempt whose claim was removed. Its first round ended as held by another attempt, which
    // turned out not to have run. The attempt claims the key again, and then the withdrawal of its first round arrives.
    // The withdrawal has to name its round.
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

TEST_CASE("an attempt with an active claim cannot begin again")
{
    Fixture f;
    CHECK_THROWS_AS(f.claimant.begin(start, Claim{key, mine, 1}, f.outbox), Error);
}

TEST_CASE("an attempt that never reached its target may be sent to another one before the same deadline")
{
    // Guards against the refusal of a keyed call although other targets are free: the first target refuses the
    // connection, and the entry router may not dispatch again although nothing was sent. After a pause beyond the
    // deadline it must not, since the witnesses may have forgotten the claim.
    Fixture f;
    f.grant(4, start + Millis{2});
    CHECK_FALSE(f.claimant.mayRedispatch(mine, start + Millis{3}));
    CHECK(f.claimant.mayDispatch(mine, start + Millis{4}));
    CHECK(f.claimant.mayRedispatch(mine, start + Millis{5}));
    CHECK_FALSE(f.claimant.mayRedispatch(mine, start + ClaimParameters{}.dispatchWindow));
}
