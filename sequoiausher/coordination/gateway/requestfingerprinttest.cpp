#include "sequoiausher/coordination/gateway/requestfingerprint.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("requests are the same by caller, path and body together")
{
    const RequestFingerprint one = fingerprintOf({"garage"}, "/desk/1?a", "plate");
    CHECK(fingerprintOf({"garage"}, "/desk/1?a", "plate") == one);
    CHECK(fingerprintOf({"dealer"}, "/desk/1?a", "plate") != one);
    CHECK(fingerprintOf({""}, "/desk/1?a", "plate") != one);
    CHECK(fingerprintOf({"garage"}, "/desk/1?b", "plate") != one);
    CHECK(fingerprintOf({"garage"}, "/desk/1?a", "") != one);
    CHECK(fingerprintOf({"garage"}, "/desk/1", "?aplate") != one);
    CHECK(toText(one) != toText(fingerprintOf({"garage"}, "/desk/1?a", "")));
}
