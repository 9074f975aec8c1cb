#include "sequoiausher/transport/peers/peerlink.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/codec/hellocodec.h"
#include "sequoiausher/protocol/codec/peercodec.h"
#include "sequoiausher/transport/peers/framing.h"
#include "sequoiausher/transport/peers/sentframes.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>
#include <utility>

namespace Sequoiausher {

namespace {

// The peer sends only its hello and signs of life on this connection.
constexpr std::size_t largestAnswer = 4096;
constexpr int looksPerIdleClose = 4;
/** A timer that fires this much late shows that the process was delayed. */
constexpr Millis lateLook{20};

struct Queued
{
    PeerMessage message;
    std::size_t size;
    Millis since;
};

} // namespace

class PeerLink::Private : public QObject
{
public:
    Private(const LinkSettings &with,
            InstanceId to,
            PeerAddress at,
            PeerCounters &counting,
            ReceivedFrames &heard,
            Changed onChange);
    ~Private() override;

    bool send(PeerMessage message);
    void acknowledged(Incarnation by, FrameNumber number);

    const LinkSettings &settings;
    InstanceId peer;
    PeerAddress address;
    bool up = false;

private:
    void dial();
    void hangUp();
    void tellLost();
    void fail();
    void onConnected();
    void onReadyRead();
    void takeHello(const std::string &body);
    void planLook();
    void look();
    void lookIdle();
    void flushSoon();
    void flush();
    void dropOld();
    std::vector<PeerMessage> takeBatch();
    void writeBatch(const std::vector<PeerMessage> &batch);
    void count(const std::vector<PeerMessage> &batch, std::size_t bytes);
    void write(const std::string &body);
    FrameNumber acknowledgement() const;

    PeerCounters &counters;
    ReceivedFrames &received;
    Changed changed;
    std::unique_ptr<QTcpSocket> socket;
    std::unique_ptr<FrameAssembler> assembler;
    /** Runs only while frames are unacknowledged: a thousand idle timers would take several percent of a core. */
    QTimer lookTimer;
    Millis lookDueAt;
    QTimer idleTimer;
    QTimer redialTimer;
    std::mt19937_64 generator;
    std::deque<Queued> queue;
    std::size_t queuedBytes = 0;
    bool flushPlanned = false;
    Incarnation incarnation = 0;
    /** The owner was notified that the peer is there; remains set while an unused link is closed. */
    bool isToldUp = false;
    Millis redialWait;
    Millis lastSend;
    SentFrames sent;
    /** The peer supports the numbers of frames and acknowledges them. */
    bool acknowledges = false;
};

PeerLink::Private::Private(const LinkSettings &with,
                           InstanceId to,
                           PeerAddress at,
                           PeerCounters &counting,
                           ReceivedFrames &heard,
                           Changed onChange)
    : settings(with)
    , peer(std::move(to))
    , address(std::move(at))
    , counters(counting)
    , received(heard)
    , changed(std::move(onChange))
    , generator(with.seed ^ std::hash<InstanceId>{}(this->peer))
    , redialWait(with.redialFirst)
    , sent(with.silence)
{
    this->redialTimer.setSingleShot(true);
    QObject::connect(&this->redialTimer, &QTimer::timeout, this, [this] { this->dial(); });
    QObject::connect(&this->lookTimer, &QTimer::timeout, this, [this] { this->look(); });
    QObject::connect(&this->idleTimer, &QTimer::timeout, this, [this] { this->lookIdle(); });
    this->lookTimer.setSingleShot(true);
    this->idleTimer.setInterval(static_cast<int>(with.idleClose.count / looksPerIdleClose));
}

PeerLink::Private::~Private()
{
    this->hangUp();
    this->tellLost();
}

bool PeerLink::Private::send(PeerMessage message)
{
    const std::size_t size = roughSize(message);
    const std::size_t inSocket = this->socket ? static_cast<std::size_t>(this->socket->bytesToWrite()) : 0;
    if (this->queuedBytes + inSocket + size > this->settings.queueBytes) {
        ++this->counters.droppedFull;
        return false;
    }
    this->lastSend = Millis::monotonicNow();
    this->queue.push_back({std::move(message), size, this->lastSend});
    this->queuedBytes += size;
    if (this->up) {
        this->flushSoon();
    } else if (!this->socket && !this->redialTimer.isActive()) {
        this->dial();
    }
    return true;
}

void PeerLink::Private::dial()
{
    ++this->counters.dials;
    this->socket = std::make_unique<QTcpSocket>();
    this->assembler = std::make_unique<FrameAssembler>(this->peer.value, largestAnswer);
    this->acknowledges = false;
    this->sent.dialled(Millis::monotonicNow());
    QTcpSocket *fresh = this->socket.get();
    QObject::connect(fresh, &QTcpSocket::connected, this, [this] { this->onConnected(); });
    QObject::connect(fresh, &QTcpSocket::readyRead, this, [this] { this->onReadyRead(); });
    // Queued, since the socket must not be destroyed during its own signal.
    const auto lost = [this, fresh] {
        if (this->socket.get() == fresh) {
            this->fail();
        }
    };
    QObject::connect(fresh, &QTcpSocket::disconnected, this, lost, Qt::QueuedConnection);
    QObject::connect(fresh, &QTcpSocket::errorOccurred, this, lost, Qt::QueuedConnection);
    fresh->connectToHost(QHostAddress(QString::fromStdString(this->address.host)), this->address.port);
    this->planLook();
    this->idleTimer.start();
}

void PeerLink::Private::hangUp()
{
    this->lookTimer.stop();
    this->idleTimer.stop();
    if (!this->socket) {
        return;
    }
    this->socket->disconnect(this);
    this->socket->abort();
    this->socket.release()->deleteLater();
    this->sent.closed();
    this->up = false;
}

// Not called when an unused link is closed. The owner would take that for the loss of the peer: a request that follows
// an answer at the peer would be cut off, though the parts of the answer still arrive on the connection of the other
// direction, and the peer's shards would not be used.
void PeerLink::Private::tellLost()
{
    if (std::exchange(this->isToldUp, false)) {
        this->changed(this->peer, this->incarnation, false);
    }
}

void PeerLink::Private::fail()
{
    this->hangUp();
    this->tellLost();
    this->dropOld();
    if (this->queue.empty()) {
        return;
    }
    std::uniform_int_distribution<std::int64_t> upperHalf(this->redialWait.count / 2, this->redialWait.count);
    this->redialTimer.start(static_cast<int>(upperHalf(this->generator)));
    this->redialWait = std::min(this->redialWait * 2, this->settings.redialMost);
}

void PeerLink::Private::onConnected()
{
    this->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    this->write(encodeHello({protocolVersion,
                             this->settings.self,
                             this->settings.incarnation,
                             this->settings.dataCentre,
                             this->peer,
                             this->sent.last()}));
}

void PeerLink::Private::onReadyRead()
{
    const QByteArray bytes = this->socket->readAll();
    this->counters.totalReceived += static_cast<std::uint64_t>(bytes.size());
    try {
        this->assembler->feed({bytes.constData(), static_cast<std::size_t>(bytes.size())});
        while (const auto body = this->assembler->next()) {
            this->sent.answered(Millis::monotonicNow(), this->assembler->acknowledged());
            if (!body->empty() && !this->up) {
                this->takeHello(*body);
            }
        }
    } catch (const Error &) {
        ++this->counters.refusedLinks;
        this->fail();
    }
}

void PeerLink::Private::takeHello(const std::string &body)
{
    const Hello hello = decodeHello(body, this->peer.value);
    // Another router may listen at the address of a replaced one. Without this check, claims would be counted at a
    // router that is not a witness of them, and votes would arrive from a router that was not asked.
    if (hello.instance != this->peer) {
        throw Error(Step::Connect, this->peer.value, hello.instance.value + " answers at its address");
    }
    if (hello.version != protocolVersion) {
        throw Error(Step::Connect, this->peer.value, "it speaks version " + std::to_string(hello.version));
    }
    if (hello.incarnation != this->incarnation) {
        // The known incarnation ended while the link was closed.
        this->tellLost();
    }
    this->incarnation = hello.incarnation;
    this->acknowledges = hello.lastFrame != noFrame;
    if (this->acknowledges) {
        this->assembler->expectAcknowledgements();
    }
    this->up = true;
    this->redialWait = this->settings.redialFirst;
    if (!std::exchange(this->isToldUp, true)) {
        this->changed(this->peer, this->incarnation, true);
    }
    this->flushSoon();
}

// A device between the two ends may lose the state of a connection. What is written on it is then lost without an error
// for many minutes, while a new connection would work, and the peer seems never to reply. So everything that is sent
// must be followed by a sign of life, and a connection without one is closed.
void PeerLink::Private::look()
{
    const Millis now = Millis::monotonicNow();
    if (now - this->lookDueAt >= lateLook) {
        this->sent.heldUp(now - this->lookDueAt);
    }
    const LinkDue due = this->sent.due(now);
    if (due == LinkDue::GiveUp) {
        ++this->counters.silentLinks;
        this->fail();
        return;
    }
    if (due == LinkDue::Ask) {
        this->sent.asked();
        if (this->up) {
            ++this->counters.signsSent;
            this->write({});
        }
    }
    this->planLook();
}

void PeerLink::Private::planLook()
{
    const Millis deadline = this->sent.nextDeadline();
    if (deadline != Millis::never() && !this->lookTimer.isActive()) {
        const Millis now = Millis::monotonicNow();
        const Millis wait = deadline - now;
        this->lookDueAt = std::max(deadline, now);
        this->lookTimer.start(static_cast<int>(std::max(wait, Millis{1}).count));
    }
}

void PeerLink::Private::acknowledged(Incarnation by, FrameNumber number)
{
    if (this->up && by == this->incarnation) {
        this->sent.acknowledged(Millis::monotonicNow(), number);
    }
}

FrameNumber PeerLink::Private::acknowledgement() const
{
    const bool isSameLife = this->received.incarnation() == this->incarnation;
    return this->acknowledges && isSameLife ? this->received.tell() : noFrame;
}

void PeerLink::Private::lookIdle()
{
    if (Millis::monotonicNow() - this->lastSend >= this->settings.idleClose) {
        this->hangUp();
    }
}

void PeerLink::Private::flushSoon()
{
    if (std::exchange(this->flushPlanned, true)) {
        return;
    }
    const auto planned = [this] {
        this->flushPlanned = false;
        this->flush();
    };
    QMetaObject::invokeMethod(this, planned, Qt::QueuedConnection);
}

void PeerLink::Private::flush()
{
    if (!this->up) {
        return;
    }
    this->dropOld();
    while (!this->queue.empty()) {
        this->writeBatch(this->takeBatch());
    }
}

void PeerLink::Private::dropOld()
{
    const Millis now = Millis::monotonicNow();
    while (!this->queue.empty() && now - this->queue.front().since >= this->settings.messageLife) {
        this->queuedBytes -= this->queue.front().size;
        this->queue.pop_front();
        ++this->counters.droppedOld;
    }
}

std::vector<PeerMessage> PeerLink::Private::takeBatch()
{
    constexpr std::size_t fullBatch = 64 * 1024;
    constexpr std::size_t mostInBatch = 512;
    std::vector<PeerMessage> batch;
    std::size_t bytes = 0;
    while (!this->queue.empty() && batch.size() < mostInBatch && bytes < fullBatch) {
        Queued &first = this->queue.front();
        bytes += first.size;
        this->queuedBytes -= first.size;
        batch.push_back(std::move(first.message));
        this->queue.pop_front();
    }
    return batch;
}

void PeerLink::Private::writeBatch(const std::vector<PeerMessage> &batch)
{
    try {
        const std::string body = encodeFrame(batch);
        this->sent.frame(Millis::monotonicNow());
        this->write(body);
        this->planLook();
        this->count(batch, body.size());
    } catch (const Error &) {
        // A message that exceeds the limit of a frame is dropped with its batch; both ends recover as after any loss.
        this->counters.droppedFull += batch.size();
    }
}

void PeerLink::Private::count(const std::vector<PeerMessage> &batch, std::size_t bytes)
{
    const std::size_t rough
        = std::transform_reduce(batch.begin(), batch.end(), std::size_t{0}, std::plus<>{}, roughSize);
    for (const PeerMessage &message : batch) {
        const auto kind = static_cast<std::size_t>(kindOf(message));
        ++this->counters.messagesSent.at(kind);
        this->counters.bytesSent.at(kind) += bytes * roughSize(message) / rough;
    }
}

void PeerLink::Private::write(const std::string &body)
{
    const std::string frame = framed(body, this->acknowledgement());
    this->counters.totalSent += frame.size();
    this->socket->write(frame.data(), static_cast<qint64>(frame.size()));
}

PeerLink::PeerLink(const LinkSettings &settings,
                   InstanceId peer,
                   PeerAddress address,
                   PeerCounters &counters,
                   ReceivedFrames &received,
                   Changed changed)
    : d(std::make_unique<Private>(settings,
                                  std::move(peer),
                                  std::move(address),
                                  counters,
                                  received,
                                  std::move(changed)))
{
}

PeerLink::~PeerLink() = default;

bool PeerLink::send(PeerMessage message)
{
    return this->d->send(std::move(message));
}

void PeerLink::acknowledged(Incarnation incarnation, FrameNumber number)
{
    this->d->acknowledged(incarnation, number);
}

const PeerAddress &PeerLink::address() const
{
    return this->d->address;
}

bool PeerLink::isUp() const
{
    return this->d->up;
}

} // namespace Sequoiausher
