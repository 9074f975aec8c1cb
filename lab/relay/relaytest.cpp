#include "lab/relay/relay.h"

#include "sequoiausher/transport/stream/bytestream.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>
#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <vector>

#include <sys/socket.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Lab;

namespace {

/** Runs the event loop until done or for two seconds; whether it was done. */
bool waitFor(const std::function<bool()> &done, int limitMs = 2000)
{
    QElapsedTimer timer;
    timer.start();
    while (!done() && timer.elapsed() < limitMs) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 5);
    }
    return done();
}

/** A server that sends back what it receives, a relay before it, and clients of the relay. */
class Echo
{
public:
    Echo()
    {
        this->server.listen(QHostAddress::LocalHost);
        QObject::connect(&this->server, &QTcpServer::newConnection, &this->server, [this] {
            QTcpSocket *socket = this->server.nextPendingConnection();
            this->sockets.push_back(socket);
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                const QByteArray bytes = socket->readAll();
                this->received += static_cast<std::size_t>(bytes.size());
                socket->write(bytes);
            });
        });
        this->relay
            = std::make_unique<Relay>(Endpoint{"127.0.0.1", 0}, Endpoint{"127.0.0.1", this->server.serverPort()});
    }

    std::unique_ptr<QTcpSocket> connect() const
    {
        auto socket = std::make_unique<QTcpSocket>();
        socket->connectToHost("127.0.0.1", this->relay->listening().port);
        return socket;
    }

    static bool echoes(QTcpSocket &socket, int limitMs = 2000)
    {
        socket.write("ping");
        const bool came = waitFor([&socket] { return socket.bytesAvailable() >= 4; }, limitMs);
        return came && socket.readAll() == "ping";
    }

    std::size_t clients() const
    {
        return this->sockets.size();
    }

    /** The server ends the connection that it took last: by a reset, or in order. */
    void endLast(bool isReset) const
    {
        if (isReset) {
            const linger now{1, 0};
            setsockopt(
                static_cast<int>(this->sockets.back()->socketDescriptor()), SOL_SOCKET, SO_LINGER, &now, sizeof now);
            this->sockets.back()->abort();
        } else {
            this->sockets.back()->disconnectFromHost();
        }
    }

    QTcpServer server;
    std::vector<QTcpSocket *> sockets;
    std::size_t received = 0;
    std::unique_ptr<Relay> relay;
};

/** A client that sees how its connection ends. */
struct EndOf : ByteStreamUser
{
    explicit EndOf(const std::string &address) : stream(ByteStream::dial(address, this))
    {
    }
    ~EndOf() override
    {
        this->stream->forgetUser();
        this->stream->close();
    }
    void bytesArrived() override
    {
    }
    void ended(StreamEnd end) override
    {
        this->how = end;
    }

    std::shared_ptr<ByteStream> stream;
    std::optional<StreamEnd> how;
};

constexpr int silenceMs = 100;

int argc = 0;
const QCoreApplication app(argc, nullptr);

} // namespace

TEST_CASE("a cut link ends open connections and lets none in until it passes again")
{
    const Echo echo;
    const auto socket = echo.connect();
    CHECK(waitFor([&socket] { return socket->state() == QAbstractSocket::ConnectedState; }));
    CHECK(Echo::echoes(*socket));
    echo.relay->setLink({LinkMode::Cut, Millis{0}});
    CHECK(waitFor([&socket] { return socket->state() == QAbstractSocket::UnconnectedState; }));
    const auto refused = echo.connect();
    CHECK(!Echo::echoes(*refused, silenceMs));
    echo.relay->setLink({LinkMode::Pass, Millis{0}});
    const auto again = echo.connect();
    CHECK(waitFor([&again] { return again->state() == QAbstractSocket::ConnectedState; }));
    CHECK(Echo::echoes(*again));
}

TEST_CASE("a silenced connection stays open and silent for good, and new ones work where only open ones went silent")
{
    for (const LinkMode mode : {LinkMode::Silent, LinkMode::SilentOpen}) {
        CAPTURE(static_cast<int>(mode));
        const Echo echo;
        const auto open = echo.connect();
        CHECK(waitFor([&open] { return open->state() == QAbstractSocket::ConnectedState; }));
        CHECK(Echo::echoes(*open));
        echo.relay->setLink({mode, Millis{0}});
        CHECK(!Echo::echoes(*open, silenceMs));
        const auto fresh = echo.connect();
        CHECK(waitFor([&fresh] { return fresh->state() == QAbstractSocket::ConnectedState; }));
        CHECK(Echo::echoes(*fresh, mode == LinkMode::Silent ? silenceMs : 2000) == (mode == LinkMode::SilentOpen));
        echo.relay->setLink({LinkMode::Pass, Millis{0}});
        CHECK(!Echo::echoes(*open, silenceMs));
        CHECK(open->state() == QAbstractSocket::ConnectedState);
    }
}

// Guards against a connection that swallowed bytes and then ends in order, so that the rest of an answer without a
// length looks whole.
TEST_CASE("a silenced connection does not end where its far end closes")
{
    Echo echo;
    const auto open = echo.connect();
    CHECK(waitFor([&open] { return open->state() == QAbstractSocket::ConnectedState; }));
    CHECK(Echo::echoes(*open));
    echo.relay->setLink({LinkMode::SilentOpen, Millis{0}});
    echo.sockets.at(0)->close();
    CHECK(!waitFor([&open] { return open->state() == QAbstractSocket::UnconnectedState; }, silenceMs));
    // Ended connections are dropped when the next one is accepted.
    const auto fresh = echo.connect();
    CHECK(waitFor([&fresh] { return fresh->state() == QAbstractSocket::ConnectedState; }));
    CHECK(!waitFor([&open] { return open->state() == QAbstractSocket::UnconnectedState; }, silenceMs));
}

TEST_CASE("a relay that stops listening refuses new connections, keeps open ones, and listens again")
{
    const Echo echo;
    const auto open = echo.connect();
    CHECK(waitFor([&open] { return open->state() == QAbstractSocket::ConnectedState; }));
    CHECK(Echo::echoes(*open));
    echo.relay->setListening(false);
    const auto refused = echo.connect();
    CHECK(waitFor([&refused] { return refused->error() == QAbstractSocket::ConnectionRefusedError; }));
    CHECK(Echo::echoes(*open));
    echo.relay->setListening(true);
    const auto again = echo.connect();
    CHECK(waitFor([&again] { return again->state() == QAbstractSocket::ConnectedState; }));
    CHECK(Echo::echoes(*again));
}

TEST_CASE("a delayed link carries everything, later")
{
    const Echo echo;
    const auto socket = echo.connect();
    CHECK(waitFor([&socket] { return socket->state() == QAbstractSocket::ConnectedState; }));
    echo.relay->setLink({LinkMode::Delay, Millis{40}});
    QElapsedTimer timer;
    timer.start();
    CHECK(Echo::echoes(*socket));
    CHECK(timer.elapsed() >= 79);
}

// Guards against half an answer without a length that looks whole behind the relay, if a reset is forwarded as an
// orderly close.
TEST_CASE("a reset comes out as a reset, and an orderly close as one")
{
    for (const bool isReset : {true, false}) {
        CAPTURE(isReset);
        const Echo echo;
        const auto socket = echo.connect();
        CHECK(Echo::echoes(*socket));
        EndOf seen(toText(echo.relay->listening()));
        CHECK(waitFor([&] { return seen.stream->isConnected() && echo.clients() == 2; }));
        echo.endLast(isReset);
        CHECK(waitFor([&] { return seen.how.has_value(); }));
        CHECK(seen.how == (isReset ? StreamEnd::Reset : StreamEnd::Finished));
    }
}

TEST_CASE("a link that is cut one way carries what is sent and swallows what comes back")
{
    const Echo echo;
    const auto socket = echo.connect();
    CHECK(Echo::echoes(*socket));
    echo.relay->setLink({LinkMode::OneWay, Millis{0}});
    const std::size_t before = echo.received;
    CHECK(!Echo::echoes(*socket, silenceMs));
    CHECK(echo.received == before + 4);
}

TEST_CASE("an address and port are read whole or not at all")
{
    CHECK(parseEndpoint("127.0.0.1:7301") == Endpoint{"127.0.0.1", 7301});
    for (const char *bad : {"127.0.0.1", ":7301", "127.0.0.1:", "127.0.0.1:73x", "127.0.0.1:99999"}) {
        CAPTURE(bad);
        CHECK(!parseEndpoint(bad).has_value());
    }
}
