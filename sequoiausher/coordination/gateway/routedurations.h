#pragma once

// How long the requests of each route have lasted lately, those that still run included: what a gateway expects of the
// next one where the route's timeout says too little.
//
//     RouteDurations durations;
//     durations.begin("r-12", now);
//     durations.end("r-12", begunAt, isWhole, now);
//     const std::optional<double> share = durations.shareLongerThan(left, "r-12", now);

#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Sequoiausher {

/** Keeps the recent durations of each route. Not thread-safe. */
class RouteDurations
{
public:
    /** Records that a request was sent to a target. */
    void begin(const std::string &route, Millis now);
    /**
     * Records the end of a request that began at begunAt.
     * @param isWhole whether it got its whole answer; another one might have lasted longer.
     */
    void end(const std::string &route, Millis begunAt, bool isWhole, Millis now);
    /**
     * The fraction of the route's recent requests that took longer than the limit, or have been running for longer;
     * absent if too few are known to tell. A request that ended early, or still runs, within the limit does not count.
     */
    std::optional<double> shareLongerThan(Millis limit, const std::string &route, Millis now) const;
    /**
     * The longest time that a recent request of the route took, or that one has been running for; absent without a
     * recent whole answer. Says less than a share, but needs one answer only.
     */
    std::optional<Millis> longest(const std::string &route, Millis now) const;
    /** The number of routes that are kept. */
    std::size_t size() const;

private:
    struct Ended
    {
        Millis at;
        Millis duration;
        bool isWhole = false;
    };
    struct Route
    {
        std::deque<Ended> ended;
        /** When each request began that still runs. */
        std::multiset<Millis> running;
    };

    /** Configurations bring new routes for as long as the process lives. */
    void forgetUnused(Millis now);

    std::unordered_map<std::string, Route> routes;
};

} // namespace Sequoiausher
