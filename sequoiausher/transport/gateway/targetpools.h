#pragma once

// Pools of connections to targets, direct ones and tunnels through other gateways. An unused connection is kept for the
// next request to the same target, because each new one costs the target time. The most recently used one is taken
// first, so that the others can time out. A connection over a path that is known to be cut is not used again.
//
//     TargetPools pools(environment);
//     std::shared_ptr<TargetConnection> connection = pools.take(target, limit, now);
//     connection->begin(user, bytes);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/transport/gateway/targetdial.h"
#include "sequoiausher/transport/stream/bytestream.h"
#include "sequoiausher/transport/stream/httpreader.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Sequoiausher {

class TargetPools;

/** Receives the events of a connection for the request that it carries. Each function may drop the connection. */
class TargetConnectionUser
{
public:
    virtual ~TargetConnectionUser() = default;
    /** The reader has read more of the answer. */
    virtual void answerGrew() = 0;
    /** The connection has ended; reader() has what arrived before. */
    virtual void connectionEnded(StreamEnd how) = 0;
};

/** One connection to a target. */
class TargetConnection : public ByteStreamUser,
                         public TargetDialUser,
                         public std::enable_shared_from_this<TargetConnection>
{
public:
    /** pools outlives this. */
    TargetConnection(TargetPools &pools, const GatewayTarget &target, DialWays ways);
    ~TargetConnection() override;
    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;

    /** Starts to connect. @throws Error(Step::Connect, ...) */
    void dial(Millis now);
    /** Adds a way to the target if connecting takes long. */
    void tick(Millis now);
    /** A request as it is to be sent. */
    struct OutgoingRequest
    {
        std::string head;
        std::shared_ptr<const std::string> body;
    };
    /** Writes a request as it is to be sent now. */
    using RequestWriter = std::function<OutgoingRequest()>;

    /**
     * Sends a request, once the connection is open; user receives events until release() or drop().
     * @param write called once, when the connection is open.
     */
    void begin(TargetConnectionUser *user, RequestWriter write, bool isHead);
    HttpReader &reader();
    /** Has the reader read what has arrived already, after it was restarted. */
    void readOn();
    bool isOpen() const;
    /** Whether any byte of the current request has left this process. */
    bool hasSent() const;
    /** Whether all bytes of the current request have left this process; also once the connection has ended. */
    bool hasSentAll() const;
    /** The gateway that the connection goes through; empty for a direct one, or one that is not open yet. */
    const InstanceId &through() const;
    void setReading(bool on);
    /** Returns the bytes that the kernel has received and that were not read; 0 before the connection is open. */
    std::size_t unreadBytes() const;
    /** An answer on this connection bore the id of its request. */
    void recordEchoedId();
    /** Whether the answers on this connection bear the ids of their requests, as far as there were any. */
    bool hasEchoedIds() const;

    /**
     * Returns the connection to its pool after a complete answer, if that is safe: the whole request was sent, nothing
     * follows the answer, and the target keeps the connection open. Otherwise closes it.
     */
    void release(std::optional<Millis> idleTime, Millis now);
    /** Closes the connection, so that the target stops work on the request. */
    void drop();

    void bytesArrived() override;
    void ended(StreamEnd how) override;
    void dialled(DialledTarget opened) override;
    void dialFailed(DialFailure why) override;

    GatewayTarget target;
    /** Since when the connection is idle, and until when it may be used. */
    Millis idleSince;
    Millis idleUntil;

private:
    friend class TargetPools;

    /** What has arrived from the target and was not read yet. */
    std::string &input();
    void write(const OutgoingRequest &request);
    void goIdle(Millis idleTime, Millis now);
    /** Whether bytes have arrived that belong to no request, though the event loop has not reported them yet. */
    bool hasForeignBytes() const;
    void reportProbe(bool isAccepted);

    TargetPools &pools;
    std::unique_ptr<TargetDial> dialling;
    /** None before the connection is open. */
    std::shared_ptr<ByteStream> stream;
    std::optional<TunnelReader> tunnel;
    InstanceId throughPeer;
    /** Writes the request; before the connection is open. */
    RequestWriter unsent;
    bool hasWritten = false;
    HttpReader answer;
    TargetConnectionUser *user = nullptr;
    std::function<void(bool isAccepted)> probed;
    bool wasReused = false;
    bool echoesIds = false;
    /** A request was sent, or is to be, and has no whole answer yet. */
    bool hasRequest = false;
};

/** All connections of one gateway to its targets. */
class TargetPools
{
public:
    /** Receives whether the target accepted the connection in time. */
    using Probed = std::function<void(bool isAccepted)>;

    /** The environment outlives this. */
    explicit TargetPools(DialEnvironment &environment);
    ~TargetPools();
    TargetPools(const TargetPools &) = delete;
    TargetPools &operator=(const TargetPools &) = delete;

    /**
     * Takes an idle connection, or opens a new one if fewer than limit are open to the target.
     * @return nullptr if the limit is reached. @throws Error(Step::Connect, ...)
     */
    std::shared_ptr<TargetConnection> take(const GatewayTarget &target, std::size_t limit, Millis now);
    /**
     * Opens a connection without a request; it becomes idle once it is open. @return whether that was started; if so,
     * probed receives the result.
     */
    bool probe(const GatewayTarget &target, DialWays ways, Millis now, Probed probed = nullptr);
    /** Closes idle connections that their targets are about to close, or whose path is cut. */
    void tick(Millis now);
    /** Closes the idle connections to targets that are not listed, such as earlier incarnations. */
    void keepOnly(const std::function<bool(const TargetId &)> &isListed);

    std::uint64_t dialled() const;

private:
    friend class TargetConnection;
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
