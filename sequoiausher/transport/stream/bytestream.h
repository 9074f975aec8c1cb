#pragma once

// One TCP connection on the thread's event loop, over a plain socket. It tells a connection that the other side closed
// in order from one that was reset, which QTcpSocket does not: both reach its user as RemoteHostClosedError, so an
// answer without a length that was cut would pass for a whole one.
//
//     std::shared_ptr<ByteStream> stream = ByteStream::dial("10.0.3.7:8080", user);
//     stream->write("GET / HTTP/1.1\r\n\r\n");
//     // user.bytesArrived(): look at stream->input(), erase what was used

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** How a connection ended, as its user must know it. */
enum class StreamEnd {
    /** The other side closed in order: all that it sent has arrived. */
    Finished,
    /** Cut: what the other side sent may be missing. */
    Reset,
    /** It was never open, so nothing that was written has left this process. */
    NotConnected,
};

template<>
inline constexpr auto nameTable<StreamEnd> = std::to_array<NameEntry<StreamEnd>>({
    {StreamEnd::Finished, "finished"},
    {StreamEnd::Reset, "reset"},
    {StreamEnd::NotConnected, "not-connected"},
});

/** What a connection tells its user. Each call may drop the stream. */
class ByteStreamUser
{
public:
    virtual ~ByteStreamUser() = default;

    /** A dialled connection is open. */
    virtual void connected()
    {
    }
    /** input() has grown. */
    virtual void bytesArrived() = 0;
    /** All that was written has left for the kernel. */
    virtual void drained()
    {
    }
    /** The connection is over; called once, and nothing after it. Not called where this side closed. */
    virtual void ended(StreamEnd how) = 0;
};

/** A connection. Not thread-safe. */
class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
    /** Told how many bytes arrived after a gentle close and were thrown away, where any were. */
    using Discarded = std::function<void(std::size_t bytes)>;

    /**
     * Starts to connect. What is written before the connection is open waits for it.
     * Throws Error(Step::Connect, address, ...) where no socket can be had.
     */
    static std::shared_ptr<ByteStream> dial(const std::string &address, ByteStreamUser *user);
    /** Takes over an open, non-blocking descriptor. */
    static std::shared_ptr<ByteStream> adopt(int descriptor, ByteStreamUser *user);
    ~ByteStream();
    ByteStream(const ByteStream &) = delete;
    ByteStream &operator=(const ByteStream &) = delete;

    /** What has arrived and was not yet used; the user erases what it took. */
    std::string &input();
    /** Takes what has arrived now, as the event loop would at its next turn; the user is told as usual. */
    void readNow();
    /** Sends, or keeps for later what the kernel does not take now. */
    void write(std::string_view bytes);
    /** Bytes written that the kernel has not taken. */
    std::size_t pendingBytes() const;
    /** Bytes written that the other side has not acknowledged; the kernel's and pendingBytes(). 0 once closed. */
    std::size_t unacknowledgedBytes() const;
    /** Bytes that wait in the kernel and were not read yet; 0 once closed. */
    std::size_t unreadBytes() const;
    /** Whether the other side has closed and all that it sent was read, though the user has not been told yet. */
    bool isLeft() const;
    bool isConnected() const;
    bool isOpen() const;
    /** Whether any written byte has left this process: before that, the other side surely knows nothing. */
    bool hasSent() const;
    /** Stops or goes on taking bytes from the kernel, so that a slow reader on the far side slows the sender. */
    void setReading(bool on);

    /**
     * Has the kernel end the connection if the other side's machine has not answered for this long, rounded down to
     * seconds and at least minDeadPeerTime, whether or not bytes are on their way to it. Without it a connection on
     * which this side only waits outlives a machine that lost power.
     */
    void detectDeadPeer(Millis after);
    static constexpr Millis minDeadPeerTime{3000};

    /** No more calls to the user; the connection stays as it is. */
    void forgetUser();
    void setUser(ByteStreamUser *user);
    /**
     * For a connection on which something was just sent: sends what is pending, however slowly the other side takes
     * it, then says that no more comes, and throws away what still arrives until the other side closes or some time is
     * over. Closing at once with unread bytes would reset the connection, and the far side could lose what it was just
     * sent. What was thrown away is told once, when the connection is over.
     */
    void closeGently(Discarded discarded = nullptr);
    /**
     * Closes at once; pending bytes are lost. The other side's kernel is told with a reset that nobody has read what
     * it sent meanwhile.
     */
    void close();
    /** The same by a reset, so that the other side cannot take what it got for the whole. */
    void reset();

private:
    class Private;
    explicit ByteStream(std::unique_ptr<Private> with);
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
