#include "lab/relay/relay.h"

#include "sequoiausher/base/error.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <QtNetwork/QHostAddress>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>

namespace Sequoiausher::Lab {

namespace {

/** Bytes taken from one end while the other cannot take them; beyond it the sender feels back-pressure. */
constexpr qint64 maxUnsent = 1 << 20;

struct DelayedBytes
{
    Millis due;
    QByteArray bytes;
};

/** Carries what one socket receives to another. */
class Direction : public QObject
{
public:
    Direction(QTcpSocket *source, QTcpSocket *sink, const Link &relayLink, const bool &isSilenced)
        : from(source)
        , to(sink)
        , link(relayLink)
        , silenced(isSilenced)
    {
        this->timer.setSingleShot(true);
        this->timer.setTimerType(Qt::PreciseTimer);
        QObject::connect(&this->timer, &QTimer::timeout, this, [this] { this->pump(); });
        QObject::connect(source, &QTcpSocket::readyRead, this, [this] { this->pump(); });
        QObject::connect(sink, &QTcpSocket::bytesWritten, this, [this] { this->pump(); });
        QObject::connect(sink, &QTcpSocket::connected, this, [this] { this->pump(); });
        QObject::connect(source, &QTcpSocket::disconnected, this, [this] {
            this->ended = true;
            this->pump();
        });
    }

    void pump()
    {
        if (this->silenced) {
            this->from->readAll();
            this->delayed.clear();
            return;
        }
        if (this->to->state() != QAbstractSocket::ConnectedState) {
            return;
        }
        this->take();
        this->give();
        if (this->ended && this->delayed.empty() && this->from->bytesAvailable() == 0) {
            this->to->disconnectFromHost();
        }
    }

private:
    void take()
    {
        if (this->to->bytesToWrite() >= maxUnsent || this->from->bytesAvailable() == 0) {
            return;
        }
        const Millis delay = this->link.mode == LinkMode::Delay ? this->link.delay : Millis{0};
        if (delay == Millis{0} && this->delayed.empty()) {
            this->to->write(this->from->readAll());
            return;
        }
        this->delayed.push_back({Millis::monotonicNow() + delay, this->from->readAll()});
    }

    void give()
    {
        const Millis now = Millis::monotonicNow();
        while (!this->delayed.empty() && this->delayed.front().due <= now) {
            this->to->write(this->delayed.front().bytes);
            this->delayed.pop_front();
        }
        if (!this->delayed.empty()) {
            this->timer.start(static_cast<int>((this->delayed.front().due - now).count));
        }
    }

    QTcpSocket *from;
    QTcpSocket *to;
    const Link &link;
    const bool &silenced;
    QTimer timer;
    std::deque<DelayedBytes> delayed;
    bool ended = false;
};

/** One accepted connection and the one made for it. */
class Connection : public QObject
{
public:
    Connection(QTcpSocket *incoming, const Endpoint &to, const Link &link, QObject *parent)
        : QObject(parent)
        , silenced(link.mode == LinkMode::Silent)
        , accepted(incoming)
        , made(new QTcpSocket(this))
        , forth(incoming, this->made, link, this->silenced)
        , back(this->made, incoming, link, this->silenced)
    {
        incoming->setParent(this);
        for (QTcpSocket *socket : {this->accepted, this->made}) {
            socket->setReadBufferSize(maxUnsent);
            socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            QObject::connect(socket, &QTcpSocket::disconnected, this, [this] { this->endIfClosed(); });
        }
        QObject::connect(this->made, &QTcpSocket::connected, this, [this] {
            this->everConnected = true;
            this->made->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        });
        QObject::connect(this->made, &QTcpSocket::errorOccurred, this, [this](QAbstractSocket::SocketError) {
            if (!this->silenced && !this->everConnected) {
                this->accepted->abort();
                this->deleteLater();
            }
        });
        this->made->connectToHost(QString::fromStdString(to.address), to.port);
    }

    ~Connection() override
    {
        // The sockets' last signals must not reach the directions, which are destroyed before them.
        this->accepted->disconnect();
        this->made->disconnect();
        this->accepted->abort();
        this->made->abort();
    }

    void silence()
    {
        this->silenced = true;
    }

private:
    void endIfClosed()
    {
        const bool acceptedOpen = this->accepted->state() != QAbstractSocket::UnconnectedState;
        const bool madeOpen = this->made->state() != QAbstractSocket::UnconnectedState;
        if (!acceptedOpen && (!madeOpen || this->silenced)) {
            this->deleteLater();
        }
    }

    bool silenced;
    bool everConnected = false;
    QTcpSocket *accepted;
    QTcpSocket *made;
    Direction forth;
    Direction back;
};

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    Endpoint endpoint{std::string(text.substr(0, colon)), 0};
    const std::string_view port = text.substr(colon + 1);
    const auto [end, failure] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (failure != std::errc{} || end != port.data() + port.size()) {
        return std::nullopt;
    }
    return endpoint;
}

std::string toText(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

class Relay::Private
{
public:
    void acceptAll();

    Endpoint listen;
    Endpoint to;
    Link link;
    QTcpServer server;
    /** The parent of the open connections. */
    QObject connections;
};

Relay::Relay(const Endpoint &listen, const Endpoint &to) : d(std::make_unique<Private>())
{
    this->d->listen = listen;
    this->d->to = to;
    QObject::connect(&this->d->server, &QTcpServer::newConnection, &this->d->server, [this] { this->d->acceptAll(); });
    if (!this->d->server.listen(QHostAddress(QString::fromStdString(listen.address)), listen.port)) {
        throw Error(Step::Listen, toText(listen), this->d->server.errorString().toStdString());
    }
    this->d->listen.port = this->d->server.serverPort();
}

Relay::~Relay() = default;

Endpoint Relay::listening() const
{
    return this->d->listen;
}

void Relay::setLink(const Link &link)
{
    this->d->link = link;
    const bool silences = link.mode == LinkMode::Silent || link.mode == LinkMode::SilentOpen;
    for (QObject *child : QObjectList(this->d->connections.children())) {
        if (link.mode == LinkMode::Cut) {
            delete child;
        } else if (silences) {
            static_cast<Connection *>(child)->silence();
        }
    }
}

void Relay::Private::acceptAll()
{
    while (QTcpSocket *accepted = this->server.nextPendingConnection()) {
        if (this->link.mode == LinkMode::Cut) {
            accepted->abort();
            accepted->deleteLater();
            continue;
        }
        new Connection(accepted, this->to, this->link, &this->connections);
    }
}

} // namespace Sequoiausher::Lab
