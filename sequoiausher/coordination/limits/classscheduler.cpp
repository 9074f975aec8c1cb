#include "sequoiausher/coordination/limits/classscheduler.h"

namespace Sequoiausher {

namespace {

constexpr auto interactive = static_cast<std::size_t>(RequestClass::Interactive);
constexpr auto background = static_cast<std::size_t>(RequestClass::Background);

} // namespace

std::size_t ClassScheduler::next(const ClassFlags &ready) const
{
    if (ready[interactive] && this->passedOver[interactive] + 1 >= interactiveInterval) {
        return interactive;
    }
    // If both classes are due, interactive comes first, so background must be due one dispatch early.
    if (ready[background] && this->passedOver[background] + 2 >= backgroundInterval) {
        return background;
    }
    std::size_t index = 0;
    while (index + 1 < requestClassCount && !ready[index]) {
        ++index;
    }
    return index;
}

void ClassScheduler::recordServed(std::size_t index, const ClassFlags &waiting)
{
    for (std::size_t other = 0; other < requestClassCount; ++other) {
        const bool passes = other != index && waiting[other];
        this->passedOver[other] = passes ? this->passedOver[other] + 1 : 0;
    }
}

} // namespace Sequoiausher
