#pragma once

// One worker of a router: a thread with an event loop of its own, a server for callers and a client to targets.
//
//     Worker worker(node, log, metrics, {address, port}, seed);
//     worker.start();

#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/router/node.h"

#include <memory>
#include <string>

namespace Sequoiausher {

/** Belongs to the control thread; its server and client live on its own. */
class Worker
{
public:
    Worker(Node &node, const Log &log, Metrics &metrics, const HttpServerOptions &options, std::uint64_t seed);
    /** Stops. Where several workers share a node, stop all of them before the first is destroyed. */
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /** Starts the thread, and returns when it listens. @throws Error (Step::Listen) */
    void start();
    /** The port it listens on; known once start() has returned. */
    std::uint16_t port() const;
    /** Takes no new connections; requests in progress go on. */
    void stopAccepting();
    /** Ends the thread; what is in progress is broken off. A second call has no effect. */
    void stop();
    /**
     * Requests that are not over, whether or not their client is still there; once nothing new is accepted, connections
     * too, since on one that is still open an answer is on its way out, or a request on its way in.
     */
    std::size_t openRequests() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
