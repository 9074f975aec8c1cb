#include "sequoiausher/coordination/gateway/promptparts.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const Millis now{1000};
const TargetId one{"t1"};
const TargetId two{"t2"};
const TargetId three{"t3"};

GatewayTarget target(const TargetId &id)
{
    GatewayTarget made;
    made.id = id;
    made.service.value = "llm";
    made.address = id.value + ":80";
    return made;
}

struct Fleet
{
    Fleet()
    {
        this->board.setTargets({target(one), target(two), target(three)}, now);
    }

    std::string source(const PromptParts &parts, const TargetId &to)
    {
        const auto found = parts.findCopySource(this->directory, this->board, to, std::nullopt, now);
        return found ? found->target.address : "";
    }

    PrefixDirectory directory;
    TargetBoard board{1};
};

} // namespace

TEST_CASE("the last part is the request's own, unless it is the only one")
{
    CHECK(PromptParts().empty());
    CHECK(PromptParts({7}).lastShared() == 7);
    const PromptParts parts({1, 2, 3});
    CHECK(parts.first() == 1);
    CHECK(parts.lastShared() == 2);
}

// Guards against reading prompts again that another target has cached. After requests moved on to a second target, or a
// target was replaced, prompts of 8,000 tokens were read again in 140 ms each while a target beside it had the part in
// its cache, because the second target was not given a source to copy from.
TEST_CASE("a target that lacks the shared part copies it from a sound one that has it")
{
    Fleet fleet;
    const PromptParts parts({1, 2, 3});
    CHECK(fleet.source(parts, one).empty());
    parts.recordSent(fleet.directory, one, now);
    CHECK(fleet.source(parts, one).empty());
    CHECK(fleet.source(parts, two) == "t1:80");
    SUBCASE("from the least loaded of several")
    {
        parts.recordSent(fleet.directory, two, now);
        fleet.board.recordStart(one, Millis{0});
        CHECK(fleet.source(parts, three) == "t2:80");
    }
    SUBCASE("not from a target that does not answer, or is gone")
    {
        fleet.board.recordStart(one, Millis{0});
        fleet.board.recordStart(one, Millis{0});
        fleet.board.recordEnd(one, TargetOutcome::Lost, now);
        fleet.board.recordEnd(one, TargetOutcome::Lost, now);
        CHECK(fleet.source(parts, two).empty());
        fleet.board.setTargets({target(two), target(three)}, now);
        CHECK(fleet.source(parts, two).empty());
    }
    SUBCASE("from a holder of the longest beginning")
    {
        const PromptParts other({1, 9, 4});
        CHECK(fleet.source(other, two) == "t1:80");
        CHECK(fleet.source(other, one).empty());
        PromptParts({1, 9, 5}).recordSent(fleet.directory, two, now);
        CHECK(fleet.source(other, one) == "t2:80");
    }
}

TEST_CASE(
    "three holders of an earlier part are remembered, and as many of the last shared part as the directory allows")
{
    Fleet fleet;
    for (std::uint64_t i = 0; i < 5; ++i) {
        PromptParts({1, 100 + i, 0}).recordSent(fleet.directory, TargetId{"t" + std::to_string(i)}, now);
        PromptParts({50, 60, 0}).recordSent(fleet.directory, TargetId{"t" + std::to_string(i)}, now);
    }
    CHECK(fleet.directory.holders(1, now).size() == 3);
    CHECK(fleet.directory.holders(60, now).size() == 5);
}

TEST_CASE("a target reads the parts that it neither has nor copies")
{
    Fleet fleet;
    const PromptParts parts({1, 2, 3}, {2500, 6000, 580});
    const PromptParts other({1, 4, 5}, {2500, 4000, 300});
    CHECK(parts.tokensToRead(fleet.directory, one, 0, now) == 9080);
    CHECK(parts.tokensToRead(fleet.directory, one, 1, now) == 6580);
    CHECK(parts.tokensToRead(fleet.directory, one, 2, now) == 580);
    other.recordSent(fleet.directory, one, now);
    CHECK(parts.tokensToRead(fleet.directory, one, 0, now) == 6580);
    CHECK(parts.tokensToRead(fleet.directory, two, 0, now) == 9080);
    parts.recordSent(fleet.directory, one, now);
    CHECK(parts.tokensToRead(fleet.directory, one, 0, now) == 580);
}

// The directory remembers few targets for a part that most of them have.
TEST_CASE("a beginning in wide use counts as cached")
{
    Fleet fleet;
    std::uint64_t last = 10;
    for (const TargetId &target : {one, two, three}) {
        PromptParts({1, ++last, 3}).recordSent(fleet.directory, target, now);
    }
    const PromptParts parts({1, 2, 3}, {2500, 6000, 580});
    CHECK(parts.tokensToRead(fleet.directory, TargetId{"t4"}, 0, now) == 6580);
}
