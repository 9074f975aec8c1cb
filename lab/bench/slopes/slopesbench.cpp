// Measures what each role of a router costs per target, claim, document, router and message, by running the real
// components at several sizes and laying a line through the costs. docs/CAPACITY.md multiplies these. What needs whole
// processes is measured by tools/measure-processes.
//
//     slopesbench            # all roles, about a minute
//     slopesbench relay      # one of them
//
// Prints lines "figure NAME VALUE UNIT"; exits 1 where it could not measure.

#include "lab/bench/slopes/slopes.h"

#include <QCoreApplication>

#include <array>
#include <cstdio>
#include <exception>
#include <string>
#include <utility>

using namespace Sequoiausher;

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    using Part = std::pair<std::string, void (*)()>;
    const std::array<Part, 6> parts{{{"admission", measureAdmission},
                                     {"witness", measureWitness},
                                     {"relay", measureRelay},
                                     {"configuration", measureConfiguration},
                                     {"links", measureLinks},
                                     {"entry", measureEntry}}};
    const std::string wanted = argc > 1 ? argv[1] : "";
    bool measured = false;
    try {
        for (const Part &part : parts) {
            if (wanted.empty() || wanted == part.first) {
                part.second();
                measured = true;
            }
        }
    } catch (const std::exception &error) {
        std::fprintf(stderr, "slopesbench: %s\n", error.what());
        return 1;
    }
    return measured ? 0 : 1;
}
