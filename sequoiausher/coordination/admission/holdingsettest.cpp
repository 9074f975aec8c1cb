#include "sequoiausher/coordination/admission/holdingset.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

namespace {

HoldingSet setOf(const std::vector<RequestId> &reservations)
{
    HoldingSet set;
    for (const RequestId &reservation : reservations) {
        set.add(reservation);
    }
    return set;
}

} // namespace

TEST_CASE("the digest does not depend on the order of the ids, and it differs if one id differs")
{
    const RequestId a{1, 2};
    const RequestId b{2, 1};
    const RequestId c{1, 3};
    CHECK(setOf({a, b, c}) == setOf({c, a, b}));
    CHECK(!(setOf({a, b}) == setOf({a, c})));
    CHECK(!(setOf({a, b}) == setOf({a})));
    CHECK(!(setOf({a}) == setOf({b})));
    CHECK(setOf({}) == HoldingSet{});
}
