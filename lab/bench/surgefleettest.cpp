#include "lab/bench/surgefleet.h"

#include <doctest/doctest.h>

#include <vector>

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

/** Whether the others' interactive requests, too, keep their time, and hardly any is refused. */
bool othersUnmoved(const Comparison &result)
{
    const bool keepTime = result.others(urgent) <= mostMoved && result.others(interactive) <= mostMoved;
    return keepTime && result.surging.others[interactive].refusedShare() <= 0.001;
}

/** Background is shed before anything else; the surge's own interactive requests before the others'. */
bool shedInOrder(const Comparison &result)
{
    const double surge = result.surging.surging[interactive].refusedShare();
    return result.all(background).refusedShare() > 4 * surge
        && surge >= result.surging.others[interactive].refusedShare();
}

/** The owner as it was: a freed place is given to whoever asks first. */
FleetSurgeSettings firstAskFirstServed()
{
    FleetSurgeSettings settings;
    settings.owner = OwnerSettings{};
    settings.tellsOrganisations = false;
    return settings;
}

constexpr std::uint64_t seeds = 3;

} // namespace

// Symptom: a review-day report waits for hundreds of milliseconds. Sequence: an organisation sends ten times its rate
// over all routers; the pool's owner has no room for its background work. Cause: the router then held back its whole
// queue, the urgent requests too, until one of its own requests was done.
TEST_CASE("a surge over seven routers leaves urgent requests alone; naive queues fail the same check")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        CHECK(urgentUnmoved(compare({}, seed)));
        CHECK(urgentUnmoved(compare(firstAskFirstServed(), seed)));
        FleetSurgeSettings naive = firstAskFirstServed();
        naive.makeQueue = naiveQueue;
        CHECK(!urgentUnmoved(compare(naive, seed)));
    }
}

// Symptom: nine organisations wait because of a tenth. Sequence: it surges over all routers of a full pool; each
// router's queue is fair by itself. Cause: the owner gave a freed place to whichever router asked first.
TEST_CASE(
    "a surge over seven routers leaves the others alone; an owner that serves who asks first fails the same check")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        const Comparison fair = compare({}, seed);
        CAPTURE(fair.others(interactive));
        CHECK(othersUnmoved(fair));
        CHECK(shedInOrder(fair));
        CHECK(!othersUnmoved(compare(firstAskFirstServed(), seed)));
        FleetSurgeSettings noShares;
        noShares.tellsOrganisations = false;
        CHECK(!othersUnmoved(compare(noShares, seed)));
        FleetSurgeSettings noList;
        noList.owner = OwnerSettings{};
        // Without the list the shares hold off the surge, but its interactive requests lose to background work.
        CHECK(!shedInOrder(compare(noList, seed)));
    }
}

TEST_CASE("routers further apart, more of them, and larger pools: the same holds")
{
    struct Row
    {
        const char *what;
        int routers;
        int targets;
        Millis delay;
        double perSecond;
    };
    const std::vector<Row> rows{
        {"messages of 5 ms", 7, 2, Millis{5}, 4.5},
        {"forty routers", 40, 2, Millis{1}, 4.5},
        {"eight targets", 7, 8, Millis{1}, 18},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        FleetSurgeSettings settings;
        settings.routers = row.routers;
        settings.targets = row.targets;
        settings.messageDelay = row.delay;
        settings.load.perSecond = row.perSecond;
        settings.load.duration = Millis{60000};
        const Comparison fair = compare(settings, 1);
        CAPTURE(fair.others(interactive));
        CAPTURE(fair.others(urgent));
        CHECK(urgentUnmoved(fair));
        CHECK(othersUnmoved(fair));
        CHECK(shedInOrder(fair));
    }
}

// Symptom: the background work or the surge's own requests never run. Cause: a rule that always prefers others.
TEST_CASE("nobody starves in a surge: the surge's own interactive requests and some background are served")
{
    const Comparison fair = compare({}, 1);
    CHECK(fair.surging.surging[interactive].refusedShare() < 0.1);
    CHECK(fair.all(background).refusedShare() < 0.9);
    CHECK(fair.surging.others[background].refusedShare() < fair.surging.surging[background].refusedShare());
}
