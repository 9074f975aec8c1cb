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

// Guards against a fleet whose gateways hear of no target by each other, since all of them together are too long.
TEST_CASE("the targets of the largest fleet are read as one list")
{
    std::vector<GatewayTarget> targets;
    for (int i = 0; i < 10000; ++i) {
        const std::string number = std::to_string(i);
        targets.push_back({TargetId{"i-0123456789abcdef" + number},
                           PoolId{"a-service-with-a-long-name"},
                           "10.120.130.140:18080",
                           DataCentreId{"data-centre-" + std::to_string(i % 11)},
                           64,
                           false});
    }
    CHECK(parseTargetsText(toText(targets), "p") == targets);
    CHECK(parseTargetChanges(toText(TargetChanges{3, 5, targets, {}}), "p").written == targets);
}

// Guards against one entry of another writer that keeps gateways from learning that targets leave.
TEST_CASE("a target that no list can name is refused, and never makes a list unreadable")
{
    const GatewayTarget good{TargetId{"i-7f3a"}, PoolId{"desk"}, "10.0.0.1:80", DataCentreId{"hall-a"}, 6, false};
    CHECK_NOTHROW(checkTarget(good, "p"));
    std::vector<GatewayTarget> bad(10, good);
    bad[0].service = PoolId{};
    bad[1].id = TargetId{};
    bad[2].address = "";
    bad[3].address = "somewhere";
    bad[4].dataCentre = DataCentreId{" a"};
    bad[5].service = PoolId{"a\nservice"};
    bad[6].slots = 1000001;
    bad[7].softwareVersion = "v1\t";
    bad[8].bornAt = Millis{-1};
    bad[9].service = PoolId{"desk\x7f"};
    for (const GatewayTarget &each : bad) {
        CAPTURE(toText({each}));
        CHECK_THROWS_AS(checkTarget(each, "p"), Error);
        CHECK(parseTargetsText(toText({each, good}), "p") == std::vector<GatewayTarget>{good});
        const TargetChanges changes{3, 5, {each, good}, {}};
        CHECK(parseTargetChanges(toText(changes), "p").written == std::vector<GatewayTarget>{good});
    }
}

// Names as another writer may choose them. Guards against a check that lets a name pass which the list's reader
// refuses.
TEST_CASE("a list can be read with every target that the check allows")
{
    const std::vector<std::string> names{"#", ";", "=", "[", "]", "[x]", "a = b", "\"", "'", "a ; b", "\xc3\xa9", "0"};
    for (const std::string &name : names) {
        CAPTURE(name);
        GatewayTarget target{TargetId{name}, PoolId{name}, "10.0.0.1:80", DataCentreId{name}, 6, false};
        target.softwareVersion = name;
        REQUIRE_NOTHROW(checkTarget(target, "p"));
        CHECK(parseTargetsText(toText({target}), "p") == std::vector<GatewayTarget>{target});
    }
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

// Guards against an entry under an odd name that was written and removed, after which peers refuse all further changes.
TEST_CASE("the removal of an entry under a name that no target has is not passed on")
{
    TargetChanges changes{3, 5, {}, {}};
    for (const char *name : {"a\n[gone 9]", "b\x01", " c", "", "d\r\nid = e", "good"}) {
        changes.gone.push_back(TargetId{name});
    }
    const TargetChanges read = parseTargetChanges(toText(changes, TargetsFormat::Versioned), "a peer");
    CHECK(read.gone == std::vector<TargetId>{TargetId{"good"}});
    CHECK(read.to == 5);
}
