#include "lab/relay/relay.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>
#include <doctest/doctest.h>

#include <functional>
#include <vector>

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
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] { socket->write(socket->readAll()); });
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

    QTcpServer server;
    std::unique_ptr<Relay> relay;
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

TEST_CASE("an address and port are read whole or not at all")
{
    CHECK(parseEndpoint("127.0.0.1:7301") == Endpoint{"127.0.0.1", 7301});
    for (const char *bad : {"127.0.0.1", ":7301", "127.0.0.1:", "127.0.0.1:73x", "127.0.0.1:99999"}) {
        CAPTURE(bad);
        CHECK(!parseEndpoint(bad).has_value());
    }
}
