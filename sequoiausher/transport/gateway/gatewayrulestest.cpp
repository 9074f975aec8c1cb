#include "sequoiausher/transport/gateway/gatewayrules.h"

#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace Sequoiausher;

namespace {

std::string fileWith(const std::string &text)
{
    std::string name = (std::filesystem::temp_directory_path() / ("gatewayrules" + std::to_string(getpid()))).string();
    std::ofstream(name) << text;
    return name;
}

} // namespace

TEST_CASE("the first rule that holds decides, also in a gateway")
{
    const std::string file
        = fileWith("[rule urgent]\nwhen.class = urgent\nthen.pool = routed\nthen.bound_percent = 120\n"
                   "[rule rest]\nthen.pool = routed\nthen.policy = least-loaded\n");
    const auto rules = readGatewayRules(file);
    RequestFacts facts;
    facts.requestClass = RequestClass::Urgent;
    CHECK(rules->decide(facts)->boundPercent == 120);
    facts.requestClass = RequestClass::Background;
    CHECK(rules->decide(facts)->policy == PolicyKind::LeastLoaded);
    std::remove(file.c_str());
}

TEST_CASE("a rule cannot send a request to a service that its route does not lead to")
{
    const std::string file = fileWith("[rule all]\nthen.pool = elsewhere\n");
    CHECK_THROWS_WITH_AS(readGatewayRules(file), doctest::Contains("then.pool"), Error);
    std::remove(file.c_str());
    CHECK_THROWS_AS(readGatewayRules("/no/such/file"), Error);
    CHECK(readGatewayRules("")->decide(RequestFacts()));
}

// Guards against keys of a rule that a gateway accepts and ignores, such as a rate limit of an organisation.
TEST_CASE("keys that only routers obey are refused")
{
    for (const char *line : {"then.rate_per_second = 5",
                             "then.in_flight = 5",
                             "then.queue_length = 5",
                             "then.queue_time_ms = 5",
                             "then.retry_budget_percent = 5",
                             "then.claim = required"}) {
        CAPTURE(line);
        const std::string file = fileWith("[rule all]\nthen.pool = routed\n" + std::string(line) + "\n");
        const std::string key = std::string(line).substr(0, std::string(line).find(' '));
        CHECK_THROWS_WITH_AS(readGatewayRules(file), doctest::Contains(key.c_str()), Error);
        std::remove(file.c_str());
    }
}
