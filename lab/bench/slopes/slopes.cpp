#include "lab/bench/slopes/slopes.h"

#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace Sequoiausher {

void printFigure(const std::string &name, double value, const std::string &unit)
{
    if (!std::isfinite(value)) {
        throw std::runtime_error("could not measure " + name);
    }
    std::printf("figure %s %.6g %s\n", name.c_str(), value, unit.c_str());
    std::fflush(stdout);
}

void printSlope(const std::string &name, const std::vector<SlopeSample> &samples, const std::string &unit)
{
    const SlopeFit fit = fitSlope(samples);
    printFigure(name, fit.slope, unit);
    printFigure(name + "_at_0", fit.intercept, unit);
    printFigure(name + "_residual", fit.residual, "share");
}

} // namespace Sequoiausher
