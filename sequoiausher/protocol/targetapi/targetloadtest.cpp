#include "sequoiausher/protocol/targetapi/targetload.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Sequoiausher;

namespace {

constexpr Millis now{5000};

} // namespace

TEST_CASE("a report is read with its age")
{
    const auto load = parseTargetLoad(now, R"({"incarnation":7,"in_flight":3,"queued":2,"age_ms":40})");
    REQUIRE(load.has_value());
    CHECK((*load == ReportedLoad{7, 5, Millis{4960}}));
    CHECK(!parseTargetLoad(now, "{}").has_value());
    CHECK((parseTargetLoad(now, R"({"in_flight":0})") == ReportedLoad{0, 0, now}));
}

// Symptom: a target gets no work any more, or a router stops with an arithmetic fault.
// Events: a target reports a negative or absurd number, as after a counter of its own ran below zero.
// Cause: the number was turned into an unsigned one, and two of them were added, unchecked.
TEST_CASE("reports that cannot be true are refused")
{
    for (const char *body : {R"({"in_flight":-1})",
                             R"({"queued":-1})",
                             R"({"in_flight":9223372036854775807,"queued":9223372036854775807})",
                             R"({"age_ms":-9223372036854775808})",
                             R"({"age_ms":1e300})",
                             R"({"in_flight":"3"})",
                             R"({"in_flight":2.5})",
                             R"({"incarnation":-1})",
                             "[]",
                             "3",
                             ""}) {
        CAPTURE(body);
        CHECK(!parseTargetLoad(now, body).has_value());
    }
    CHECK(!parseTargetLoad(now, "{}" + std::string(maximumLoadBytes, ' ')).has_value());
}

TEST_CASE("any bytes are read or refused without harm")
{
    CHECK(rc::check("random", [](const std::string &body) {
        const auto load = parseTargetLoad(now, body);
        RC_ASSERT(!load || load->measuredAt <= now);
    }));
    CHECK(rc::check("altered", [] {
        std::string body = R"({"incarnation":7,"in_flight":3,"queued":2,"age_ms":40})";
        for (int i = 0; i < 4; ++i) {
            body.at(*rc::gen::inRange<std::size_t>(0, body.size())) = *rc::gen::arbitrary<char>();
        }
        const auto load = parseTargetLoad(now, body);
        RC_ASSERT(!load || load->measuredAt <= now);
    }));
}
