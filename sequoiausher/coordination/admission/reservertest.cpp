#include "sequoiausher/coordination/admission/reserver.h"

#include "sequoiausher/base/hashing.h"

#include <doctest/doctest.h>

#include <utility>

using namespace Sequoiausher;

namespace {

const PoolId pool{"plates"};
const InstanceId self{"r0"};
const TargetId first{"t0"};
const TargetId second{"t1"};

struct ReserverFixture
{
    ShardMap map{ShardSettings{}};
    Reserver reserver{self, 7, ReserverSettings{}, 1, map};
    Outbox outbox;

    ReserverFixture()
    {
        auto view = std::make_shared<PoolView>();
        view->pool = pool;
        for (const TargetId &target : {first, second}) {
            view->targets.push_back({{target, "", DataCentreId{}, {1, LifeState::Live}, {}}, hash64(target.value)});
        }
        this->map.setPool(view);
        this->setLiveRouters({self, InstanceId{"r1"}, InstanceId{"r2"}});
        this->outbox.clear();
    }

    void setLiveRouters(const std::vector<InstanceId> &live)
    {
        this->map.setInstances(live);
        this->reserver.handleMapChange(Millis{0}, this->outbox);
    }

    InstanceId owner() const
    {
        return this->map.ownerOf({pool, 0});
    }

    void reserve(Millis now, std::uint64_t request, std::vector<TargetId> excluded = {})
    {
        this->reserver.reserve(
            now,
            {RequestId{1, request}, pool, 3, PolicyKind::BoundedRendezvous, 125, std::move(excluded)},
            this->outbox);
    }

    /** Takes the messages of one kind out of the outbox, which is emptied. */
    template<typename Message>
    std::vector<Message> sent()
    {
        std::vector<Message> messages;
        for (const Outgoing &out : std::exchange(this->outbox, {})) {
            if (const auto *message = std::get_if<Message>(&out.message)) {
                messages.push_back(*message);
            }
        }
        return messages;
    }

    void answer(Millis now, const RequestId &reservation, ReserveVerdict verdict, const TargetId &target = first)
    {
        this->reserver.receive(
            now, this->owner(), ReserveReply{reservation, verdict, target, Millis{900}, {}}, this->outbox);
    }

    ReserveOutcome outcome()
    {
        const std::vector<ReserveResult> results = this->reserver.takeResults();
        REQUIRE(results.size() == 1);
        return results.front().outcome;
    }
};

} // namespace

TEST_CASE_FIXTURE(ReserverFixture, "each verdict ends in one result, and only a grant is held")
{
    struct Case
    {
        ReserveVerdict verdict;
        ReserveOutcome outcome;
        std::size_t held;
    };
    const Case cases[] = {
        {ReserveVerdict::Granted, ReserveOutcome::Granted, 1},
        {ReserveVerdict::Full, ReserveOutcome::Full, 0},
        {ReserveVerdict::NoTarget, ReserveOutcome::NoTarget, 0},
    };
    for (const Case &each : cases) {
        this->reserve(Millis{0}, 1);
        const RequestId reservation = this->sent<ReserveRequest>().at(0).request;
        this->answer(Millis{1}, reservation, each.verdict);
        this->answer(Millis{2}, reservation, each.verdict);
        CHECK(this->outcome() == each.outcome);
        CHECK(this->reserver.held() == each.held);
        this->reserver.release(Millis{3}, RequestId{1, 1}, this->outbox);
        CHECK(this->sent<Release>().size() == each.held);
    }
}

TEST_CASE_FIXTURE(ReserverFixture, "the request to the owner has the hash of the prefix")
{
    PlacementRequest placementRequest{RequestId{1, 1}, pool, 3, PolicyKind::PrefixRendezvous, 125, {}};
    placementRequest.prefixHash = 9;
    this->reserver.reserve(Millis{0}, placementRequest, this->outbox);
    CHECK(this->sent<ReserveRequest>().at(0).prefixHash == 9);
}

TEST_CASE_FIXTURE(ReserverFixture, "reserving again releases the first reservation and uses a new id")
{
    this->reserve(Millis{0}, 1);
    const RequestId before = this->sent<ReserveRequest>().at(0).request;
    this->answer(Millis{1}, before, ReserveVerdict::Granted);
    this->reserve(Millis{2}, 1, {first});
    REQUIRE(this->outbox.size() == 2);
    CHECK(std::get<Release>(this->outbox[0].message).request == before);
    CHECK(std::get<ReserveRequest>(this->outbox[1].message).request != before);
    CHECK(std::get<ReserveRequest>(this->outbox[1].message).excluded.front() == first);
}

TEST_CASE_FIXTURE(ReserverFixture, "without an answer the owner is asked again, then the request is placed locally")
{
    // Guards against requests that hang while a dead owner is still in the lists, since nobody answers them.
    this->reserve(Millis{0}, 1);
    const RequestId reservation = this->sent<ReserveRequest>().at(0).request;
    for (int i = 1; i < 3; ++i) {
        this->reserver.tick(Millis{250 * i}, this->outbox);
        CHECK(this->sent<ReserveRequest>().at(0).request == reservation);
    }
    this->reserver.tick(Millis{750}, this->outbox);
    CHECK(this->sent<Release>().at(0).request == reservation);
    CHECK(this->outcome() == ReserveOutcome::Unreachable);
    // The next request does not wait at all, and with known loads this router has a local share.
    this->reserve(Millis{760}, 2);
    CHECK(this->outcome() == ReserveOutcome::Unreachable);
    CHECK(this->reserver.targetsNeedingLoad(Millis{760}).size() == 2);
    for (const TargetId &target : {first, second}) {
        this->reserver.recordLoad(target, ReportedLoad{1, 40, Millis{700}});
    }
    this->reserve(Millis{770}, 3);
    CHECK(this->outcome() == ReserveOutcome::GrantedLocally);
    CHECK(this->sent<ReserveRequest>().empty());
    // Later the owner is asked again, and a late grant of the cancelled reservation is ignored.
    this->answer(Millis{1800}, reservation, ReserveVerdict::Granted);
    CHECK(this->reserver.held() == 1);
    this->reserve(Millis{1800}, 4);
    CHECK(this->sent<ReserveRequest>().size() == 1);
}

TEST_CASE_FIXTURE(ReserverFixture, "a reservation is retried while the lists disagree about the owner")
{
    this->reserve(Millis{0}, 1);
    this->answer(Millis{1}, this->sent<ReserveRequest>().at(0).request, ReserveVerdict::NotOwner);
    CHECK(this->reserver.nextDeadline() <= Millis{51});
    const InstanceId before = this->owner();
    std::vector<InstanceId> live{self, InstanceId{"r1"}, InstanceId{"r2"}};
    std::erase(live, before);
    this->setLiveRouters(live);
    REQUIRE(this->owner() != before);
    const auto asked = this->sent<ReserveRequest>();
    this->answer(Millis{60}, asked.at(0).request, ReserveVerdict::Granted);
    CHECK(this->outcome() == ReserveOutcome::Granted);
}

TEST_CASE_FIXTURE(ReserverFixture, "reports list what is held and what is pending, and the last one is empty")
{
    this->reserve(Millis{0}, 1);
    const RequestId reservation = this->sent<ReserveRequest>().at(0).request;
    this->reserver.tick(Millis{10}, this->outbox);
    CHECK(this->sent<HoldingsReport>().at(0).holdings == std::vector<Holding>{{reservation, TargetId{}}});
    this->answer(Millis{20}, reservation, ReserveVerdict::Granted);
    this->reserver.tick(Millis{5010}, this->outbox);
    const HoldingsReport full = this->sent<HoldingsReport>().at(0);
    CHECK(full.holdings == std::vector<Holding>{{reservation, first}});
    this->reserver.release(Millis{5020}, RequestId{1, 1}, this->outbox);
    this->reserver.tick(Millis{10010}, this->outbox);
    const HoldingsReport empty = this->sent<HoldingsReport>().at(0);
    CHECK(empty.holdings.empty());
    CHECK(empty.sequence > full.sequence);
    this->reserver.tick(Millis{15010}, this->outbox);
    CHECK(this->outbox.empty());
}

TEST_CASE_FIXTURE(ReserverFixture, "a broken connection to the owner does not keep a request waiting")
{
    this->reserve(Millis{0}, 1);
    this->reserver.markPeerUnreachable(Millis{5}, this->owner(), this->outbox);
    CHECK(this->outcome() == ReserveOutcome::Unreachable);
    this->reserve(Millis{6}, 2);
    this->map.removePool(pool);
    this->reserve(Millis{7}, 3);
    CHECK(this->reserver.takeResults().back().outcome == ReserveOutcome::NoTarget);
}

TEST_CASE_FIXTURE(ReserverFixture, "the owner named in a NotOwner answer is asked at once")
{
    // Guards against pool_full in a planned stop while every target has room: a router returns, the shard's owner
    // notices and gives the shard up, but this router's list names that owner for another second. Three NotOwner
    // answers of the only known owner must not count as an owner that cannot be reached.
    this->reserve(Millis{0}, 1);
    const RequestId before = this->sent<ReserveRequest>().at(0).request;
    const InstanceId returned{"r9"};
    const ReserveReply moved{before, ReserveVerdict::NotOwner, TargetId{}, Millis{}, returned};
    this->reserver.receive(Millis{1}, this->owner(), moved, this->outbox);
    this->reserver.receive(Millis{1}, this->owner(), moved, this->outbox);
    REQUIRE(this->outbox.size() == 2);
    // A copy of the request may reach the former owner once it owns the shard again, and must not be granted a place.
    CHECK(this->outbox.front().to == this->owner());
    CHECK(std::get<Release>(this->outbox.front().message).request == before);
    CHECK(this->outbox.back().to == returned);
    const RequestId asked = this->sent<ReserveRequest>().at(0).request;
    CHECK(asked != before);
    this->reserver.receive(
        Millis{2}, returned, ReserveReply{asked, ReserveVerdict::Granted, first, Millis{}, {}}, this->outbox);
    CHECK(this->outcome() == ReserveOutcome::Granted);
    // The reservation is also released at the router that granted it, even if the list names another owner.
    this->reserver.release(Millis{3}, RequestId{1, 1}, this->outbox);
    CHECK(this->outbox.back().to == returned);
}

TEST_CASE_FIXTURE(ReserverFixture,
                  "owners that name each other are followed for a bounded time, then local placement decides")
{
    this->reserve(Millis{0}, 1);
    std::size_t asked = 0;
    Millis now;
    for (; now < Millis{2000} && this->reserver.nextDeadline() != Millis{5000}; now = now + Millis{1}) {
        for (const Outgoing &out : std::exchange(this->outbox, {})) {
            if (const auto *request = std::get_if<ReserveRequest>(&out.message)) {
                ++asked;
                const InstanceId other{out.to == InstanceId{"r1"} ? "r2" : "r1"};
                const ReserveReply reply{request->request, ReserveVerdict::NotOwner, TargetId{}, Millis{}, other};
                this->reserver.receive(now, out.to, reply, this->outbox);
            }
        }
        this->reserver.tick(now, this->outbox);
    }
    CHECK(this->outcome() == ReserveOutcome::Unreachable);
    CHECK(now >= ReserverSettings{}.redirectTimeout);
    CHECK(now <= ReserverSettings{}.redirectTimeout + Millis{100});
    CHECK(asked <= 20);
}

TEST_CASE_FIXTURE(ReserverFixture, "a router that returns after a planned stop is asked at once")
{
    // Guards against refusals for up to a second after each return: a leaving router's process ends with its
    // connections, and a new process of the same name starts within a second and owns its shards. The end of the old
    // connection must not mark the name as unreachable.
    const std::vector<InstanceId> all{self, InstanceId{"r1"}, InstanceId{"r2"}};
    const InstanceId stopped = this->owner();
    std::vector<InstanceId> rest = all;
    std::erase(rest, stopped);
    this->setLiveRouters(rest);
    this->reserver.markPeerUnreachable(Millis{10}, stopped, this->outbox);
    this->setLiveRouters(all);
    this->outbox.clear();
    this->reserve(Millis{20}, 1);
    CHECK(this->sent<ReserveRequest>().size() == 1);
    CHECK(this->reserver.takeResults().empty());
}

TEST_CASE_FIXTURE(ReserverFixture, "a router that died and has connected again is asked at once")
{
    this->reserver.markPeerUnreachable(Millis{10}, this->owner(), this->outbox);
    this->reserver.markPeerReachable(this->owner());
    this->reserve(Millis{20}, 1);
    CHECK(this->sent<ReserveRequest>().size() == 1);
    CHECK(this->reserver.takeResults().empty());
}

TEST_CASE_FIXTURE(ReserverFixture, "the loads of a late owner's targets are queried before requests are placed locally")
{
    // Guards against refusals just after an owner's death while targets have room: if loads are queried only after the
    // first local placements, these have no loads.
    this->reserve(Millis{0}, 1);
    this->reserver.tick(Millis{100}, this->outbox);
    CHECK(this->reserver.targetsNeedingLoad(Millis{100}).empty());
    this->reserver.tick(Millis{250}, this->outbox);
    CHECK(this->reserver.targetsNeedingLoad(Millis{250}).size() == 2);
    for (const TargetId &target : {first, second}) {
        this->reserver.recordLoad(target, ReportedLoad{1, 40, Millis{300}});
    }
    this->reserver.tick(Millis{500}, this->outbox);
    this->reserver.tick(Millis{750}, this->outbox);
    CHECK(this->outcome() == ReserveOutcome::GrantedLocally);
}

TEST_CASE_FIXTURE(ReserverFixture, "the request to the owner has the class and the organisation")
{
    PlacementRequest placementRequest{RequestId{1, 1}, pool, 3};
    placementRequest.requestClass = RequestClass::Urgent;
    placementRequest.organisation = 77;
    this->reserver.reserve(Millis{0}, placementRequest, this->outbox);
    const ReserveRequest sent = this->sent<ReserveRequest>().at(0);
    CHECK(sent.requestClass == RequestClass::Urgent);
    CHECK(sent.organisation == 77);
}

// Guards against an engine that computes for a caller that has hung up: a request waits at the owner past its deadline
// and then gets a place, if only requests that wait at the router are checked for their deadline.
TEST_CASE_FIXTURE(ReserverFixture, "a reservation is cancelled at its deadline, and a place granted later is not kept")
{
    PlacementRequest placementRequest{RequestId{1, 1}, pool, 3};
    placementRequest.giveUpAt = Millis{60};
    this->reserver.reserve(Millis{0}, placementRequest, this->outbox);
    const RequestId reservation = this->sent<ReserveRequest>().at(0).request;
    CHECK(this->reserver.nextDeadline() <= Millis{60});
    this->reserver.tick(Millis{60}, this->outbox);
    CHECK(this->outcome() == ReserveOutcome::Full);
    CHECK(this->sent<Release>().at(0).request == reservation);
    this->answer(Millis{61}, reservation, ReserveVerdict::Granted);
    CHECK(this->reserver.held() == 0);
    CHECK(this->reserver.takeResults().empty());
}
