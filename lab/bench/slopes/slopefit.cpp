#include "lab/bench/slopes/slopefit.h"

#include <cmath>
#include <stdexcept>

namespace Sequoiausher {

SlopeFit fitSlope(const std::vector<SlopeSample> &samples)
{
    const auto count = static_cast<double>(samples.size());
    double meanSize = 0;
    double meanCost = 0;
    for (const SlopeSample &sample : samples) {
        meanSize += sample.size / count;
        meanCost += sample.cost / count;
    }
    double sizes = 0;
    double products = 0;
    for (const SlopeSample &sample : samples) {
        sizes += (sample.size - meanSize) * (sample.size - meanSize);
        products += (sample.size - meanSize) * (sample.cost - meanCost);
    }
    if (sizes <= 0) {
        throw std::invalid_argument("a slope needs samples of two sizes");
    }
    SlopeFit fit;
    fit.slope = products / sizes;
    fit.intercept = meanCost - fit.slope * meanSize;
    double squares = 0;
    for (const SlopeSample &sample : samples) {
        const double distance = sample.cost - fit.intercept - fit.slope * sample.size;
        squares += distance * distance / count;
    }
    fit.residual = meanCost == 0 ? 0 : std::sqrt(squares) / std::abs(meanCost);
    return fit;
}

} // namespace Sequoiausher
