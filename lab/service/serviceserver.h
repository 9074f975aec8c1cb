#pragma once

// A stand-in plain service, whose calls may not be repeated: it logs each run, so that a test can count them.
//
//     ServiceServer service({.name = "desk-1", .latency = Millis{20}});
//     service.listen();
//
//     any method, any path   {"run": N, "echo": digest of the body}, after the latency
//     GET  /lab/runs         {"runs": [{run, request_id, idempotency_key, method, path, echo}]}
//     GET  /lab/stats        {in_flight, max_in_flight, runs}
//     POST /lab/fault        {"mode", "value"}: see fault.h

#include "sequoiausher/base/millis.h"
#include "sequoiausher/transport/http/httpserver.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Sequoiausher::Lab {

/** Who a service says it is, how long it takes and where it listens. */
struct ServiceServerOptions
{
    std::string name = "service";
    Millis latency;
    HttpServerOptions listen;
};

/** One service. Needs a running event loop on the thread that made it. */
class ServiceServer
{
public:
    explicit ServiceServer(const ServiceServerOptions &options);
    ~ServiceServer();

    /** @throws Error(Step::Listen) where the address cannot be had. */
    void listen();

    std::uint16_t port() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
