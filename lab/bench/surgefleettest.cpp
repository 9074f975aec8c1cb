#include "lab/bench/surgefleet.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr auto urgent = static_cast<std::size_t>(RequestClass::Urgent);
constexpr auto interactive = static_cast<std::size_t>(RequestClass::Interactive);
constexpr auto background = static_cast<std::size_t>(RequestClass::Background);
constexpr double tail = 0.95;
constexpr double mostMoved = 1.10;

/** A run without the surge and one with it. */
struct Comparison
{
    SurgeResult quiet;
    SurgeResult surging;

    /** The p95 of the others' first tokens in the surge, over that without it. */
    double others(std::size_t index) const
    {
        return this->surging.others[index].quantile(tail) / this->quiet.others[index].quantile(tail);
    }

    /** Everybody's requests of one class in the surge. */
    GroupResult all(std::size_t index) const
    {
        GroupResult both = this->surging.others[index];
        both.merge(this->surging.surging[index]);
        return both;
    }
};

Comparison compare(FleetSurgeSettings settings, std::uint64_t seed)
{
    settings.load.seed = seed;
    Comparison result;
    result.quiet = simulateFleetSurge(settings);
    settings.load.surgeFactor = 10;
    result.surging = simulateFleetSurge(settings);
    return result;
}

/** Whether urgent requests keep their time, everybody's, and none is refused. */
bool urgentUnmoved(const Comparison &result)
{
    const double quiet = result.quiet.others[urgent].quantile(tail);
    return result.all(urgent).quantile(tail) <= quiet * mostMoved && result.all(urgent).refused == 0;
}

} // namespace

// Symptom: a review-day report waits for hundreds of milliseconds. Sequence: an organisation sends ten times its rate
// over all routers; the pool's owner has no room for its background work. Cause: the router then held back its whole
// queue, the urgent requests too, until one of its own requests was done.
TEST_CASE("a surge over seven routers leaves urgent requests alone; naive queues fail the same check")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        const Comparison fair = compare({}, seed);
        CAPTURE(fair.others(urgent));
        CAPTURE(fair.others(interactive));
        CHECK(urgentUnmoved(fair));
        CHECK(fair.all(background).refusedShare() > 4 * fair.all(interactive).refusedShare());
        FleetSurgeSettings naive;
        naive.makeQueue = naiveQueue;
        CHECK(!urgentUnmoved(compare(naive, seed)));
    }
}
