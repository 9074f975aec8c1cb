#pragma once

// An HTTP/1.1 server on one event loop, over Qt's QHttpServer. One instance per worker thread; several may listen on
// one port (sharePort), and the kernel spreads the connections over them.
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
// Everything belongs to the thread that made the HttpServer: call it, and every exchange of it, from there alone.
// Requests that a caller pipelines behind an unanswered one are not handled; the connection closes after the first
// answer, so that the caller knows.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/transport/http/httpexchange.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Sequoiausher {

/** Takes the requests of a server. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    /** A whole request has come. The answer may be given now or later. */
    virtual void handle(std::shared_ptr<HttpExchange> exchange) = 0;
};

/** Where a server listens, and its limits. */
struct HttpServerOptions
{
    /** An IP number; names are not looked up. */
    std::string address = "127.0.0.1";
    /** 0 takes any free port. */
    std::uint16_t port = 0;
    /** Lets other servers, of this or another process of the same user, listen on the port too (SO_REUSEPORT). */
    bool sharePort = false;
    /** Connections that the kernel keeps waiting for accept. */
    int backlog = 4096;
    /** Bytes of one request, head and body; beyond it the caller gets 413 and the connection closes. */
    std::size_t maximumRequestBytes = std::size_t{8} << 20U;
    /** Connections at a time; on one beyond them the first request gets 503 and is not handled. */
    std::size_t maximumConnections = 1000000;
    /** From the first byte of a request to its last; beyond it the caller gets 408 and the connection closes. */
    Millis requestTimeout{60000};
    /** How long a connection may be without a request. */
    Millis idleTimeout{120000};
};

/** Listens, reads requests and hands them to a handler. */
class HttpServer
{
public:
    /** @param handler must outlive the server. */
    HttpServer(HttpHandler &handler, HttpServerOptions options);
    /** Closes every connection; open exchanges stay valid and do nothing, and their callbacks are not called. */
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Starts to listen. Throws Error (step listen) where the address cannot be had. */
    void listen();
    /** The port it listens on; the last one after stopAccepting(). */
    std::uint16_t port() const;

    /**
     * First step of a graceful stop: takes the connections that wait in the accept queue, closes the listener, and
     * answers each further request with "Connection: close". Exchanges in progress go on. The stop is over when, after
     * openExchanges() is 0 and closeIdleConnections(), openConnections() is 0: until then bytes of answers may wait.
     */
    void stopAccepting();
    /** Closes the connections that have no exchange and no partly read request. For the end of a graceful stop. */
    void closeIdleConnections();
    /** Exchanges that are not finished and whose caller is there. */
    std::size_t openExchanges() const;
    /** Connections that are open, idle ones too. */
    std::size_t openConnections() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
