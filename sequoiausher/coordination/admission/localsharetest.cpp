#include "sequoiausher/coordination/admission/localshare.h"
#include "sequoiausher/coordination/admission/localplacement.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/policies/loadbound.h"

#include <doctest/doctest.h>

#include <map>
#include <numeric>

using namespace Sequoiausher;

namespace {

std::vector<InstanceId> routersOf(int count)
{
    std::vector<InstanceId> routers;
    for (int i = 0; i < count; ++i) {
        routers.push_back(InstanceId{"r" + std::to_string(i)});
    }
    return routers;
}

std::vector<TargetView> targetsOf(std::size_t count)
{
    std::vector<TargetView> targets;
    for (std::size_t i = 0; i < count; ++i) {
        const TargetId target{"t" + std::to_string(i)};
        targets.push_back({{target, "", DataCentreId{}, {1, LifeState::Live}, {}}, hash64(target.value)});
    }
    return targets;
}

} // namespace

TEST_CASE("the shares of all routers add up to the headroom, also with a remainder")
{
    for (const int count : {1, 7, 100}) {
        const std::vector<InstanceId> routers = routersOf(count);
        for (const std::uint64_t headroom : {0, 2, 7, 9, 250}) {
            std::uint64_t sum = 0;
            for (const InstanceId &router : routers) {
                sum += localShare(headroom, routerRank(routers, router, 77), routers.size());
            }
            CHECK(sum == headroom);
        }
    }
    CHECK(routerRank(routersOf(3), InstanceId{"other"}, 77) == 3);
    CHECK(localShare(9, 3, 3) == 0);
    CHECK(localHeadroom(HeadroomInput{125, 0, 4, 0, std::nullopt}) == 1);
    CHECK(localHeadroom(HeadroomInput{125, 80, 8, 9, 11}) == 2);
    CHECK(localHeadroom(HeadroomInput{125, 80, 8, 20, std::nullopt}) == 0);
}

TEST_CASE("the bound holds even if every router uses its full local share at the same time")
{
    // Guards against engines far above the bound for seconds after an owner's death: all routers have the same load
    // reports, place requests without the owner and do not see each other's requests, so each would use the whole
    // headroom of the same target.
    struct Case
    {
        int routers;
        std::vector<std::uint32_t> loads;
    };
    const Case cases[] = {
        {7, {10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10}},
        {7, {0, 0, 0, 0}},
        {7, {12, 0, 3, 11, 2, 9}},
        {100, {37, 46, 30, 41, 37, 20, 45, 37, 39, 35, 33, 40, 37, 37, 44, 29}},
    };
    for (const Case &each : cases) {
        const std::vector<InstanceId> routers = routersOf(each.routers);
        const std::vector<TargetView> targets = targetsOf(each.loads.size());
        std::map<TargetId, std::uint64_t> carried;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            carried[targets[i].description.target] = each.loads[i];
        }
        const std::uint64_t total = std::accumulate(each.loads.begin(), each.loads.end(), std::uint64_t{0});
        std::size_t placed = 0;
        for (const InstanceId &router : routers) {
            LocalPlacement placement(router, Millis{3000}, 1);
            for (std::size_t i = 0; i < targets.size(); ++i) {
                placement.recordLoad(targets[i].description.target, ReportedLoad{1, each.loads[i], Millis{0}});
            }
            for (std::uint64_t chat = 0; chat < 200; ++chat) {
                const PlacementRequest placementRequest{RequestId{0, chat},
                                                        PoolId{"p"},
                                                        hash64(std::to_string(chat)),
                                                        PolicyKind::BoundedRendezvous,
                                                        125,
                                                        {}};
                const auto target = placement.choose(Millis{100}, placementRequest, targets, routers, {});
                if (target) {
                    placement.recordPlacement(*target);
                    carried[*target] += 1;
                    placed += 1;
                    CHECK(carried[*target] <= loadBound(125, total, targets.size()));
                }
            }
            const PlacementRequest late{RequestId{1, 1}, PoolId{"p"}, 1, PolicyKind::BoundedRendezvous, 125, {}};
            CHECK_FALSE(placement.choose(Millis{9000}, late, targets, routers, {}).has_value());
        }
        CHECK(placed > 0);
    }
}
