#pragma once

// A stand-in engine on a port: EngineModel behind HTTP, with the faults and the lab's own calls.
//
//     EngineServer engine({.name = "plate-01", .listen = {.port = 9001}});
//     engine.listen();
//     engine.port();
//
// The calls of a target are those of docs/INTERFACES.md; besides them:
//
//     GET  /lab/runs    every run: {"runs": [{request_id, idempotency_key, chat, nonce, tokens, finished, cancelled,
//     ...}]} GET  /lab/stats   {in_flight, max_in_flight, runs, cached_tokens, prompt_tokens} POST /lab/fault {"mode",
//     "value"}: see fault.h

#include "lab/engine/enginemodel.h"
#include "sequoiausher/transport/http/httpserver.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Sequoiausher::Lab {

/** Who an engine says it is, how it behaves and where it listens. */
struct EngineServerOptions
{
    std::string name = "engine";
    Incarnation incarnation = 1;
    EngineSettings settings;
    HttpServerOptions listen;
};

/** One engine. Needs a running event loop on the thread that made it. */
class EngineServer
{
public:
    explicit EngineServer(const EngineServerOptions &options);
    ~EngineServer();

    /** @throws Error(Step::Listen) where the address cannot be had. */
    void listen();

    std::uint16_t port() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
