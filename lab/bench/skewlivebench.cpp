// Skew and cache reuse on real processes: seven routers, twelve engines, the bounded policy next to round robin.
//
//     skewlivebench [SEED]

#include "lab/scenarios/balancescenario.h"

#include <QtCore/QCoreApplication>

#include <cstdlib>
#include <exception>
#include <iostream>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

int main(int argc, char **argv)
{
    const QCoreApplication app(argc, argv);
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    constexpr std::uint32_t unbounded = 1000;
    constexpr std::size_t fewest = 200;
    try {
        const BalanceFigures bounded = runBalance({.policy = "bounded-rendezvous", .faults = true, .seed = seed});
        const BalanceFigures naive = runBalance({"round-robin", unbounded, Millis{8000}, true, seed});
        std::cout << "figure live_max_over_mean_bounded " << bounded.maxOverMean << " ratio\n"
                  << "figure live_max_over_mean_naive " << naive.maxOverMean << " ratio\n"
                  << "figure live_max_over_mean_bounded_after_kill " << bounded.maxOverMeanAfterKill << " ratio\n"
                  << "figure live_above_bound " << bounded.aboveBound << " share\n"
                  << "figure live_above_bound_naive " << naive.aboveBound << " share\n"
                  << "figure live_reuse_bounded " << bounded.reuse << " share\n"
                  << "figure live_reuse_naive " << naive.reuse << " share\n"
                  << "figure live_refused_bounded " << bounded.refused << " requests\n"
                  << "figure live_broken_bounded " << bounded.broken << " requests\n"
                  << "figure live_admissions_bounded " << bounded.admissions << " requests\n";
        return bounded.admissions >= fewest && naive.admissions >= fewest ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &error) {
        std::cerr << "skewlivebench: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
