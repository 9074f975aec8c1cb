#pragma once

// Remembers requests for a while, for example those that were refused.
//
//     refused.add(now, request);
//     if (refused.contains(request)) { send the same refusal again }
//     refused.forgetUntil(now - Millis{5000});

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <deque>
#include <unordered_set>

namespace Sequoiausher {

/** A set of requests with the time at which each was added. Not thread-safe. */
class RecentRequests
{
public:
    /** Adds the request. A request that is remembered already keeps its time. */
    void add(Millis now, const RequestId &request);
    bool contains(const RequestId &request) const;
    /** Removes the requests that were added at that time or before. */
    void forgetUntil(Millis time);

private:
    struct Added
    {
        Millis at;
        RequestId request;
    };

    std::unordered_set<RequestId> requests;
    std::deque<Added> order;
};

} // namespace Sequoiausher
