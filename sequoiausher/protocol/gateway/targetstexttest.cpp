#include "sequoiausher/protocol/gateway/targetstext.h"

#include "sequoiausher/base/ini/problem.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("a list of targets comes back as it was written")
{
    const std::vector<GatewayTarget> targets{
        {TargetId{"i-7f3a"}, PoolId{"desk"}, "10.0.0.1:80", DataCentreId{"hall-a"}, 6, false},
        {TargetId{"i-02d9"}, PoolId{"llm"}, "10.0.0.2:80", DataCentreId{"hall-b"}, 64, true}};
    CHECK(parseTargetsText(toText(targets), "p") == targets);
    CHECK(parseTargetsText("", "p").empty());
    const std::vector<GatewayTarget> odd{
        {TargetId{"an id/with:marks;and=#these"}, PoolId{"a service"}, "10.0.0.1:80", DataCentreId{}, 6, false}};
    CHECK(parseTargetsText(toText(odd), "p") == odd);
    CHECK_THROWS_AS(parseTargetsText("[target a]\naddress = x\n", "p"), ProblemsError);
    const TargetId life = incarnationId(TargetId{"i-7f3a"}, Millis{1764700000000});
    const std::vector<GatewayTarget> reborn{
        {life, PoolId{"desk"}, "10.0.0.1:80", DataCentreId{}, 6, false, Millis{1764700000000}}};
    CHECK(parseTargetsText(toText(reborn), "p") == reborn);
    CHECK_THROWS_AS(parseTargetsText("[target 1]\nid = i-7f3a\nborn_ms = 5\n", "p"), Error);
}

// Guards against gateways of the last release, which read no list with a key that they do not know, and so would miss
// that targets leave.
TEST_CASE("software versions are written only for gateways that read them")
{
    std::vector<GatewayTarget> targets{
        {TargetId{"i-7f3a"}, PoolId{"desk"}, "10.0.0.1:80", DataCentreId{"hall-a"}, 6, false}};
    targets[0].softwareVersion = "v1.2";
    CHECK(parseTargetsText(toText(targets), "p") == targets);
    CHECK(toText(targets, TargetsFormat::Plain).find("version") == std::string::npos);
    const TargetChanges changes{7, 12, targets, {}};
    CHECK(parseTargetChanges(toText(changes), "p") == changes);
    CHECK(toText(changes, TargetsFormat::Plain).find("version") == std::string::npos);
}

TEST_CASE("changes of a list come back as they were written")
{
    const TargetChanges changes{7,
                                12,
                                {{TargetId{"i-7f3a"}, PoolId{"desk"}, "10.0.0.1:80", DataCentreId{"hall-a"}, 6, true}},
                                {TargetId{"i-02d9"}, TargetId{"i-aa01"}}};
    CHECK(parseTargetChanges(toText(changes), "p") == changes);
    CHECK(parseTargetChanges(toText(TargetChanges{3, 3, {}, {}}), "p") == TargetChanges{3, 3, {}, {}});
    CHECK_THROWS_AS(parseTargetChanges("", "p"), Error);
    CHECK_THROWS_AS(parseTargetChanges("[changes]\nfrom = x\nto = 3\n", "p"), ProblemsError);
}
