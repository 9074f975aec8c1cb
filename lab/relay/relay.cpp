#include "lab/relay/relay.h"

#include "sequoiausher/transport/stream/bytestream.h"
#include "sequoiausher/transport/stream/streamlistener.h"

#include <QTimer>

#include <algorithm>
#include <charconv>
#include <deque>
#include <utility>
#include <vector>

namespace Sequoiausher::Lab {

namespace {

/** Bytes taken from one end while the other cannot take them; beyond it the sender feels back-pressure. */
constexpr std::size_t maxUnsent = 1UL << 20U;

struct DelayedBytes
{
    Millis due;
    std::string bytes;
};

class Connection;

/** One end of a connection, and what it sent on its way to the other end. */
class End : public ByteStreamUser
{
public:
    explicit End(Connection &of) : connection(of)
    {
        this->timer.setSingleShot(true);
        this->timer.setTimerType(Qt::PreciseTimer);
        QObject::connect(&this->timer, &QTimer::timeout, [this] { this->pump(); });
    }
    ~End() override
    {
        if (this->stream) {
            this->stream->forgetUser();
            this->stream->close();
        }
    }
    void connected() override;
    void bytesArrived() override;
    void drained() override;
    void ended(StreamEnd how) override;
    /** Gives the other end what is due, and the end after it. */
    void pump();

    Connection &connection;
    std::shared_ptr<ByteStream> stream;
    End *other = nullptr;
    /** What it sends is swallowed. */
    bool isSilenced = false;
    std::optional<StreamEnd> end;

private:
    std::deque<DelayedBytes> delayed;
    QTimer timer;
};

/** One accepted connection and the one made for it. */
class Connection
{
public:
    Connection(int descriptor, const Endpoint &to, const Link &relayLink)
        : link(relayLink)
        , accepted(*this)
        , made(*this)
    {
        this->accepted.other = &this->made;
        this->made.other = &this->accepted;
        this->accepted.isSilenced = relayLink.mode == LinkMode::Silent;
        this->made.isSilenced = relayLink.mode == LinkMode::Silent || relayLink.mode == LinkMode::OneWay;
        this->accepted.stream = ByteStream::adopt(descriptor, &this->accepted);
        this->made.stream = ByteStream::dial(toText(to), &this->made);
    }

    void silence(LinkMode mode)
    {
        this->accepted.isSilenced = this->accepted.isSilenced || mode != LinkMode::OneWay;
        this->made.isSilenced = true;
    }

    void cut()
    {
        this->accepted.stream->reset();
        this->made.stream->reset();
        this->isOver = true;
    }

    bool isSilenced() const
    {
        return this->accepted.isSilenced || this->made.isSilenced;
    }

    const Link &link;
    End accepted;
    End made;
    bool isOver = false;
};

void End::connected()
{
    this->other->pump();
}

void End::bytesArrived()
{
    std::string bytes = std::exchange(this->stream->input(), std::string());
    if (this->isSilenced) {
        return;
    }
    const Link &link = this->connection.link;
    const Millis delay = link.mode == LinkMode::Delay ? link.delay : Millis{0};
    this->delayed.push_back({Millis::monotonicNow() + delay, std::move(bytes)});
    this->pump();
    if (this->other->stream->pendingBytes() > maxUnsent) {
        this->stream->setReading(false);
    }
}

void End::drained()
{
    this->other->stream->setReading(true);
}

void End::ended(StreamEnd how)
{
    this->end = how;
    this->pump();
}

void End::pump()
{
    if (this->isSilenced) {
        this->delayed.clear();
        // The accepting side must not learn that the far one has ended: what was sent before was swallowed.
        this->connection.isOver = this->connection.isOver || this->connection.accepted.end.has_value();
        return;
    }
    const Millis now = Millis::monotonicNow();
    while (!this->delayed.empty() && this->delayed.front().due <= now) {
        this->other->stream->write(this->delayed.front().bytes);
        this->delayed.pop_front();
    }
    if (!this->delayed.empty()) {
        this->timer.start(static_cast<int>((this->delayed.front().due - now).count));
        return;
    }
    if (this->end && !this->connection.isOver) {
        this->connection.isOver = true;
        // A reset stays one: passed on as an orderly close, a cut answer without a length would look whole.
        if (*this->end == StreamEnd::Finished) {
            this->other->stream->closeGently();
        } else {
            this->other->stream->reset();
        }
    }
}

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
    void accept(int descriptor)
    {
        std::erase_if(this->connections, [](const auto &connection) { return connection->isOver; });
        this->connections.push_back(std::make_unique<Connection>(descriptor, this->to, this->link));
        if (this->link.mode == LinkMode::Cut) {
            this->connections.back()->cut();
        }
    }

    void startListening()
    {
        this->listener = std::make_unique<StreamListener>(toText(this->listen),
                                                          [this](int descriptor) { this->accept(descriptor); });
        this->listen.port = this->listener->port();
    }

    Endpoint to;
    Link link;
    std::vector<std::unique_ptr<Connection>> connections;
    std::unique_ptr<StreamListener> listener;
    Endpoint listen;
};

Relay::Relay(const Endpoint &listen, const Endpoint &to) : d(std::make_unique<Private>())
{
    this->d->to = to;
    this->d->listen = listen;
    this->d->startListening();
}

Relay::~Relay() = default;

Endpoint Relay::listening() const
{
    return this->d->listen;
}

void Relay::setListening(bool on)
{
    if (!on) {
        this->d->listener.reset();
    } else if (!this->d->listener) {
        this->d->startListening();
    }
}

void Relay::setLink(const Link &link)
{
    this->d->link = link;
    const bool silences
        = link.mode == LinkMode::Silent || link.mode == LinkMode::SilentOpen || link.mode == LinkMode::OneWay;
    for (const auto &connection : this->d->connections) {
        if (link.mode == LinkMode::Cut) {
            connection->cut();
        } else if (silences) {
            connection->silence(link.mode);
        }
    }
}

} // namespace Sequoiausher::Lab
