#pragma once

// Connections to targets. An unused one is kept for the next request to the same target, since each new one costs the
// target time; the last used is taken first, so that the others may be closed by the target one by one.
//
//     std::shared_ptr<TargetConnection> connection = pools.take(target, limit, now, Reuse::Fresh);
//     connection->begin(user, bytes);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/transport/stream/bytestream.h"
#include "sequoiausher/transport/stream/httpreader.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Sequoiausher {

class TargetPools;

/** What a connection tells the request that it carries. Each call may drop the connection. */
class TargetConnectionUser
{
public:
    virtual ~TargetConnectionUser() = default;
    /** The reader has read on. */
    virtual void answerGrew() = 0;
    /** The connection is over; reader() has what came before. */
    virtual void connectionEnded(StreamEnd how) = 0;
};

/** How certain it must be that a kept connection still works. */
enum class Reuse {
    /** The request may be sent again if the connection turns out to be dead. */
    Any,
    /** The request runs at most once, and a dead connection would leave its fate unknown. */
    Fresh,
};

/** One connection to a target. */
class TargetConnection : public ByteStreamUser, public std::enable_shared_from_this<TargetConnection>
{
public:
    /** Starts to connect. @throws Error(Step::Connect, ...) */
    TargetConnection(TargetPools &pools, TargetId target, const std::string &address);
    ~TargetConnection() override;
    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;

    /** Sends a request; user hears of its answer until release() or drop(). */
    void begin(TargetConnectionUser *user, std::string_view bytes, bool isHead);
    HttpReader &reader();
    /** Lets the reader read what has arrived, after a restart of it. */
    void readOn();
    bool isOpen() const;
    /** Whether any byte of the present request has left this process. */
    bool hasSent() const;
    void setReading(bool on);

    /**
     * The answer is whole. Keeps the connection for the next request where that is safe: the whole request was taken,
     * nothing follows the answer, and the target keeps the connection open.
     */
    void release(std::optional<Millis> idleTime, Millis now);
    /** Closes it; the target stops what it does for the request. */
    void drop();

    void bytesArrived() override;
    void ended(StreamEnd how) override;

    TargetId target;
    /** Since when it is unused, and until when the target keeps it. */
    Millis idleSince;
    Millis idleUntil;

private:
    TargetPools &pools;
    std::shared_ptr<ByteStream> stream;
    HttpReader answer;
    TargetConnectionUser *user = nullptr;
    bool wasReused = false;
};

/** All connections of one gateway to its targets. */
class TargetPools
{
public:
    TargetPools();
    ~TargetPools();
    TargetPools(const TargetPools &) = delete;
    TargetPools &operator=(const TargetPools &) = delete;

    /**
     * A connection without a request: a kept one, or a new one where fewer than limit are open to the target.
     * @return nullptr where there is no room. @throws Error(Step::Connect, ...)
     */
    std::shared_ptr<TargetConnection> take(const GatewayTarget &target, std::size_t limit, Millis now, Reuse reuse);
    /** Closes kept connections that are about to be closed by their targets. */
    void tick(Millis now);
    /** Closes the kept connections to targets that are not listed: those that are gone, or in an earlier life. */
    void keepOnly(const std::function<bool(const TargetId &)> &isListed);

    std::uint64_t dialled() const;

private:
    friend class TargetConnection;
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
