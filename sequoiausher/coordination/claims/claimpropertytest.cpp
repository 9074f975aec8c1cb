// Properties of claims under random schedules of faults. RC_PARAMS sets seed and number of schedules.

#include "sequoiausher/coordination/claims/claimnetwork.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace Sequoiausher;

namespace {

constexpr Millis seconds(std::int64_t count)
{
    return Millis{count * 1000};
}

ClaimParameters shortParameters()
{
    ClaimParameters parameters;
    parameters.lifetime = seconds(20);
    parameters.dispatchWindow = seconds(1);
    parameters.claimTimeout = Millis{600};
    parameters.settleTime = Millis{1500};
    return parameters;
}

/** Which faults a schedule may have. */
struct Faults
{
    bool messages = true;
    bool pauses = true;
    bool restarts = true;
    bool splits = true;
    /** By how many members the lists of two routers may differ. */
    std::size_t listDifference = 1;
};

/** Plays one random schedule and returns what came of it. */
class Schedule
{
public:
    Schedule(std::uint64_t seed, const Faults &allowed, const NetworkSettings &base)
        : faults(allowed)
        , random(seed)
        , settings(this->vary(base, seed))
        , network(this->settings)
    {
    }

    NetworkReport play()
    {
        constexpr int steps = 60;
        for (int step = 0; step < steps; ++step) {
            this->act();
            // Bursts within the time of a claim, and gaps as long as a restart takes.
            this->network.run(this->network.now() + Millis{this->below(3) == 0 ? this->below(3000) : this->below(30)});
        }
        this->network.run(this->network.now() + seconds(3));
        return this->network.report();
    }

private:
    std::int64_t below(std::int64_t bound)
    {
        return std::uniform_int_distribution<std::int64_t>(0, bound - 1)(this->random);
    }

    std::size_t router()
    {
        return static_cast<std::size_t>(this->below(static_cast<std::int64_t>(this->settings.routers)));
    }

    NetworkSettings vary(NetworkSettings base, std::uint64_t seed)
    {
        base.seed = seed;
        base.routers = static_cast<std::size_t>(3 + this->below(7));
        if (this->faults.messages) {
            base.lossPerMille = static_cast<int>(this->below(150));
            base.duplicatePerMille = static_cast<int>(this->below(150));
            base.slowPerMille = static_cast<int>(this->below(100));
            base.admissionRefusesPerMille = static_cast<int>(this->below(300));
            base.delayMax = Millis{1 + this->below(80)};
        }
        return base;
    }

    void act()
    {
        constexpr std::int64_t kinds = 12;
        const std::size_t at = this->router();
        switch (this->below(kinds)) {
        case 0:
            if (this->faults.pauses) {
                // Now and then for longer than witnesses remember.
                this->network.pause(at, Millis{this->below(this->below(8) == 0 ? 30000 : 5000)});
            }
            break;
        case 1:
            if (this->faults.restarts) {
                this->network.kill(at);
                this->network.restart(at);
            }
            break;
        case 2:
            this->readList(at);
            break;
        case 3:
            this->splitOrHeal();
            break;
        case 4:
            if (this->faults.restarts) {
                this->network.handOverClaims(at);
            }
            break;
        default:
            this->call(at);
        }
    }

    void call(std::size_t at)
    {
        constexpr std::int64_t keys = 3;
        const ClaimKey key{0, static_cast<std::uint64_t>(this->below(keys))};
        this->network.begin(at, key, 1);
        if (this->below(2) == 0) {
            this->network.begin(this->router(), key, 1);
        }
    }

    /** Lists lack up to listDifference of the same last routers, which go on running. */
    void readList(std::size_t at)
    {
        std::set<std::size_t> listed;
        const auto lack
            = static_cast<std::size_t>(this->below(static_cast<std::int64_t>(this->faults.listDifference) + 1));
        for (std::size_t i = 0; i + lack < this->settings.routers; ++i) {
            listed.insert(i);
        }
        this->network.setList(at, listed);
    }

    void splitOrHeal()
    {
        std::vector<int> side(this->settings.routers, 0);
        if (this->faults.splits && this->below(2) == 0) {
            for (int &one : side) {
                one = static_cast<int>(this->below(2));
            }
        }
        this->network.split(side);
    }

    Faults faults;
    std::mt19937_64 random;
    NetworkSettings settings;
    ClaimNetwork network;
};

NetworkSettings shortNetwork()
{
    NetworkSettings settings;
    settings.parameters = shortParameters();
    return settings;
}

/** How many of count schedules broke a promise. */
std::size_t countFailedSchedules(std::uint64_t count, const Faults &faults, const NetworkSettings &settings)
{
    std::size_t failed = 0;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        const NetworkReport report = Schedule(seed, faults, settings).play();
        failed += report.doubleRuns + report.falseNotRun > 0 ? 1 : 0;
    }
    return failed;
}

bool holds(const Faults &faults, const NetworkSettings &settings)
{
    return rc::check([&]() {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const NetworkReport report = Schedule(seed, faults, settings).play();
        RC_ASSERT(report.doubleRuns == 0U);
        RC_ASSERT(report.falseNotRun == 0U);
        RC_ASSERT(report.attempts > 0U);
    });
}

} // namespace

// Symptom: two plates with one registration. Events: loss, doubling, reordering, pauses, restarts with lost memory,
// splits, and lists that differ by one instance, in any order. Cause ruled out: quorums that do not meet.
TEST_CASE("no key is dispatched twice and no refusal lies, with lists that differ by one")
{
    CHECK(holds(Faults{}, shortNetwork()));
}

// Symptom: as above. Events: as above, lists that differ by two instances, but no witness loses its memory.
TEST_CASE("no key is dispatched twice and no refusal lies, with lists that differ by two and no restarts")
{
    Faults faults;
    faults.restarts = false;
    faults.listDifference = 2;
    CHECK(holds(faults, shortNetwork()));
}

// Symptom: two dispatches of a key. Events: a witness restarts between two attempts. Cause: it votes at once, as if
// it remembered. The checker must see it, or the properties above prove nothing.
TEST_CASE("the checker catches witnesses that vote at once after a restart")
{
    NetworkSettings settings = shortNetwork();
    settings.restartedVotesAtOnce = true;
    constexpr std::uint64_t schedules = 300;
    const std::size_t failed = countFailedSchedules(schedules, Faults{}, settings);
    MESSAGE("schedules that failed, of 300: ", failed);
    CHECK(failed > 0);
}

// Symptom: two dispatches of a key. Events: two entries read lists that differ, and lose some messages. Cause: with
// 3 of 5, two quorums meet in one witness only, which the difference takes away.
TEST_CASE("the checker catches a quorum that is too small for differing lists")
{
    NetworkSettings settings = shortNetwork();
    settings.parameters.quorum = 3;
    Faults faults;
    faults.listDifference = 2;
    constexpr std::uint64_t schedules = 1500;
    const std::size_t failed = countFailedSchedules(schedules, faults, settings);
    MESSAGE("schedules that failed, of 1500: ", failed);
    CHECK(failed > 0);
}

TEST_CASE("without faults no first call is refused, whatever the contention")
{
    CHECK(rc::check([]() {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        Faults none{false, false, false, false, 0};
        const NetworkReport report = Schedule(seed, none, shortNetwork()).play();
        RC_ASSERT(report.refused == 0U);
        RC_ASSERT(report.doubleRuns == 0U);
        RC_ASSERT(report.dispatched > 0U);
    }));
}
