#include "sequoiausher/coordination/claims/claimparameters.h"

#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("the shipped numbers tolerate two forgotten or differing witnesses")
{
    const ClaimParameters shipped;
    CHECK_NOTHROW(checkClaimParameters(shipped));
    CHECK(shipped.tolerated() == 2);
    CHECK(shipped.quorumFor(7).handover().mayMiss == 1);
    CHECK_FALSE(shipped.quorumFor(1).handover().possible);
}

TEST_CASE("fleets smaller than the witness set keep quorums that meet")
{
    const ClaimParameters shipped;
    const std::size_t quorums[] = {1, 1, 2, 3, 4, 4, 4, 4};
    for (std::size_t n = 0; n < std::size(quorums); ++n) {
        CAPTURE(n);
        CHECK(shipped.quorumFor(n).quorum == quorums[n]);
    }
}

TEST_CASE("settings that contradict each other are refused")
{
    const std::map<std::string, std::string> bad[] = {
        {{"quorum", "2"}},
        {{"quorum", "6"}},
        {{"quorum", "four"}},
        {{"quorom", "4"}},
        {{"settle_time_ms", "1000"}},
        {{"lifetime_ms", "10000"}},
        {{"claim_timeout_ms", "3000"}},
        {{"lifetime_ms", "-1"}},
    };
    for (const auto &settings : bad) {
        CAPTURE(settings.begin()->first);
        CHECK_THROWS_AS(parseClaimParameters(settings), Error);
    }
    CHECK(parseClaimParameters({{"lifetime_ms", "60000"}}).lifetime == Millis{60000});
}
