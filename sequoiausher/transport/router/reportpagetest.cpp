#include "sequoiausher/transport/router/reportpage.h"

#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("a report comes back as it was written, so that several routers' merge exactly")
{
    Metrics metrics;
    const RequestLabels labels{OrganisationId{"kentekenlab"}, RequestClass::Urgent, "trial", "wide"};
    metrics.observe(labels, Measure::FirstToken, 123.25);
    metrics.observe(labels, Measure::FirstToken, 0.01);
    metrics.observe(labels, Measure::BetweenTokens, 1e9);
    metrics.countOutcome(labels, Outcome::RefusedFull);
    metrics.countTokens(labels, 100, 75);
    metrics.countDispatch(labels, "plate-01", false);
    metrics.countDispatch(labels, "plate-02", true);
    metrics.add("configurations_refused_total", 3);
    metrics.set("open", 1.5);
    const std::string text = reportJson(metrics.snapshot());
    const MetricsSnapshot back = parseReport(text, "r1");
    CHECK(reportJson(back) == text);
    const SeriesData &arm = back.arms.at({"trial", "wide"});
    CHECK(arm.measures[0].count == 2);
    CHECK(arm.retries == 1);
    CHECK(arm.dispatches.at("plate-02") == 1);
    CHECK(arm.cachedShareSum == 0.75);
    MetricsSnapshot twice = back;
    twice.merge(back);
    CHECK(twice.arms.at({"trial", "wide"}).dispatches.at("plate-01") == 2);
    CHECK(twice.series.begin()->second.dispatches.empty());
}

TEST_CASE("what is no report is refused with the peer")
{
    for (const char *text : {"",
                             "{}",
                             "[1]",
                             R"({"series":[{"class":"late"}],"arms":[]})",
                             R"({"series":[],"arms":[{"measures":{"first_token":{"buckets":{"92":1}}}}]})"}) {
        CAPTURE(text);
        CHECK_THROWS_WITH_AS(parseReport(text, "router r1"), doctest::Contains("decode router r1"), Error);
    }
}
