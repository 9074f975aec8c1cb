// One organisation at ten times its rate on real processes: once with limits, once where the pool must shed.
//
//     surgelivebench [SEED]

#include "lab/scenarios/surgescenario.h"

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
    constexpr std::uint32_t limit = 9;
    // With limits the pool is made for what the limits let through; without, it is too small for the surge.
    constexpr std::uint32_t roomy = 32;
    constexpr std::uint32_t tight = 16;
    constexpr Millis phase{8000};
    constexpr std::size_t fewest = 200;
    try {
        const SurgeFigures limited = runSurge({limit, roomy, phase, phase, seed});
        const SurgeFigures shedding = runSurge({0, tight, phase, phase, seed});
        std::cout << "figure live_others_p95_ratio " << limited.othersP95Ratio << " ratio\n"
                  << "figure live_others_p95_calm " << limited.othersP95CalmMs << " ms\n"
                  << "figure live_others_refused " << limited.othersRefused << " share\n"
                  << "figure live_surging_refused " << limited.surgingRefused << " share\n"
                  << "figure live_others_p95_ratio_no_limits " << shedding.othersP95Ratio << " ratio\n"
                  << "figure live_others_refused_no_limits " << shedding.othersRefused << " share\n"
                  << "figure live_review_day_p95_ratio " << shedding.reviewDayP95Ratio << " ratio\n"
                  << "figure live_review_day_refused " << shedding.reviewDayRefused << " share\n"
                  << "figure live_background_shed " << shedding.backgroundShed << " share\n"
                  << "figure live_slowest_refusal " << shedding.slowestRefusal.count << " ms\n";
        return limited.calls >= fewest && shedding.calls >= fewest ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &error) {
        std::cerr << "surgelivebench: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
