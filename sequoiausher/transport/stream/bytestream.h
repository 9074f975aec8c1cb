#pragma once

// A TCP connection on the thread's event loop, over a plain socket. It distinguishes an orderly close from a reset,
// which QTcpSocket does not: it reports both as RemoteHostClosedError, so that an answer without a length that was
// reset would look complete.
//
//     std::shared_ptr<ByteStream> stream = ByteStream::dial("10.0.3.7:8080", user);
//     stream->write("GET / HTTP/1.1\r\n\r\n");
//     // user.bytesArrived(): look at stream->input(), erase what was used

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** How a connection ended. */
enum class StreamEnd {
    /** An orderly close by the other side; all that it sent has arrived. */
    Finished,
    /** A reset or another error; bytes that the other side sent may be missing. */
    Reset,
    /** The connection was never open, so no written byte has left this process. */
    NotConnected,
};

template<>
inline constexpr auto nameTable<StreamEnd> = std::to_array<NameEntry<StreamEnd>>({
    {StreamEnd::Finished, "finished"},
    {StreamEnd::Reset, "reset"},
    {StreamEnd::NotConnected, "not-connected"},
});

/** Receives the events of a connection. Each call may release the stream. */
class ByteStreamUser
{
public:
    virtual ~ByteStreamUser() = default;

    /** A dialled connection was opened. */
    virtual void connected()
    {
    }
    /** input() has grown. */
    virtual void bytesArrived() = 0;
    /** All written bytes were passed to the kernel. */
    virtual void drained()
    {
    }
    /** The connection ended. The last call; not called if this side closed the connection. */
    virtual void ended(StreamEnd how) = 0;
};

/** A connection. Not thread-safe. */
class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
    /** Receives the number of bytes that arrived after a gentle close and were discarded, once the close is over. */
    using Discarded = std::function<void(std::size_t bytes)>;

    /**
     * Starts to connect. Bytes that are written before the connection is open are sent then.
     * @throws Error(Step::Connect, address, ...) if no socket can be opened.
     */
    static std::shared_ptr<ByteStream> dial(const std::string &address, ByteStreamUser *user);
    /** Takes ownership of an open, non-blocking descriptor. */
    static std::shared_ptr<ByteStream> adopt(int descriptor, ByteStreamUser *user);
    ~ByteStream();
    ByteStream(const ByteStream &) = delete;
    ByteStream &operator=(const ByteStream &) = delete;

    /** Returns the received bytes; the user erases those that it has processed. */
    std::string &input();
    /** Reads what has arrived, as the event loop would at its next turn; calls the user as usual. */
    void readNow();
    /** Sends the bytes, and buffers what the kernel does not accept now. */
    void write(std::string_view bytes);
    /** The same without copying the bytes, which must not be null. */
    void write(std::shared_ptr<const std::string> bytes);
    /** Counts the bytes that the stream holds, without shared ones, into total as long as it exists. */
    void countInto(std::shared_ptr<std::size_t> total);
    /**
     * From now on bytes in the kernel that the other side has not acknowledged count as held. They are counted when
     * they are written, and leave the count by updateAcknowledged().
     */
    void countUnacknowledged();
    /** Asks the kernel what was acknowledged. @return the number of bytes since the last call. */
    std::size_t updateAcknowledged();
    /** Returns the bytes in the kernel without acknowledgement, as of the last updateAcknowledged() and later writes.
     */
    std::size_t knownUnacknowledged() const;
    /** Returns the bytes that the stream holds: received, waiting to be sent, and those of countUnacknowledged(). */
    std::size_t heldBytes() const;
    /**
     * Limits what the kernel receives before it is read. A limit of the listening socket applies from the first byte;
     * the limit of an open connection should only grow. Bytes beyond a smaller one are dropped and sent again, and a
     * sender whose window falls below half of its largest may only probe it, more and more seldom.
     */
    void limitReceiving(std::size_t bytes);
    /** Returns the number of written bytes that were not passed to the kernel yet. */
    std::size_t pendingBytes() const;
    /** Returns the number of written bytes without acknowledgement, including pendingBytes(); 0 once closed. */
    std::size_t unacknowledgedBytes() const;
    /** Returns the number of received bytes in the kernel that were not read yet; 0 once closed. */
    std::size_t unreadBytes() const;
    /** Returns whether the other side has closed and all bytes were read, even if ended() was not called yet. */
    bool isLeft() const;
    bool isConnected() const;
    bool isOpen() const;
    /** Returns whether any written byte has left this process. */
    bool hasSent() const;
    /** Returns whether all written bytes were passed to the kernel, also once the connection has ended. */
    bool hasSentAll() const;
    /** Pauses or resumes reading; pausing slows the other side down. */
    void setReading(bool on);
    bool isReading() const;
    /**
     * Pauses reading until the event loop has served the other connections, and calls bytesArrived() then, whether or
     * not anything has arrived. For a user that has more input than it should process at once.
     */
    void readLater();

    /**
     * Makes the kernel end the connection if the other machine has not replied for this long, rounded down to seconds
     * and at least minDeadPeerTime, whether or not bytes are in transit. Otherwise a connection on which this side only
     * waits outlives a machine that lost power.
     */
    void detectDeadPeer(Millis after);
    static constexpr Millis minDeadPeerTime{3000};

    /** Stops calling the user. Does not affect the connection. */
    void forgetUser();
    void setUser(ByteStreamUser *user);
    /**
     * Sends the pending bytes, however slowly the other side reads them, shuts the connection down for writing, and
     * discards further input until the other side closes or a timeout ends. Closing at once with unread bytes would
     * reset the connection, and the other side could lose what was just sent. The number of discarded bytes is reported
     * once, at the end.
     * @param maxDiscardedBytes beyond so many the connection is closed at once.
     */
    void closeGently(Discarded discarded = nullptr,
                     std::size_t maxDiscardedBytes = std::numeric_limits<std::size_t>::max());
    /** Returns the other side's address, such as "10.0.3.7:8080"; empty once closed. */
    std::string peerAddress() const;
    /**
     * Closes at once; pending bytes are lost. If there are unread bytes, the other side gets a reset.
     */
    void close();
    /** The same with a reset, so that the other side cannot take what it received for complete. */
    void reset();

private:
    class Private;
    explicit ByteStream(std::unique_ptr<Private> with);
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
