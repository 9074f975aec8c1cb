#include "lab/fleet/fleet.h"
#include "lab/hostile/clientcrowd.h"
#include "lab/hostile/processusage.h"
#include "lab/support/labcall.h"
#include "sequoiausher/transport/http/testloop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

// The same as for a gateway at the address of a router: what its clients make it hold must stay within what a node may
// spend on control.

namespace {

/** Of the size that decides (docs/DEVELOPING.md). */
constexpr std::size_t memoryBytes = std::size_t{256} << 20U;
constexpr Millis playTime{5000};
constexpr Millis crowdTime{1000};
constexpr Millis lookInterval{50};
constexpr int statusOk = 200;

struct Bed
{
    Bed()
    {
        this->fleet.start();
    }

    CrowdPlan crowd(std::size_t connections, const std::string &first, const std::string &repeated = {}) const
    {
        CrowdPlan plan;
        plan.address = "127.0.0.1:" + std::to_string(this->fleet.routerPort(0));
        plan.connections = connections;
        plan.first = first;
        plan.repeated = repeated;
        return plan;
    }
    bool servesOrdinaryCaller()
    {
        LabCaller caller(this->fleet.routerPort(0));
        return caller.call("GET", "/orders/1", {}, Fleet::headers()).status == statusOk;
    }
    void playAndCheck(const CrowdPlan &plan)
    {
        ClientCrowd clients(plan);
        clients.start();
        std::size_t most = 0;
        bool wasServed = false;
        const Millis begin = Millis::monotonicNow();
        Millis nextLook = begin;
        LabCaller::waitFor(
            [&] {
                const Millis now = Millis::monotonicNow();
                if (now >= nextLook) {
                    nextLook = now + lookInterval;
                    most = std::max(most, readProcessUsage(this->fleet.router(0).processId()).total());
                    wasServed = wasServed || (now - begin >= crowdTime && this->servesOrdinaryCaller());
                }
                return most > 4 * memoryBytes;
            },
            playTime);
        clients.stop();
        CHECK(this->fleet.router(0).isRunning());
        CHECK(most <= memoryBytes);
        CHECK(wasServed);
        CHECK(this->servesOrdinaryCaller());
    }

    /** Made before anything that needs an event loop. */
    QCoreApplication &application = Internal::testApplication();
    Fleet fleet{{.routers = 1, .engines = 0, .services = 1}};
};

} // namespace

TEST_CASE("clients of a router that send a body in part")
{
    Bed bed;
    CrowdPlan plan = bed.crowd(
        160, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n", std::string(65536, 'x'));
    plan.mostBytes = 3900000;
    bed.playAndCheck(plan);
}

TEST_CASE("clients of a router that ask for metrics again and again and read nothing")
{
    Bed bed;
    CrowdPlan plan = bed.crowd(400, {}, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    plan.pause = Millis{10};
    bed.playAndCheck(plan);
}

TEST_CASE("clients of a router that send requests ahead and read nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(40, {}, "GET /orders/1 HTTP/1.1\r\nHost: x\r\n\r\n"));
}

TEST_CASE("clients of a router that open connections and send nothing")
{
    Bed bed;
    bed.playAndCheck(bed.crowd(2000, {}));
}
