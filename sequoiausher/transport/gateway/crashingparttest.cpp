#include "sequoiausher/transport/gateway/crashbed.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

constexpr std::size_t crashesAllowed = 3;
constexpr int targetCount = 34;
/** Requests that crash their targets, per case. */
constexpr int crashingCalls = 16;
constexpr const char *crashingPart = "culprit";

/** Sends requests of which no two are alike; each has a last part of its own. */
struct PartBed : CrashBed
{
    explicit PartBed(int targetCountOfBed = targetCount) : CrashBed("desk", targetCountOfBed)
    {
    }

    int callWithParts(const std::string &gateway, const std::string &path, const std::vector<std::string> &shared)
    {
        this->calls += 1;
        const std::string number = std::to_string(this->calls);
        std::string fields = "X-Parts: ";
        for (const std::string &part : shared) {
            fields += part + ",";
        }
        return this->callAt(gateway, path + number, fields + "own" + number + "\r\n");
    }
    int crash(const std::string &gateway, const std::vector<std::string> &shared)
    {
        return this->callWithParts(gateway, "/desk/crash", shared);
    }
    int sound(const std::string &gateway, const std::vector<std::string> &shared)
    {
        return this->callWithParts(gateway, "/desk/sound", shared);
    }

    int calls = 0;
};

} // namespace

// Guards against requests that share one prompt part and crash one target after the other, since no two are alike.
TEST_CASE("requests with a prompt part under which three targets ended reach no further target")
{
    const std::vector<std::vector<std::string>> places{
        {"first", crashingPart},
        {crashingPart},
        {crashingPart, "second"},
        {"first", crashingPart, "third"},
        {"first", "second", "third", crashingPart},
    };
    for (const std::vector<std::string> &shared : places) {
        CAPTURE(shared);
        PartBed bed;
        bed.start();
        std::vector<std::string> others = shared;
        std::erase(others, crashingPart);
        if (others.empty()) {
            others.emplace_back("other");
        }
        int served = 0;
        for (int i = 0; i < crashingCalls; ++i) {
            bed.crash(bed.address(), shared);
            served += bed.sound(bed.address(), others) == 200 ? 1 : 0;
        }
        CHECK(bed.crashes == crashesAllowed);
        CHECK(served >= crashingCalls * 9 / 10);
        CHECK(bed.crash(bed.address(), shared) == 503);
    }
}

// Guards against sound requests that find no target left, or are refused because they share the other parts.
TEST_CASE("sound requests beside a crashing prompt part are served at their first attempt")
{
    constexpr int fewTargets = 8;
    PartBed bed(fewTargets);
    bed.start();
    int served = 0;
    for (int i = 0; i < 2 * crashingCalls; ++i) {
        bed.crash(bed.address(), {"first", "second", crashingPart});
        served += bed.sound(bed.address(), {"first", "second", "third" + std::to_string(i % 3)}) == 200 ? 1 : 0;
    }
    CHECK(served >= 2 * crashingCalls * 9 / 10);
}

// Guards against accusing a list of parts: the crashing part stands among other parts each time.
TEST_CASE("a crashing prompt part is found among parts that change from request to request")
{
    PartBed bed;
    bed.start();
    int served = 0;
    for (int i = 0; i < crashingCalls; ++i) {
        const std::string varied = "varied" + std::to_string(i % 4);
        bed.crash(bed.address(), {"first", varied, crashingPart});
        served += bed.sound(bed.address(), {"first", varied, "sound"}) == 200 ? 1 : 0;
    }
    CHECK(bed.crashes == crashesAllowed);
    CHECK(served >= crashingCalls * 9 / 10);
}

// Guards against acquitting a part for good because it was answered once.
TEST_CASE("a prompt part that was answered before and crashes targets since is refused by the fifth crash")
{
    PartBed bed;
    bed.start();
    for (int i = 0; i < 20; ++i) {
        CHECK(bed.sound(bed.address(), {"first", crashingPart}) == 200);
    }
    for (int i = 0; i < crashingCalls; ++i) {
        bed.crash(bed.address(), {"first", crashingPart});
    }
    CHECK(bed.crashes <= 5);
    CHECK(bed.sound(bed.address(), {"first"}) == 200);
}

// Guards against a gateway whose own retries crash further targets, beside a second crashing part.
TEST_CASE("two crashing prompt parts on a route that gateways retry are both refused")
{
    PartBed bed;
    bed.start();
    int served = 0;
    for (int i = 0; i < crashingCalls; ++i) {
        bed.callWithParts(bed.address(), "/look/crash", {"first", "culprit" + std::to_string(i % 2)});
        served += bed.callWithParts(bed.address(), "/look/sound", {"first", "sound"}) == 200 ? 1 : 0;
    }
    CHECK(bed.crashes <= 2 * crashesAllowed);
    CHECK(served >= crashingCalls * 9 / 10);
}

// Guards against each gateway letting requests with the part crash three targets of its own.
TEST_CASE("gateways count the targets that ended under a prompt part together, and tell one that starts")
{
    PartBed bed;
    bed.start();
    const GatewaySettings other = bed.settingsOfNeighbour();
    GatewayNode neighbour(*bed.dialect, other, *bed.log, [] {});
    neighbour.start();
    REQUIRE(GatewayTestbed::waitFor([&neighbour] { return neighbour.isReady(); }));
    GatewayTestbed::waitFor([] { return false; }, CrashBed::exchangeTime);
    for (const std::string &gateway : {bed.address(), other.address, bed.address()}) {
        bed.crash(gateway, {"first", crashingPart});
        GatewayTestbed::waitFor([] { return false; }, CrashBed::exchangeTime);
    }
    for (int i = 0; i < 3; ++i) {
        CHECK(bed.crash(bed.address(), {"first", crashingPart}) == 503);
        CHECK(bed.crash(other.address, {"first", crashingPart}) == 503);
    }
    GatewaySettings late = bed.settingsOfNeighbour();
    late.peerAddress.replace(0, std::string("127.0.0.2").size(), "127.0.0.3");
    GatewayNode starter(*bed.dialect, late, *bed.log, [] {});
    starter.start();
    REQUIRE(GatewayTestbed::waitFor([&starter] { return starter.isReady(); }));
    CHECK(bed.crash(late.address, {"first", crashingPart}) == 503);
    CHECK(bed.crashes == crashesAllowed);
    CHECK(bed.sound(late.address, {"first", "sound"}) == 200);
}
