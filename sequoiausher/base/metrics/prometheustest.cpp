#include "sequoiausher/base/metrics/prometheus.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sequoiausher;

namespace {

bool has(const std::string &page, const std::string &line)
{
    return page.find(line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("the page has types, labels, cumulative buckets and seconds")
{
    Metrics metrics;
    const RequestLabels labels{OrganisationId{"a\"b"}, RequestClass::Urgent, "trial", "x"};
    metrics.observe(labels, Measure::FirstToken, 100);
    metrics.observe(labels, Measure::FirstToken, 1e9);
    metrics.countOutcome(labels, Outcome::Complete);
    metrics.add("control_bytes_total{kind=\"probe\"}", 7);
    metrics.set("open_streams", 2);
    const std::string page = toPrometheus(metrics.snapshot());
    const std::string own = "organisation=\"a\\\"b\",class=\"urgent\"";
    CHECK(has(page, "# TYPE sequoiausher_first_token_seconds histogram"));
    CHECK(has(page, "sequoiausher_first_token_seconds_bucket{" + own + ",le=\"0.0512\"} 0"));
    CHECK(has(page, "sequoiausher_first_token_seconds_bucket{" + own + ",le=\"0.1024\"} 1"));
    CHECK(has(page, "sequoiausher_first_token_seconds_bucket{" + own + ",le=\"+Inf\"} 2"));
    CHECK(has(page, "sequoiausher_first_token_seconds_sum{" + own + "} 1000000.1"));
    CHECK(has(page, "sequoiausher_requests_total{" + own + ",outcome=\"complete\"} 1"));
    CHECK(has(page, "sequoiausher_experiment_requests_total{experiment=\"trial\",arm=\"x\",outcome=\"complete\"} 1"));
    CHECK(has(page, "# TYPE sequoiausher_control_bytes_total counter"));
    CHECK(has(page, "sequoiausher_control_bytes_total{kind=\"probe\"} 7"));
    CHECK(has(page, "sequoiausher_open_streams 2"));
}

TEST_CASE("at the target size the page stays within its bound, and the rest is summed")
{
    Metrics metrics;
    for (int organisation = 0; organisation < 270; ++organisation) {
        for (const auto &entry : nameTable<RequestClass>) {
            const RequestLabels labels{OrganisationId{"o" + std::to_string(organisation)}, entry.value, "", ""};
            const int requests = organisation < 20 ? 2 : 1;
            for (int i = 0; i < requests; ++i) {
                metrics.countOutcome(labels, Outcome::Complete);
            }
        }
    }
    const std::string page = toPrometheus(metrics.snapshot());
    const auto lines = std::count(page.begin(), page.end(), '\n');
    CHECK(lines <= 21 * 3 * (3 * 26 + 12) + 20);
    CHECK(has(page, "sequoiausher_requests_total{organisation=\"other\",class=\"urgent\",outcome=\"complete\"} 250"));
    CHECK(has(page, "sequoiausher_requests_total{organisation=\"o19\",class=\"urgent\",outcome=\"complete\"} 2"));
}
