#include "sequoiausher/coordination/gateway/requestfingerprint.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("the fingerprint depends on caller, path and body")
{
    const RequestFingerprint one = computeFingerprint({"garage"}, "/desk/1?a", "plate");
    CHECK(computeFingerprint({"garage"}, "/desk/1?a", "plate") == one);
    CHECK(computeFingerprint({"dealer"}, "/desk/1?a", "plate") != one);
    CHECK(computeFingerprint({""}, "/desk/1?a", "plate") != one);
    CHECK(computeFingerprint({"garage"}, "/desk/1?b", "plate") != one);
    CHECK(computeFingerprint({"garage"}, "/desk/1?a", "") != one);
    CHECK(computeFingerprint({"garage"}, "/desk/1", "?aplate") != one);
    CHECK(toText(one) != toText(computeFingerprint({"garage"}, "/desk/1?a", "")));
}
