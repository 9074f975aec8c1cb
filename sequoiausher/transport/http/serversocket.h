#pragma once

// A connection of an HttpServer, and the listener that makes them. Internal to the HTTP server.

#include "sequoiausher/base/countedbytes.h"
#include "sequoiausher/base/millis.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace Sequoiausher::Internal {

class ServerSocket;

/** The state shared by a server, its connections and its exchanges. Outlives the server while exchanges exist. */
struct ServerState
{
    std::size_t openExchanges = 0;
    std::size_t openConnections = 0;
    bool stopping = false;
    std::size_t maximumRequestBytes = 0;
    std::size_t maximumConnections = 0;
    std::size_t maximumHeldBytes = 0;
    std::size_t receiveBytes = 0;
    std::size_t yielded = 0;
    /** The parts of requests that all connections hold. */
    std::shared_ptr<std::size_t> received = std::make_shared<std::size_t>(0);
    /** Closes connections until they hold no more than they may, but not the one that is being read. */
    std::function<void(const ServerSocket *reading)> makeMemoryRoom;
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
    /** @param hasRoom whether there is room for the connection; otherwise its first request is refused. */
    ServerSocket(std::shared_ptr<ServerState> common, QObject *parent, bool hasRoom);
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
        this->received.set(0);
        this->since = Millis::monotonicNow();
    }

    /**
     * Closes the connection if a request is incomplete for longer than requestTimeout, or if there is none for longer
     * than idleTimeout. Does not affect an exchange in progress.
     */
    void endIfUnused(Millis now, Millis requestTimeout, Millis idleTimeout);

    /** Refuses a partly read request, since the server stops. */
    void refuseIncomplete();

    /** Returns the bytes of a part of a request, and of answers that the caller has not taken. */
    std::size_t heldBytes() const;
    /** Returns when a request began, or when the caller last took a part of an answer, or sent a whole request. */
    Millis movedAt() const
    {
        return this->since;
    }
    /** Whether an exchange is in progress. */
    bool isInUse() const
    {
        return !this->current.expired();
    }
    /** Closes the connection for want of room; refuses a part of a request first. */
    void yield();

    bool isIdle() const
    {
        return this->current.expired() && this->received.bytes() == 0 && !this->closing;
    }

    std::shared_ptr<ServerState> shared;
    std::weak_ptr<ConnectionUser> current;
    bool closing = false;

private:
    void countRead();
    /** Whether the parts of requests on all connections take more memory than they may. */
    bool isBeyondMemory() const;
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
    void writeRefusal(const Refusal &refusal);
    void clientGone();
    void written();

    /** A request of which a part has arrived. */
    CountedBytes received;
    /** When the connection became idle, or when its current request began. */
    Millis since = Millis::monotonicNow();
    /** The number of connections exceeded the limit, so the first request is refused. */
    bool beyondLimit;
    std::array<QMetaObject::Connection, 3> own;
};

/** The listener that creates ServerSockets. */
class Listener : public QTcpServer
{
public:
    Listener(std::shared_ptr<ServerState> common, QObject *parent) : QTcpServer(parent), shared(std::move(common))
    {
    }

    std::vector<ServerSocket *> sockets() const;
    /** Closes connections until they hold no more than they may, but not the one that is being read. */
    void limitHeldBytes(const ServerSocket *reading = nullptr) const;

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    /** Closes the connection that moves least among those without an exchange. @return whether there was one. */
    bool makeRoom() const;

    std::shared_ptr<ServerState> shared;
};

} // namespace Sequoiausher::Internal
