#pragma once

// How long the requests of each route have lasted lately, those that still run included: what a gateway expects of the
// next one where the route's timeout says too little.
//
//     RouteDurations durations;
//     durations.begin("r-12", now);
//     durations.end("r-12", begunAt, isWhole, now);
//     const std::optional<Millis> longest = durations.longest("r-12", now);

#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Sequoiausher {

/** Keeps the longest recent duration of each route. Not thread-safe. */
class RouteDurations
{
public:
    /** Records that a request was sent to a target. */
    void begin(const std::string &route, Millis now);
    /**
     * Records the end of a request that began at begunAt.
     * @param isWhole whether it got its whole answer: others may have ended early.
     */
    void end(const std::string &route, Millis begunAt, bool isWhole, Millis now);
    /**
     * The longest time that a request of the route took in the last half minute, or that one has been running for;
     * absent if too few got a whole answer to tell.
     */
    std::optional<Millis> longest(const std::string &route, Millis now) const;

private:
    struct Window
    {
        Millis longest;
        std::size_t whole = 0;
    };
    struct Route
    {
        Window current;
        Window previous;
        Millis windowStart;
        std::multiset<Millis> running;

        /** Begins a new window if the current one is over. */
        void advance(Millis now);
    };

    std::unordered_map<std::string, Route> routes;
};

} // namespace Sequoiausher
