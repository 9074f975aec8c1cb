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

/** The faults that a schedule may contain. */
struct Faults
{
    bool messages = true;
    bool pauses = true;
    bool restarts = true;
    bool splits = true;
    /** The number of members by which the lists of two routers may differ. */
    std::size_t listDifference = 1;
};

/** Runs one random schedule and returns the network's report. */
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
            // Two of three steps take less than 30 ms, within the duration of a claim; the others up to 3 s, as long as
            // a restart takes.
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
                // Occasionally for longer than witnesses remember claims.
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

    /** The list lacks up to listDifference of the last routers, which continue to run. */
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

/** The number of schedules, out of count, that violated a guarantee. */
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

// Guards against two runs of one key because two quorums share no witness. Faults, in any order: lost, duplicate and
// reordered messages, pauses, restarts with lost claims, partitions, and lists that differ by one instance.
TEST_CASE("no key is dispatched twice and no refusal is wrong, with lists that differ by one")
{
    CHECK(holds(Faults{}, shortNetwork()));
}

// As above with lists that differ by two instances, but without restarts, so that no witness loses its claims.
TEST_CASE("no key is dispatched twice and no refusal is wrong, with lists that differ by two and no restarts")
{
    Faults faults;
    faults.restarts = false;
    faults.listDifference = 2;
    CHECK(holds(faults, shortNetwork()));
}

// Injects a fault that causes two dispatches of a key: a witness restarts between two attempts, and votes at once as if
// it had not lost its claims. If the checker did not detect it, the properties above would prove nothing.
TEST_CASE("the checker catches witnesses that vote at once after a restart")
{
    NetworkSettings settings = shortNetwork();
    settings.restartedVotesAtOnce = true;
    constexpr std::uint64_t schedules = 300;
    const std::size_t failed = countFailedSchedules(schedules, Faults{}, settings);
    MESSAGE("schedules that failed, of 300: ", failed);
    CHECK(failed > 0);
}

// Injects a fault that causes two dispatches of a key: two entry routers have different lists, and messages are lost.
// With a quorum of 3 of 5, two quorums share only one witness, and the difference of the lists removes that one.
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
