// Load of the fullest engine over the mean, by who chooses: skewbench [seed]

#include "lab/bench/balancefleet.h"

#include <cstdio>
#include <cstdlib>
#include <string>

using namespace Sequoiausher;

namespace {

void print(const char *name, double value, const char *unit)
{
    std::printf("figure %s %.4f %s\n", name, value, unit);
}

constexpr std::uint64_t seedsAveraged = 100;

/** Single runs differ widely by when an owner is killed, so figures of deaths are compared over many seeds. */
void printAverage(const std::string &name, const BalanceSettings &settings)
{
    BalanceFigures sum;
    for (std::uint64_t seed = 1; seed <= seedsAveraged; ++seed) {
        const BalanceFigures each = runBalance(settings, Chooser::Admission, seed);
        sum.maxOverMean += each.maxOverMean;
        sum.aboveBound += each.aboveBound;
        sum.refused += each.refused;
    }
    constexpr auto runs = static_cast<double>(seedsAveraged);
    print(("max_over_mean_" + name).c_str(), sum.maxOverMean / runs, "ratio");
    print(("above_bound_" + name).c_str(), sum.aboveBound / runs, "share");
    print(("refused_" + name).c_str(), static_cast<double>(sum.refused) / runs, "requests");
}

BalanceSettings largeFleet()
{
    BalanceSettings settings;
    settings.routers = 100;
    settings.engines = 1000;
    settings.length = Millis{60000};
    settings.warmUp = Millis{20000};
    settings.engineChurn = Millis{1000};
    settings.routerKills = Millis{10000};
    settings.workload.chats = 200000;
    settings.workload.requestsPerSecond = 2500;
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const BalanceSettings today;
    const BalanceFigures bounded = runBalance(today, Chooser::Admission, seed);
    BalanceSettings enginesOnly = today;
    enginesOnly.routerKills = today.length * 2;
    const BalanceFigures churned = runBalance(enginesOnly, Chooser::Admission, seed);
    BalanceSettings broken = today;
    broken.killsBreakConnections = true;
    const BalanceFigures noticed = runBalance(broken, Chooser::Admission, seed);
    const BalanceFigures naive = runBalance(today, Chooser::Naive, seed);
    const BalanceFigures rendezvous = runBalance(today, Chooser::Rendezvous, seed);
    const BalanceFigures twoChoices = runBalance(today, Chooser::TwoChoices, seed);
    const BalanceFigures large = runBalance(largeFleet(), Chooser::Admission, seed);
    for (const BalanceFigures *each : {&bounded, &churned, &noticed, &naive, &rendezvous, &twoChoices, &large}) {
        if (each->admitted < 1000 || each->maxOverMean <= 0) {
            std::fprintf(stderr, "skewbench: too few admissions to measure\n");
            return 1;
        }
    }
    print("bound", static_cast<double>(today.boundPercent) / 100, "ratio");
    print("max_over_mean_bounded", bounded.maxOverMean, "ratio");
    print("max_over_mean_bounded_engine_churn", churned.maxOverMean, "ratio");
    print("above_bound_engine_churn", churned.aboveBound, "share");
    print("max_over_mean_naive", naive.maxOverMean, "ratio");
    print("max_over_mean_rendezvous", rendezvous.maxOverMean, "ratio");
    print("max_over_mean_two_choices", twoChoices.maxOverMean, "ratio");
    print("max_over_mean_bounded_unrounded", bounded.maxOverMeanUnrounded, "ratio");
    print("above_bound_bounded", bounded.aboveBound, "share");
    print("above_bound_naive", naive.aboveBound, "share");
    print("above_bound_two_choices", twoChoices.aboveBound, "share");
    print("admitted", static_cast<double>(bounded.admitted), "requests");
    print("refused", static_cast<double>(bounded.refused), "requests");
    print("admitted_locally", static_cast<double>(bounded.admittedLocally), "requests");
    print("max_over_mean_bounded_connections_break", noticed.maxOverMean, "ratio");
    print("above_bound_connections_break", noticed.aboveBound, "share");
    print("refused_connections_break", static_cast<double>(noticed.refused), "requests");
    print("admitted_locally_connections_break", static_cast<double>(noticed.admittedLocally), "requests");
    print("control_bytes_per_request", bounded.controlBytesPerRequest, "bytes");
    printAverage("average", today);
    printAverage("connections_break_average", broken);
    print("max_over_mean_bounded_large", large.maxOverMean, "ratio");
    print("above_bound_large", large.aboveBound, "share");
    print("refused_large", static_cast<double>(large.refused), "requests");
    print("admitted_large", static_cast<double>(large.admitted), "requests");
    print("admitted_locally_large", static_cast<double>(large.admittedLocally), "requests");
    print("control_bytes_per_request_large", large.controlBytesPerRequest, "bytes");
    return 0;
}
