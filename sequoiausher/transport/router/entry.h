#pragma once

// What one worker does with the requests of callers: answers the fleet's own pages, finds organisation and rule, and
// starts a session for what is routed.
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
    /** @param seed of the generator of request ids: differs between workers and starts. */
    Entry(const SessionContext &context, std::uint64_t seed);
    ~Entry() override;

    void handle(std::shared_ptr<HttpExchange> exchange) override;
    /** Deadlines and silences of the running sessions; lets go those that are done. Call a few times a second. */
    void tick(Millis now);
    /** Sessions that are not done, those whose client is gone included. */
    std::size_t openSessions() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
