#pragma once

// How long ago a caller first asked, as far as it can be told from how long it still waits: callers of one route start
// with about the same patience, and one that comes back after a refusal has less of it left.
//
//     CallerPatience patience;
//     const Millis spent = patience.spent("r-12", timeLeft, now);
//
// A caller with a shorter patience than others of its route seems to have waited already. That only matters where the
// route's service sheds, and there it is right to serve first who can still be answered in time.

#include "sequoiausher/base/millis.h"

#include <string>
#include <unordered_map>

namespace Sequoiausher {

/** The longest patience of each route of late. Not thread-safe. */
class CallerPatience
{
public:
    /** Counts a request, and says how much less time it has than the longest of late. */
    Millis spent(const std::string &route, Millis timeLeft, Millis now);

private:
    struct Longest
    {
        Millis present;
        Millis before;
        Millis since;
    };

    std::unordered_map<std::string, Longest> routes;
};

} // namespace Sequoiausher
