#pragma once

// Handles the requests of callers on one worker: answers those for the fleet's own pages, finds the organisation and
// the rule of the others, and starts a session for those that are routed.
//
//     Entry entry(context, seed);
//     HttpServer server(entry, options);

#include "sequoiausher/transport/http/httpserver.h"
#include "sequoiausher/transport/router/requestsession.h"

#include <memory>

namespace Sequoiausher {

/** The entry of one worker; belongs to its thread. */
class Entry : public HttpHandler
{
public:
    /** @param seed of the generator of request ids; must differ between workers and starts. */
    Entry(const SessionContext &context, std::uint64_t seed);
    ~Entry() override;

    void handle(std::shared_ptr<HttpExchange> exchange) override;
    /** Checks the time limits of the running sessions, and releases ended ones. To be called several times a second. */
    void tick(Millis now);
    /** Ends all requests, each with an answer that says whether it was run. */
    void cutOff(Millis now);
    /** The number of sessions that have not ended, including those whose client has disconnected. */
    std::size_t openSessions() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
