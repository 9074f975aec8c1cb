#include "sequoiausher/coordination/gateway/routedurations.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** A duration counts for one to two windows. */
constexpr Millis windowLength{15000};
/** Of fewer whole answers the longest says little about the next. */
constexpr std::size_t minWholeAnswers = 8;

} // namespace

void RouteDurations::Route::advance(Millis now)
{
    if (now >= this->windowStart + windowLength * 2) {
        this->previous = {};
    } else if (now >= this->windowStart + windowLength) {
        this->previous = this->current;
    } else {
        return;
    }
    this->current = {};
    this->windowStart = now;
}

void RouteDurations::begin(const std::string &route, Millis now)
{
    Route &state = this->routes[route];
    state.advance(now);
    state.running.insert(now);
}

void RouteDurations::end(const std::string &route, Millis begunAt, bool isWhole, Millis now)
{
    Route &state = this->routes[route];
    state.advance(now);
    const auto found = state.running.find(begunAt);
    if (found != state.running.end()) {
        state.running.erase(found);
    }
    state.current.longest = std::max(state.current.longest, now - begunAt);
    state.current.whole += isWhole ? 1 : 0;
}

std::optional<Millis> RouteDurations::longest(const std::string &route, Millis now) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        return std::nullopt;
    }
    Route state{found->second.current, found->second.previous, found->second.windowStart, {}};
    state.advance(now);
    if (state.current.whole + state.previous.whole < minWholeAnswers) {
        return std::nullopt;
    }
    const std::multiset<Millis> &running = found->second.running;
    const Millis oldest = running.empty() ? Millis{0} : now - *running.begin();
    return std::max({state.current.longest, state.previous.longest, oldest});
}

} // namespace Sequoiausher
