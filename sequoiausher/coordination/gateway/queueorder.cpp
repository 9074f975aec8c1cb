#include "sequoiausher/coordination/gateway/queueorder.h"

#include <algorithm>
#include <array>

namespace Sequoiausher {

namespace {

/** The smallest numbers of tokens of the second and of the third step of a class; a step is four times the other. */
constexpr std::array<std::uint64_t, 2> stepTokens{1024, 4096};
constexpr std::uint32_t stepsPerClass = stepTokens.size() + 1;
static_assert(stepsPerClass * requestClassCount <= enginePriorityCount);

} // namespace

std::uint32_t shortestFirstPriority(RequestClass requestClass, std::uint64_t tokensToRead)
{
    const auto step = std::upper_bound(stepTokens.begin(), stepTokens.end(), tokensToRead) - stepTokens.begin();
    return static_cast<std::uint32_t>(requestClass) * stepsPerClass + static_cast<std::uint32_t>(step);
}

} // namespace Sequoiausher
