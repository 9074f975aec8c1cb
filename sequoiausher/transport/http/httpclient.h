#pragma once

// An HTTP/1.1 client on one event loop, over one QNetworkAccessManager. One instance per worker thread.
//
//     HttpClient client({});
//     HttpCallbacks callbacks;
//     callbacks.onHead = [](int status, const HttpHeaders &headers) { ... };
//     callbacks.onData = [](std::string_view bytes) { ... };
//     callbacks.onEnd = [] { ... };
//     callbacks.onError = [](const ClientError &error) { ... };
//     auto call = client.send({.method = "POST", .url = "http://127.0.0.1:8000/v1/chat/completions", .body = body},
//                             {.firstByteTimeout = Millis{2000}}, std::move(callbacks));
//
// What it adds to QNetworkAccessManager:
// - No hidden queue. QNetworkAccessManager sends at most six requests at a time to one host and port and queues the
//   others, where limits, priorities and deadlines do not apply. Its connection cache is keyed by scheme, host, port
//   and peer verify name. Over plain HTTP that name has no other effect, so each call leases a lane, which has a unique
//   name and stands for a connection that carries one call at a time.
// - A request is written at most once. QNetworkAccessManager silently resends a request, even a POST, if the connection
//   closes before an answer. To resend it must rewind the request's body, so each request has a body device, which may
//   be empty and cannot be rewound. This ends the call instead.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/protocol/http/httpheaders.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** How a call failed. */
enum class ClientErrorKind {
    /** Certainly not sent: nothing listened, or no connection was opened. May be sent to another target. */
    RefusedBeforeSend,
    /** The connection ended before an answer: the target may have run the request. */
    MayHaveRun,
    /** No head of an answer within the first-byte timeout. */
    TimedOutFirstByte,
    /** The answer was not complete by the deadline. */
    TimedOutDeadline,
    /** The head was received, but the connection ended before the body was complete. */
    BrokenBody,
    /** Ended by cancelAll(). */
    Cancelled,
};

template<>
inline constexpr auto nameTable<ClientErrorKind> = std::to_array<NameEntry<ClientErrorKind>>({
    {ClientErrorKind::RefusedBeforeSend, "refused-before-send"},
    {ClientErrorKind::MayHaveRun, "may-have-run"},
    {ClientErrorKind::TimedOutFirstByte, "timed-out-first-byte"},
    {ClientErrorKind::TimedOutDeadline, "timed-out-deadline"},
    {ClientErrorKind::BrokenBody, "broken-body"},
    {ClientErrorKind::Cancelled, "cancelled"},
});

/** The failure of a call. */
struct ClientError
{
    ClientErrorKind kind = ClientErrorKind::MayHaveRun;
    /**
     * Whether the target certainly did not receive the whole request, so that it cannot have run it. Always true for
     * RefusedBeforeSend; may be true for timeouts, if no connection was opened in time.
     */
    bool surelyNotSent = false;
    /** For logs. */
    std::string reason;
};

/** Returns whether the header fields define the end of an answer. Otherwise it ends with its connection. */
bool hasOwnEnd(const HttpHeaders &headers);

/** The callbacks of a call. The last one is either onEnd or onError, unless cancel() is called before. */
struct HttpCallbacks
{
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    /** Receives a part of the body; the bytes are valid during the callback only. */
    std::function<void(std::string_view bytes)> onData;
    std::function<void()> onEnd;
    std::function<void(const ClientError &error)> onError;
};

/** A request. */
struct HttpRequest
{
    std::string method = "GET";
    /** An absolute http URL. The host should be an IP address, since a name is resolved first. */
    std::string url;
    /**
     * Connection, Host, Content-Length, Transfer-Encoding, Accept-Encoding, Expect, TE, Upgrade and Keep-Alive are
     * omitted, since the client writes its own, and so are fields that isWritableHeader() rejects.
     */
    HttpHeaders headers;
    std::string body;
};

/** The options of a call. */
struct RequestOptions
{
    /** The timeout for the head of the answer, including the time to connect. */
    Millis firstByteTimeout{30000};
    /** The timeout for the whole call. */
    Millis deadline{600000};
    /**
     * For requests that must not be sent twice: uses only a new connection or one used within justUsedAge. An older one
     * may be closed or silent, and then it would be unknown whether the request was run.
     */
    bool freshOnly = false;
    /**
     * An answer without a length ends with its connection, as it also does if its process ends in the middle. If set,
     * such an answer counts as whole only once the target has accepted another connection.
     */
    bool confirmsUnframedEnd = false;
};

/** A call in progress. Releasing the handle neither cancels nor ends the call. */
class HttpCall
{
public:
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /** Closes the connection at once. No callback is called afterwards. */
    void cancel();
    /** Stops onData, and reading from the connection once the read buffer is full, which slows the target down. */
    void pause();
    /** Resumes onData; may call onData, onEnd or onError before it returns. */
    void resume();
    /** Returns whether the call has ended. */
    bool isFinished() const;

private:
    friend class HttpClient;
    class Private;
    explicit HttpCall(std::unique_ptr<Private> priv);
    std::unique_ptr<Private> d;
};

/** The limits of a client. */
struct HttpClientOptions
{
    /** Connections that were idle for longer are not reused. */
    Millis maximumIdleAge{20000};
    /** The same for freshOnly calls. */
    Millis justUsedAge{200};
    /** The maximum number of idle connections per target; calls beyond it send "Connection: close". */
    std::size_t maximumIdlePerTarget = 64;
    /** The maximum number of bytes that are buffered for a paused call. */
    std::size_t readBufferBytes = std::size_t{256} << 10U;
};

/** Sends HTTP requests. Belongs to one thread. */
class HttpClient
{
public:
    explicit HttpClient(HttpClientOptions options);
    /** Ends all calls without calling their callbacks. */
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Starts a call. Its callbacks are called from the event loop, never before send() has returned. */
    std::shared_ptr<HttpCall> send(const HttpRequest &request, const RequestOptions &options, HttpCallbacks callbacks);
    /** Ends all calls; calls onError of each with Cancelled. */
    void cancelAll();
    /** Returns the number of calls in progress. */
    std::size_t openCalls() const;
    /** Returns the number of idle connections to all targets that may still be reused. */
    std::size_t idleLanes() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
