#include "sequoiausher/protocol/settings/fleetcompiler.h"
#include "sequoiausher/protocol/settings/fleetdocuments.h"
#include "sequoiausher/protocol/settings/instancesdocument.h"
#include "sequoiausher/protocol/settings/organisationsdocument.h"
#include "sequoiausher/protocol/settings/pooldocument.h"

#include <doctest/doctest.h>

#include <string>

using namespace Sequoiausher;

namespace {

const std::string digest(64, 'a');

/** A document by its name, and the first problem that it has; empty where it is good. */
struct Case
{
    std::string name;
    std::string body;
    std::string problem;
};

Problems problemsOf(const Case &test)
{
    Problems problems;
    if (test.name == "instances") {
        parseInstances(test.body, test.name, problems);
    } else if (test.name == "organisations") {
        parseOrganisations(test.body, test.name, problems);
    } else {
        parsePool(test.body, PoolId{"p"}, test.name, problems);
    }
    return problems;
}

} // namespace

TEST_CASE("a pool's targets are read whole")
{
    Problems problems;
    const PoolDescription pool
        = parsePool("[pool]\nkind = engine\nmodel = plate-model\n[target e1]\naddress = 10.0.0.1:80\n"
                    "data_centre = a\nstate = leaving\nincarnation = 7\ncapacity = 16\n",
                    PoolId{"p"},
                    "targets/p",
                    problems);
    CHECK(problems.empty());
    REQUIRE(pool.targets.size() == 1);
    CHECK(pool.model == "plate-model");
    CHECK(pool.targets[0]
          == TargetDescription{TargetId{"e1"}, "10.0.0.1:80", DataCentreId{"a"}, LifeNews{7, LifeState::Leaving}, 16});
}

TEST_CASE("each bad document gives its own clear error")
{
    const Case cases[] = {
        {"instances", "[instance r1]\naddress = 1.2.3.4:1\npeer_address = 1.2.3.4:2\ndata_centre = a\n", ""},
        {"instances",
         "[instance r1]\naddress = 1.2.3.4:1\ndata_centre = a\n",
         "instances:1: [instance r1] peer_address: found no such key, expected IP number and port for other routers"},
        {"instances",
         "[instance]\n",
         "instances:1: [instance]: found the name '', expected [instance NAME] with NAME of 1 to 64 letters, digits, "
         "'.', '_' or '-'"},
        {"instances",
         "[instanse r1]\n",
         "instances:1:1: [instanse r1]: found an unknown section, expected one of [instance NAME]; did you mean "
         "'instance'?"},
        {"instances",
         "[instance r1]\naddress = 1.2.3.4:1\npeer_address = 1.2.3.4:2\ndata_centre = a\nstate = liv\n",
         "instances:5:9: [instance r1] state: found 'liv', expected one of live, leaving, gone; did you mean 'live'?"},
        {"instances",
         "[instance r1]\naddress = 1.2.3.4:1\npeer_address = 1.2.3.4:2\ndata_centre = a\n[instance r2]\naddress = "
         "1.2.3.4:3\npeer_address = 1.2.3.4:2\ndata_centre = a\n",
         "instances:7:16: [instance r2] peer_address: found '1.2.3.4:2', expected an address that no other instance "
         "has"},
        {"organisations", "[organisation k]\nkey_sha256 = " + digest + "\n", ""},
        {"organisations",
         "[organisation k]\n",
         "organisations:1: [organisation k] key_sha256: found no such key, expected the SHA-256 of the organisation's "
         "API key"},
        {"organisations",
         "[organisation k]\nkey_sha256 = secret\n",
         "organisations:2:14: [organisation k] key_sha256: found 'secret', expected 64 lower-case hexadecimal digits"},
        {"organisations",
         "[organisation k]\nkey_sha256 = " + digest + "\n[organisation l]\nkey_sha256 = " + digest + "\n",
         "organisations:4:14: [organisation l] key_sha256: found '" + digest
             + "', expected a digest that no other organisation has"},
        {"targets/p", "[pool]\nkind = service\n", ""},
        {"targets/p", "", "targets/p: [pool]: found no such section, expected it in this file"},
        {"targets/p",
         "[pool]\nkind = engine\n",
         "targets/p:1: [pool] model: found no such key, expected the model that the engines serve"},
        {"targets/p",
         "[pool]\nkind = service\nmodel = m\n",
         "targets/p:3:9: [pool] model: found 'm', expected no model, since the pool's kind is service"},
        {"targets/p",
         "[pool]\nkind = engin\nmodel = m\n",
         "targets/p:2:8: [pool] kind: found 'engin', expected one of engine, service; did you mean 'engine'?"},
        {"targets/p",
         "[pool]\nkind = service\n[target t]\naddress = here\ndata_centre = a\n",
         "targets/p:4:11: [target t] address: found 'here', expected an IP number and a port from 1 to 65535, as in "
         "10.1.2.3:8080"},
        {"targets/p",
         "[pool]\nkind = service\n[target t]\naddress = 1.2.3.4:1\ndata_centre = a\ncapacity = 0\n",
         "targets/p:6:12: [target t] capacity: found '0', expected a whole number from 1 to 1000000 (requests at a "
         "time)"},
        {"targets/p",
         "[pool]\nkind = service\n[target t]\naddress = 1.2.3.4:1\ndata_centre = a\n[target u]\naddress = "
         "1.2.3.4:1\ndata_centre = a\n",
         "targets/p:7:11: [target u] address: found '1.2.3.4:1', expected an address that no other target of the pool "
         "has"},
    };
    for (const Case &test : cases) {
        const Problems problems = problemsOf(test);
        CHECK((problems.empty() ? std::string{} : toText(problems[0])) == test.problem);
    }
}

TEST_CASE("a set of documents is refused with every problem, and the first bad document's name")
{
    const auto document = [](const std::string &name, const std::string &body) {
        return std::pair(name, std::make_shared<const Document>(Document{name, 1, body, false}));
    };
    DocumentSet set{document("targets/p", "[pool]\nkind = service\n"),
                    document("rules/fleet", "[rule r]\nthen.pool = q\n"),
                    document("rules/fleat", "")};
    Problems problems;
    const FleetDocuments fleet = parseFleetDocuments(set, Severity::Warning, problems);
    CHECK(fleet.rules);
    CHECK(fleet.pools.size() == 1);
    REQUIRE(problems.size() == 2);
    CHECK(toText(problems[0])
          == "rules/fleat: warning: found a document that the fleet does not use, expected instances, organisations, "
             "targets/POOL, rules/fleet or rules/organisation/NAME; did you mean 'rules/fleet'?");
    FleetCompiler compiler;
    CHECK_FALSE(compiler.checkTogether(set));
    set.insert(document("instances", "[instance r1]\n"));
    const auto error = compiler.checkTogether(set);
    REQUIRE(error);
    CHECK(error->peer() == "instances");
    CHECK(error->step() == Step::Rules);
}

TEST_CASE("what stands in for a refused document of which no good revision is known")
{
    FleetCompiler checker;
    CHECK(checker.standIn("instances").kind == StandInKind::WaitForGood);
    CHECK(checker.standIn("organisations").kind == StandInKind::WaitForGood);
    CHECK(checker.standIn("targets/p").kind == StandInKind::LeaveOut);
    for (const std::string name : {"rules/fleet", "rules/organisation/lab"}) {
        const StandIn standIn = checker.standIn(name);
        REQUIRE(standIn.kind == StandInKind::Replace);
        const DocumentSet set{{name, std::make_shared<const Document>(Document{name, 0, standIn.body, false})}};
        CHECK_FALSE(checker.check(set.begin()->second));
        CHECK_FALSE(checker.checkTogether(set));
        Problems problems;
        const auto decision = parseFleetDocuments(set, Severity::Warning, problems).rules->decide(RequestFacts{});
        if (name == "rules/fleet") {
            REQUIRE(decision);
            CHECK(decision->refusal->status == 503);
        }
    }
}
