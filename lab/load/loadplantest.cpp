#include "lab/load/loadplan.h"

#include "sequoiausher/base/error.h"

#include <doctest/doctest.h>

#include <set>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

LoadPlanOptions options()
{
    LoadPlanOptions made;
    made.urls = {"http://a", "http://b", "http://c"};
    made.organisations = {parseOrganisation("maker:k1:3"), parseOrganisation("desk:k2")};
    made.chats = 2;
    made.turns = 3;
    made.keyedShare = 0.5;
    made.duplicateShare = 0.5;
    made.serviceShare = 0.25;
    return made;
}

} // namespace

TEST_CASE("a seed gives the same requests again, and workers never share a nonce")
{
    LoadPlan one(options(), 0);
    LoadPlan again(options(), 0);
    LoadPlan other(options(), 1);
    std::set<std::string> nonces;
    for (int i = 0; i < 500; ++i) {
        const PlannedRequest request = one.next();
        const PlannedRequest same = again.next();
        CHECK(request.body == same.body);
        CHECK(request.idempotencyKey == same.idempotencyKey);
        CHECK(nonces.insert(request.nonce).second);
        CHECK(nonces.insert(other.next().nonce).second);
        CHECK((!request.sendTwice || (request.duplicateUrl != request.url && !request.idempotencyKey.empty())));
    }
}

TEST_CASE("a chat returns with a longer prompt, until its turns are over")
{
    LoadPlanOptions single = options();
    single.organisations.pop_back();
    single.chats = 1;
    single.serviceShare = 0;
    LoadPlan plan(single, 0);
    std::string before;
    for (int turn = 0; turn < 3; ++turn) {
        const PlannedRequest request = plan.next();
        CHECK(request.body.find("go on " + request.nonce + "\"}]}") != std::string::npos);
        const std::string history = request.body.substr(0, request.body.rfind("go on"));
        if (turn > 0) {
            CHECK(request.body.find("t1 t\\\"2") == std::string::npos);
            CHECK(history.size() > before.size());
            CHECK(request.chat.substr(request.chat.size() - 3) == "-c1");
        }
        before = history;
        plan.answered(request, "echo-x t1 t\"2");
    }
    CHECK(plan.next().chat.find("-c2") != std::string::npos);
}

TEST_CASE("an organisation that cannot be read is refused")
{
    CHECK(parseOrganisation("maker:k1:3").weight == 3);
    CHECK(parseOrganisation("desk:k2").key == "k2");
    CHECK_THROWS_AS(parseOrganisation("desk"), Error);
    CHECK_THROWS_AS(parseOrganisation("desk:k:x"), Error);
}
