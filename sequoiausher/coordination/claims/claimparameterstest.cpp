#include "sequoiausher/coordination/claims/claimparameters.h"

#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("the default parameters tolerate two witnesses that differ or have lost a claim")
{
    const ClaimParameters shipped;
    CHECK_NOTHROW(checkClaimParameters(shipped));
    CHECK(shipped.overlapMargin() == 2);
    CHECK(shipped.quorumFor(7).handoverLimit().maxMissing == 1);
    CHECK_FALSE(shipped.quorumFor(1).handoverLimit().possible);
}

TEST_CASE("in fleets smaller than the witness set, two quorums still share a witness")
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
    // routersettingstest tests these as texts, and also the values that are invalid by themselves.
    using Change = void (*)(ClaimParameters &);
    const Change bad[] = {
        [](ClaimParameters &p) { p.quorum = 2; },
        [](ClaimParameters &p) { p.quorum = 6; },
        [](ClaimParameters &p) { p.witnesses = 0; },
        [](ClaimParameters &p) { p.settleTime = Millis{1000}; },
        [](ClaimParameters &p) { p.lifetime = Millis{10000}; },
        [](ClaimParameters &p) { p.lifetime = Millis{-1}; },
        [](ClaimParameters &p) { p.claimTimeout = Millis{3000}; },
        [](ClaimParameters &p) { p.retryDelay = Millis{0}; },
        [](ClaimParameters &p) { p.contentionDelay = Millis{0}; },
        [](ClaimParameters &p) { p.tombstoneLifetime = Millis{0}; },
        [](ClaimParameters &p) { p.retryAfter = Millis{0}; },
        [](ClaimParameters &p) { p.maxRecords = 0; },
        [](ClaimParameters &p) { p.pageRecords = 0; },
    };
    for (std::size_t i = 0; i < std::size(bad); ++i) {
        CAPTURE(i);
        ClaimParameters parameters;
        bad[i](parameters);
        CHECK_THROWS_AS(checkClaimParameters(parameters), Error);
    }
    ClaimParameters shorter;
    shorter.lifetime = Millis{60000};
    CHECK_NOTHROW(checkClaimParameters(shorter));
}
