#include "sequoiausher/coordination/claims/witness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

const ClaimKey key{7, 7};
const RequestId first{0, 1};
const RequestId second{0, 2};
const InstanceId entry{"entry"};
const InstanceId self{"r1"};

InstanceList routers(const std::vector<std::string> &names)
{
    std::vector<InstanceId> ids;
    std::transform(
        names.begin(), names.end(), std::back_inserter(ids), [](const auto &name) { return InstanceId{name}; });
    return makeInstanceList(ids);
}

/** A witness, and functions that send it one message each. */
struct Fixture
{
    explicit Fixture(const ClaimParameters &settings = {}, const std::vector<std::string> &names = {"r1", "r2", "r3"})
        : parameters(settings)
        , witness(self, settings, Millis{0})
    {
        this->witness.setInstances(Millis{0}, routers(names));
    }

    ClaimVote ask(Millis now, const RequestId &attempt, std::uint32_t round = 1, std::uint64_t digest = 1)
    {
        return this->askFor(now, ClaimRequest{key, attempt, round, digest});
    }

    ClaimVote askFor(Millis now, const ClaimRequest &request)
    {
        Outbox outbox;
        this->witness.receive(now, entry, request, outbox);
        return std::get<ClaimVote>(outbox.at(0).message);
    }

    void withdraw(Millis now, const RequestId &attempt, std::uint32_t round)
    {
        Outbox outbox;
        this->witness.receive(now, entry, ClaimWithdraw{key, attempt, round}, outbox);
    }

    /** Answers the pulls that the witness sends to givers. */
    void handOver(Millis now, const ClaimPage &answer, const std::vector<InstanceId> &givers)
    {
        Outbox outbox;
        this->witness.tick(now, outbox);
        for (const Outgoing &out : outbox) {
            ClaimPage page = answer;
            page.pull = std::get<ClaimPull>(out.message).pull;
            Outbox more;
            if (std::find(givers.begin(), givers.end(), out.to) != givers.end()) {
                this->witness.receive(now, out.to, page, more);
            }
        }
    }

    ClaimParameters parameters;
    Witness witness;
};

ClaimPage lastPage()
{
    ClaimPage page;
    page.last = true;
    return page;
}

} // namespace

TEST_CASE("a key is granted to one attempt until it withdraws or its claim expires")
{
    Fixture f;
    f.witness.assumeNoPriorClaims();
    CHECK(f.ask(Millis{1}, first).verdict == ClaimVerdict::Granted);
    CHECK(f.ask(Millis{2}, first).verdict == ClaimVerdict::Granted);
    const ClaimVote held = f.ask(Millis{3}, second);
    CHECK(held.verdict == ClaimVerdict::Held);
    CHECK(held.heldBy == first);
    CHECK(held.holder == entry);
    CHECK(f.ask(Millis{3}, second, 1, 9).verdict == ClaimVerdict::BodyDiffers);
    f.withdraw(Millis{4}, first, 1);
    CHECK(f.ask(Millis{5}, second).verdict == ClaimVerdict::Granted);
    CHECK(f.ask(Millis{4} + f.parameters.claimRetention(), first, 2).verdict == ClaimVerdict::Held);
    CHECK(f.ask(Millis{5} + f.parameters.claimRetention(), first, 2).verdict == ClaimVerdict::Granted);
}

// Guards against a key that stays blocked until its claim expires although no attempt runs: the withdrawal arrives
// before its claim request, and is not recorded.
TEST_CASE("a claim that arrives after its withdrawal does not hold the key")
{
    Fixture f;
    f.witness.assumeNoPriorClaims();
    f.withdraw(Millis{1}, first, 1);
    CHECK(f.ask(Millis{2}, first, 1).verdict == ClaimVerdict::Abstains);
    CHECK(f.ask(Millis{3}, second).verdict == ClaimVerdict::Granted);
}

// Guards against two runs of a key: an attempt withdraws round 1, claims the key again in round 2 and is dispatched.
// The withdrawal of round 1 arrives last and frees the claim of round 2.
TEST_CASE("a late withdrawal does not free a later round")
{
    Fixture f;
    f.witness.assumeNoPriorClaims();
    CHECK(f.ask(Millis{1}, first, 2).verdict == ClaimVerdict::Granted);
    f.withdraw(Millis{2}, first, 1);
    CHECK(f.ask(Millis{3}, second).verdict == ClaimVerdict::Held);
}

// Guards against two runs of a key: a witness restarts, and votes on a key that it granted before, without the lost
// claim.
TEST_CASE("a fresh witness abstains until all older claims have expired")
{
    Fixture f;
    const ClaimVote vote = f.ask(Millis{1}, first);
    CHECK(vote.verdict == ClaimVerdict::Abstains);
    CHECK(vote.retryAfter > Millis{0});
    const Millis forgotten = f.parameters.claimRetention();
    CHECK(f.ask(forgotten - Millis{1}, first).verdict == ClaimVerdict::Abstains);
    CHECK(f.ask(forgotten, first).verdict == ClaimVerdict::Granted);
}

TEST_CASE("a fresh witness votes once it has received the claims of the others, and keeps them")
{
    Fixture f;
    const Millis settled = f.parameters.settleTime;
    ClaimPage page = lastPage();
    page.records.push_back(ClaimRecord{key, first, 1, 1, entry, Millis{100}});
    f.handOver(settled - Millis{1}, page, {InstanceId{"r2"}, InstanceId{"r3"}});
    CHECK(f.witness.isFresh(settled));
    f.handOver(settled, page, {InstanceId{"r2"}, InstanceId{"r3"}});
    CHECK_FALSE(f.witness.isFresh(settled));
    CHECK(f.ask(settled, second).verdict == ClaimVerdict::Held);
    CHECK(f.askFor(settled, ClaimRequest{ClaimKey{1, 1}, second, 1, 1}).verdict == ClaimVerdict::Granted);
}

TEST_CASE("pages that do not count towards a hand-over")
{
    struct Row
    {
        const char *name;
        bool giverAbstains;
        bool giverLearns;
        std::vector<InstanceId> givers;
    };
    const InstanceId r2{"r2"};
    const InstanceId r3{"r3"};
    const Row rows[] = {
        {"givers that may have lost claims", true, false, {r2, r3}},
        {"givers that have gaps themselves", false, true, {r2, r3}},
        {"one of two givers, since with a quorum of three none may be missing", false, false, {r2}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        Fixture f;
        ClaimPage page = lastPage();
        page.giverAbstains = row.giverAbstains;
        page.giverLearns = row.giverLearns;
        f.handOver(f.parameters.settleTime, page, row.givers);
        CHECK(f.ask(f.parameters.settleTime, first).verdict == ClaimVerdict::Abstains);
    }
}

// Guards against two runs of a key: three of its five witnesses are replaced, and each new one votes at once, although
// it has not received the claims of the key.
TEST_CASE("a witness abstains for keys that a change of the list assigned to it, until it has received their claims")
{
    Fixture f({}, {"r2", "r3", "r4", "r5", "r6", "r7"});
    f.witness.assumeNoPriorClaims();
    const Millis changed{10000};
    f.witness.setInstances(changed, routers({"r1", "r3", "r4", "r5", "r6", "r7"}));
    std::size_t own = 0;
    for (std::uint64_t i = 0; i < 50; ++i) {
        const ClaimVote vote = f.askFor(changed, ClaimRequest{ClaimKey{i, 0}, first, 1, 1});
        CHECK(vote.verdict == ClaimVerdict::Abstains);
    }
    const std::vector<InstanceId> others{{"r3"}, {"r4"}, {"r5"}, {"r6"}, {"r7"}};
    f.handOver(changed + f.parameters.settleTime, lastPage(), others);
    for (std::uint64_t i = 100; i < 150; ++i) {
        const ClaimVote vote = f.askFor(changed + f.parameters.settleTime, ClaimRequest{ClaimKey{i, 0}, first, 1, 1});
        own += vote.verdict == ClaimVerdict::Granted ? 1 : 0;
    }
    CHECK(own
          > 25); // r1 is a witness of five in six keys. r2 left the list, and is the one witness that may be missing.
}

TEST_CASE("a witness of a large fleet pulls no claims, and abstains only for the keys that a departure assigned to it")
{
    ClaimParameters parameters;
    parameters.maxHandoverInstances = 3;
    Fixture f(parameters, {"r1", "r2", "r3", "r4", "r5", "r6", "r7"});
    f.witness.assumeNoPriorClaims();
    const InstanceList before = routers({"r1", "r2", "r3", "r4", "r5", "r6", "r7"});
    const InstanceList after = routers({"r1", "r2", "r3", "r4", "r5", "r6"});
    const Millis changed{10000};
    f.witness.setInstances(changed, after);
    Outbox outbox;
    f.witness.tick(changed + parameters.settleTime, outbox);
    CHECK(outbox.empty());
    for (std::uint64_t i = 0; i < 100; ++i) {
        const ClaimKey one{i, 0};
        const bool was = before.isSelected(self, one, parameters.witnesses);
        const bool is = after.isSelected(self, one, parameters.witnesses);
        CHECK(f.witness.mayVote(changed, one) == (was && is));
        CHECK(f.witness.mayVote(changed + parameters.claimRetention(), one) == is);
    }
}

TEST_CASE("a full witness abstains for new keys and evicts no claim")
{
    ClaimParameters parameters;
    parameters.maxRecords = 1;
    Fixture f(parameters);
    f.witness.assumeNoPriorClaims();
    CHECK(f.ask(Millis{1}, first).verdict == ClaimVerdict::Granted);
    CHECK(f.askFor(Millis{1}, ClaimRequest{ClaimKey{1, 1}, first, 1, 1}).verdict == ClaimVerdict::Abstains);
    CHECK(f.ask(Millis{2}, second).verdict == ClaimVerdict::Held);
}

TEST_CASE("hand-overs are paged and complete")
{
    ClaimParameters parameters;
    parameters.pageRecords = 3;
    Fixture f(parameters);
    f.witness.assumeNoPriorClaims();
    constexpr std::uint64_t keys = 10;
    for (std::uint64_t i = 0; i < keys; ++i) {
        f.askFor(Millis{1}, ClaimRequest{ClaimKey{i, i}, first, 1, 1});
    }
    std::size_t records = 0;
    ClaimPage page;
    while (!page.last) {
        Outbox outbox;
        f.witness.receive(Millis{2}, InstanceId{"r2"}, ClaimPull{1, page.next}, outbox);
        page = std::get<ClaimPage>(outbox.at(0).message);
        CHECK(page.records.size() <= parameters.pageRecords);
        records += page.records.size();
    }
    CHECK(records == keys);
}

// Guards against a key that runs again after a rolling replacement: its witnesses stop one after another, and their
// claims are lost.
TEST_CASE("a planned stop hands every claim to the key's next witness")
{
    Fixture f({}, {"r1", "r2", "r3", "r4", "r5", "r6", "r7"});
    f.witness.assumeNoPriorClaims();
    constexpr std::uint64_t keys = 20;
    for (std::uint64_t i = 0; i < keys; ++i) {
        f.askFor(Millis{1}, ClaimRequest{ClaimKey{i, i}, first, 1, 1});
    }
    Outbox outbox;
    f.witness.handOverClaims(Millis{2}, outbox);
    const InstanceList before = routers({"r1", "r2", "r3", "r4", "r5", "r6", "r7"});
    std::size_t records = 0;
    for (const Outgoing &out : outbox) {
        for (const ClaimRecord &record : std::get<ClaimPage>(out.message).records) {
            ++records;
            if (before.isSelected(self, record.key, f.parameters.witnesses)) {
                CHECK_FALSE(before.isSelected(out.to, record.key, f.parameters.witnesses));
            }
        }
    }
    CHECK(records == keys);
}

// Guards against a retry that is answered with 'unknown' after a rolling update, although its key never ran, or another
// attempt's answer is kept. A stopping witness hands a claim over to the key's next witness. Then the attempt is
// refused for lack of capacity, and withdraws at the witnesses that it asked. The next witness is none of them and
// keeps the claim.
TEST_CASE("a withdrawal is forwarded to the instance that received the claim")
{
    Fixture f({}, {"r1", "r2", "r3", "r4", "r5", "r6", "r7"});
    f.witness.assumeNoPriorClaims();
    f.ask(Millis{1}, first, 2);
    const ClaimWithdraw withdrawal{key, first, 2};
    Outbox outbox;
    SUBCASE("handed over")
    {
        f.witness.handOverClaims(Millis{2}, outbox);
        REQUIRE(outbox.size() == 1);
        const Outgoing page = outbox.at(0);
        outbox.clear();
        f.witness.receive(Millis{3}, entry, ClaimWithdraw{key, first, 1}, outbox);
        CHECK(outbox.empty());
        f.witness.receive(Millis{4}, entry, withdrawal, outbox);
        CHECK(outbox == Outbox{Outgoing{page.to, withdrawal}});
        outbox.clear();
        f.witness.receive(Millis{5}, entry, withdrawal, outbox);
        CHECK(outbox.empty());

        Witness next(page.to, f.parameters, Millis{0});
        next.setInstances(Millis{0}, routers({"r1", "r2", "r3", "r4", "r5", "r6", "r7"}));
        next.assumeNoPriorClaims();
        next.receive(Millis{5}, self, std::get<ClaimPage>(page.message), outbox);
        next.receive(Millis{5}, self, withdrawal, outbox);
        next.receive(Millis{6}, entry, ClaimRequest{key, second, 1, 1}, outbox);
        CHECK(std::get<ClaimVote>(outbox.back().message).verdict != ClaimVerdict::Held);
    }
    SUBCASE("pulled")
    {
        const InstanceId asks{"r6"};
        f.witness.receive(Millis{2}, asks, ClaimPull{1, {}}, outbox);
        outbox.clear();
        SUBCASE("recently")
        {
            f.witness.receive(Millis{3}, entry, withdrawal, outbox);
            CHECK(outbox == Outbox{Outgoing{asks, withdrawal}});
            outbox.clear();
            f.witness.receive(Millis{4}, entry, withdrawal, outbox);
        }
        SUBCASE("and withdrawn by the same instance")
        {
            f.witness.receive(Millis{3}, asks, withdrawal, outbox);
        }
        SUBCASE("so long ago that the attempt can no longer be withdrawn")
        {
            f.witness.receive(Millis{2} + f.parameters.dispatchWindow * 2, entry, withdrawal, outbox);
        }
        CHECK(outbox.empty());
    }
    SUBCASE("not handed over")
    {
        f.witness.receive(Millis{3}, entry, withdrawal, outbox);
        CHECK(outbox.empty());
    }
}
