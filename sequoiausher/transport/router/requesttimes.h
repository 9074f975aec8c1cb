#pragma once

// Measures one request for the histograms of its organisation: the time in queues, until the first part of its answer,
// and between parts.
//
//     RequestTimes times(metrics, labels);
//     times.begin(now);
//     times.leftQueues(now);
//     times.part(now);          // with each part of the answer

#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/base/millis.h"

namespace Sequoiausher {

/** The times of one request. */
class RequestTimes
{
public:
    /** @param metrics and labels outlive this. */
    RequestTimes(Metrics &metrics, const RequestLabels &labels);

    void begin(Millis now);
    Millis begunAt() const;
    void leftQueues(Millis now);
    void part(Millis now);

private:
    void observe(Measure measure, Millis time);

    Metrics &metrics;
    const RequestLabels &labels;
    Millis begun;
    Millis lastPartAt;
    bool hadPart = false;
};

} // namespace Sequoiausher
