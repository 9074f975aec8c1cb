#pragma once

// An HTTP/1.1 server on one event loop, based on QHttpServer. One instance per worker thread; several may listen on one
// port (sharePort), and the kernel distributes the connections among them.
//
//     class Hello : public HttpHandler
//     {
//         void handle(std::shared_ptr<HttpExchange> exchange) override
//         {
//             exchange->respond(200, {}, "hello");
//         }
//     };
//     Hello hello;
//     HttpServer server(hello, {.address = "127.0.0.1", .port = 0});
//     server.listen();
//     server.port();
//
// Not thread-safe: the server and its exchanges may only be used by the thread that created the HttpServer. Pipelined
// requests are not handled; the connection closes after the first answer, which informs the caller.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/transport/http/httpexchange.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Sequoiausher {

/** Handles the requests of a server. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    /** Handles a complete request. The answer may be sent now or later. */
    virtual void handle(std::shared_ptr<HttpExchange> exchange) = 0;
};

/** The address and the limits of a server. */
struct HttpServerOptions
{
    /** An IP address; names are not resolved. */
    std::string address = "127.0.0.1";
    /** 0 for any free port. */
    std::uint16_t port = 0;
    /** Allows other servers, of this or another process of the same user, to listen on the port (SO_REUSEPORT). */
    bool sharePort = false;
    /** The length of the kernel's accept queue. */
    int backlog = 4096;
    /** The maximum size of a request, head and body. A larger one is answered with 413, and its connection closes. */
    std::size_t maximumRequestBytes = std::size_t{8} << 20U;
    /**
     * The maximum number of connections. Beyond it the one without an exchange that has not moved for the longest time
     * is closed. If all have one, the first request on a further connection is answered with 503 and not handled.
     */
    std::size_t maximumConnections = 1000000;
    /**
     * The maximum of all bytes that connections hold: parts of requests, and answers that callers have not taken; 0 for
     * no limit. Beyond it those that hold most and have moved least are closed; a request of which a part has arrived
     * is answered with 503 first.
     */
    std::size_t maximumHeldBytes = 0;
    /** What the kernel receives on a connection before it is read, in bytes; 0 for its own limit. */
    std::size_t receiveBytes = 65536;
    /** The time limit from the first to the last byte of a request. Then it gets 408, and its connection closes. */
    Millis requestTimeout{60000};
    /** The time limit for a connection without a request. */
    Millis idleTimeout{120000};
};

/** Listens, reads requests and passes them to a handler. */
class HttpServer
{
public:
    /** @param handler must outlive the server. */
    HttpServer(HttpHandler &handler, HttpServerOptions options);
    /** Closes all connections. Open exchanges stay valid without effect, and their callbacks are not called. */
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Starts to listen. @throws Error(Step::Listen) if the address is not available. */
    void listen();
    /** Returns the port; after stopAccepting() the last one. */
    std::uint16_t port() const;

    /**
     * Begins a graceful stop: accepts the connections in the accept queue, closes the listener, and answers further
     * requests with "Connection: close". Exchanges in progress continue. Once openExchanges() is 0, call
     * closeIdleConnections(). The stop is complete when openConnections() is 0; until then answers may be unsent.
     */
    void stopAccepting();
    /** Closes connections without an exchange or a partly read request, at the end of a graceful stop. */
    void closeIdleConnections();
    /** Answers partly read requests with 503 and closes their connections, when a graceful stop can't wait for them. */
    void refuseIncomplete();
    /** Returns the number of unfinished exchanges with a connected caller. */
    std::size_t openExchanges() const;
    /** Returns the number of open connections, including idle ones. */
    std::size_t openConnections() const;
    /** Returns the number of connections that were closed because there was no room for them. */
    std::size_t yieldedConnections() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
