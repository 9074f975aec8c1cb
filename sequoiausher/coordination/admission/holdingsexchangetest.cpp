// Connects an entry with the owner of a shard and tests when reports are sent and when digests.

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/admission/ownedshards.h"
#include "sequoiausher/coordination/admission/reserver.h"

#include <doctest/doctest.h>

#include <utility>

using namespace Sequoiausher;

namespace {

const PoolId pool{"plates"};
const InstanceId self{"r0"};

struct ExchangeFixture
{
    ShardMap map{ShardSettings{}};
    Reserver entry{self, 7, ReserverSettings{}, 1, map};
    std::unique_ptr<OwnedShards> owned;
    Outbox toOwner;
    Millis now{0};

    ExchangeFixture()
    {
        auto view = std::make_shared<PoolView>();
        view->pool = pool;
        for (const char *name : {"t0", "t1"}) {
            view->targets.push_back({{TargetId{name}, "", DataCentreId{}, {1, LifeState::Live}, {}}, hash64(name)});
        }
        this->map.setPool(view);
        this->map.setInstances({self, InstanceId{"r1"}, InstanceId{"r2"}});
        this->restartOwner();
        this->entry.handleMapChange(this->now, this->toOwner);
        this->exchange();
    }

    InstanceId owner() const
    {
        return this->map.ownerOf({pool, 0});
    }

    void restartOwner()
    {
        this->owned = std::make_unique<OwnedShards>(this->owner(), OwnerSettings{}, 1);
        this->owned->update(this->now, this->map);
    }

    std::size_t counted() const
    {
        return this->owned->find({pool, 0})->holdings();
    }

    /** Delivers messages until none is left. @return 'r' for each report and 'd' for each digest sent to the owner. */
    std::string exchange()
    {
        std::string kinds;
        while (!this->toOwner.empty()) {
            Outbox answers;
            for (const Outgoing &out : std::exchange(this->toOwner, {})) {
                if (const auto *asked = std::get_if<ReserveRequest>(&out.message)) {
                    this->owned->receive(this->now, self, *asked, answers);
                } else if (const auto *release = std::get_if<Release>(&out.message)) {
                    this->owned->receive(this->now, self, *release);
                } else if (const auto *report = std::get_if<HoldingsReport>(&out.message)) {
                    kinds += 'r';
                    this->owned->receive(this->now, self, *report, answers);
                } else if (const auto *digest = std::get_if<HoldingsDigest>(&out.message)) {
                    kinds += 'd';
                    this->owned->receive(this->now, self, *digest, answers);
                }
            }
            this->answer(answers);
        }
        return kinds;
    }

    void answer(const Outbox &answers)
    {
        for (const Outgoing &out : answers) {
            if (const auto *reply = std::get_if<ReserveReply>(&out.message)) {
                this->entry.receive(this->now, this->owner(), *reply, this->toOwner);
            } else if (const auto *answer = std::get_if<HoldingsAnswer>(&out.message)) {
                this->entry.receive(this->owner(), *answer, this->toOwner);
            }
        }
    }

    void reserve(std::uint64_t number)
    {
        this->entry.reserve(
            this->now, {RequestId{1, number}, pool, 3, PolicyKind::BoundedRendezvous, 125, {}}, this->toOwner);
        this->exchange();
    }

    /** Runs the next round of reports. */
    std::string round()
    {
        this->now += Millis{5000};
        this->owned->tick(this->now);
        this->entry.tick(this->now, this->toOwner);
        return this->exchange();
    }
};

} // namespace

TEST_CASE_FIXTURE(ExchangeFixture, "a new owner gets a report, and then digests while both sides agree")
{
    this->reserve(1);
    this->reserve(2);
    CHECK(this->round() == "d");
    CHECK(this->round() == "d");
    CHECK(this->counted() == 2);
}

TEST_CASE_FIXTURE(ExchangeFixture, "lost messages or counts are corrected by a report in the same round")
{
    this->reserve(1);
    this->reserve(2);

    SUBCASE("a release")
    {
        this->entry.release(this->now, RequestId{1, 1}, this->toOwner);
        this->toOwner.clear();
        CHECK(this->counted() == 2);
        CHECK(this->round() == "dr");
        CHECK(this->counted() == 1);
    }
    SUBCASE("all counts of the owner, in a restart without a broken connection")
    {
        this->restartOwner();
        CHECK(this->round() == "dr");
        CHECK(this->counted() == 2);
    }
    CHECK(this->round() == "d");
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "after a broken connection an owner gets reports until it answers that it accepts digests")
{
    this->reserve(1);
    CHECK(this->round() == "d");
    this->entry.markPeerUnreachable(this->now, this->owner(), this->toOwner);
    this->now += Millis{5000};
    this->entry.tick(this->now, this->toOwner);
    REQUIRE(this->toOwner.size() == 1);
    CHECK(std::get<HoldingsReport>(this->toOwner.front().message).wantsAnswer);
    this->toOwner.clear();
    CHECK(this->round() == "r");
    CHECK(this->round() == "d");
}

TEST_CASE_FIXTURE(ExchangeFixture, "only the owner's answer counts, and an entry that wants no answer gets none")
{
    this->reserve(1);
    this->entry.receive(InstanceId{"stranger"}, HoldingsAnswer{pool, 0, true}, this->toOwner);
    CHECK(this->toOwner.empty());
    Outbox answers;
    this->owned->receive(this->now, self, HoldingsReport{pool, 0, 1, {}}, answers);
    CHECK(answers.empty());
}

// Guards against a router that owns a shard again but counts no reservations of an entry for up to a report interval:
// its list drops the shard and contains it again within seconds, while the entry's list does not change. A digest alone
// does not show what is held.
TEST_CASE_FIXTURE(ExchangeFixture, "a router that does not own the shard for a while asks for the report and keeps it")
{
    this->reserve(1);
    ShardMap without{ShardSettings{}};
    without.setInstances(this->map.instances());
    this->owned->update(this->now, without);
    CHECK(this->round() == "dr");
    this->owned->update(this->now, this->map);
    CHECK(this->counted() == 1);
}
