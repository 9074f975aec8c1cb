#include "sequoiausher/transport/platform/platformreader.h"

#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/http/testloop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace Sequoiausher;
using namespace Sequoiausher::Internal;

namespace {

/** What the service gives for a path. */
struct Scripted
{
    int status = 200;
    std::string body;
    std::string revision;
    /** The connection closes without an answer. */
    bool closes = false;
    /** No answer at all. */
    bool silent = false;
};

/** A service that answers each path with what the test put there; 404 where there is nothing. */
class ScriptedService : public HttpHandler
{
public:
    ScriptedService() : server(*this, HttpServerOptions{})
    {
        testApplication();
        this->server.listen();
    }

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        const std::string query = exchange->query();
        this->asked.push_back(exchange->path() + (query.empty() ? "" : "?" + query));
        const auto found = this->answers.find(exchange->path());
        const Scripted answer = found == this->answers.end() ? Scripted{404, "", "", false, false} : found->second;
        if (answer.silent) {
            this->held.push_back(exchange);
        } else if (!answer.closes) {
            exchange->respond(answer.status, {{{"X-Revision", answer.revision}}}, answer.body);
        }
    }

    std::size_t count(const std::string &prefix) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->asked.begin(), this->asked.end(), [&prefix](const std::string &path) {
                return path.starts_with(prefix);
            }));
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->server.port());
    }

    std::map<std::string, Scripted> answers;
    std::vector<std::string> asked;
    std::vector<std::shared_ptr<HttpExchange>> held;

private:
    HttpServer server;
};

/** Keeps documents as a router does: the newest revision of each name. */
class Keeper : public PlatformListener
{
public:
    ReadPlan readPlan() override
    {
        return this->plan;
    }
    std::vector<std::string> wanted(const std::vector<DocumentVersion> &listed) override
    {
        std::vector<std::string> names;
        for (const DocumentVersion &version : listed) {
            if (this->known[version.name].revision < version.revision) {
                names.push_back(version.name);
            }
        }
        return names;
    }
    void learnt(const std::vector<Document> &documents, bool whole) override
    {
        for (const Document &document : documents) {
            if (this->known[document.name].revision < document.revision) {
                this->known[document.name] = document;
            }
        }
        this->wholeReads += whole ? 1 : 0;
    }
    void serviceAnswered() override
    {
        this->answered += 1;
    }
    void serviceFailed(const std::string &address, const std::string &reason) override
    {
        this->failedAddresses.push_back(address);
        this->lastReason = reason;
    }

    ReadPlan plan = ReadPlan::Watch;
    std::map<std::string, Document> known;
    int wholeReads = 0;
    int answered = 0;
    std::vector<std::string> failedAddresses;
    std::string lastReason;
};

struct Bench
{
    explicit Bench(std::vector<std::string> addresses) : client(HttpClientOptions{})
    {
        PlatformReaderOptions options;
        options.addresses = std::move(addresses);
        options.watchTimeout = Millis{200};
        options.callTimeout = Millis{200};
        options.firstBackOff = Millis{20};
        options.longestBackOff = Millis{80};
        options.wholeListEvery = this->wholeListEvery;
        this->reader = std::make_unique<PlatformReader>(this->client, options, this->keeper);
    }

    /** Pokes as a router's tick does until condition holds; whether it does. */
    bool pokeUntil(const std::function<bool()> &condition, int limitMs = 3000)
    {
        return runUntil(
            [this, &condition] {
                this->reader->poke(Millis::monotonicNow());
                return condition();
            },
            limitMs);
    }

    Millis wholeListEvery{60000};
    HttpClient client;
    Keeper keeper;
    std::unique_ptr<PlatformReader> reader;
};

std::string listing(int revision, const std::string &rows)
{
    return R"({"revision": )" + std::to_string(revision) + R"(, "documents": [)" + rows + "]}";
}

const std::string fleetRow = R"({"name": "rules/fleet", "revision": 5, "deleted": false})";

} // namespace

TEST_CASE("the whole list is read first, then the watch goes on from there")
{
    ScriptedService service;
    service.answers["/v1/documents"] = {200, listing(5, fleetRow), "", false, false};
    service.answers["/v1/documents/rules/fleet"] = {200, "text", "5", false, false};
    service.answers["/v1/watch"].silent = true;
    Bench bench({service.address()});
    REQUIRE(bench.pokeUntil([&] { return service.count("/v1/watch") == 1; }));
    CHECK(bench.keeper.known["rules/fleet"].body == "text");
    CHECK(bench.keeper.wholeReads == 1);
    CHECK(service.asked.back() == "/v1/watch?after=5&timeout_ms=200");
    // A watch gone silent is noticed once its own time and that of a call are over, and the next one is made.
    REQUIRE(bench.pokeUntil([&] { return service.count("/v1/watch") == 2; }));
    CHECK(bench.keeper.failedAddresses.size() == 1);
    CHECK(bench.reader->calls() == service.asked.size());
}

TEST_CASE("an answer that is no list of sane documents counts as a failure and changes nothing")
{
    // Symptom: a document stayed at its text for good, whatever was published. The list named revision -1, which read
    // as unsigned is the highest of all. Cause: numbers of the service were taken over without a look.
    const std::vector<std::string> bodies{
        "",
        "garbage",
        "[]",
        R"({"revision": 9})",
        R"({"revision": 9, "documents": 3})",
        R"({"documents": []})",
        listing(9, "7"),
        listing(9, R"({"name": "", "revision": 3})"),
        listing(9, R"({"name": "rules/fleet", "revision": -1, "deleted": true})"),
        listing(9, R"({"name": "rules/fleet", "revision": "x"})"),
        listing(-4, ""),
    };
    for (const std::string &body : bodies) {
        CAPTURE(body);
        ScriptedService service;
        service.answers["/v1/documents"] = {200, body, "", false, false};
        Bench bench({service.address()});
        REQUIRE(bench.pokeUntil([&] { return bench.keeper.failedAddresses.size() >= 2; }));
        CHECK(bench.keeper.known.empty());
        CHECK(bench.keeper.wholeReads == 0);
        CHECK(service.count("/v1/watch") == 0);
    }
}

TEST_CASE("a body without a sane revision is not taken")
{
    for (const std::string revision : {"", "-1", "0", "x"}) {
        CAPTURE(revision);
        ScriptedService service;
        service.answers["/v1/documents"] = {200, listing(5, fleetRow), "", false, false};
        service.answers["/v1/documents/rules/fleet"] = {200, "text", revision, false, false};
        Bench bench({service.address()});
        REQUIRE(bench.pokeUntil([&] { return bench.keeper.failedAddresses.size() >= 2; }));
        CHECK(bench.keeper.known["rules/fleet"].revision == 0);
        CHECK(bench.keeper.wholeReads == 0);
    }
}

TEST_CASE("a service that is down is tried again after a pause, at its other address too")
{
    // Symptom: a reader with two addresses stayed with the dead one, and after a moment's outage waited for seconds.
    // Eight bodies failed together; each stepped to the next address and doubled the pause.
    ScriptedService broken;
    std::string rows;
    for (int i = 0; i < 8; ++i) {
        rows += std::string(i == 0 ? "" : ", ") + R"({"name": "d)" + std::to_string(i) + R"(", "revision": 5})";
        broken.answers["/v1/documents/d" + std::to_string(i)].closes = true;
    }
    broken.answers["/v1/documents"] = {200, listing(5, rows), "", false, false};
    ScriptedService working;
    working.answers["/v1/documents"] = {200, listing(5, fleetRow), "", false, false};
    working.answers["/v1/documents/rules/fleet"] = {200, "text", "5", false, false};
    Bench bench({broken.address(), working.address()});
    HeldUpTime heldUp;
    const Millis begun = Millis::monotonicNow();
    REQUIRE(bench.pokeUntil([&] { return bench.keeper.wholeReads == 1; }));
    CHECK(bench.keeper.known["rules/fleet"].body == "text");
    INFO("held up for ", heldUp.totalMs(), " of ", (Millis::monotonicNow() - begun).count, " ms");
    INFO("tries: ",
         broken.asked.size(),
         ", failures: ",
         bench.keeper.failedAddresses.size(),
         ", ",
         bench.keeper.lastReason);
    CHECK(broken.count("/v1/documents") == 9);
    CHECK(bench.keeper.failedAddresses == std::vector<std::string>{broken.address()});
}

TEST_CASE("the pause grows while lists come but bodies fail")
{
    // Symptom: a service that lists but cannot read out was asked at full speed. Each list reset the pause.
    ScriptedService service;
    service.answers["/v1/documents"] = {200, listing(5, fleetRow), "", false, false};
    service.answers["/v1/documents/rules/fleet"] = {500, "", "", false, false};
    Bench bench({service.address()});
    HeldUpTime heldUp;
    bench.pokeUntil([] { return false; }, 1000);
    INFO("held up for ", heldUp.totalMs(), " of 1000 ms");
    // Pauses of 10 to 20, 20 to 40, then 40 to 80 ms; without growth there would be 50 rounds or more.
    CHECK(service.count("/v1/documents/rules") <= 27);
    CHECK(service.count("/v1/documents/rules") >= 5);
}

TEST_CASE("a body older than its list, or not there yet, is asked for again at once rather than a minute later")
{
    // Symptom: one router's rule was in force a minute late. The list came from one replica of the service, the body
    // from another that lagged behind; the reader took the list's revision for read.
    ScriptedService service;
    service.answers["/v1/documents"] = {200, listing(5, fleetRow), "", false, false};
    SUBCASE("older")
    {
        service.answers["/v1/documents/rules/fleet"] = {200, "old", "4", false, false};
    }
    SUBCASE("not there yet")
    {
    }
    // Nothing above revision 5 comes: a watch after it waits.
    service.answers["/v1/watch"].silent = true;
    Bench bench({service.address()});
    REQUIRE(bench.pokeUntil([&] { return service.count("/v1/documents/rules") >= 2; }));
    service.answers["/v1/documents/rules/fleet"] = {200, "new", "5", false, false};
    REQUIRE(bench.pokeUntil([&] { return bench.keeper.known["rules/fleet"].body == "new"; }));
}

TEST_CASE("a document deleted between list and read holds up nothing, and the deletion is learnt")
{
    ScriptedService service;
    service.answers["/v1/documents"]
        = {200, listing(6, fleetRow + R"(, {"name": "other", "revision": 6})"), "", false, false};
    service.answers["/v1/documents/other"] = {200, "text", "6", false, false};
    service.answers["/v1/watch"]
        = {200, listing(7, R"({"name": "rules/fleet", "revision": 7, "deleted": true})"), "", false, false};
    Bench bench({service.address()});
    REQUIRE(bench.pokeUntil([&] { return bench.keeper.known["other"].revision == 6; }));
    CHECK(bench.keeper.wholeReads >= 1);
    service.answers["/v1/documents"] = service.answers["/v1/watch"];
    REQUIRE(bench.pokeUntil([&] { return bench.keeper.known["rules/fleet"].deleted; }));
    CHECK(bench.keeper.known["rules/fleet"].revision == 7);
}

TEST_CASE("a service that restarted with lower revisions brings nothing back")
{
    ScriptedService service;
    service.answers["/v1/documents"] = {200, listing(5, fleetRow), "", false, false};
    service.answers["/v1/documents/rules/fleet"] = {200, "new", "5", false, false};
    service.answers["/v1/watch"] = {200, listing(2, ""), "", false, false};
    Bench bench({service.address()});
    REQUIRE(bench.pokeUntil([&] { return service.count("/v1/watch") >= 3; }));
    const std::string old = R"({"name": "rules/fleet", "revision": 2})";
    service.answers["/v1/watch"] = {200, listing(2, old), "", false, false};
    service.answers["/v1/documents/rules/fleet"] = {200, "old", "2", false, false};
    const std::size_t before = service.count("/v1/watch");
    REQUIRE(bench.pokeUntil([&] { return service.count("/v1/watch") >= before + 3; }));
    CHECK(bench.keeper.known["rules/fleet"].body == "new");
    CHECK(service.asked.back() == "/v1/watch?after=5&timeout_ms=200");
}

TEST_CASE("with the plan to find peers alone, one call reads the list of instances")
{
    ScriptedService service;
    service.answers["/v1/documents/instances"] = {200, "[instance r1]\n", "3", false, false};
    Bench bench({service.address()});
    bench.keeper.plan = ReadPlan::Instances;
    REQUIRE(bench.pokeUntil([&] { return bench.keeper.known["instances"].revision == 3; }));
    CHECK(bench.keeper.wholeReads == 0);
    bench.keeper.plan = ReadPlan::Nothing;
    const std::size_t calls = service.asked.size();
    bench.pokeUntil([] { return false; }, 100);
    CHECK(service.asked.size() <= calls + 1);
}
