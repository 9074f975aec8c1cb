#pragma once

// One HTTP request of a server and its answer, given at once or as a stream.
//
//     exchange->startStream(200, headers);
//     exchange->onClientGone([this] { this->cancel(); });
//     exchange->writeChunk("data: {}\n\n");
//     exchange->endStream();

#include "sequoiausher/protocol/http/httpheaders.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

class QHttpServerResponder;

namespace Sequoiausher {

namespace Internal {
class ServerSocket;
} // namespace Internal

/** What a caller sent. */
struct ReceivedRequest
{
    std::string method;
    std::string path;
    std::string query;
    /** Address and port. */
    std::string peer;
    HttpHeaders headers;
    std::string body;
};

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

    /** For HttpServer: the exchange of a request that has been read, and that socket's user until it is finished. */
    static std::shared_ptr<HttpExchange>
    make(ReceivedRequest request, QHttpServerResponder &&responder, Internal::ServerSocket &socket, bool closeAfter);

private:
    class Private;
    explicit HttpExchange(std::shared_ptr<Private> priv);
    std::shared_ptr<Private> d;
};

} // namespace Sequoiausher
