#include "sequoiausher/coordination/gateway/holderchoice.h"

#include "sequoiausher/base/hashing.h"

#include <doctest/doctest.h>

#include <map>

using namespace Sequoiausher;

namespace {

PoolLoad threeTargets(std::uint32_t first, std::uint32_t second, std::uint64_t bound)
{
    PoolLoad load;
    load.targets = {{TargetId{"a"}, 1, first}, {TargetId{"b"}, 2, second}, {TargetId{"c"}, 3, 0}};
    load.minimumBound = bound;
    return load;
}

/** Counts how often each index is chosen for 1,000 requests; -1 stands for none. */
std::map<int, int> choices(const std::vector<TargetId> &holders, const PoolLoad &load, double unreported = 0)
{
    std::map<int, int> counts;
    for (int request = 0; request < 1000; ++request) {
        const auto index = chooseHolder(holders, load, unreported, hash64(std::to_string(request)));
        counts[index ? static_cast<int>(*index) : -1] += 1;
    }
    return counts;
}

} // namespace

TEST_CASE("holders share a part's requests in proportion to their room")
{
    const std::map<int, int> counts = choices({TargetId{"a"}, TargetId{"b"}}, threeTargets(2, 6, 10));
    CHECK(counts.count(-1) == 0);
    CHECK(counts.count(2) == 0);
    CHECK(counts.at(0) > 600);
    CHECK(counts.at(1) > 270);
}

TEST_CASE("a holder at the bound, an unusable one and one that is not listed get no request")
{
    PoolLoad load = threeTargets(10, 0, 10);
    load.targets[1].usable = false;
    CHECK(choices({TargetId{"a"}, TargetId{"b"}, TargetId{"x"}}, load).at(-1) == 1000);
    CHECK(choices({}, load).at(-1) == 1000);
}

TEST_CASE("the less room is left, the fewer requests a holder takes")
{
    CHECK(choices({TargetId{"a"}}, threeTargets(7, 0, 10)).count(-1) == 0);
    const int withTwo = choices({TargetId{"a"}}, threeTargets(8, 0, 10)).at(0);
    const int withOne = choices({TargetId{"a"}}, threeTargets(9, 0, 10)).at(0);
    CHECK(withTwo > 600);
    CHECK(withTwo < 730);
    CHECK(withOne > 270);
    CHECK(withOne < 400);
}

// Guards against gateways that each fill the room of a part's holders before any of them learns of the others'
// requests.
TEST_CASE("holders take as many of the requests that nobody knows of as they have room for")
{
    const std::vector<TargetId> holders{TargetId{"a"}, TargetId{"b"}};
    const PoolLoad load = threeTargets(4, 6, 10);
    CHECK(choices(holders, load, 10).count(-1) == 0);
    const int turnedAway = choices(holders, load, 40).at(-1);
    CHECK(turnedAway > 700);
    CHECK(turnedAway < 800);
}
