#pragma once

// A connection of an HttpServer, and the listener that makes them. Internal to the HTTP server.

#include "sequoiausher/base/millis.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <array>
#include <cstddef>
#include <memory>
#include <string_view>

namespace Sequoiausher::Internal {

/** What a server, its connections and its exchanges share; outlives the server while exchanges are held. */
struct ServerState
{
    std::size_t openExchanges = 0;
    std::size_t openConnections = 0;
    bool stopping = false;
    std::size_t maximumRequestBytes = 0;
    std::size_t maximumConnections = 0;
};

/** Who is told about a connection: the exchange that is under way on it. */
class ConnectionUser
{
public:
    virtual ~ConnectionUser() = default;
    /** The caller closed the connection, or it broke. */
    virtual void handleClientGone() = 0;
    /** The kernel has taken bytes. */
    virtual void handleWritten() = 0;
    /** The connection is to close once the answer is given. */
    virtual void closeAfterAnswer() = 0;
};

/**
 * A connection. Its slot on readyRead runs before QHttpServer's, since it is connected first, and so can count and
 * refuse what QHttpServer would buffer without a bound.
 */
class ServerSocket : public QTcpSocket
{
public:
    ServerSocket(std::shared_ptr<ServerState> common, QObject *parent);
    ~ServerSocket() override;
    ServerSocket(const ServerSocket &) = delete;
    ServerSocket &operator=(const ServerSocket &) = delete;

    /**
     * No more callbacks: for the end of the server, when handlers may be gone already. Only our own connections are
     * cut, since QHttpServer frees its request object by one of its own.
     */
    void silence();
    /** Sends what was written and closes; a caller that takes nothing of it for long is cut off. */
    void closeGracefully();
    /** A whole request has been read: the next byte belongs to another one. */
    void requestComplete()
    {
        this->receivedBytes = 0;
        this->since = Millis::monotonicNow();
    }

    /**
     * Ends a connection whose caller keeps it without using it: in the middle of a request since requestTimeout, or
     * without one since idleTimeout. An exchange under way is never touched.
     */
    void endIfUnused(Millis now, Millis requestTimeout, Millis idleTimeout);

    bool isIdle() const
    {
        return this->current.expired() && this->receivedBytes == 0 && !this->closing;
    }

    std::shared_ptr<ServerState> shared;
    std::weak_ptr<ConnectionUser> current;
    bool closing = false;

private:
    void countRead();
    void refuse(std::string_view status, std::string_view code, std::string_view message);
    void clientGone();
    void written();

    std::size_t receivedBytes = 0;
    /** Since when the connection has been without a request, or the present one has been on its way. */
    Millis since = Millis::monotonicNow();
    /** More connections were open than may be: its first request is refused. */
    bool beyondLimit = false;
    std::array<QMetaObject::Connection, 3> own;
};

/** The listener that makes ServerSockets. */
class Listener : public QTcpServer
{
public:
    Listener(std::shared_ptr<ServerState> common, QObject *parent) : QTcpServer(parent), shared(std::move(common))
    {
    }

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    std::shared_ptr<ServerState> shared;
};

} // namespace Sequoiausher::Internal
