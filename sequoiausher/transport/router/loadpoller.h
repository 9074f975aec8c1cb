#pragma once

// Requests the load of the targets in the shards that this router owns, so that each target is polled by one router,
// however many there are.
//
//     LoadPoller poller(client, onLoad);
//     poller.poll(now, targets);      // a few times a second

#include "sequoiausher/state/targets/targettable.h"
#include "sequoiausher/transport/http/httpclient.h"

#include <functional>
#include <memory>

namespace Sequoiausher {

/** Belongs to the thread of its client. */
class LoadPoller
{
public:
    using OnLoad = std::function<void(const TargetView &target, const ReportedLoad &load)>;

    /** @param client outlives this. */
    LoadPoller(HttpClient &client, OnLoad onLoad);
    ~LoadPoller();

    /** Polls the targets that are due. A target without /load, such as a plain service, is polled rarely. */
    void poll(Millis now, const std::vector<TargetView> &targets);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
