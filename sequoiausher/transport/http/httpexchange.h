#pragma once

// One HTTP request to a server and its answer, which is sent at once or as a stream.
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

/** A request as the caller sent it. */
struct ReceivedRequest
{
    std::string method;
    std::string path;
    std::string query;
    /** The caller's address and port. */
    std::string peer;
    HttpHeaders headers;
    std::string body;
};

/**
 * One request and its answer. The handler keeps the shared pointer until it has answered. An exchange that is destroyed
 * without an answer closes its connection, so that the caller does not wait for one.
 *
 * After the caller has disconnected writes have no effect, so handlers need not check before each write.
 */
class HttpExchange
{
public:
    using Callback = std::function<void()>;

    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /** Returns the method in capitals, such as "POST"; "UNKNOWN" for one that HTTP does not define. */
    const std::string &method() const;
    /** Returns the percent-decoded path without the query. */
    const std::string &path() const;
    /** Returns the query as received, without the question mark. */
    const std::string &query() const;
    /** Returns the decoded value of a query item; empty if there is none. */
    std::string queryItem(const std::string &name) const;
    const HttpHeaders &headers() const;
    const std::string &body() const;
    /** Returns the caller's address and port, such as "127.0.0.1:41234". */
    const std::string &peer() const;

    /**
     * Sends a complete answer. Adds Content-Length and Connection, and omits fields that isWritableHeader() rejects.
     * Has no effect if the exchange is answered already or the caller has disconnected.
     */
    void respond(int status, const HttpHeaders &headers, std::string_view body);
    /** Sends the head of an answer. The body follows by writeChunk() and ends by endStream() or abortStream(). */
    void startStream(int status, const HttpHeaders &headers);
    /** Sends a part of the body; an empty part is ignored. Returns false if the caller has disconnected. */
    bool writeChunk(std::string_view bytes);
    /** Ends the body, so that the answer is complete. */
    void endStream();
    /** Closes the connection without ending the body, so that the caller detects an incomplete answer. */
    void abortStream();

    /** Closes the connection after the answer, whose head says so unless it was sent already. */
    void closeAfterAnswer();

    /** Returns the number of bytes written but not yet passed to the kernel; large if the caller reads slowly. */
    std::size_t bytesToWrite() const;
    /** Returns whether the answer was completed or aborted. */
    bool isFinished() const;
    /** Returns whether startStream() was called. */
    bool isStreaming() const;
    /** Returns whether the connection was closed or lost before the answer was finished. */
    bool isClientGone() const;

    /** Sets the callback for a caller that disconnects before the answer is finished. Replaces an earlier one. */
    void onClientGone(Callback callback);
    /** Sets the callback for when bytesToWrite() falls to lowWater or below, called once. Replaces an earlier one. */
    void onDrained(std::size_t lowWater, Callback callback);

    /** For HttpServer. The exchange is the socket's user until it is finished. */
    static std::shared_ptr<HttpExchange>
    make(ReceivedRequest request, QHttpServerResponder &&responder, Internal::ServerSocket &socket, bool closeAfter);

private:
    class Private;
    explicit HttpExchange(std::shared_ptr<Private> priv);
    std::shared_ptr<Private> d;
};

} // namespace Sequoiausher
