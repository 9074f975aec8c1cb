#include "sequoiausher/cli/armreport.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const FigureRow &row(const ExperimentReport &report, const std::string &name)
{
    for (const FigureRow &candidate : report.rows) {
        if (candidate.name.rfind(name, 0) == 0) {
            return candidate;
        }
    }
    FAIL(name);
    return report.rows.front();
}

void serve(Metrics &metrics, const std::string &arm, int requests, double firstToken, std::uint64_t cached)
{
    const RequestLabels labels{OrganisationId{"o"}, RequestClass::Urgent, "trial", arm};
    for (int i = 0; i < requests; ++i) {
        metrics.observe(labels, Measure::FirstToken, firstToken * (1 + 0.01 * (i % 10)));
        metrics.countTokens(labels, 100, cached + static_cast<std::uint64_t>(i % 2));
        metrics.countDispatch(labels, i % 4 == 0 ? "a" : "b", false);
        metrics.countOutcome(labels, i % 10 == 0 ? Outcome::RefusedFull : Outcome::Complete);
    }
}

} // namespace

TEST_CASE("arms stand side by side, and a difference is clear only where there are samples for it")
{
    Metrics metrics;
    serve(metrics, "tight", 400, 100, 50);
    serve(metrics, "wide", 400, 200, 80);
    const std::vector<ExperimentReport> reports = compareArms(metrics.snapshot());
    REQUIRE(reports.size() == 1);
    const ExperimentReport &report = reports.front();
    CHECK(report.arms == std::vector<std::string>{"tight", "wide"});
    const FigureCell &median = row(report, "first token p50").cells[1];
    CHECK(*median.difference == doctest::Approx(104).epsilon(0.25));
    CHECK(median.interval->excludesZero());
    const FigureCell &reuse = row(report, "cache reuse").cells[1];
    CHECK(*reuse.difference == doctest::Approx(30));
    CHECK(reuse.interval->low == doctest::Approx(30 - 0.0693).epsilon(0.001));
    const FigureCell &refused = row(report, "refusals").cells[1];
    CHECK(*refused.value == doctest::Approx(10));
    CHECK_FALSE(refused.interval->excludesZero());
    CHECK(*row(report, "skew").cells[0].value == doctest::Approx(1.5));
    CHECK_FALSE(row(report, "skew").cells[1].interval);
}

TEST_CASE("an arm without samples has empty cells instead of zeros")
{
    Metrics metrics;
    serve(metrics, "tight", 5, 100, 50);
    metrics.countOutcome({OrganisationId{"o"}, RequestClass::Urgent, "trial", "wide"}, Outcome::RefusedLimit);
    const ExperimentReport report = compareArms(metrics.snapshot()).front();
    CHECK_FALSE(row(report, "first token p50").cells[1].value);
    CHECK_FALSE(row(report, "skew").cells[1].value);
    CHECK(*row(report, "refusals").cells[1].value == 100);
    CHECK(compareArms(MetricsSnapshot{}).empty());
}
