#include "sequoiausher/coordination/admission/recentrequests.h"

namespace Sequoiausher {

void RecentRequests::add(Millis now, const RequestId &request)
{
    if (this->requests.insert(request).second) {
        this->order.push_back(Added{now, request});
    }
}

bool RecentRequests::contains(const RequestId &request) const
{
    return this->requests.contains(request);
}

void RecentRequests::forgetUntil(Millis time)
{
    while (!this->order.empty() && this->order.front().at <= time) {
        this->requests.erase(this->order.front().request);
        this->order.pop_front();
    }
}

} // namespace Sequoiausher
