#include "lab/model/promptreadingmodel.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

constexpr std::uint64_t seeds = 3;
constexpr PromptReadingPolicy byReports{QueueOrder::Class, false};
constexpr PromptReadingPolicy shortestFirst{QueueOrder::ShortestFirst, false};
constexpr PromptReadingPolicy owned{QueueOrder::ShortestFirst, true};
constexpr PromptReadingPolicy ownedWithoutSpeed{QueueOrder::ShortestFirst, true, false};

/** Means over the seeds. */
struct Played
{
    double late = 0;
    double aboveLimit = 0;
    double readAgain = 0;
    double copied = 0;
    double longestMs = 0;
};

Played play(PromptReadingDay day, const PromptReadingPolicy &policy)
{
    Played played;
    for (day.seed = 1; day.seed <= seeds; ++day.seed) {
        const PromptReadingResult result = playPromptReading(day, policy);
        played.late += result.shareLate() / seeds;
        played.aboveLimit = std::max(played.aboveLimit, result.shareAboveLimit());
        played.readAgain += static_cast<double>(result.readAgain) / static_cast<double>(result.sent) / seeds;
        played.copied += static_cast<double>(result.copied) / static_cast<double>(result.sent) / seeds;
        played.longestMs = std::max(played.longestMs, result.longestMs);
    }
    MESSAGE("late " << played.late << ", above the limit " << played.aboveLimit << ", read again " << played.readAgain
                    << ", copied " << played.copied << ", longest " << played.longestMs);
    return played;
}

} // namespace

TEST_CASE("a day is the same for the same seed")
{
    const PromptReadingResult one = playPromptReading({}, owned);
    const PromptReadingResult same = playPromptReading({}, owned);
    CHECK(one.sent == same.sent);
    CHECK(one.late == same.late);
    CHECK(one.readAgain == same.readAgain);
}

// Load: all caches are empty, and long prompts come in groups, among short ones.
// Guards against short prompts that are late because they wait behind long ones.
TEST_CASE("with empty caches fewer requests are late if engines read short prompts first")
{
    const Played before = play({}, byReports);
    const Played after = play({}, shortestFirst);
    CHECK(after.late < before.late);
}

// The same load. Guards against prompts that queue at some engines while others are idle, because gateways know of each
// other's requests only after the prompts have been read.
TEST_CASE("with empty caches an owner halves the late requests once more, and reads less again")
{
    const Played before = play({}, shortestFirst);
    const Played after = play({}, owned);
    CHECK(after.late <= before.late / 2);
    CHECK(after.readAgain <= before.readAgain);
    CHECK(after.aboveLimit <= 0.03);
}

// Guards against an owner that sends prompts to engines which are slow at the moment, though their answers tell it.
TEST_CASE("the owner's choice gains by what engines tell of their speed")
{
    CHECK(play({}, owned).late < play({}, ownedWithoutSpeed).late);
}

TEST_CASE("an owner helps fleets of 7, 88 and 300 gateways")
{
    for (const std::size_t gateways : {7, 88, 300}) {
        CAPTURE(gateways);
        PromptReadingDay day;
        day.gateways = gateways;
        const Played before = play(day, shortestFirst);
        const Played after = play(day, owned);
        CHECK(after.late <= before.late);
        CHECK(after.aboveLimit <= 0.03);
    }
}

// Failure: the owner ends while prompts wait everywhere; for a while gateways decide alone, and the next owner knows
// nothing of the requests that are placed. Guards against engines that are overloaded in that time.
TEST_CASE("the limit of the engines holds when the owner ends, and lateness stays below that without owners")
{
    PromptReadingDay day;
    day.ownerEndsAt = 1500;
    day.ownerBackAt = 2000;
    const Played before = play({}, shortestFirst);
    const Played after = play(day, owned);
    CHECK(after.late <= before.late);
    CHECK(after.aboveLimit <= 0.03);
}

// Load: over two and a half times the usual traffic. Guards against long prompts that never get their turn.
TEST_CASE("no prompt waits without end when short ones go first")
{
    PromptReadingDay day;
    day.perSecond = 1500;
    const Played after = play(day, owned);
    CHECK(after.longestMs <= 5000);
}
