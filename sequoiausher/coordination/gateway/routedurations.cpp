#include "sequoiausher/coordination/gateway/routedurations.h"

#include <algorithm>
#include <iterator>

namespace Sequoiausher {

namespace {

/** How long a duration says something about the next one. */
constexpr Millis durationTtl{30000};
/** The latest durations of a route that are kept. */
constexpr std::size_t maxDurations = 64;
/** A share of fewer requests says little. */
constexpr std::size_t minDurations = 8;

} // namespace

void RouteDurations::begin(const std::string &route, Millis now)
{
    const auto found = this->routes.find(route);
    if (found != this->routes.end()) {
        found->second.running.insert(now);
        return;
    }
    this->forgetUnused(now);
    this->routes[route].running.insert(now);
}

void RouteDurations::forgetUnused(Millis now)
{
    std::erase_if(this->routes, [now](const auto &entry) {
        const Route &route = entry.second;
        return route.running.empty() && (route.ended.empty() || now - route.ended.back().at >= durationTtl);
    });
}

void RouteDurations::end(const std::string &route, Millis begunAt, bool isWhole, Millis now)
{
    Route &state = this->routes[route];
    const auto found = state.running.find(begunAt);
    if (found != state.running.end()) {
        state.running.erase(found);
    }
    state.ended.push_back({now, now - begunAt, isWhole});
    if (state.ended.size() > maxDurations) {
        state.ended.pop_front();
    }
}

std::optional<Millis> RouteDurations::longest(const std::string &route, Millis now) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        return std::nullopt;
    }
    const std::multiset<Millis> &running = found->second.running;
    Millis longest = running.empty() ? Millis{0} : now - *running.begin();
    bool isKnown = false;
    for (const Ended &each : found->second.ended) {
        if (now - each.at < durationTtl) {
            longest = std::max(longest, each.duration);
            isKnown = isKnown || each.isWhole;
        }
    }
    return isKnown ? std::optional(longest) : std::nullopt;
}

std::size_t RouteDurations::size() const
{
    return this->routes.size();
}

std::optional<double> RouteDurations::shareLongerThan(Millis limit, const std::string &route, Millis now) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        return std::nullopt;
    }
    const std::multiset<Millis> &running = found->second.running;
    auto longer = static_cast<std::size_t>(std::distance(running.begin(), running.lower_bound(now - limit)));
    std::size_t count = longer;
    for (const Ended &each : found->second.ended) {
        const bool isLonger = each.duration > limit;
        if (now - each.at < durationTtl && (isLonger || each.isWhole)) {
            count += 1;
            longer += isLonger ? 1 : 0;
        }
    }
    return count < minDurations ? std::nullopt
                                : std::optional(static_cast<double>(longer) / static_cast<double>(count));
}

} // namespace Sequoiausher
