#pragma once

// Clients that do not behave: many TCP connections that send without an end, read nothing or little of what comes
// back, break off, or do nothing at all. They run on a thread of their own, so the test's event loop stays free.
//
//     ClientCrowd crowd({.address = gateway, .connections = 40, .repeated = request, .reading =
//     CrowdReading::Nothing}); crowd.start();
//     ...
//     crowd.stop();

#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Sequoiausher::Lab {

/** What the clients read of that which is sent to them. */
enum class CrowdReading {
    Nothing,
    /** A few bytes now and then. */
    Little,
    Everything,
};

/** What each client of a crowd does. */
struct CrowdPlan
{
    /** IP number and port. */
    std::string address;
    std::size_t connections = 1;
    /** Sent once after each connection was opened. */
    std::string first;
    /** Sent after that, again and again, as fast as the other side takes it; empty for nothing more. */
    std::string repeated;
    /** The pause between two of them. */
    Millis pause{0};
    /** A connection sends no more than this, in bytes. */
    std::size_t mostBytes = std::size_t{256} << 20U;
    CrowdReading reading = CrowdReading::Nothing;
    /** A connection that the other side closed is opened again. */
    bool opensAgain = true;
    /** A connection is closed once it was open for so long, and opened again; 0 for never. */
    Millis closesAfter{0};
};

/** See above. */
class ClientCrowd
{
public:
    explicit ClientCrowd(CrowdPlan plan);
    /** Stops it. */
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    void start();
    /** Closes all connections. */
    void stop();
    /** The bytes that the kernel took from all clients. */
    std::uint64_t sentBytes() const;
    /** The connections that were opened. */
    std::uint64_t opened() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
