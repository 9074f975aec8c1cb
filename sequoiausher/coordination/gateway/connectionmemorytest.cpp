#include "sequoiausher/coordination/gateway/connectionmemory.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

namespace {

/** Sheets of machines, and the settings of tests. */
const std::vector<ProcessLimits> sheets{{std::size_t{260} << 20U, 4100},
                                        {std::size_t{160} << 20U, 4100},
                                        {std::size_t{512} << 20U, 8192},
                                        {std::size_t{64} << 20U, 400},
                                        {std::size_t{512} << 20U, 20000}};

} // namespace

// Guards against a process that is late, or frozen, while each of its connections receives a whole window.
TEST_CASE("what the kernel may receive on all connections together stays within their part of the memory")
{
    for (const ProcessLimits &sheet : sheets) {
        const ConnectionMemory memory(sheet);
        std::size_t fromCallers = 0;
        for (std::size_t open = 0; open < memory.maxConnections(); ++open) {
            // The kernel holds twice what it may receive.
            fromCallers += memory.receiveBytes(open) * 2 + 4096;
        }
        CAPTURE(sheet.memoryBytes);
        CHECK(fromCallers <= sheet.memoryBytes / 8);
    }
}

TEST_CASE("few callers get the usual window, and no further one gets more than one before it")
{
    for (const ProcessLimits &sheet : sheets) {
        const ConnectionMemory memory(sheet);
        CHECK(memory.receiveBytes(0) == ConnectionMemory::maxReceiveBytes);
        for (std::size_t open = 1; open < memory.maxConnections(); ++open) {
            CHECK(memory.receiveBytes(open) <= memory.receiveBytes(open - 1));
            CHECK(memory.receiveBytes(open) > 0);
        }
    }
}

TEST_CASE("callers, targets and pages leave descriptors for what comes after them")
{
    for (const ProcessLimits &sheet : sheets) {
        const ConnectionMemory memory(sheet);
        CHECK(memory.maxConnections() <= sheet.descriptors / 2);
        CHECK(memory.maxTunnels() * 2 < sheet.descriptors);
        CHECK(memory.hasDescriptorForClient({memory.maxConnections() - 1, 0, 0}));
        OpenDescriptors open{memory.maxConnections(), 0, memory.maxPeers() / 2};
        std::size_t withoutClients = 0;
        for (; memory.hasDescriptorForTarget(open); ++open.targets) {
            withoutClients += memory.hasDescriptorForClient(open) ? 0 : 1;
        }
        CHECK(withoutClients >= sheet.descriptors / 16);
        const std::size_t left = sheet.descriptors - open.clients - open.targets - open.peers;
        // The pages of readiness and metrics, the listeners, the store and files.
        CHECK(left > memory.maxPageConnections() * 2 + 16);
    }
}

TEST_CASE("without limits nothing is bounded but pages, tunnels and strangers")
{
    const ConnectionMemory memory({});
    CHECK(memory.maxConnections() == 0);
    CHECK(memory.hasDescriptorForClient({100000, 100000, 100000}));
    CHECK(memory.hasDescriptorForTarget({100000, 100000, 100000}));
    CHECK(memory.receiveBytes(100000) == ConnectionMemory::maxReceiveBytes);
    CHECK(memory.maxPageConnections() > 0);
    CHECK(memory.maxTunnels() > 0);
    CHECK(memory.maxUnknownPeers() > 0);
}
