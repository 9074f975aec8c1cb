#include "sequoiausher/coordination/spread/relaytree.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace Sequoiausher;

namespace {

std::map<InstanceId, int> received(const RelayTree &tree, std::size_t fanOut, const ReachableTest &isReachable)
{
    constexpr std::uint64_t key = 42;
    std::map<InstanceId, int> copies;
    std::vector<InstanceId> next = tree.rootChildren(key, fanOut, isReachable);
    while (!next.empty()) {
        const InstanceId node = next.back();
        next.pop_back();
        if (++copies[node] == 1) {
            const auto children = tree.children(node, key, fanOut, isReachable);
            next.insert(next.end(), children.begin(), children.end());
        }
    }
    return copies;
}

} // namespace

TEST_CASE("each reachable member receives exactly one copy, whichever members are unreachable")
{
    for (const std::size_t size : {std::size_t{1}, std::size_t{7}, std::size_t{100}, std::size_t{1300}}) {
        for (const std::size_t everyNthDead : {std::size_t{0}, std::size_t{2}, std::size_t{10}}) {
            std::vector<InstanceId> members;
            std::set<InstanceId> dead;
            for (std::size_t i = 0; i < size; ++i) {
                members.push_back({"r" + std::to_string(i)});
                if (everyNthDead > 0 && i % everyNthDead == 1) {
                    dead.insert(members.back());
                }
            }
            const auto isReachable = [&dead](const InstanceId &id) { return dead.count(id) == 0; };
            const auto copies = received(RelayTree(members), 8, isReachable);
            CHECK(copies.size() == size - dead.size());
            for (const auto &entry : copies) {
                CHECK(entry.second == 1);
            }
        }
    }
}

TEST_CASE("a router that is not in the list sends to no member")
{
    const RelayTree tree({{"a"}, {"b"}});
    CHECK(tree.children({"c"}, 1, 8, [](const InstanceId &) { return true; }).empty());
}
