#include "sequoiausher/cli/signalwatch.h"

#include "sequoiausher/transport/http/testloop.h"

#include <doctest/doctest.h>

#include <csignal>
#include <vector>

using namespace Sequoiausher;

// Guards against a process that ends on the spot, as if it had crashed, because it was told to stop while it started.
TEST_CASE("a signal that comes before the watch is there is told once it is")
{
    Internal::testApplication();
    holdSignals();
    std::raise(SIGTERM);
    std::vector<int> arrived;
    const SignalWatch watch({SIGTERM, SIGHUP}, [&arrived](int signal) { arrived.push_back(signal); });
    REQUIRE(Internal::runUntil([&arrived] { return !arrived.empty(); }, 1000));
    std::raise(SIGHUP);
    REQUIRE(Internal::runUntil([&arrived] { return arrived.size() > 1; }, 1000));
    CHECK(arrived == std::vector{SIGTERM, SIGHUP});
}
