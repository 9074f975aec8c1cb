#include "sequoiausher/coordination/gateway/crashingpartmodel.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace Sequoiausher;

namespace {

struct FleetSize
{
    std::size_t gateways = 0;
    std::size_t hubs = 0;
    std::size_t targets = 0;
    double requestsPerSecond = 0;
};

constexpr FleetSize smallFleet{7, 0, 12, 70};
constexpr FleetSize middleFleet{40, 4, 60, 250};
constexpr FleetSize largeFleet{300, 12, 300, 900};

CrashingPartDay dayOf(const FleetSize &size, std::uint64_t seed)
{
    CrashingPartDay day;
    day.gateways = size.gateways;
    day.hubs = size.hubs;
    day.targets = size.targets;
    day.requestsPerSecond = size.requestsPerSecond;
    day.seed = seed;
    return day;
}

double shareOf(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string toText(const CrashingPartFigures &figures)
{
    return std::to_string(figures.endedUnderPart) + " ended, " + std::to_string(figures.sentAfterReports)
        + " sent after the reports, " + std::to_string(figures.sentAfterContact) + " after the contact window; refused "
        + std::to_string(figures.besideRefused) + " of " + std::to_string(figures.besideAsked)
        + " sound requests beside, " + std::to_string(figures.othersRefused) + " of "
        + std::to_string(figures.othersAsked) + " others; up to " + std::to_string(figures.mostReportEntries)
        + " entries in a report";
}

/**
 * Plays the day and holds it to the aims: nothing sent after the reports, nine tenths of the sound requests beside
 * served.
 * @param sentAfterReports the requests that may be sent all the same.
 */
void checkAims(const CrashingPartDay &day, const std::string &name, std::size_t sentAfterReports = 0)
{
    const CrashingPartFigures figures = playDay(day);
    CAPTURE(name);
    CAPTURE(day.seed);
    const std::string text = toText(figures);
    CAPTURE(text);
    MESSAGE(name, ", seed ", day.seed, ": ", text);
    CHECK(figures.sentAfterReports <= sentAfterReports);
    CHECK(figures.sentAfterContact == 0);
    CHECK(shareOf(figures.besideRefused, figures.besideAsked) <= 0.1);
    CHECK(shareOf(figures.othersRefused, figures.othersAsked) <= 0.001);
}

} // namespace

// Guards against a part that crashes targets at a place in the prompt, or in a fleet, where it is found late or never.
TEST_CASE("nothing with a crashing prompt part is sent once three targets have ended and the reports have passed")
{
    for (const auto &[name, size] : {std::pair("7 gateways", smallFleet), std::pair("40 gateways", middleFleet)}) {
        for (const auto &place : nameTable<CrashingPartPlace>) {
            for (std::uint64_t seed = 1; seed <= 2; ++seed) {
                CrashingPartDay day = dayOf(size, seed);
                day.place = place.value;
                checkAims(day, std::string(name) + ", " + std::string(place.name) + " part");
            }
        }
    }
    checkAims(dayOf(largeFleet, 1), "300 gateways");
}

// Guards against sound parts that are accused in place of the one that crashes targets.
TEST_CASE("a crashing prompt part is found beside targets that end by chance, a second part and gateways that restart")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CrashingPartDay day = dayOf(smallFleet, seed);
        day.chanceEndsPerSecond = 0.5;
        day.seriesOfEnds = 5;
        checkAims(day, "targets that end by chance");
        day.crashingParts = 2;
        // A target that ends with both parts in flight counts for the one that is refused first.
        checkAims(day, "and two parts", 1);
        day = dayOf(smallFleet, seed);
        day.crashingPerSecond = 20;
        checkAims(day, "20 crashing requests a second");
        day = dayOf(smallFleet, seed);
        day.restartsPerSecond = 1;
        // A gateway that starts goes by the first peer that it hears from.
        checkAims(day, "gateways that restart", 1);
        day.place = CrashingPartPlace::Any;
        day.soundUntil = Millis{10000};
        const CrashingPartFigures figures = playDay(day);
        CHECK(figures.sentAfterContact == 0);
    }
}

// Guards against accusing parts of requests that were only in flight when targets ended for other reasons.
TEST_CASE("targets that end by chance accuse no prompt part")
{
    for (const FleetSize &size : {smallFleet, middleFleet}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CrashingPartDay day = dayOf(size, seed);
            day.crashingPerSecond = 0;
            day.chanceEndsPerSecond = static_cast<double>(size.targets) / 40;
            day.seriesOfEnds = size.targets / 3;
            day.length = Millis{60000};
            const CrashingPartFigures figures = playDay(day);
            const std::string text = toText(figures);
            MESSAGE(size.gateways, " gateways, seed ", seed, ": ", text);
            CHECK(shareOf(figures.othersRefused, figures.othersAsked) <= 0.001);
        }
    }
}

TEST_CASE("ways to find a crashing prompt part, side by side")
{
    for (const auto &way : nameTable<CrashJudgement>) {
        CrashingPartFigures small;
        CrashingPartFigures chance;
        CrashingPartFigures late;
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            const auto add = [](CrashingPartFigures &sum, const CrashingPartFigures &figures) {
                sum.endedUnderPart = std::max(sum.endedUnderPart, figures.endedUnderPart);
                sum.sentAfterReports += figures.sentAfterReports;
                sum.sentAfterContact += figures.sentAfterContact;
                sum.besideAsked += figures.besideAsked;
                sum.besideRefused += figures.besideRefused;
                sum.othersAsked += figures.othersAsked;
                sum.othersRefused += figures.othersRefused;
                sum.mostReportEntries = std::max(sum.mostReportEntries, figures.mostReportEntries);
            };
            CrashingPartDay day = dayOf(smallFleet, seed);
            day.judgement = way.value;
            day.place = CrashingPartPlace::Any;
            day.chanceEndsPerSecond = 0.5;
            add(small, playDay(day));
            day.soundUntil = Millis{10000};
            add(late, playDay(day));
            day.soundUntil = Millis{0};
            day.crashingPerSecond = 0;
            day.chanceEndsPerSecond = 1;
            day.seriesOfEnds = day.targets;
            day.length = Millis{60000};
            add(chance, playDay(day));
        }
        const std::string smallText = toText(small);
        const std::string lateText = toText(late);
        const std::string chanceText = toText(chance);
        MESSAGE(std::string(way.name), ", a crashing part: ", smallText);
        MESSAGE(std::string(way.name), ", one that was sound for 10 s: ", lateText);
        MESSAGE(std::string(way.name), ", chance alone: ", chanceText);
        if (way.value == CrashJudgement::Kept) {
            CHECK(small.sentAfterReports == 0);
            CHECK(late.sentAfterContact == 0);
        }
        if (way.value == CrashJudgement::RequestAlone) {
            CHECK(small.sentAfterContact > 0);
        }
    }
}
