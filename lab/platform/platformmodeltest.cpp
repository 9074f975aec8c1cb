#include "lab/platform/platformmodel.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

TEST_CASE("each change has a higher revision, and a document taken away is listed as such")
{
    PlatformModel platform;
    const Millis now{1000};
    platform.put("a", "one", now);
    platform.put("b", "two", now);
    CHECK(platform.erase("a", now));
    CHECK(!platform.erase("a", now));
    const Listing all = platform.list(0);
    CHECK(all.revision == 3);
    REQUIRE(all.documents.size() == 2);
    CHECK(all.documents[0] == ListedDocument{"a", 3, true});
    CHECK(platform.list(2).documents.size() == 1);
    CHECK(!platform.get("a").has_value());
    CHECK(platform.get("b")->body == "two");
}

TEST_CASE("a watch ends with what is new, at once or later, or empty at its deadline")
{
    PlatformModel platform;
    platform.put("a", "one", Millis{1000});
    CHECK(platform.watch(1, 0, Millis{2000}, Millis{1000})->documents.size() == 1);
    CHECK(!platform.watch(2, 1, Millis{2000}, Millis{1000}).has_value());
    CHECK(!platform.watch(3, 1, Millis{9000}, Millis{1000}).has_value());
    CHECK(platform.nextDue() == Millis{2000});
    platform.advance(Millis{2000});
    auto answers = platform.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].watch == 2);
    CHECK(answers[0].listing->documents.empty());
    platform.put("b", "two", Millis{3000});
    answers = platform.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].watch == 3);
    CHECK(answers[0].listing->documents[0].name == "b");
    CHECK(platform.nextDue() == Millis::never());
}

TEST_CASE("a down service refuses calls and drops waiting watches, and counts what it refuses")
{
    PlatformModel platform;
    platform.put("a", "one", Millis{1000});
    CHECK(platform.countRead(ReadKind::Watch, Millis{1000}));
    platform.watch(1, 1, Millis{9000}, Millis{1000});
    platform.setMode(PlatformMode::Down, Millis{1100});
    const auto answers = platform.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(!answers[0].listing.has_value());
    CHECK(!platform.countRead(ReadKind::Get, Millis{1200}));
    const ReadCounts counts = platform.reads(Millis{2000});
    CHECK(counts.watches == 1);
    CHECK(counts.gets == 1);
    CHECK(counts.refused == 1);
    CHECK(counts.peakPerSecond == 2);
    CHECK(counts.perSecond == doctest::Approx(0.2));
}

TEST_CASE("a stale service shows the state at the switch until it is up again")
{
    PlatformModel platform;
    platform.put("a", "old", Millis{1000});
    platform.setMode(PlatformMode::Stale, Millis{1000});
    platform.put("a", "new", Millis{1100});
    CHECK(platform.get("a")->body == "old");
    CHECK(platform.list(0).revision == 1);
    CHECK(!platform.watch(1, 1, Millis{9000}, Millis{1200}).has_value());
    CHECK(platform.takeAnswers().empty());
    platform.setMode(PlatformMode::Up, Millis{1300});
    CHECK(platform.get("a")->body == "new");
    const auto answers = platform.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].listing->documents[0].revision == 2);
}

TEST_CASE("lists of instances and targets become visible late, under a revision that no watch has passed")
{
    PlatformModel platform;
    platform.setListLag(Millis{500});
    platform.put("targets/plates", "list", Millis{1000});
    platform.put("rules/fleet", "rules", Millis{1100});
    CHECK(platform.list(0).documents.size() == 1);
    CHECK(platform.newest("targets/plates") == "list");
    CHECK(!platform.watch(1, 1, Millis{9000}, Millis{1200}).has_value());
    platform.advance(Millis{1499});
    CHECK(platform.takeAnswers().empty());
    platform.advance(Millis{1500});
    const auto answers = platform.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].listing->documents[0] == ListedDocument{"targets/plates", 2, false});
}

TEST_CASE("the state of one target is edited in its own section only")
{
    const std::string text = "[pool]\nkind = engine\n[target a]\naddress = x\nstate = live\n[target b]\nstate=live\n";
    const auto edited = withTargetState(text, "b", "leaving");
    REQUIRE(edited.has_value());
    CHECK(*edited == "[pool]\nkind = engine\n[target a]\naddress = x\nstate = live\n[target b]\nstate = leaving\n");
    CHECK(!withTargetState(text, "c", "leaving").has_value());
}
