#include "sequoiausher/protocol/settings/routersettings.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace Sequoiausher;

namespace {

const std::string goodText = "[router]\n"
                             "name = r1\n"
                             "data_centre = nl-west-1\n"
                             "address = 127.0.0.1:7001\n"
                             "peer_address = 127.0.0.1:7101\n"
                             "[platform]\n"
                             "address = 127.0.0.1:7900\n";

/** The good text with one part replaced, or something added at its end where from is empty. */
struct BadCase
{
    std::string from;
    std::string to;
    std::string problem;
};

std::string changed(const BadCase &bad)
{
    if (bad.from.empty()) {
        return goodText + bad.to;
    }
    std::string text = goodText;
    return text.replace(text.find(bad.from), bad.from.size(), bad.to);
}

const std::string ipExpected = ", expected an IP number and a port from 1 to 65535, as in 10.1.2.3:8080";
const std::string plainExpected = ", expected a name of 1 to 64 letters, digits, '.', '_' or '-'";

} // namespace

TEST_CASE("the shortest good settings get every default")
{
    const RouterSettings settings = parseRouterSettings(goodText, "r.ini");
    CHECK(settings.name.value == "r1");
    CHECK(settings.workers == 4);
    CHECK(settings.platform.addresses == std::vector<std::string>{"127.0.0.1:7900"});
    CHECK(settings.claims.quorum == 4);
    CHECK(settings.log.format == LogFormat::Text);
}

TEST_CASE("given values are taken")
{
    const RouterSettings settings = parseRouterSettings(
        goodText
            + "readers = 2\n[peers]\nseeds = r2=127.0.0.1:7102, r3=[::1]:7103\n[claims]\nlifetime_ms = 60000\n"
              "[log]\nformat = json\nlevel = debug\n",
        "r.ini");
    CHECK(settings.claims.lifetime == Millis{60000});
    CHECK(settings.platform.readers == 2);
    REQUIRE(settings.peers.seeds.size() == 2);
    CHECK(settings.peers.seeds[1] == PeerSeed{InstanceId{"r3"}, "[::1]:7103"});
    CHECK(settings.log.format == LogFormat::Json);
    CHECK(settings.log.lowest == LogLevel::Debug);
}

TEST_CASE("each bad setting gives its own clear error")
{
    const BadCase cases[] = {
        {"",
         "[operators]\naddress = 127.0.0.1:7001\n",
         "r.ini:9:11: [operators] address: found '127.0.0.1:7001', expected an address other than those of [router]"},
        {"",
         "[operators]\naddress = 127.0.0.1:7401\ntoken_sha256 = secret\n",
         "r.ini:10:16: [operators] token_sha256: found 'secret', expected 64 lower-case hexadecimal digits"},
        {"",
         "[operators]\n",
         "r.ini:8: [operators] address: found no such key, expected IP number and port for operators, as in "
         "127.0.0.1:7401"},
        {"[router]", "[ruter]", "r.ini: [router]: found no such section, expected it in this file"},
        {"[platform]", "[platfrom]", "r.ini: [platform]: found no such section, expected it in this file"},
        {"name = r1\n",
         "",
         "r.ini:1: [router] name: found no such key, expected the instance's name, as in the document 'instances'"},
        {"r1", "r 1", "r.ini:2:8: [router] name: found 'r 1'" + plainExpected},
        {"name = r1", "name =", "r.ini:2:7: [router] name: found an empty value" + plainExpected},
        {"[platform]",
         "worker = 4\n[platform]",
         "r.ini:6:1: [router] worker: found an unknown key, expected one of the keys in docs/CONFIGURATION.md; did you "
         "mean 'workers'?"},
        {"name = r1",
         "name = r1\nname = r2",
         "r.ini:3:1: [router] name: found the key again, expected it once in its section, as in line 2"},
        {"data_centre = nl-west-1\n",
         "",
         "r.ini:1: [router] data_centre: found no such key, expected the data centre's name"},
        {"127.0.0.1:7001", "localhost:7001", "r.ini:4:11: [router] address: found 'localhost:7001'" + ipExpected},
        {"127.0.0.1:7001", "127.0.0.1", "r.ini:4:11: [router] address: found '127.0.0.1'" + ipExpected},
        {"127.0.0.1:7001", "127.0.0.1:0", "r.ini:4:11: [router] address: found '127.0.0.1:0'" + ipExpected},
        {"127.0.0.1:7001", "127.0.0.1:70000", "r.ini:4:11: [router] address: found '127.0.0.1:70000'" + ipExpected},
        {"127.0.0.1:7001", "127.0.0.256:7001", "r.ini:4:11: [router] address: found '127.0.0.256:7001'" + ipExpected},
        {"7101",
         "7001",
         "r.ini:5:16: [router] peer_address: found '127.0.0.1:7001', expected an address other than that of 'address'"},
        {"[platform]",
         "workers = 0\n[platform]",
         "r.ini:6:11: [router] workers: found '0', expected a whole number from 1 to 64 (threads)"},
        {"[platform]",
         "workers = 65\n[platform]",
         "r.ini:6:11: [router] workers: found '65', expected a whole number from 1 to 64 (threads)"},
        {"[platform]",
         "workers = four\n[platform]",
         "r.ini:6:11: [router] workers: found 'four', expected a whole number from 1 to 64 (threads)"},
        {"[platform]",
         "workers = 4 ; half\n[platform]",
         "r.ini:6:11: [router] workers: found '4 ; half', expected a whole number from 1 to 64 (threads)"},
        {"127.0.0.1:7900",
         "127.0.0.1:7900,",
         "r.ini:7:11: [platform] address: found '127.0.0.1:7900,', expected IP numbers with ports, comma separated, as "
         "in 10.1.2.3:8080, 10.1.2.4:8080"},
        {"",
         "watch_timeout_ms = 5s\n",
         "r.ini:8:20: [platform] watch_timeout_ms: found '5s', expected a whole number from 100 to 600000 (ms)"},
        {"",
         "readers = -1\n",
         "r.ini:8:11: [platform] readers: found '-1', expected a whole number from 1 to 64 (instances)"},
        {"",
         "[peers]\nseeds = r2\n",
         "r.ini:9:9: [peers] seeds: found 'r2', expected NAME=ADDRESS:PORT, comma separated, as in r2=10.1.2.4:7100"},
        {"",
         "[peers]\nseeds = a=1.2.3.4:5,,\n",
         "r.ini:9:9: [peers] seeds: found 'a=1.2.3.4:5,,', expected a comma separated list without empty parts"},
        {"",
         "[peers]\nprobe_timeout_ms = 5000\n",
         "r.ini:8: [peers]: found probe_timeout_ms 5000, expected at most probe_interval_ms, 1000"},
        {"",
         "[claims]\nquorum = 2\n",
         "r.ini:8: [claims]: found values that contradict each other, expected 2 * quorum to be larger than "
         "witnesses, so that two quorums share a witness"},
        {"",
         "[claims]\nquorum = 6\n",
         "r.ini:8: [claims]: found values that contradict each other, expected quorum to be at most witnesses, and "
         "witnesses at least 1"},
        {"",
         "[claims]\nlifetime_ms = 10000\n",
         "r.ini:8: [claims]: found values that contradict each other, expected dispatch_window_ms to be at most a "
         "tenth of lifetime_ms"},
        {"",
         "[claims]\nquorum = four\n",
         "r.ini:9:10: [claims] quorum: found 'four', expected a whole number from 1 to 15 (instances)"},
        {"",
         "[claims]\nquorom = 4\n",
         "r.ini:9:1: [claims] quorom: found an unknown key, expected one of the keys in docs/CONFIGURATION.md; did you "
         "mean 'quorum'?"},
        {"",
         "[claims]\nlifetime_ms = -1\n",
         "r.ini:9:15: [claims] lifetime_ms: found '-1', expected a whole number from 10000 to 86400000 (ms)"},
        {"",
         "[claims]\nsettle_time_ms = 1000\n",
         "r.ini:8: [claims]: found values that contradict each other, expected settle_time_ms to be longer than "
         "dispatch_window_ms"},
        {"",
         "[claims]\nclaim_timeout_ms = 3000\n",
         "r.ini:8: [claims]: found values that contradict each other, expected claim_timeout_ms to be shorter than "
         "dispatch_window_ms"},
        {"",
         "[claims]\nlife_time_ms = 10000\n",
         "r.ini:9:1: [claims] life_time_ms: found an unknown key, expected one of the keys in docs/CONFIGURATION.md; "
         "did you mean 'lifetime_ms'?"},
        {"",
         "[admission]\nbound_percent = 100\n",
         "r.ini:9:17: [admission] bound_percent: found '100', expected a whole number from 101 to 1000 (percent of the "
         "mean load)"},
        {"",
         "[admission]\nbound_percent = 1.25\n",
         "r.ini:9:17: [admission] bound_percent: found '1.25', expected a whole number from 101 to 1000 (percent of "
         "the mean load)"},
        {"",
         "[limits]\nmax_body_bytes = 9999999999999999999999\n",
         "r.ini:9:18: [limits] max_body_bytes: found '9999999999999999999999', expected a whole number from 1024 to "
         "1073741824 (bytes)"},
        {"",
         "[log]\nlevel = warn\n",
         "r.ini:9:9: [log] level: found 'warn', expected one of debug, info, warning, error"},
        {"",
         "[log]\nformat = jsn\n",
         "r.ini:9:10: [log] format: found 'jsn', expected one of text, json; did you mean 'json'?"},
        {"",
         "[dran]\n",
         "r.ini:8:1: [dran]: found an unknown section, expected one of [router, platform, peers, claims, admission, "
         "limits, log, drain, "
         "operators]; did you mean 'drain'?"},
        {"",
         "[drain]\ngrace_ms =\n",
         "r.ini:9:11: [drain] grace_ms: found an empty value, expected a whole number from 0 to 86400000 (ms)"},
    };
    for (const BadCase &bad : cases) {
        Problems problems;
        parseRouterSettings(changed(bad), "r.ini", problems);
        REQUIRE_FALSE(problems.empty());
        CHECK(toText(problems[0]) == bad.problem);
        CHECK_THROWS_AS(parseRouterSettings(changed(bad), "r.ini"), ProblemsError);
    }
}

TEST_CASE("all problems are told together, with step and file")
{
    try {
        parseRouterSettings("[router]\nname = r1\nworkers = 0\n", "r.ini");
        FAIL("accepted");
    } catch (const ProblemsError &error) {
        CHECK(error.step() == Step::Settings);
        CHECK(error.peer() == "r.ini");
        CHECK(error.problems().size() == 5);
    }
}

TEST_CASE("random bytes never make settings")
{
    CHECK(rc::check("random bytes are refused", [](const std::string &text) {
        Problems problems;
        parseRouterSettings(text, "r.ini", problems);
        RC_ASSERT(hasErrors(problems));
    }));
}
