#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <QTimer>

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

using namespace Sequoiausher;

namespace {

constexpr int lastEvent = 5;
constexpr int breakAfter = 2;

/** An event that names the version that made it. */
std::string eventText(int id, const std::string &version)
{
    return "id: " + std::to_string(id) + "\ndata: " + version + "\n\n";
}

std::set<std::string> versionsIn(const std::string &body)
{
    std::set<std::string> found;
    for (const char *version : {"v1", "v2", "v3"}) {
        if (body.find(std::string("data: ") + version + "\n") != std::string::npos) {
            found.insert(version);
        }
    }
    return found;
}

/** Targets of several versions, whose events name them, and two gateways that know each other. */
struct VersionBed : GatewayTestbed
{
    VersionBed()
    {
        this->publish(configuration());
    }
    ~VersionBed()
    {
        this->neighbour.reset();
    }

    void addVersion(const std::string &version, int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::string name = version + "-" + std::to_string(i);
            FakeServer &target = this->addTarget(name, "llm", "a", version);
            target.isRecording = false;
            target.answers = [this, name, version](FakeRequest &request) { this->answer(request, name, version); };
        }
    }

    void answer(const FakeRequest &request, const std::string &name, const std::string &version)
    {
        this->runs += 1;
        this->lastVersion = version;
        const std::string after = request.header("X-After");
        const bool breaks = after.empty() && this->breaksFirst;
        request.send("HTTP/1.1 200 OK\r\nX-Id: " + request.header("X-Id")
                     + "\r\nX-Signed: yes\r\nContent-Type: text/event-stream\r\n\r\n");
        for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= (breaks ? breakAfter : lastEvent); ++id) {
            request.send(eventText(id, version));
        }
        if (breaks) {
            this->brokenAt = name;
            QTimer::singleShot(20, [this, request] { this->atBreak(request); });
        } else {
            request.close();
        }
    }

    void startBoth()
    {
        this->start();
        this->other = this->settingsOfNeighbour();
        this->neighbour = std::make_unique<GatewayNode>(*this->dialect, this->other, *this->log, [] {});
        this->neighbour->start();
        REQUIRE(waitFor([this] { return this->neighbour->isReady(); }));
        // Until each has a report of the other.
        pause(Millis{1000});
    }

    static void pause(Millis time)
    {
        waitFor([] { return false; }, time);
    }

    /** One attempt of a caller, at the first gateway or at the second. */
    CallerReply attempt(const std::string &at,
                        const std::string &id,
                        const std::string &fields = {},
                        const std::string &route = "/talk/")
    {
        FakeCaller caller(at);
        caller.send("POST " + route + "1 HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: " + id + "\r\n" + fields
                    + "Content-Length: 0\r\n\r\n");
        waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; });
        return caller.reply;
    }

    /** Begins a stream at the first gateway whose caller loses it after the second event. @return its version. */
    std::string beginStream(const std::string &id)
    {
        FakeCaller caller(this->address());
        caller.send("POST /talk/1 HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        this->breaksFirst = true;
        this->atBreak = [](const FakeRequest &) {};
        REQUIRE(waitFor([&caller] { return caller.reply.body.find("id: 2\n") != std::string::npos; }));
        const std::set<std::string> found = versionsIn(caller.reply.body);
        REQUIRE(found.size() == 1);
        caller.close();
        return *found.begin();
    }

    static std::string takeUp(const std::string &id)
    {
        return "X-After: 2\r\nX-Resumes: " + id + "\r\n";
    }

    std::function<void(const FakeRequest &request)> atBreak = [](const FakeRequest &request) { request.reset(); };
    bool breaksFirst = true;
    std::string brokenAt;
    std::string lastVersion;
    int runs = 0;
    GatewaySettings other;
    std::unique_ptr<GatewayNode> neighbour;
};

} // namespace

// Guards against a stream whose target breaks off and which the gateway has another software version go on with.
TEST_CASE("a stream goes on within its answer only at the version that began it")
{
    VersionBed bed;
    bed.addVersion("v1", 2);
    bed.addVersion("v2", 2);
    bed.addVersion("v3", 2);
    bed.start();
    constexpr int calls = 40;
    int whole = 0;
    for (int i = 0; i < calls; ++i) {
        const CallerReply reply = bed.attempt(bed.address(), "a" + std::to_string(i));
        CHECK(versionsIn(reply.body).size() <= 1);
        whole += reply.isWhole ? 1 : 0;
    }
    // Each version has another target to go on at.
    CHECK(whole >= calls * 9 / 10);
}

// Guards against the same where no target of its version is left: the caller has to see that the stream broke off.
TEST_CASE("a stream is cut off where no other target of its version is left")
{
    VersionBed bed;
    bed.addVersion("v1", 1);
    bed.addVersion("v2", 1);
    bed.start();
    for (int i = 0; i < 10; ++i) {
        const CallerReply reply = bed.attempt(bed.address(), "a" + std::to_string(i));
        CHECK_FALSE(reply.isWhole);
        CHECK(versionsIn(reply.body).size() == 1);
    }
}

// Guards against a caller that takes its stream up with a new attempt and gets events of another software version.
TEST_CASE("a stream that its caller takes up goes on at the version that began it, at whichever gateway")
{
    VersionBed bed;
    bed.addVersion("v1", 2);
    bed.addVersion("v2", 2);
    bed.addVersion("v3", 2);
    bed.startBoth();
    constexpr int calls = 30;
    int whole = 0;
    for (int i = 0; i < calls; ++i) {
        const std::string id = "s" + std::to_string(i);
        const std::string version = bed.beginStream(id);
        const std::string at = i % 2 == 0 ? bed.address() : bed.other.address;
        const CallerReply reply = bed.attempt(at, id + "-again", VersionBed::takeUp(id));
        if (reply.isWhole && reply.status == 200) {
            whole += 1;
            CHECK(versionsIn(reply.body) == std::set<std::string>{version});
        }
    }
    CHECK(whole >= calls * 9 / 10);
}

// Guards against the same where the gateway that knew the version has died, which is why the caller comes again.
TEST_CASE("a stream whose gateway died goes on at the version that began it")
{
    constexpr int rounds = 6;
    int whole = 0;
    for (int round = 0; round < rounds; ++round) {
        VersionBed bed;
        bed.addVersion("v1", 2);
        bed.addVersion("v2", 2);
        bed.startBoth();
        const std::string version = bed.beginStream("s1");
        VersionBed::pause(Millis{50});
        bed.node.reset();
        const CallerReply reply = bed.attempt(bed.other.address, "s1-again", VersionBed::takeUp("s1"));
        if (reply.status == 200) {
            whole += reply.isWhole ? 1 : 0;
            CHECK(versionsIn(reply.body) == std::set<std::string>{version});
        }
    }
    CHECK(whole == rounds);
}

// Guards against a guess where nobody knows the version: a forged name, or another organisation's.
TEST_CASE("a stream of which nobody knows the version does not go on while there are several")
{
    VersionBed bed;
    bed.addVersion("v1", 2);
    bed.addVersion("v2", 2);
    bed.startBoth();
    for (const std::string &fields : {std::string("X-After: 2\r\n"), VersionBed::takeUp("never-sent")}) {
        const Millis begun = Millis::monotonicNow();
        const CallerReply reply = bed.attempt(bed.other.address, "a1", fields);
        CHECK(reply.status == 503);
        CHECK(reply.head.headers.has("Retry-After"));
        CHECK(Millis::monotonicNow() - begun < Millis{700});
    }
    CHECK(bed.runs == 0);
}

// Guards against a caller that is sent to another version, or waits for its deadline, where its version is gone.
TEST_CASE("a stream whose version has no target left is refused at once")
{
    VersionBed bed;
    bed.addVersion("v1", 1);
    bed.startBoth();
    CHECK(bed.beginStream("s1") == "v1");
    bed.addVersion("v2", 2);
    bed.removeTarget("v1-0");
    VersionBed::pause(Millis{300});
    const int runs = bed.runs;
    for (const std::string &at : {bed.address(), bed.other.address}) {
        const Millis begun = Millis::monotonicNow();
        const CallerReply reply = bed.attempt(at, "s1-again", VersionBed::takeUp("s1"));
        CHECK(reply.status == 503);
        CHECK(reply.head.headers.has("Retry-After"));
        CHECK(Millis::monotonicNow() - begun < Millis{700});
    }
    CHECK(bed.runs == runs);
}

// Guards against a stream that is joined from two versions because every gateway that knew which one began it has died.
TEST_CASE("a stream that began before all gateways were killed goes on at no other version")
{
    for (const bool isOldVersionGone : {false, true}) {
        CAPTURE(isOldVersionGone);
        VersionBed bed;
        bed.addVersion("v1", 2);
        bed.startBoth();
        REQUIRE(bed.beginStream("s1") == "v1");
        bed.addVersion("v2", 2);
        VersionBed::pause(Millis{300});
        bed.neighbour.reset();
        bed.node.reset();
        if (isOldVersionGone) {
            bed.removeTarget("v1-0");
            bed.removeTarget("v1-1");
        }
        bed.startBoth();
        const int runs = bed.runs;
        constexpr int attempts = 10;
        for (int i = 0; i < attempts; ++i) {
            const std::string at = i % 2 == 0 ? bed.address() : bed.other.address;
            const CallerReply reply = bed.attempt(at, "s1-again" + std::to_string(i), VersionBed::takeUp("s1"));
            CHECK(reply.status == 503);
            CHECK(reply.head.headers.has("Retry-After"));
        }
        CHECK(bed.runs == runs);
    }
}

// Guards against a gateway that is out of step and takes the version of its list for the only one: a new one may have
// joined. With the store in reach it waits for its next answer, and the stream goes on.
TEST_CASE("a stream of which nobody knows the version goes on at the only one while the store answers")
{
    constexpr Millis longestSpan{31000};
    VersionBed bed;
    bed.addVersion("v1", 2);
    bed.startBoth();
    VersionBed::pause(longestSpan);
    for (const std::string &fields : {std::string("X-After: 2\r\n"), VersionBed::takeUp("never-sent")}) {
        const Millis begun = Millis::monotonicNow();
        CHECK(bed.attempt(bed.other.address, "a1", fields).status == 200);
        CHECK(Millis::monotonicNow() - begun < Millis{1000});
    }
    CHECK(bed.lastVersion == "v1");
    bed.isStoreSilent = true;
    // An answer that is on its way may have begun later than the next request.
    VersionBed::pause(Millis{300});
    const int runs = bed.runs;
    const CallerReply reply = bed.attempt(bed.other.address, "a2", VersionBed::takeUp("never-sent"));
    CHECK(reply.status == 503);
    CHECK(reply.head.headers.has("Retry-After"));
    CHECK(bed.runs == runs);
}
