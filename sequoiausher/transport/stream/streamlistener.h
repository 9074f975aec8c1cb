#pragma once

// Accepts TCP connections on one address and passes their descriptors to a function.
//
//     StreamListener listener("10.0.3.7:8080", [](int descriptor) { ... });

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Sequoiausher {

/** A listening socket on the thread's event loop. */
class StreamListener
{
public:
    /** Takes ownership of a connected, non-blocking descriptor. */
    using Accepted = std::function<void(int descriptor)>;

    /**
     * Starts to listen; port 0 for a free one.
     * @param receiveBytes the limit of what the kernel receives on a connection before it is read; 0 for its own.
     * @throws Error(Step::Listen, address, ...)
     */
    StreamListener(const std::string &address, Accepted accepted, std::size_t receiveBytes = 0);
    ~StreamListener();

    std::uint16_t port() const;
    /** Changes the limit for connections that arrive from now on. */
    void setReceiveBytes(std::size_t bytes);
    /** Stops listening; connections in the accept queue are reset. */
    void close();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
