#include "lab/soak/disturbances.h"

#include <algorithm>

namespace Sequoiausher::Lab {

Disturbances::Disturbances(Millis window) : contactWindow(window)
{
}

void Disturbances::begin(const std::string &subject, Millis at)
{
    this->spans[subject].push_back({at, Millis::never()});
}

void Disturbances::end(const std::string &subject, Millis at)
{
    std::vector<Span> &all = this->spans[subject];
    const auto open = std::find_if(all.begin(), all.end(), [](const Span &span) { return span.to == Millis::never(); });
    if (open != all.end()) {
        open->to = at;
    }
}

bool Disturbances::isCalm(const std::string &subject, Millis from, Millis to) const
{
    return this->isUntouched(subject, from - this->contactWindow, to);
}

bool Disturbances::isUntouched(const std::string &subject, Millis from, Millis to) const
{
    const auto found = this->spans.find(subject);
    if (found == this->spans.end()) {
        return true;
    }
    return std::none_of(found->second.begin(), found->second.end(), [from, to](const Span &span) {
        return span.from <= to && span.to >= from;
    });
}

} // namespace Sequoiausher::Lab
