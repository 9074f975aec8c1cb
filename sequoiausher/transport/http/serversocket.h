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

/** The state shared by a server, its connections and its exchanges. Outlives the server while exchanges exist. */
struct ServerState
{
    std::size_t openExchanges = 0;
    std::size_t openConnections = 0;
    bool stopping = false;
    std::size_t maximumRequestBytes = 0;
    std::size_t maximumConnections = 0;
};

/** Receives the events of a connection; implemented by its current exchange. */
class ConnectionUser
{
public:
    virtual ~ConnectionUser() = default;
    /** The connection was closed by the caller or lost. */
    virtual void handleClientGone() = 0;
    /** Bytes were passed to the kernel. */
    virtual void handleWritten() = 0;
    /** The connection must close after the answer. */
    virtual void closeAfterAnswer() = 0;
};

/**
 * A connection. Its slot for readyRead runs before that of QHttpServer, since it is connected first. So it can count
 * and refuse bytes that QHttpServer would buffer without a limit.
 */
class ServerSocket : public QTcpSocket
{
public:
    ServerSocket(std::shared_ptr<ServerState> common, QObject *parent);
    ~ServerSocket() override;
    ServerSocket(const ServerSocket &) = delete;
    ServerSocket &operator=(const ServerSocket &) = delete;

    /**
     * Disconnects the callbacks at the end of the server, when handlers may be destroyed. Only this class's signal
     * connections are removed, since QHttpServer uses one of its own to free its request object.
     */
    void silence();
    /** Sends what was written and closes; aborts if the caller reads nothing of it for a long time. */
    void closeGracefully();
    /** Records that a complete request was read, so that the next byte belongs to another one. */
    void requestComplete()
    {
        this->receivedBytes = 0;
        this->since = Millis::monotonicNow();
    }

    /**
     * Closes the connection if a request is incomplete for longer than requestTimeout, or if there is none for longer
     * than idleTimeout. Does not affect an exchange in progress.
     */
    void endIfUnused(Millis now, Millis requestTimeout, Millis idleTimeout);

    /** Refuses a partly read request, since the server stops. */
    void refuseIncomplete();

    bool isIdle() const
    {
        return this->current.expired() && this->receivedBytes == 0 && !this->closing;
    }

    std::shared_ptr<ServerState> shared;
    std::weak_ptr<ConnectionUser> current;
    bool closing = false;

private:
    void countRead();
    /** An answer to a request that was not read whole. */
    struct Refusal
    {
        std::string_view status;
        std::string_view code;
        std::string_view message;
        std::string_view ran = "no";
        bool mayRetry = false;
    };
    void refuse(const Refusal &refusal);
    void clientGone();
    void written();

    std::size_t receivedBytes = 0;
    /** When the connection became idle, or when its current request began. */
    Millis since = Millis::monotonicNow();
    /** The number of connections exceeded the limit, so the first request is refused. */
    bool beyondLimit = false;
    std::array<QMetaObject::Connection, 3> own;
};

/** The listener that creates ServerSockets. */
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
