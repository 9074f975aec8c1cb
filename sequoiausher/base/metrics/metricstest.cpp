#include "sequoiausher/base/metrics/metrics.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const RequestLabels inTrial{OrganisationId{"acme"}, RequestClass::Urgent, "trial", "b"};

} // namespace

TEST_CASE("a request counts for its organisation and class, and for its arm")
{
    Metrics metrics;
    metrics.observe(inTrial, Measure::FirstToken, 100);
    metrics.countOutcome(inTrial, Outcome::Complete);
    metrics.countTokens(inTrial, 10, 4);
    const MetricsSnapshot snapshot = metrics.snapshot();
    const SeriesData &own = snapshot.series.at({OrganisationId{"acme"}, RequestClass::Urgent});
    CHECK(own.requests() == 1);
    CHECK(own.measures[static_cast<std::size_t>(Measure::FirstToken)].count == 1);
    CHECK(snapshot.arms.at({"trial", "b"}).cachedTokens == 4);
}

// Guards against memory that grows for days because callers use ever new names, with a series for each of them.
TEST_CASE("the number of series and names is bounded, and nothing goes uncounted")
{
    Metrics metrics({4, 2, 3});
    for (int i = 0; i < 100; ++i) {
        const std::string name = std::to_string(i);
        metrics.countOutcome({OrganisationId{name}, RequestClass::Interactive, name, "a"}, Outcome::Complete);
        metrics.add(name);
    }
    const MetricsSnapshot snapshot = metrics.snapshot();
    CHECK(snapshot.series.size() == 5);
    CHECK(snapshot.series.at({OrganisationId{otherName}, RequestClass::Interactive}).requests() == 96);
    CHECK(snapshot.arms.size() == 3);
    CHECK(snapshot.counters.size() == 4);
    CHECK(snapshot.counters.at(otherName) == 97);
}

TEST_CASE("snapshots of routers merge")
{
    Metrics first;
    Metrics second;
    for (Metrics *metrics : {&first, &second}) {
        metrics->observe(inTrial, Measure::QueueTime, 5);
        metrics->add("requests_total", 2);
        metrics->set("open_streams", 3);
    }
    MetricsSnapshot merged = first.snapshot();
    merged.merge(second.snapshot());
    CHECK(merged.arms.at({"trial", "b"}).measures[static_cast<std::size_t>(Measure::QueueTime)].count == 2);
    CHECK(merged.counters.at("requests_total") == 4);
    CHECK(merged.gauges.at("open_streams") == 6);
}
