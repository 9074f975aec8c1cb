#include "sequoiausher/transport/peers/acceptedlink.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/codec/peercodec.h"
#include "sequoiausher/transport/peers/framing.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <numeric>
#include <utility>

namespace Sequoiausher {

namespace {

// The limit of replies that the peer has not read, in bytes.
constexpr std::size_t mostUnread = 4096;
// The limit of a hello, in bytes. A client that is no peer could otherwise announce the largest frame and send it
// slowly.
constexpr std::size_t largestHello = 4096;
// The limit of the kernel's buffer before the hello, in bytes.
constexpr int receiveBytesBeforeHello = 8192;
// The same after it, enough for a large frame from a distant peer.
constexpr int receiveBytes = 1048576;

} // namespace

class AcceptedLink::Private : public QObject
{
public:
    Private(AcceptedLink &link,
            const LinkSettings &with,
            std::unique_ptr<QTcpSocket> accepted,
            PeerCounters &counting,
            AcceptedLinkListener &listening);
    ~Private() override;

    void end();
    bool isOver() const
    {
        return this->over;
    }

    Hello hello;

private:
    void onReadyRead();
    void take(const std::string &body);
    void greet(const std::string &body);
    void takeMessages(const std::string &body);
    void answerQuestion();
    void planSign();
    void sign();
    void count(const std::vector<PeerMessage> &messages, std::size_t bytes);
    void write(const std::string &body);

    AcceptedLink &self;
    const LinkSettings &settings;
    std::unique_ptr<QTcpSocket> socket;
    PeerCounters &counters;
    AcceptedLinkListener &listener;
    FrameAssembler assembler;
    QTimer quiet;
    QTimer signTimer;
    bool over = false;
};

AcceptedLink::Private::Private(AcceptedLink &link,
                               const LinkSettings &with,
                               std::unique_ptr<QTcpSocket> accepted,
                               PeerCounters &counting,
                               AcceptedLinkListener &listening)
    : self(link)
    , settings(with)
    , socket(std::move(accepted))
    , counters(counting)
    , listener(listening)
    , assembler(this->socket->peerAddress().toString().toStdString(), largestHello)
{
    this->socket->setParent(nullptr);
    this->socket->setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, receiveBytesBeforeHello);
    this->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(this->socket.get(), &QTcpSocket::readyRead, this, [this] { this->onReadyRead(); });
    QObject::connect(this->socket.get(), &QTcpSocket::disconnected, this, [this] { this->end(); });
    // The connection of a peer whose machine failed would stay open for ever, and with 1,300 peers that are replaced
    // every day the process would run out of descriptors. The side that connects closes an idle link itself, so one
    // that is idle for longer is dead. A connection without a hello is closed sooner.
    QObject::connect(&this->quiet, &QTimer::timeout, this, [this] { this->end(); });
    this->quiet.setSingleShot(true);
    QObject::connect(&this->signTimer, &QTimer::timeout, this, [this] { this->sign(); });
    this->signTimer.setSingleShot(true);
    this->quiet.start(static_cast<int>(with.silence.count));
}

AcceptedLink::Private::~Private()
{
    this->socket->disconnect(this);
    this->socket->abort();
    this->socket.release()->deleteLater();
}

void AcceptedLink::Private::onReadyRead()
{
    if (this->over) {
        return;
    }
    const QByteArray bytes = this->socket->readAll();
    this->counters.totalReceived += static_cast<std::uint64_t>(bytes.size());
    try {
        this->assembler.feed({bytes.constData(), static_cast<std::size_t>(bytes.size())});
        while (!this->over) {
            const auto body = this->assembler.next();
            if (!body.has_value()) {
                break;
            }
            this->take(*body);
        }
    } catch (const Error &) {
        ++this->counters.refusedLinks;
        this->end();
        return;
    }
    if (!this->over && !this->hello.instance.empty()) {
        this->quiet.start(static_cast<int>(this->settings.idleClose.count * 2));
    }
}

void AcceptedLink::Private::take(const std::string &body)
{
    if (this->hello.instance.empty()) {
        this->greet(body);
        return;
    }
    if (this->assembler.acknowledged() != noFrame) {
        this->listener.acknowledged(this->hello, this->assembler.acknowledged());
    }
    if (body.empty()) {
        this->answerQuestion();
    } else {
        this->takeMessages(body);
    }
}

void AcceptedLink::Private::answerQuestion()
{
    if (static_cast<std::size_t>(this->socket->bytesToWrite()) > mostUnread) {
        throw Error(Step::Write, this->hello.instance.value, "it asks for signs of life and reads none");
    }
    ++this->counters.signsSent;
    this->write({});
}

void AcceptedLink::Private::takeMessages(const std::string &body)
{
    DecodedFrame decoded = decodeFrame(body, this->hello.instance.value);
    this->counters.skipped += decoded.skipped;
    this->count(decoded.messages, body.size());
    this->listener.framesOf(this->hello).arrived(Millis::monotonicNow());
    this->planSign();
    for (PeerMessage &message : decoded.messages) {
        this->listener.arrived(this->hello, std::move(message));
    }
}

void AcceptedLink::Private::planSign()
{
    const Millis due = this->listener.framesOf(this->hello).tellBy(this->settings.silence);
    const Millis now = Millis::monotonicNow();
    if (due <= now) {
        this->sign();
    } else if (due != Millis::never() && !this->signTimer.isActive()) {
        this->signTimer.start(static_cast<int>((due - now).count));
    }
}

// Without this, a peer whose messages require no reply requests a sign of life after each of them. Between a thousand
// peers these requests and replies would take more bytes than the messages.
void AcceptedLink::Private::sign()
{
    if (this->listener.framesOf(this->hello).tellBy(this->settings.silence) > Millis::monotonicNow()) {
        this->planSign();
        return;
    }
    ++this->counters.signsSent;
    this->write({});
}

void AcceptedLink::Private::greet(const std::string &body)
{
    const Hello said = decodeHello(body, this->socket->peerAddress().toString().toStdString());
    // Also sent to a peer that is refused, so that its log shows the name and the version of this router.
    this->write(encodeHello({protocolVersion,
                             this->settings.self,
                             this->settings.incarnation,
                             this->settings.dataCentre,
                             {},
                             said.lastFrame}));
    this->socket->flush();
    if (said.wanted != this->settings.self || said.version != protocolVersion
        || !this->listener.greeted(this->self, said)) {
        throw Error(Step::Connect, said.instance.value, "refused");
    }
    this->hello = said;
    this->assembler.setLargest(largestFrame);
    this->socket->setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, receiveBytes);
    this->listener.framesOf(said).opened(said.incarnation, said.lastFrame);
    if (said.lastFrame != noFrame) {
        this->assembler.expectAcknowledgements();
    }
}

void AcceptedLink::Private::count(const std::vector<PeerMessage> &messages, std::size_t bytes)
{
    const std::size_t rough
        = std::transform_reduce(messages.begin(), messages.end(), std::size_t{0}, std::plus<>{}, roughSize);
    for (const PeerMessage &message : messages) {
        const auto kind = static_cast<std::size_t>(kindOf(message));
        ++this->counters.messagesReceived.at(kind);
        this->counters.bytesReceived.at(kind) += bytes * roughSize(message) / rough;
    }
}

void AcceptedLink::Private::write(const std::string &body)
{
    const bool isGreeted = !this->hello.instance.empty();
    const std::string frame = framed(body, isGreeted ? this->listener.framesOf(this->hello).tell() : noFrame);
    this->counters.totalSent += frame.size();
    this->socket->write(frame.data(), static_cast<qint64>(frame.size()));
}

void AcceptedLink::Private::end()
{
    if (!std::exchange(this->over, true)) {
        this->quiet.stop();
        this->signTimer.stop();
        this->socket->disconnectFromHost();
        this->listener.ended(this->self);
    }
}

AcceptedLink::AcceptedLink(const LinkSettings &settings,
                           std::unique_ptr<QTcpSocket> socket,
                           PeerCounters &counters,
                           AcceptedLinkListener &listener)
    : d(std::make_unique<Private>(*this, settings, std::move(socket), counters, listener))
{
}

AcceptedLink::~AcceptedLink() = default;

bool AcceptedLink::isOpen() const
{
    return !this->d->isOver();
}

void AcceptedLink::close()
{
    this->d->end();
}

const Hello &AcceptedLink::hello() const
{
    return this->d->hello;
}

} // namespace Sequoiausher
