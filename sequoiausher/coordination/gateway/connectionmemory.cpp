#include "sequoiausher/coordination/gateway/connectionmemory.h"

#include <algorithm>
#include <cmath>

namespace Sequoiausher {

namespace {

/** Callers may hold one in so many descriptors; each of their requests needs one for its target. */
constexpr std::size_t callerDenominator = 2;
/** One part of the memory is for connections of callers, beside what their requests and answers hold. */
constexpr std::size_t partDenominator = 8;
/** So much of it may be what each connection takes at the least. */
constexpr std::size_t leastNumerator = 3;
constexpr std::size_t leastNumeratorOf = 4;
/** What an open connection takes in this process: its objects and timers. */
constexpr std::size_t objectBytes = 4096;
/** The kernel holds so many bytes for its own records for each that it may receive. */
constexpr std::size_t kernelFactor = 2;
/** The least that a kernel allows to be received. */
constexpr std::size_t minReceiveBytes = 1152;
/** Kept back for each further kind of use: one in so many descriptors. */
constexpr std::size_t reserveDenominator = 16;
constexpr std::size_t tunnelDenominator = 8;
constexpr std::size_t peerDenominator = 3;
constexpr std::size_t mostPeers = 100000;
constexpr std::size_t pageDenominator = 32;
constexpr std::size_t pageBytesDenominator = 32;
constexpr std::size_t minPageConnections = 4;
/** The platform and a few tools ask for pages, each with one connection. */
constexpr std::size_t maxPages = 64;
constexpr std::size_t mostTunnels = 1000;
constexpr std::size_t mostUnknownPeers = 256;

} // namespace

ConnectionMemory::ConnectionMemory(const ProcessLimits &given) : limits(given)
{
    this->connections = given.descriptors / callerDenominator;
    if (given.memoryBytes > 0) {
        const std::size_t part = given.memoryBytes / partDenominator / leastNumeratorOf * leastNumerator;
        const std::size_t fitting = part / (objectBytes + minReceiveBytes * kernelFactor);
        this->connections = this->connections > 0 ? std::min(this->connections, fitting) : fitting;
    }
}

std::size_t ConnectionMemory::maxConnections() const
{
    return this->connections;
}

std::size_t ConnectionMemory::receiveBytes(std::size_t open) const
{
    if (this->limits.memoryBytes == 0) {
        return maxReceiveBytes;
    }
    const std::size_t part = this->limits.memoryBytes / partDenominator;
    const std::size_t forEach = this->connections * (objectBytes + minReceiveBytes * kernelFactor);
    const std::size_t shared = (part - std::min(part, forEach)) / kernelFactor;
    // The sum of 1/i up to n is less than 1 + ln n.
    const double shares = 1 + std::log(static_cast<double>(std::max<std::size_t>(this->connections, 1)));
    const double share = static_cast<double>(shared) / shares / static_cast<double>(open + 1);
    return std::min(minReceiveBytes + static_cast<std::size_t>(share), maxReceiveBytes);
}

std::size_t ConnectionMemory::usedDescriptors(const OpenDescriptors &open) const
{
    // Files, listeners, the store and pages.
    const std::size_t ownDescriptors = this->limits.descriptors / reserveDenominator * 2;
    return ownDescriptors + open.clients + open.targets + open.peers;
}

bool ConnectionMemory::hasDescriptorForClient(const OpenDescriptors &open) const
{
    const std::size_t forTargets = this->limits.descriptors / reserveDenominator;
    return this->limits.descriptors == 0 || this->usedDescriptors(open) + forTargets < this->limits.descriptors;
}

bool ConnectionMemory::hasDescriptorForTarget(const OpenDescriptors &open) const
{
    return this->limits.descriptors == 0 || this->usedDescriptors(open) < this->limits.descriptors;
}

std::size_t ConnectionMemory::maxPeers() const
{
    return this->limits.descriptors > 0 ? this->limits.descriptors / peerDenominator : mostPeers;
}

std::size_t ConnectionMemory::maxPageConnections() const
{
    return this->limits.descriptors > 0
        ? std::clamp(this->limits.descriptors / pageDenominator, minPageConnections, maxPages)
        : maxPages;
}

std::size_t ConnectionMemory::maxTunnels() const
{
    return this->limits.descriptors > 0 ? std::min(this->limits.descriptors / tunnelDenominator, mostTunnels)
                                        : mostTunnels;
}

std::size_t ConnectionMemory::maxUnknownPeers() const
{
    return this->limits.descriptors > 0
        ? std::clamp(this->limits.descriptors / reserveDenominator, minPageConnections, mostUnknownPeers)
        : mostUnknownPeers;
}

std::size_t ConnectionMemory::pageBytes() const
{
    return this->limits.memoryBytes / pageBytesDenominator;
}

} // namespace Sequoiausher
