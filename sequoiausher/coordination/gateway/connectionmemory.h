#pragma once

// How many connections of clients the memory and the descriptors of a process bear, and what the kernel may receive on
// each of them before it is read: bytes that arrive while the process is late, or does not read on purpose, count
// against its memory like its own.
//
// While few connections are open each may receive as much as any caller has use for. The more there are, the less a
// further one may: the i-th gets a little, and a share in proportion to 1/i. At no time are more than i connections
// open that were accepted as one of the first i, so all shares together stay within the part of the memory that is
// theirs.
//
//     const ConnectionMemory memory({.memoryBytes = 260U << 20U, .descriptors = 4100});
//     admission.setMaxConnections(memory.maxConnections());
//     listener.setReceiveBytes(memory.receiveBytes(openConnections));

#include <cstddef>

namespace Sequoiausher {

/** What a process has; 0 for no limit. */
struct ProcessLimits
{
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

/** The descriptors of connections that are open. */
struct OpenDescriptors
{
    /** Of callers and of peers that open tunnels, closed ones among them that have not ended. */
    std::size_t clients = 0;
    /** To targets, for requests and for tunnels. */
    std::size_t targets = 0;
    std::size_t peers = 0;
};

/** See above. */
class ConnectionMemory
{
public:
    explicit ConnectionMemory(const ProcessLimits &limits);

    /** Returns the most connections of callers, closed ones among them that wait for their ends; 0 for no limit. */
    std::size_t maxConnections() const;
    /** Returns the limit of received bytes for a connection that is accepted while so many others are open. */
    std::size_t receiveBytes(std::size_t open) const;
    /** Whether callers, and peers that open tunnels, may have one more descriptor. */
    bool hasDescriptorForClient(const OpenDescriptors &open) const;
    /** The same for a connection to a target, which a request in progress needs. */
    bool hasDescriptorForTarget(const OpenDescriptors &open) const;
    /** The most connections that peers open. */
    std::size_t maxPeers() const;
    /** The most connections to each page, to the tunnels, and of peers that have not said who they are. */
    std::size_t maxPageConnections() const;
    std::size_t maxTunnels() const;
    std::size_t maxUnknownPeers() const;
    /** What the connections of one page may hold, in bytes; 0 for no limit. */
    std::size_t pageBytes() const;

    /** Enough for a window of an ordinary caller. */
    static constexpr std::size_t maxReceiveBytes = 32768;

private:
    std::size_t usedDescriptors(const OpenDescriptors &open) const;

    ProcessLimits limits;
    std::size_t connections = 0;
};

} // namespace Sequoiausher
