#pragma once

// Requests remembered for a while, such as those that were told that there is no room.
//
//     refused.add(now, request);
//     if (refused.contains(request)) { tell it the same again }
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
    /** One that is remembered already keeps its time. */
    void add(Millis now, const RequestId &request);
    bool contains(const RequestId &request) const;
    /** Forgets those added at that time or before. */
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
