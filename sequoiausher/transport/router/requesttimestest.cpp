#include "sequoiausher/transport/router/requesttimes.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

HistogramData dataOf(const Metrics &metrics, Measure measure)
{
    const MetricsSnapshot snapshot = metrics.snapshot();
    const auto found = snapshot.series.find(SeriesKey{OrganisationId{"kentekenlab"}, RequestClass::Interactive});
    return found == snapshot.series.end() ? HistogramData{}
                                          : found->second.measures.at(static_cast<std::size_t>(measure));
}

} // namespace

TEST_CASE("the first part is measured from the request's begin, the others from the part before")
{
    Metrics metrics;
    const RequestLabels labels{OrganisationId{"kentekenlab"}, RequestClass::Interactive, "", ""};
    RequestTimes times(metrics, labels);
    times.begin(Millis{1000});
    times.leftQueues(Millis{1010});
    times.part(Millis{1200});
    times.part(Millis{1230});
    times.part(Millis{1260});
    CHECK(times.begunAt() == Millis{1000});
    CHECK(dataOf(metrics, Measure::QueueTime).count == 1);
    CHECK(dataOf(metrics, Measure::QueueTime).sum == doctest::Approx(10));
    CHECK(dataOf(metrics, Measure::FirstToken).count == 1);
    CHECK(dataOf(metrics, Measure::FirstToken).sum == doctest::Approx(200));
    CHECK(dataOf(metrics, Measure::BetweenTokens).count == 2);
    CHECK(dataOf(metrics, Measure::BetweenTokens).sum == doctest::Approx(60));
}
