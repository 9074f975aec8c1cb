#include "lab/hostile/hostilebed.h"
#include "sequoiausher/protocol/tunnel/tunnelframes.h"
#include "sequoiausher/transport/http/testloop.h"

#include <doctest/doctest.h>

#include <string>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

// The same as for the callers' address at each other address that a gateway listens at: what a client makes it hold
// there counts against the same memory and the same descriptors.

namespace {

constexpr std::size_t someConnections = 40;
constexpr std::size_t manyConnections = 180;
constexpr std::size_t allDescriptors = HostileBed::descriptors;
constexpr const char *metricsRequest = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr const char *readinessRequest = "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n";

struct Bed
{
    Bed()
    {
        this->bed.start();
    }

    CrowdPlan
    crowd(Door door, std::size_t connections, const std::string &first, const std::string &repeated = {}) const
    {
        CrowdPlan plan;
        plan.address = this->bed.address(door);
        plan.connections = connections;
        plan.first = first;
        plan.repeated = repeated;
        return plan;
    }
    void checkBounds()
    {
        CAPTURE(this->bed.lastLines());
        CAPTURE(this->bed.peak().memoryBytes);
        CAPTURE(this->bed.peak().unreadBytes);
        CAPTURE(this->bed.peak().unsentBytes);
        CHECK(this->bed.gateway().isRunning());
        CHECK(this->bed.peakBytes() <= HostileBed::memoryBytes);
        CHECK(this->bed.peak().descriptors <= HostileBed::descriptors);
    }
    void playAndCheck(const CrowdPlan &plan, Millis time = HostileBed::playTime)
    {
        this->bed.play(plan, time);
        this->checkBounds();
        CAPTURE(this->bed.lastLines());
        CHECK(this->bed.wasServedBesideCrowd());
        CHECK(this->bed.wasReadyBesideCrowd());
        CHECK(this->bed.servesOrdinaryCaller());
        CHECK(this->bed.isReady());
        CHECK(this->bed.servesMetrics());
    }

    /** Made before anything that needs an event loop. */
    QCoreApplication &application = Internal::testApplication();
    HostileBed bed;
};

std::string bodyOf(const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 900000000\r\n\r\n";
}

} // namespace

TEST_CASE("clients that send a body where readiness is asked")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(Door::Readiness, someConnections, bodyOf("/v1/readiness"), std::string(65536, 'x')));
}

TEST_CASE("clients that ask for readiness again and again and read nothing")
{
    Bed bed;
    CrowdPlan plan = bed.crowd(Door::Readiness, allDescriptors, {}, readinessRequest);
    plan.pause = Millis{5};
    bed.playAndCheck(plan);
}

TEST_CASE("clients that ask for readiness ahead and read nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(Door::Readiness, allDescriptors, {}, readinessRequest));
}

TEST_CASE("clients that ask for readiness in part")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(Door::Readiness, allDescriptors, "GET /v1/readiness HTTP/1.1\r\n"));
}

TEST_CASE("clients that open connections where readiness is asked, and send nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(Door::Readiness, allDescriptors, {}));
}

TEST_CASE("clients that ask for metrics again and again and read nothing")
{
    Bed bed;
    CrowdPlan plan = bed.crowd(Door::Metrics, manyConnections, {}, metricsRequest);
    plan.pause = Millis{20};
    bed.playAndCheck(plan, Millis{15000});
}

TEST_CASE("clients that send a body where metrics are asked")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(Door::Metrics, someConnections, bodyOf("/metrics"), std::string(65536, 'x')));
}

TEST_CASE("clients that open connections where metrics are asked, and send nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(Door::Metrics, allDescriptors, {}));
}

TEST_CASE("clients that open connections where peers connect, and send nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(Door::Peers, allDescriptors, {}));
}

TEST_CASE("clients that announce a large frame where peers connect, and send it slowly")
{
    Bed bed;
    CrowdPlan plan = bed.crowd(
        Door::Peers, someConnections, std::string("\x00\x3f\xff\xff", 4), std::string(std::size_t{64} << 10U, 'x'));
    plan.mostBytes = std::size_t{8} << 20U;
    bed.playAndCheck(plan);
}

TEST_CASE("clients that open connections where tunnels begin, and send nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(Door::Tunnels, allDescriptors, {}));
}

TEST_CASE("clients that ask for tunnels to an unknown target, go on sending and read nothing")
{
    Bed bed;
    bed.playAndCheck(
        bed.crowd(Door::Tunnels, allDescriptors, encodeTunnelRequest(TargetId{"nowhere"}), std::string(65536, 'x')));
}

TEST_CASE("clients that send through tunnels and leave large answers unread")
{
    Bed bed;
    bed.bed.setAnswerBytes(std::size_t{16} << 20U);
    const std::string request = "GET /desk/1 HTTP/1.1\r\nHost: x\r\n\r\n";
    bed.playAndCheck(
        bed.crowd(Door::Tunnels, someConnections, encodeTunnelRequest(TargetId{HostileBed::targetId()}) + request));
}

TEST_CASE("clients that open more tunnels than there are descriptors for")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(Door::Tunnels,
                               allDescriptors / 2,
                               encodeTunnelRequest(TargetId{HostileBed::targetId()}) + "GET /desk/1 HTTP/1.1\r\n"));
}

TEST_CASE("clients at all addresses at once")
{
    Bed bed;
    constexpr std::size_t each = 150;
    for (const Door door : {Door::Readiness, Door::Metrics, Door::Peers, Door::Tunnels}) {
        bed.bed.begin(bed.crowd(door, each, {}));
    }
    bed.playAndCheck(bed.crowd(Door::Callers, manyConnections, {}, HostileBed::unknownRoute()));
}
