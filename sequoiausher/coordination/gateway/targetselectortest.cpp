#include "sequoiausher/coordination/gateway/targetselector.h"

#include "sequoiausher/base/hashing.h"

#include <doctest/doctest.h>

#include <deque>

using namespace Sequoiausher;

namespace {

/** Six targets with the given requests in flight by the peers' reports. */
struct Pool
{
    explicit Pool(const std::vector<std::uint32_t> &peersInFlight)
    {
        for (std::size_t i = 0; i < peersInFlight.size(); ++i) {
            TargetState &state = this->states.emplace_back();
            state.target.id = TargetId{"i-" + std::to_string(i)};
            state.hash = hash64(state.target.id.value);
            state.peersInFlight = peersInFlight[i];
            this->candidates.push_back(&state);
            this->load.targets.push_back({state.target.id, state.hash, state.peersInFlight, state.peersInFlight, true});
            this->load.total += state.peersInFlight;
            this->load.counted += 1;
        }
        this->load.minimumBound = 10;
    }

    std::optional<std::size_t> select(TargetSelector &selector, const SelectionRequest &request) const
    {
        return selector.select({this->candidates, this->load, request});
    }

    std::deque<TargetState> states;
    std::vector<TargetState *> candidates;
    PoolLoad load;
};

constexpr auto allKinds
    = {PolicyKind::BoundedRendezvous, PolicyKind::LeastLoaded, PolicyKind::RoomRendezvous, PolicyKind::LeastExpected};

} // namespace

TEST_CASE("no selector chooses a target that is not usable")
{
    for (const PolicyKind kind : allKinds) {
        const auto selector = makeTargetSelector(kind, 1);
        Pool pool({1, 1, 1, 1, 1, 1});
        for (std::size_t i = 0; i < pool.candidates.size(); ++i) {
            pool.load.targets[i].usable = i == 4;
        }
        for (std::uint64_t part = 1; part < 50; ++part) {
            SelectionRequest request;
            request.partHash = part;
            request.requestHash = part * 7;
            request.holders = {TargetId{"i-2"}};
            CHECK(pool.select(*selector, request).value_or(4) == 4);
        }
    }
}

TEST_CASE("a part goes to its holder, and without one to the same target at each gateway")
{
    for (const PolicyKind kind : {PolicyKind::BoundedRendezvous, PolicyKind::RoomRendezvous}) {
        const auto first = makeTargetSelector(kind, 1);
        const auto second = makeTargetSelector(kind, 2);
        const Pool pool({1, 1, 1, 1, 1, 1});
        for (std::uint64_t part = 1; part < 50; ++part) {
            SelectionRequest request;
            request.partHash = part;
            request.requestHash = part * 7;
            CHECK(pool.select(*first, request) == pool.select(*second, request));
            request.holders = {TargetId{"i-2"}};
            CHECK(pool.select(*first, request) == 2);
        }
    }
}

TEST_CASE("late reports of short requests do not decide where the next ones go")
{
    const auto selector = makeTargetSelector(PolicyKind::LeastExpected, 1);
    Pool pool({0, 6, 6, 6, 6, 6});
    for (TargetState &state : pool.states) {
        state.averageAnswerMs = 40;
        state.lastSentNumber = 1;
    }
    pool.states[3].lastSentNumber = 0;
    CHECK(pool.select(*selector, {}) == 3);
    for (TargetState &state : pool.states) {
        state.averageAnswerMs = 5000;
    }
    CHECK(pool.select(*selector, {}) == 0);
}

TEST_CASE("only the selector that fills room smooths loads, and not those above what chance explains")
{
    TargetState state;
    state.averageLoad = 4;
    state.peersInFlight = 6;
    CHECK(makeTargetSelector(PolicyKind::BoundedRendezvous, 1)->estimateInFlight(state) == 6);
    const auto byRoom = makeTargetSelector(PolicyKind::RoomRendezvous, 1);
    CHECK(byRoom->estimateInFlight(state) == 5);
    state.peersInFlight = 9;
    CHECK(byRoom->estimateInFlight(state) == 9);
}
