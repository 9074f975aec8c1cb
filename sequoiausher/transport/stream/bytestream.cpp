#include "sequoiausher/transport/stream/bytestream.h"

#include "sequoiausher/base/countedbytes.h"
#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/stream/ipv4socket.h"
#include "sequoiausher/transport/stream/outputqueue.h"

#include <QElapsedTimer>
#include <QSocketNotifier>
#include <QTimer>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Sequoiausher {

namespace {

/** The size of the read buffer: small enough for the stack, large enough for long bodies. */
constexpr std::size_t readBytes = 16UL * 1024;
/** How long a gently closed connection waits for the other side to close. */
constexpr int lingerMs = 2000;
/** How long it waits for the other side to read more pending bytes; longer than most network interruptions. */
constexpr int stalledMs = 15000;
/** The time limit for the whole close, enough for a megabyte at 100 kbit/s. */
constexpr qint64 deliveryMs = 90000;
/** The most bytes read from one connection per turn of the event loop, so that it does not delay others. */
constexpr std::size_t readsAtOnce = 64;
/** The same for a connection whose bytes are discarded. */
constexpr std::size_t discardsAtOnce = 1;

void setNoDelay(int descriptor)
{
    // Otherwise a small event waits for the acknowledgement of the previous one.
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/** Returns a count that the kernel keeps for the socket; 0 if it is not available. */
std::size_t countOf(int descriptor, unsigned long which)
{
    int count = 0;
    if (descriptor < 0 || ioctl(descriptor, which, &count) != 0) {
        return 0;
    }
    return static_cast<std::size_t>(count);
}

} // namespace

class ByteStream::Private
{
public:
    Private(int with, ByteStreamUser *by, bool isOpenAlready) : descriptor(with), user(by), open(isOpenAlready)
    {
    }
    ~Private()
    {
        this->shut();
    }

    void watch(ByteStream &stream);
    void readable(ByteStream &stream);
    /** Reads once. @return whether more bytes may be available. */
    bool readOnce(ByteStream &stream);
    void writable(ByteStream &stream);
    void flush(ByteStream &stream);
    /** Gives up what can no longer be sent. Bytes that arrived before can still be read; the read reports the end. */
    void dropOutput();
    /** Sends appended output. @param wasEmpty false if earlier output waits for the kernel; then flush() sends both. */
    void sendAppended(bool wasEmpty);
    /** Hands bytes to the kernel until it accepts no more. @return false if the connection is broken. */
    bool sendOutput();
    std::size_t held() const
    {
        const std::size_t inKernel = this->countsUnacknowledged ? this->unacknowledged : 0;
        return this->input.size() + this->output.ownBytes() + inKernel;
    }
    void count()
    {
        this->buffered.set(this->held());
    }
    void end(ByteStream &stream, StreamEnd how);
    void linger(ByteStream &stream);
    void shut();

    int descriptor = -1;
    ByteStreamUser *user = nullptr;
    bool open = false;
    bool sent = false;
    /** Closed by this side; waits until all bytes are sent and the other side has closed. */
    bool lingering = false;
    /**
     * The kernel told a call of an error. It tells each error once, and reads then report an end like that of an
     * orderly close.
     */
    bool isBroken = false;
    /** Written bytes were given up because the connection is broken. */
    bool hasLostOutput = false;
    bool writeShut = false;
    std::size_t discardedBytes = 0;
    std::size_t maxDiscardedBytes = 0;
    Discarded discarded;
    bool countsUnacknowledged = false;
    /** Bytes in the kernel that were not known to be acknowledged when they were last counted. */
    std::size_t unacknowledged = 0;
    /** A further turn of the event loop was asked for by readLater(). */
    bool isLaterPlanned = false;
    std::string input;
    OutputQueue output;
    CountedBytes buffered;
    std::unique_ptr<QSocketNotifier> reads;
    std::unique_ptr<QSocketNotifier> writes;
    /** Keeps a lingering stream alive after its user has released it. */
    std::shared_ptr<ByteStream> self;
    std::unique_ptr<QTimer> lingerTimer;
    /** The time of the gentle close. */
    QElapsedTimer lingerClock;
};

void ByteStream::Private::watch(ByteStream &stream)
{
    this->reads = std::make_unique<QSocketNotifier>(this->descriptor, QSocketNotifier::Read);
    this->writes = std::make_unique<QSocketNotifier>(this->descriptor, QSocketNotifier::Write);
    this->reads->setEnabled(this->open);
    this->writes->setEnabled(!this->open);
    QObject::connect(this->reads.get(), &QSocketNotifier::activated, [this, &stream] {
        const auto keep = stream.shared_from_this();
        this->readable(stream);
    });
    QObject::connect(this->writes.get(), &QSocketNotifier::activated, [this, &stream] {
        const auto keep = stream.shared_from_this();
        this->writable(stream);
    });
}

void ByteStream::Private::readable(ByteStream &stream)
{
    // Reads a long message as a whole, since after a delay timeouts are checked against what has been read.
    std::size_t left = this->lingering ? discardsAtOnce : readsAtOnce;
    while (left > 0 && this->readOnce(stream)) {
        left -= 1;
    }
}

bool ByteStream::Private::readOnce(ByteStream &stream)
{
    std::array<char, readBytes> buffer;
    const ssize_t taken = recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (taken < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return false;
    }
    if (taken <= 0) {
        this->end(stream, taken == 0 && !this->isBroken ? StreamEnd::Finished : StreamEnd::Reset);
        return false;
    }
    if (this->lingering) {
        this->discardedBytes += static_cast<std::size_t>(taken);
        if (this->discardedBytes > this->maxDiscardedBytes) {
            this->end(stream, StreamEnd::Reset);
            return false;
        }
    } else {
        this->input.append(buffer.data(), static_cast<std::size_t>(taken));
        if (this->user != nullptr) {
            this->user->bytesArrived();
        }
        this->count();
    }
    // The user may have closed the stream or paused reading.
    const bool mayGoOn = this->descriptor >= 0 && this->reads && this->reads->isEnabled();
    return mayGoOn && static_cast<std::size_t>(taken) == buffer.size();
}

void ByteStream::Private::writable(ByteStream &stream)
{
    if (!this->open) {
        int problem = 0;
        socklen_t size = sizeof problem;
        if (getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &problem, &size) != 0 || problem != 0) {
            this->end(stream, StreamEnd::NotConnected);
            return;
        }
        this->open = true;
        this->reads->setEnabled(true);
        if (this->user != nullptr) {
            this->user->connected();
        }
    }
    if (this->descriptor >= 0) {
        this->flush(stream);
    }
}

bool ByteStream::Private::sendOutput()
{
    while (!this->output.empty()) {
        const std::string_view next = this->output.front();
        const ssize_t taken = send(this->descriptor, next.data(), next.size(), MSG_NOSIGNAL);
        if (taken < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
                return true;
            }
            // After an orderly close of the other side the kernel has all that it sent, and tells EPIPE.
            this->isBroken = this->isBroken || errno != EPIPE;
            return false;
        }
        this->sent = this->sent || taken > 0;
        this->unacknowledged += static_cast<std::size_t>(taken);
        this->output.consume(static_cast<std::size_t>(taken));
        if (this->lingerTimer && this->lingerClock.elapsed() < deliveryMs) {
            this->lingerTimer->start(stalledMs);
        }
        if (static_cast<std::size_t>(taken) < next.size()) {
            return true;
        }
    }
    return true;
}

void ByteStream::Private::flush(ByteStream &stream)
{
    if (!this->sendOutput()) {
        this->dropOutput();
    }
    this->count();
    this->writes->setEnabled(!this->output.empty());
    if (!this->output.empty()) {
        return;
    }
    if (this->lingering) {
        this->linger(stream);
    } else if (this->user != nullptr) {
        this->user->drained();
    }
}

void ByteStream::Private::dropOutput()
{
    this->hasLostOutput = true;
    this->output.clear();
}

void ByteStream::Private::sendAppended(bool wasEmpty)
{
    if (this->open && wasEmpty) {
        if (!this->sendOutput()) {
            // The user is not called during its own write.
            this->dropOutput();
        }
        this->writes->setEnabled(!this->output.empty());
    }
    this->count();
}

void ByteStream::Private::linger(ByteStream &stream)
{
    if (this->writeShut || !this->output.empty()) {
        return;
    }
    this->writeShut = true;
    this->lingerTimer->start(lingerMs);
    ::shutdown(this->descriptor, SHUT_WR);
    this->self = stream.shared_from_this();
}

void ByteStream::Private::end(ByteStream & /*stream*/, StreamEnd how)
{
    ByteStreamUser *told = this->user;
    this->user = nullptr;
    this->shut();
    const auto last = std::move(this->self);
    if (told != nullptr && !this->lingering) {
        told->ended(how);
    }
}

void ByteStream::Private::shut()
{
    if (this->descriptor < 0) {
        return;
    }
    // A notifier may be emitting its signal, so it is deleted later; it is disabled until then.
    for (auto *notifier : {&this->reads, &this->writes}) {
        if (*notifier) {
            (*notifier)->setEnabled(false);
            QObject::disconnect(notifier->get(), nullptr, nullptr, nullptr);
            notifier->release()->deleteLater();
        }
    }
    if (this->lingerTimer) {
        this->lingerTimer->stop();
        this->lingerTimer.release()->deleteLater();
    }
    ::close(this->descriptor);
    this->descriptor = -1;
    this->unacknowledged = 0;
    this->count();
    if (this->discarded) {
        std::exchange(this->discarded, nullptr)(this->discardedBytes);
    }
}

ByteStream::ByteStream(std::unique_ptr<Private> with) : d(std::move(with))
{
}

ByteStream::~ByteStream() = default;

std::shared_ptr<ByteStream> ByteStream::dial(const std::string &address, ByteStreamUser *user)
{
    const Ipv4Socket opened = openIpv4Socket(address, Step::Connect);
    setNoDelay(opened.descriptor);
    limitUnsentBytes(opened.descriptor);
    const int begun = ::connect(opened.descriptor, opened.address(), sizeof opened.at);
    if (begun != 0 && errno != EINPROGRESS) {
        const std::string reason = std::strerror(errno);
        ::close(opened.descriptor);
        throw Error(Step::Connect, address, reason);
    }
    std::shared_ptr<ByteStream> stream(new ByteStream(std::make_unique<Private>(opened.descriptor, user, false)));
    stream->d->watch(*stream);
    return stream;
}

std::shared_ptr<ByteStream> ByteStream::adopt(int descriptor, ByteStreamUser *user)
{
    setNoDelay(descriptor);
    limitUnsentBytes(descriptor);
    std::shared_ptr<ByteStream> stream(new ByteStream(std::make_unique<Private>(descriptor, user, true)));
    stream->d->watch(*stream);
    return stream;
}

std::string &ByteStream::input()
{
    return this->d->input;
}

void ByteStream::write(std::string_view bytes)
{
    if (this->d->descriptor >= 0 && !this->d->lingering) {
        const bool wasEmpty = this->d->output.empty();
        this->d->output.append(bytes);
        this->d->sendAppended(wasEmpty);
    }
}

void ByteStream::write(std::shared_ptr<const std::string> bytes)
{
    if (this->d->descriptor >= 0 && !this->d->lingering) {
        const bool wasEmpty = this->d->output.empty();
        this->d->output.append(std::move(bytes));
        this->d->sendAppended(wasEmpty);
    }
}

void ByteStream::countInto(std::shared_ptr<std::size_t> total)
{
    this->d->buffered.moveTo(std::move(total));
    this->d->count();
}

void ByteStream::countUnacknowledged()
{
    this->d->countsUnacknowledged = true;
    this->d->count();
}

std::size_t ByteStream::updateAcknowledged()
{
    if (this->d->unacknowledged == 0) {
        return 0;
    }
    const std::size_t left = std::min(countOf(this->d->descriptor, SIOCOUTQ), this->d->unacknowledged);
    const std::size_t acknowledged = std::exchange(this->d->unacknowledged, left) - left;
    this->d->count();
    return acknowledged;
}

std::size_t ByteStream::knownUnacknowledged() const
{
    return this->d->unacknowledged;
}

std::size_t ByteStream::heldBytes() const
{
    return this->d->held();
}

void ByteStream::limitReceiving(std::size_t bytes)
{
    if (this->d->descriptor >= 0) {
        limitReceiveBuffer(this->d->descriptor, bytes);
    }
}

void ByteStream::readNow()
{
    const auto keep = this->shared_from_this();
    if (this->isConnected() && this->d->reads->isEnabled()) {
        this->d->readable(*this);
    }
}

std::size_t ByteStream::pendingBytes() const
{
    return this->d->output.size();
}

std::size_t ByteStream::unacknowledgedBytes() const
{
    return this->d->output.size() + countOf(this->d->descriptor, SIOCOUTQ);
}

std::size_t ByteStream::unreadBytes() const
{
    return countOf(this->d->descriptor, FIONREAD);
}

bool ByteStream::isLeft() const
{
    if (this->d->descriptor < 0) {
        return false;
    }
    char next = 0;
    const ssize_t waiting = recv(this->d->descriptor, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    const bool isError = waiting < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    this->d->isBroken = this->d->isBroken || isError;
    return waiting == 0 || isError;
}

bool ByteStream::isConnected() const
{
    return this->d->open && this->d->descriptor >= 0;
}

bool ByteStream::isOpen() const
{
    return this->d->descriptor >= 0 && !this->d->lingering;
}

bool ByteStream::hasSentAll() const
{
    return this->d->output.empty() && !this->d->hasLostOutput;
}

bool ByteStream::hasSent() const
{
    return this->d->sent;
}

void ByteStream::setReading(bool on)
{
    if (this->d->reads && this->d->open) {
        this->d->reads->setEnabled(on);
    }
}

bool ByteStream::isReading() const
{
    return this->d->reads && this->d->reads->isEnabled();
}

void ByteStream::readLater()
{
    this->setReading(false);
    if (std::exchange(this->d->isLaterPlanned, true)) {
        return;
    }
    QTimer::singleShot(0, [weak = this->weak_from_this()] {
        const auto stream = weak.lock();
        if (!stream) {
            return;
        }
        stream->d->isLaterPlanned = false;
        if (stream->isOpen()) {
            stream->setReading(true);
            if (stream->d->user != nullptr) {
                stream->d->user->bytesArrived();
                stream->d->count();
            }
        }
    });
}

std::string ByteStream::peerAddress() const
{
    sockaddr_in at{};
    socklen_t size = sizeof at;
    if (this->d->descriptor < 0 || getpeername(this->d->descriptor, reinterpret_cast<sockaddr *>(&at), &size) != 0) {
        return {};
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &at.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(at.sin_port));
}

void ByteStream::detectDeadPeer(Millis after)
{
    if (this->d->descriptor < 0) {
        return;
    }
    // Two probes after the idle time. The user timeout limits the wait for acknowledgements and, if set, also overrides
    // the number of probes, so both must be equal.
    constexpr int probes = 2;
    constexpr int intervalSeconds = 1;
    constexpr int secondMs = 1000;
    const int seconds = static_cast<int>(std::max(after, minDeadPeerTime).count) / secondMs;
    const int idleSeconds = seconds - probes * intervalSeconds;
    const auto totalMs = static_cast<unsigned int>(seconds * secondMs);
    const int on = 1;
    setsockopt(this->d->descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(this->d->descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
    setsockopt(this->d->descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
    setsockopt(this->d->descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    setsockopt(this->d->descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &totalMs, sizeof totalMs);
}

void ByteStream::forgetUser()
{
    this->d->user = nullptr;
}

void ByteStream::setUser(ByteStreamUser *user)
{
    this->d->user = user;
}

void ByteStream::closeGently(Discarded discarded, std::size_t maxDiscardedBytes)
{
    if (this->d->descriptor < 0 || this->d->lingering) {
        return;
    }
    this->d->discarded = std::move(discarded);
    this->d->discardedBytes = this->d->input.size();
    this->d->maxDiscardedBytes = maxDiscardedBytes;
    this->d->user = nullptr;
    this->d->lingering = true;
    this->d->input.clear();
    this->d->count();
    this->d->reads->setEnabled(true);
    this->d->self = this->shared_from_this();
    this->d->lingerTimer = std::make_unique<QTimer>();
    this->d->lingerTimer->setSingleShot(true);
    QObject::connect(this->d->lingerTimer.get(), &QTimer::timeout, [this] {
        const auto keep = this->shared_from_this();
        this->d->end(*this, StreamEnd::Reset);
    });
    this->d->lingerTimer->start(stalledMs);
    this->d->lingerClock.start();
    this->d->linger(*this);
}

void ByteStream::close()
{
    const auto keep = this->weak_from_this().lock();
    this->d->user = nullptr;
    this->d->shut();
    this->d->self.reset();
}

void ByteStream::reset()
{
    if (this->d->descriptor >= 0) {
        const linger now{1, 0};
        setsockopt(this->d->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    this->close();
}

} // namespace Sequoiausher
