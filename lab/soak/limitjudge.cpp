#include "lab/soak/limitjudge.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Sequoiausher::Lab {

LimitJudge::LimitJudge(const LimitBounds &with) : bounds(with)
{
}

void LimitJudge::arrived(const LimitArrival &arrival)
{
    if (arrival.isInTouch) {
        this->arrivals[arrival.service].push_back(arrival);
    }
}

bool LimitJudge::isAbove(const LimitArrival &arrival) const
{
    return arrival.held * arrival.targetsOfService
        > this->bounds.meanMultiple * arrival.heldByService + this->bounds.slackRequests * arrival.targetsOfService;
}

LimitWindow LimitJudge::windowFrom(Millis from, const std::vector<LimitArrival> &list) const
{
    constexpr std::size_t all = 100;
    const auto isBefore = [](const LimitArrival &arrival, Millis at) { return arrival.at < at; };
    const auto isAfter = [](Millis at, const LimitArrival &arrival) { return at < arrival.at; };
    const auto begin = std::lower_bound(list.begin(), list.end(), from, isBefore);
    const auto end = std::upper_bound(begin, list.end(), from + this->bounds.window, isAfter);
    LimitWindow window;
    window.from = from;
    window.to = from + this->bounds.window;
    window.arrivals = static_cast<std::size_t>(end - begin);
    std::copy_if(begin, end, std::back_inserter(window.above), [this](const LimitArrival &arrival) {
        return this->isAbove(arrival);
    });
    window.isBreach = window.above.size() >= this->bounds.fewestAbove
        && window.above.size() * all > window.arrivals * this->bounds.abovePercent;
    return window;
}

std::vector<LimitWindow> LimitJudge::worstWindows(const std::function<bool(Millis from, Millis to)> &isCalm) const
{
    std::vector<LimitWindow> found;
    for (const auto &[service, list] : this->arrivals) {
        LimitWindow worst;
        for (const LimitArrival &arrival : list) {
            if (!this->isAbove(arrival)) {
                continue;
            }
            // Of the windows with the same requests above the limit, one begins or ends with one of these.
            for (const Millis from : {arrival.at, arrival.at - this->bounds.window}) {
                if (!isCalm(from, from + this->bounds.window)) {
                    continue;
                }
                LimitWindow window = this->windowFrom(from, list);
                if (std::pair(window.isBreach, window.above.size()) > std::pair(worst.isBreach, worst.above.size())) {
                    worst = std::move(window);
                }
            }
        }
        if (!worst.above.empty()) {
            worst.service = service;
            found.push_back(std::move(worst));
        }
    }
    return found;
}

} // namespace Sequoiausher::Lab
