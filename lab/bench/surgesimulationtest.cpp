#include "lab/bench/surgesimulation.h"

#include "sequoiausher/coordination/limits/admissionqueue.h"
#include "sequoiausher/coordination/limits/fifoqueue.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr auto interactive = static_cast<std::size_t>(RequestClass::Interactive);
constexpr auto urgent = static_cast<std::size_t>(RequestClass::Urgent);
constexpr auto background = static_cast<std::size_t>(RequestClass::Background);

SurgeSettings load(double surgeFactor, std::uint64_t seed)
{
    SurgeSettings settings;
    settings.surgeFactor = surgeFactor;
    settings.seed = seed;
    settings.duration = Millis{60000};
    return settings;
}

/** Whether the others' tail stays where it was, and hardly any of them is refused. */
bool othersUnmoved(const SurgeResult &quiet, const SurgeResult &surging)
{
    const GroupResult &before = quiet.others[interactive];
    const GroupResult &after = surging.others[interactive];
    return after.quantile(0.95) <= before.quantile(0.95) * 1.25 && after.refusedShare() <= 0.001;
}

} // namespace

// Symptom: a garage clerk waits while another organisation runs a batch. Sequence: one of ten organisations sends ten
// times its rate, a third more than the pool carries. Cause: one line for everybody.
TEST_CASE("one organisation's tenfold surge leaves the others' tail alone; the naive queue fails the same check")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        AdmissionQueue quietFair({64, 256});
        AdmissionQueue surgingFair({64, 256});
        FifoQueue quietNaive(64, 256);
        FifoQueue surgingNaive(64, 256);
        const SurgeResult fair = simulateSurge(surgingFair, load(10, seed));
        CHECK(othersUnmoved(simulateSurge(quietFair, load(1, seed)), fair));
        CHECK(!othersUnmoved(simulateSurge(quietNaive, load(1, seed)), simulateSurge(surgingNaive, load(10, seed))));
        CHECK(fair.mostWaiting <= 256);
        CHECK(fair.others[urgent].refused + fair.surging[urgent].refused == 0);
        CHECK(fair.surging[background].refusedShare() > fair.surging[interactive].refusedShare());
    }
}
