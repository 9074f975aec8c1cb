#pragma once

// Asks targets for their load: those of the shards that this router owns, and no others, so that a target is asked by
// one router however many there are.
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

    /** @param client outlives the poller. */
    LoadPoller(HttpClient &client, OnLoad onLoad);
    ~LoadPoller();

    /** Asks those of targets whose turn it is. A target without /load, such as a plain service, is asked rarely. */
    void poll(Millis now, const std::vector<TargetView> &targets);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
