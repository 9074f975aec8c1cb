#include "sequoiausher/transport/router/requesttimes.h"

namespace Sequoiausher {

RequestTimes::RequestTimes(Metrics &theMetrics, const RequestLabels &theLabels) : metrics(theMetrics), labels(theLabels)
{
}

void RequestTimes::begin(Millis now)
{
    this->begun = now;
}

Millis RequestTimes::begunAt() const
{
    return this->begun;
}

void RequestTimes::leftQueues(Millis now)
{
    this->observe(Measure::QueueTime, now - this->begun);
}

void RequestTimes::part(Millis now)
{
    if (this->hadPart) {
        this->observe(Measure::BetweenTokens, now - this->lastPartAt);
    } else {
        this->observe(Measure::FirstToken, now - this->begun);
    }
    this->hadPart = true;
    this->lastPartAt = now;
}

void RequestTimes::observe(Measure measure, Millis time)
{
    this->metrics.observe(this->labels, measure, static_cast<double>(time.count));
}

} // namespace Sequoiausher
