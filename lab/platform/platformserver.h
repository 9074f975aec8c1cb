#pragma once

// The stand-in configuration service on a port: PlatformModel behind HTTP. Readers use the calls of
// docs/INTERFACES.md; the lab changes documents and causes outages by calls of its own, which are never counted and
// work in every mode:
//
//     PUT    /lab/documents/NAME  the body becomes the document's text
//     DELETE /lab/documents/NAME
//     GET    /lab/documents/NAME  the newest text, visible or not
//     POST   /lab/target          {"pool", "name", "state"}: edits one target's state in targets/POOL
//     POST   /lab/mode            {"mode": "up|down|stale", "list_lag_ms": N}; each may be left out
//     GET    /lab/reads           {lists, gets, watches, refused, total, waiting, per_second, peak_per_second}
//
//     PlatformServer platform({.port = 7000});
//     platform.load("documents");
//     platform.listen();

#include "sequoiausher/transport/http/httpserver.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Sequoiausher::Lab {

/** The service. Needs a running event loop on the thread that made it. */
class PlatformServer
{
public:
    explicit PlatformServer(const HttpServerOptions &options);
    ~PlatformServer();

    /**
     * Publishes each file below folder, in the order of the names; rules/fleet.ini is document rules/fleet.
     * @throws Error(Step::Platform) where folder cannot be read.
     */
    void load(const std::string &folder);

    /** @throws Error(Step::Listen) where the address cannot be had. */
    void listen();

    std::uint16_t port() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
