// The two ways to place prompts side by side, in fleets of different sizes before engines in proportion: by an owner,
// as the shipped rules have it, and by the reports that gateways send each other.

#include "lab/model/promptreadingmodel.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

constexpr std::uint64_t seeds = 2;
/** The stated limit: of the requests of five seconds, so many reach targets that hold over twice the mean and three. */
constexpr double mostAboveLimit = 0.03;

struct FleetSize
{
    std::size_t gateways = 0;
    std::size_t targets = 0;
};

constexpr auto fleetSizes = std::to_array<FleetSize>({{2, 12}, {7, 12}, {20, 30}});

PromptReadingDay dayOf(const FleetSize &size)
{
    PromptReadingDay day;
    day.gateways = size.gateways;
    day.targets = size.targets;
    day.perSecond = static_cast<double>(size.targets) * 10;
    day.tokensPerMs = 56.9;
    day.hotShare = 0.28;
    day.judgedFrom = Millis{1500};
    day.length = Millis{7000};
    return day;
}

/** The worst of the seeds. */
double worstFiveSeconds(PromptReadingDay day, bool asksOwner)
{
    double worst = 0;
    for (day.seed = 1; day.seed <= seeds; ++day.seed) {
        const PromptReadingResult result = playPromptReading(day, {QueueOrder::ShortestFirst, asksOwner});
        worst = std::max(worst, result.worstFiveSeconds);
    }
    return worst;
}

/** What gateways that decide by reports do about the limit. */
enum class ByReports {
    NotPlayed,
    /** They keep it in fleets of all sizes. */
    Keep,
    /** They break it at some size. */
    Break,
};

struct Trouble
{
    std::string name;
    void (*strike)(PromptReadingDay &day);
    ByReports byReports = ByReports::NotPlayed;
};

const ModelDisruption twoFifths{Millis{2000}, Millis{6500}, 0.42};

const std::vector<Trouble> &troubles()
{
    static const std::vector<Trouble> all{
        {"nothing", [](PromptReadingDay &) {}, ByReports::Keep},
        {"reports a second old", [](PromptReadingDay &day) { day.reportInterval = Millis{1000}; }, ByReports::Break},
        {"an owner that takes 25 ms", [](PromptReadingDay &day) { day.ownerWayMs = 25; }},
        {"twice the load", [](PromptReadingDay &day) { day.perSecond *= 2; }},
        {"two fifths of the engines leave", [](PromptReadingDay &day) { day.leaving = twoFifths; }, ByReports::Break},
        {"three quarters lose 60% of their answers",
         [](PromptReadingDay &day) {
             day.losing = {Millis{2000}, Millis{6500}, 0.75};
             day.lostShare = 0.6;
         },
         ByReports::Keep},
        {"half of the gateways decide alone",
         [](PromptReadingDay &day) {
             day.alone = {Millis{2000}, Millis{6500}, 0.5};
         }},
        {"two owners",
         [](PromptReadingDay &day) {
             day.divided = {Millis{2000}, Millis{6500}, 0.5};
         }},
        {"the owner dies",
         [](PromptReadingDay &day) {
             day.ownerEndsAt = 3000;
             day.ownerBackAt = 3100;
         }},
    };
    return all;
}

} // namespace

// Guards against targets above their limit in a fleet whose size is on the wrong side of a border.
TEST_CASE("an owner keeps the limit in a fleet of any size, where gateways that decide by reports do not")
{
    for (const Trouble &trouble : troubles()) {
        double worstByReports = 0;
        for (const FleetSize &size : fleetSizes) {
            PromptReadingDay day = dayOf(size);
            trouble.strike(day);
            const double byOwner = worstFiveSeconds(day, true);
            const double byReports = trouble.byReports != ByReports::NotPlayed ? worstFiveSeconds(day, false) : 0;
            worstByReports = std::max(worstByReports, byReports);
            MESSAGE(trouble.name << ", " << size.gateways << " gateways: owner " << byOwner << ", reports "
                                 << byReports);
            CAPTURE(trouble.name);
            CAPTURE(size.gateways);
            CHECK(byOwner <= mostAboveLimit);
        }
        CHECK((trouble.byReports != ByReports::Break || worstByReports > mostAboveLimit));
        CHECK((trouble.byReports != ByReports::Keep || worstByReports <= mostAboveLimit));
    }
}

// Guards against holders of a much used part that are crowded in the age of a report by gateways which each know little
// of what the others send.
TEST_CASE("gateways that decide alone keep the limit of the engines")
{
    struct Fleet
    {
        FleetSize size;
        /** The share of the gateways that ask no owner. */
        double alone = 1;
    };
    for (const Fleet &fleet : {Fleet{{20, 30}, 1}, Fleet{{40, 160}, 1}, Fleet{{120, 160}, 1}, Fleet{{20, 30}, 0.9}}) {
        PromptReadingDay day = dayOf(fleet.size);
        day.alone = {Millis{0}, day.length, fleet.alone};
        const double worst = worstFiveSeconds(day, fleet.alone < 1);
        MESSAGE(fleet.size.gateways << " gateways, " << fleet.size.targets << " engines: " << worst);
        CAPTURE(fleet.size.gateways);
        CHECK(worst <= mostAboveLimit);
    }
}
