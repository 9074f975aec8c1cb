#pragma once

// One worker of a router: a thread with an event loop, a server for callers and a client for targets.
//
//     Worker worker(node, log, metrics, {address, port}, seed);
//     worker.start();

#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/router/node.h"

#include <memory>
#include <string>

namespace Sequoiausher {

/** Belongs to the control thread; its server and client belong to its own thread. */
class Worker
{
public:
    Worker(Node &node, const Log &log, Metrics &metrics, const HttpServerOptions &options, std::uint64_t seed);
    /** Stops. Where several workers share a node, stop all of them before the first is destroyed. */
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /** Starts the thread, and returns once it listens. @throws Error (Step::Listen) */
    void start();
    /** Returns the port on which it listens, after start(). */
    std::uint16_t port() const;
    /** Stops accepting connections; requests in progress continue. */
    void stopAccepting();
    /** Answers what is in progress with what is known of it, before the process ends. */
    void cutOff();
    /** Ends the thread and aborts what is in progress. A second call has no effect. */
    void stop();
    /**
     * Returns the number of requests in progress, including those whose client has disconnected. After accepting has
     * stopped, connections count too, since an answer may still be in transit on an open one, or a request.
     */
    std::size_t openRequests() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
