#pragma once

// Accepts TCP connections on one address and hands their descriptors over.
//
//     StreamListener listener("10.0.3.7:8080", [](int descriptor) { ... });

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Sequoiausher {

/** A listening socket on the thread's event loop. */
class StreamListener
{
public:
    /** Takes a connected, non-blocking descriptor, which it owns from then on. */
    using Accepted = std::function<void(int descriptor)>;

    /** Listens; port 0 takes a free one. Throws Error(Step::Listen, address, ...). */
    StreamListener(const std::string &address, Accepted accepted);
    ~StreamListener();

    std::uint16_t port() const;
    /** Takes no more connections; those that wait in the kernel are reset. */
    void close();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
