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

TEST_CASE("the size of the fleet may decide, and a service may have an admission owner and a limit for hedged requests")
{
    const std::string file
        = fileWith("[rule large]\nwhen.gateways = >=20\nthen.pool = routed\nthen.overload = reserve\n"
                   "then.hedge_percent = 5\nthen.hedge_window_s = 30\n"
                   "[rule rest]\nthen.pool = routed\nthen.overload = shed\n");
    const auto rules = readGatewayRules(file);
    RequestFacts facts;
    facts.gateways = 19;
    CHECK(rules->decide(facts)->overload == Overload::Shed);
    CHECK(rules->decide(facts)->hedgePercent == 0);
    facts.gateways = 20;
    CHECK(rules->decide(facts)->overload == Overload::Reserve);
    CHECK(rules->decide(facts)->hedgePercent == 5);
    CHECK(rules->decide(facts)->hedgeWindow == Millis{30000});
    std::remove(file.c_str());
}

// Guards against a limit for hedged requests that an operator relies on and nobody holds.
TEST_CASE("a limit for hedged requests needs an admission owner, and its window needs a limit")
{
    for (const char *lines : {"then.hedge_percent = 5",
                              "then.overload = shed\nthen.hedge_percent = 5",
                              "then.overload = reserve\nthen.hedge_percent = 0",
                              "then.overload = reserve\nthen.hedge_percent = 51",
                              "then.overload = reserve\nthen.hedge_window_s = 10",
                              "then.overload = reserve\nthen.hedge_percent = 5\nthen.hedge_window_s = 601"}) {
        CAPTURE(lines);
        const std::string file = fileWith("[rule all]\nthen.pool = routed\n" + std::string(lines) + "\n");
        CHECK_THROWS_WITH_AS(readGatewayRules(file), doctest::Contains("then.hedge_"), Error);
        std::remove(file.c_str());
    }
}

// Guards against a fleet whose size decides whether its targets are kept from too many requests.
TEST_CASE("with the shipped rules one gateway places the requests of a service, in a fleet of any size")
{
    const auto rules = readGatewayRules(SEQUOIAUSHER_SHIPPED_RULES);
    for (const std::uint32_t gateways : {1, 2, 7, 19, 20, 83, 300}) {
        CAPTURE(gateways);
        RequestFacts facts;
        facts.gateways = gateways;
        CHECK(rules->decide(facts)->overload == Overload::Reserve);
        facts.promptBytes = 1000;
        facts.pools = std::make_shared<const std::vector<PoolState>>(1, PoolState{PoolId{"routed"}, 12});
        CHECK(rules->decide(facts)->overload == Overload::Reserve);
    }
}
