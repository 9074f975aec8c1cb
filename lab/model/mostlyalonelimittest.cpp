// Large fleets that decide by reports, alone or beside an owner that a tenth of them asks.

#include "lab/model/promptreadingmodel.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

/** The stated limit: of the requests of five seconds, so many reach targets that hold over twice the mean and three. */
constexpr double mostAboveLimit = 0.03;

PromptReadingDay dayOf(std::size_t gateways, std::size_t targets, double alone)
{
    PromptReadingDay day;
    day.gateways = gateways;
    day.targets = targets;
    day.perSecond = static_cast<double>(targets) * 10;
    day.tokensPerMs = 56.9;
    day.hotShare = 0.28;
    day.judgedFrom = Millis{1500};
    day.length = Millis{7000};
    day.alone = {Millis{0}, day.length, alone};
    return day;
}

double worstFiveSeconds(PromptReadingDay day, std::uint64_t seeds)
{
    double worst = 0;
    for (day.seed = 1; day.seed <= seeds; ++day.seed) {
        worst = std::max(worst, playPromptReading(day, {QueueOrder::ShortestFirst, true}).worstFiveSeconds);
    }
    MESSAGE("above the limit: " << worst);
    return worst;
}

} // namespace

// Guards against engines that are crowded while most gateways reach no owner from their start on.
TEST_CASE("122 gateways keep the limit of 90 engines while nine tenths of them decide alone from the start")
{
    CHECK(worstFiveSeconds(dayOf(122, 90, 0.9), 2) <= mostAboveLimit);
}

// Guards against engines that are crowded because their service is too large for an owner.
TEST_CASE("120 gateways keep the limit of 160 engines by reports")
{
    CHECK(worstFiveSeconds(dayOf(120, 160, 1), 6) <= mostAboveLimit);
}
