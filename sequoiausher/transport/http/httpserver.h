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
#include "sequoiausher/transport/http/httpheaders.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

class QHttpServerRequest;
class QHttpServerResponder;

namespace Sequoiausher {

namespace Internal {
class ServerSocket;
struct ServerState;
} // namespace Internal

/**
 * One request and its answer. The handler keeps the shared pointer until it has answered; an exchange that is let go
 * unanswered closes its connection, since a caller must not wait for an answer that nobody will give.
 *
 * Once the caller is gone every write does nothing, so handlers need no check of their own before each.
 */
class HttpExchange
{
public:
    using Callback = std::function<void()>;

    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /** The method in capitals, such as "POST"; "UNKNOWN" for one that HTTP does not define. */
    const std::string &method() const;
    /** The path, percent-decoded, without the query. */
    const std::string &path() const;
    /** The query as it came, without the question mark. */
    const std::string &query() const;
    /** The decoded value of a query item; empty where there is none. */
    std::string queryItem(const std::string &name) const;
    const HttpHeaders &headers() const;
    const std::string &body() const;
    /** The caller's address and port, such as "127.0.0.1:41234". */
    const std::string &peer() const;

    /**
     * Gives the whole answer. Content-Length and Connection are added. Fields that isWritableHeader() refuses are left
     * out. Does nothing where the exchange is answered already or the caller is gone.
     */
    void respond(int status, const HttpHeaders &headers, std::string_view body);
    /** Sends the head of an answer whose body follows by writeChunk() and ends by endStream() or abortStream(). */
    void startStream(int status, const HttpHeaders &headers);
    /** Writes a part of the body; an empty part is left out. Returns false where the caller is gone. */
    bool writeChunk(std::string_view bytes);
    /** Ends the body; the caller sees it whole. */
    void endStream();
    /** Closes the connection without the end of the body: the caller sees that the answer is broken. */
    void abortStream();

    /** Bytes written but not yet taken by the kernel: large where the caller reads slowly. */
    std::size_t bytesToWrite() const;
    /** Whether the answer has been given whole or broken off. */
    bool isFinished() const;
    /** Whether startStream() has been called. */
    bool isStreaming() const;
    /** Whether the caller closed the connection, or it broke, before the answer was finished. */
    bool isClientGone() const;

    /** Called once when the caller goes away before the answer is finished. Replaces an earlier callback. */
    void onClientGone(Callback callback);
    /** Called once when bytesToWrite() has fallen to lowWater or below. Replaces an earlier callback. */
    void onDrained(std::size_t lowWater, Callback callback);

private:
    friend class HttpServer;
    friend class Internal::ServerSocket;
    class Private;
    explicit HttpExchange(std::unique_ptr<Private> priv);
    std::unique_ptr<Private> d;
};

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
     * answers each further request with "Connection: close". Exchanges in progress go on.
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
