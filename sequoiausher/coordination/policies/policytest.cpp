#include "sequoiausher/coordination/policies/policy.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/policies/loadbound.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

PoolLoad poolOf(const std::vector<std::uint32_t> &loads)
{
    PoolLoad load;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const TargetId target{"t" + std::to_string(i)};
        load.targets.push_back(TargetLoad{target, hash64(target.value), loads[i], loads[i], true});
        load.total += loads[i];
    }
    load.counted = loads.size();
    return load;
}

} // namespace

TEST_CASE("the bound is the set multiple of the mean, rounded up")
{
    CHECK(loadBound(125, 99, 10) == 13);
    CHECK(loadBound(125, 0, 12) == 1);
    CHECK(loadBound(125, 7, 0) == 0);
    CHECK(loadBound(50, 9, 10) == 1);
    CHECK(strictLoadBound(125, 100, 10) == 12);
}

TEST_CASE("every policy skips what is not usable, and says so where nothing is")
{
    for (const auto &entry : nameTable<PolicyKind>) {
        CAPTURE(entry.name);
        const auto policy = makePolicy(entry.value, 1);
        PoolLoad load = poolOf({0, 0, 0});
        load.targets[0].usable = false;
        load.targets[2].usable = false;
        for (std::uint64_t chat = 0; chat < 20; ++chat) {
            CHECK(policy->choose(load, Choice{chat, 125}) == 1);
        }
        load.targets[1].usable = false;
        CHECK_FALSE(policy->choose(load, Choice{1, 125}).has_value());
        CHECK_FALSE(policy->choose(PoolLoad{}, Choice{1, 125}).has_value());
    }
}

TEST_CASE("a chat's overflow goes to its second choice, as if the first were not there")
{
    const auto bounded = makePolicy(PolicyKind::BoundedRendezvous, 1);
    const auto plain = makePolicy(PolicyKind::Rendezvous, 1);
    for (std::uint64_t chat = 0; chat < 100; ++chat) {
        PoolLoad load = poolOf({4, 4, 4, 4});
        const Choice choice{hash64(std::to_string(chat)), 125};
        const std::size_t first = plain->choose(load, choice).value();
        CHECK(bounded->choose(load, choice) == first);
        const std::size_t other = (first + 1) % load.targets.size();
        CHECK(bounded->choose(load, Choice{choice.chatHash, 125, other}) == other);
        load.targets[first].inFlight = 6;
        CHECK(bounded->choose(load, Choice{choice.chatHash, 125, first}) != first);
        CHECK(plain->choose(load, choice) == first);
        const std::size_t second = bounded->choose(load, choice).value();
        load.targets[first].usable = false;
        CHECK(plain->choose(load, choice) == second);
    }
}

TEST_CASE("least loaded goes by counts, two choices by reports, round robin by turn")
{
    PoolLoad load = poolOf({5, 1, 3});
    CHECK(makePolicy(PolicyKind::LeastLoaded, 1)->choose(load, Choice{7, 125}) == 1);
    load.targets[0].reported = 0;
    int wins = 0;
    const auto two = makePolicy(PolicyKind::TwoChoices, 1);
    for (int i = 0; i < 900; ++i) {
        wins += two->choose(load, Choice{}) == std::size_t{0} ? 1 : 0;
    }
    // The lowest of three wins unless it is not drawn: 1 - (2/3)^2 = 5/9.
    CHECK(wins > 450);
    CHECK(wins < 550);
    const auto turns = makePolicy(PolicyKind::RoundRobin, 1);
    for (std::size_t i = 0; i < 6; ++i) {
        CHECK(turns->choose(load, Choice{}) == i % 3);
    }
}
