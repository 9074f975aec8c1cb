#include "sequoiausher/cli/fleetstatus.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/http/testloop.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

/** A router's status page at a port of its own. */
class Page : public HttpHandler
{
public:
    Page()
    {
        Internal::testApplication();
        this->server.listen();
        this->address = "127.0.0.1:" + std::to_string(this->server.port());
    }

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        exchange->respond(exchange->path() == "/status" ? 200 : 404, {}, this->body);
    }

    HttpServer server{*this, {}};
    std::string address;
    std::string body;
};

std::string instance(const std::string &name, const std::string &address)
{
    return R"({"name":")" + name + R"(","address":"127.0.0.1:1","operators_address":")" + address
        + R"(","peer_address":"127.0.0.1:2","data_centre":"dc","state":"live"})";
}

std::string page(const std::string &name, const std::string &digest, const std::string &rest)
{
    return R"({"instance":")" + name + R"(","incarnation":5,"ready":true,"revision":9,"digest":")" + digest
        + R"(","bound_percent":125,)" + rest + "}";
}

bool hasWarning(const FleetStatus &fleet, const std::string &part)
{
    for (const std::string &warning : fleetWarnings(fleet)) {
        if (warning.find(part) != std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("one address leads to every listed router, and what is wrong is named")
{
    Page first;
    Page second;
    const std::string instances = "\"instances\":[" + instance("r1", first.address) + ","
        + instance("r2", second.address) + "," + instance("r3", "127.0.0.1:1") + "]";
    const std::string pools
        = R"("pools":[{"pool":"p","kind":"engine","targets":[{"name":"a","state":"live"},{"name":"b","state":"live"}]}])";
    first.body = page("r1", "aa", instances + "," + pools + R"(,"owned_shards":["p/0"],"may_vote":true)");
    second.body = page("r2",
                       "bb",
                       R"("refusal":"rules rules/fleet: bad","owned_shards":["p/0"],"owned_targets":[)"
                       R"({"name":"a","pool":"p","shard":0,"in_flight":3},{"name":"b","pool":"p","in_flight":1}])");
    OperatorClient client(Millis{1000});
    const FleetStatus fleet = readFleet(client, {first.address});
    REQUIRE(fleet.routers.size() == 2);
    REQUIRE(fleet.unreachable.size() == 1);
    CHECK(hasWarning(fleet, "r3 at 127.0.0.1:1 cannot be reached"));
    CHECK(hasWarning(fleet, "configurations differ: revision 9 (aa) at r1; revision 9 (bb) at r2."));
    CHECK(hasWarning(fleet, "r2 refuses a newer configuration: rules rules/fleet: bad"));
    CHECK(hasWarning(fleet, "shard p/0 has several owners: r1, r2."));
    CHECK(hasWarning(fleet, "no votes on idempotency keys yet from r2."));
    const PoolStatus pool = poolStatuses(fleet).front();
    CHECK(pool.total == 4);
    CHECK(pool.largest == 3);
    CHECK(pool.mean() == 2);
    CHECK(pool.bound == 4); // ceil(1.25 * 5 / 2)
}

TEST_CASE("where no router answers, the error names step and peer")
{
    Internal::testApplication();
    OperatorClient client(Millis{500});
    CHECK_THROWS_WITH_AS(
        readFleet(client, {"127.0.0.1:1"}), doctest::Contains("connect router at 127.0.0.1:1: "), Error);
    CHECK_THROWS_WITH_AS(parseRouterStatus("{}", "127.0.0.1:1"), doctest::Contains("no status page"), Error);
}

// A fleet that has run must not be told that it never did: its witnesses would vote without the claims they gave
// before, and a retried key would run twice.
TEST_CASE("a first start is written only for a fleet whose routers are all there and have no votes")
{
    FleetStatus fleet;
    RouterStatus router;
    router.name = "r1";
    router.incarnation = 42;
    router.instances.push_back({InstanceId{"r1"}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", DataCentreId{"dc"}});
    fleet.routers.push_back(router);
    const std::string document = firstStartDocument(fleet);
    Problems problems;
    const auto instances = parseInstances(document, "instances", problems);
    CHECK_FALSE(hasErrors(problems));
    REQUIRE(instances.size() == 1);
    CHECK(instances.front().firstStart == Incarnation{42});
    CHECK(instances.front().operatorsAddress == "127.0.0.1:3");

    fleet.routers.front().mayVote = true;
    CHECK_THROWS_WITH_AS(firstStartDocument(fleet), doctest::Contains("votes already"), Error);
    fleet.routers.front().mayVote = false;
    fleet.routers.front().claims = 1;
    CHECK_THROWS_AS(firstStartDocument(fleet), Error);
    fleet.routers.front().claims = 0;
    fleet.unreachable.push_back({"r2", "127.0.0.1:9", "no"});
    CHECK_THROWS_WITH_AS(firstStartDocument(fleet), doctest::Contains("report r2: "), Error);
}
