#include "sequoiausher/transport/peers/peermesh.h"

#include "sequoiausher/protocol/codec/hellocodec.h"
#include "sequoiausher/protocol/codec/peercodec.h"
#include "sequoiausher/transport/peers/framing.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>
#include <QTcpSocket>

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

#include <functional>
#include <thread>

using namespace Sequoiausher;

namespace {

void ensureApplication()
{
    static int argumentCount = 1;
    static char name[] = "peermeshtest";
    static char *arguments[] = {name, nullptr};
    static const QCoreApplication application(argumentCount, arguments);
}

bool waitUntil(const std::function<bool()> &holds, Millis atMost = Millis{5000})
{
    QElapsedTimer timer;
    timer.start();
    while (!holds() && timer.elapsed() < atMost.count) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return holds();
}

void letPass(Millis span)
{
    waitUntil([] { return false; }, span);
}

/** The links of one router, and the events that they reported. */
class Router : public PeerListener
{
public:
    Router(const std::string &name, Incarnation incarnation, std::uint16_t onPort = 0)
        : Router(settingsOf(name, incarnation), onPort)
    {
    }
    explicit Router(const LinkSettings &settings, std::uint16_t onPort = 0) : mesh(settings, *this)
    {
        this->mesh.listen({"127.0.0.1", onPort});
    }

    static LinkSettings settingsOf(const std::string &name, Incarnation incarnation)
    {
        LinkSettings settings{InstanceId{name}, incarnation, DataCentreId{"brest-1"}};
        settings.silence = Millis{300};
        settings.idleClose = Millis{1500};
        settings.redialFirst = Millis{20};
        settings.redialMost = Millis{100};
        settings.queueBytes = 20000;
        return settings;
    }

    void received(const InstanceId &from, Incarnation incarnation, PeerMessage message) override
    {
        this->senders.emplace_back(from.value, incarnation);
        this->messages.push_back(std::move(message));
    }
    void linkChanged(const InstanceId &peer, Incarnation incarnation, bool up) override
    {
        this->changes.push_back(peer.value + " " + std::to_string(incarnation) + (up ? " up" : " down"));
    }
    void knows(const std::string &name, std::uint16_t port)
    {
        this->mesh.setPeers({{InstanceId{name}, PeerAddress{"127.0.0.1", port}}});
    }
    bool say(const std::string &to, std::uint64_t number)
    {
        return this->mesh.send(InstanceId{to}, IndirectProbe{number, {}});
    }

    std::vector<std::pair<std::string, Incarnation>> senders;
    std::vector<PeerMessage> messages;
    std::vector<std::string> changes;
    PeerMesh mesh;
};

/** A relay between two routers that can drop the bytes of its connections. */
class Passage
{
public:
    explicit Passage(std::uint16_t toPort)
    {
        this->server.listen(QHostAddress::LocalHost, 0);
        QObject::connect(&this->server, &QTcpServer::newConnection, [this, toPort] { this->open(toPort); });
    }

    std::uint16_t port() const
    {
        return this->server.serverPort();
    }

    /** Drops all further bytes of the open connections; new ones work. */
    void swallow()
    {
        ++this->era;
    }

private:
    void open(std::uint16_t toPort)
    {
        QTcpSocket *near = this->server.nextPendingConnection();
        auto *far = new QTcpSocket(near);
        far->connectToHost(QHostAddress::LocalHost, toPort);
        this->carry(near, far);
        this->carry(far, near);
    }

    void carry(QTcpSocket *from, QTcpSocket *to)
    {
        const int openedIn = this->era;
        QObject::connect(from, &QTcpSocket::readyRead, to, [this, from, to, openedIn] {
            const QByteArray bytes = from->readAll();
            if (this->era == openedIn) {
                to->write(bytes);
            }
        });
    }

    QTcpServer server;
    int era = 0;
};

std::size_t countOf(const std::vector<std::string> &lines, const std::string &line)
{
    return static_cast<std::size_t>(std::count(lines.begin(), lines.end(), line));
}

} // namespace

TEST_CASE("messages arrive in order, with the sender's name and life, and one turn's travel in one frame")
{
    ensureApplication();
    Router a("a", 11);
    Router b("b", 22);
    a.knows("b", b.mesh.port());
    b.knows("a", a.mesh.port());
    constexpr std::uint64_t count = 50;
    for (std::uint64_t i = 0; i < count; ++i) {
        CHECK(a.say("b", i));
    }
    REQUIRE(waitUntil([&] { return b.messages.size() == count; }));
    for (std::uint64_t i = 0; i < count; ++i) {
        CHECK(b.messages.at(i) == PeerMessage{IndirectProbe{i, {}}});
    }
    CHECK(b.senders.front() == std::pair<std::string, Incarnation>("a", 11));
    CHECK(a.changes == std::vector<std::string>{"b 22 up"});
    const auto kind = static_cast<std::size_t>(MessageKind::IndirectProbe);
    CHECK(a.mesh.counters().messagesSent.at(kind) == count);
    CHECK(a.mesh.counters().bytesSent.at(kind) < count * 20);
    CHECK(b.mesh.counters().messagesReceived.at(kind) == count);
    CHECK(b.say("a", 1));
    CHECK(waitUntil([&] { return a.messages.size() == 1; }));
    CHECK(!a.say("stranger", 1));
    CHECK(a.mesh.counters().droppedUnknown == 1);
}

TEST_CASE("another thread posts")
{
    ensureApplication();
    Router a("a", 1);
    Router b("b", 1);
    a.knows("b", b.mesh.port());
    std::thread poster([&a] {
        for (std::uint64_t i = 0; i < 20; ++i) {
            a.mesh.post({{InstanceId{"b"}, IndirectProbe{i, {}}}});
        }
    });
    CHECK(waitUntil([&] { return b.messages.size() == 20; }));
    poster.join();
}

// Guards against a link that neither reconnects nor verifies the peer again after another process with the same name
// and a later incarnation has replaced it.
TEST_CASE("a peer that restarts is reached again in its new life")
{
    ensureApplication();
    Router a("a", 1);
    auto b = std::make_unique<Router>("b", 5);
    const std::uint16_t port = b->mesh.port();
    a.knows("b", port);
    a.say("b", 1);
    REQUIRE(waitUntil([&] { return b->messages.size() == 1; }));
    b.reset();
    REQUIRE(waitUntil([&] { return countOf(a.changes, "b 5 down") == 1; }));
    a.say("b", 2);
    letPass(Millis{100});
    Router again("b", 6, port);
    REQUIRE(waitUntil([&] { return again.messages.size() == 1; }));
    CHECK(again.messages.front() == PeerMessage{IndirectProbe{2, {}}});
    CHECK(countOf(a.changes, "b 6 up") == 1);
}

// Guards against taking an address for the identity of a router: b is replaced, and c gets its address before a has the
// new list.
TEST_CASE("a router that answers at another's address gets no message")
{
    ensureApplication();
    Router a("a", 1);
    Router c("c", 1);
    a.knows("b", c.mesh.port());
    a.say("b", 1);
    REQUIRE(waitUntil([&] { return a.mesh.counters().refusedLinks >= 2; }));
    CHECK(c.messages.empty());
    CHECK(a.changes.empty());
}

// Guards against accepting messages of an earlier incarnation, which was suspended while its successor started and then
// connects.
TEST_CASE("an earlier life is refused while the present one is connected")
{
    ensureApplication();
    Router b("b", 1);
    Router present("a", 9);
    Router earlier("a", 8);
    present.knows("b", b.mesh.port());
    earlier.knows("b", b.mesh.port());
    present.say("b", 1);
    REQUIRE(waitUntil([&] { return b.messages.size() == 1; }));
    earlier.say("b", 2);
    REQUIRE(waitUntil([&] { return b.mesh.counters().refusedLinks >= 1; }));
    letPass(Millis{100});
    CHECK(b.messages.size() == 1);
}

// Guards against a peer that receives nothing any more because a device between the two has lost the state of the
// connection, and what is written on it is lost without an error.
TEST_CASE("a connection that swallows everything is given up and dialled again")
{
    ensureApplication();
    QTcpServer swallower;
    REQUIRE(swallower.listen(QHostAddress::LocalHost, 0));
    int accepted = 0;
    bool greets = false;
    FrameNumber lastFrame = noFrame;
    QObject::connect(&swallower, &QTcpServer::newConnection, [&] {
        QTcpSocket *socket = swallower.nextPendingConnection();
        ++accepted;
        if (greets) {
            const std::string hello = framed(encodeHello({protocolVersion, InstanceId{"b"}, 3, {}, {}, lastFrame}));
            socket->write(hello.data(), static_cast<qint64>(hello.size()));
        }
    });
    Router a("a", 1);
    a.knows("b", swallower.serverPort());

    SUBCASE("before the hello")
    {
        a.say("b", 1);
        REQUIRE(waitUntil([&] { return a.mesh.counters().silentLinks == 1; }));
    }
    SUBCASE("after the hello of a peer that acknowledges frames")
    {
        greets = true;
        lastFrame = 1;
        a.say("b", 1);
        REQUIRE(waitUntil([&] { return countOf(a.changes, "b 3 down") == 1; }));
        CHECK(a.mesh.counters().silentLinks == 1);
    }
    SUBCASE("after the hello")
    {
        greets = true;
        a.say("b", 1);
        REQUIRE(waitUntil([&] { return countOf(a.changes, "b 3 down") == 1; }));
        CHECK(a.mesh.counters().silentLinks == 1);
    }
    a.say("b", 2);
    CHECK(waitUntil([&] { return accepted >= 2; }));
}

// Guards against a peer that receives nothing any more because only the connection of one direction is lost, and what
// arrives on the other one is taken for a sign of life of the first.
TEST_CASE("a connection that goes silent in use is found while the other direction works")
{
    ensureApplication();
    Router a("a", 1);
    Router b("b", 1);
    Passage passage(b.mesh.port());
    a.knows("b", passage.port());
    b.knows("a", a.mesh.port());
    std::uint64_t number = 0;
    const auto talkUntil = [&](const std::function<bool()> &holds, Millis atMost) {
        return waitUntil(
            [&] {
                a.say("b", ++number);
                b.say("a", ++number);
                letPass(Millis{20});
                return holds();
            },
            atMost);
    };
    REQUIRE(talkUntil([&] { return a.messages.size() > 20 && b.messages.size() > 20; }, Millis{5000}));
    CHECK(a.mesh.counters().silentLinks == 0);
    passage.swallow();
    letPass(Millis{50});
    const std::size_t heard = b.messages.size();
    a.say("b", ++number);
    letPass(Millis{50});
    CHECK(b.messages.size() == heard);
    CHECK(talkUntil([&] { return a.mesh.counters().silentLinks == 1; }, Millis{1500}));
    CHECK(talkUntil([&] { return b.messages.size() > heard + 20; }, Millis{5000}));
    // b sent no frame that could contain its acknowledgements for a while, and its link stayed open.
    CHECK(b.mesh.counters().silentLinks == 0);
    CHECK(b.mesh.counters().dials == 1);
}

TEST_CASE("what comes anyway is the sign of life: an exchange needs none but for its last message")
{
    ensureApplication();
    Router a("a", 1);
    Router b("b", 1);
    a.knows("b", b.mesh.port());
    b.knows("a", a.mesh.port());
    constexpr std::size_t exchanges = 12;
    for (std::size_t i = 1; i <= exchanges; ++i) {
        a.say("b", i);
        REQUIRE(waitUntil([&] { return b.messages.size() == i; }));
        b.say("a", i);
        REQUIRE(waitUntil([&] { return a.messages.size() == i; }));
        letPass(Millis{40});
    }
    letPass(Millis{400});
    CHECK(a.mesh.counters().signsSent == 1);
    CHECK(b.mesh.counters().signsSent == 0);
    CHECK(a.mesh.counters().dials + b.mesh.counters().dials == 2);
}

TEST_CASE("a message that needs no answer costs one sign of life and no question")
{
    ensureApplication();
    Router a("a", 1);
    Router b("b", 1);
    a.knows("b", b.mesh.port());
    for (std::size_t i = 1; i <= 3; ++i) {
        a.say("b", i);
        letPass(Millis{400});
        CHECK(b.mesh.counters().signsSent == i);
    }
    CHECK(a.mesh.counters().signsSent == 0);
    CHECK(a.mesh.counters().silentLinks == 0);
}

TEST_CASE("a link used faster than frames have numbers stays up")
{
    ensureApplication();
    Router a("a", 1);
    Router b("b", 1);
    a.knows("b", b.mesh.port());
    constexpr std::size_t frames = 1500;
    for (std::size_t i = 1; i <= frames; ++i) {
        a.say("b", i);
        QCoreApplication::processEvents();
        QCoreApplication::processEvents();
    }
    CHECK(waitUntil([&] { return b.messages.size() == frames; }));
    letPass(Millis{400});
    CHECK(a.mesh.counters().silentLinks == 0);
    CHECK(a.mesh.counters().dials == 1);
}

TEST_CASE(
    "a peer of the first version, which knows no acknowledgements, is asked for signs of life and sent none unasked")
{
    ensureApplication();

    SUBCASE("as the accepting side")
    {
        QTcpServer old;
        REQUIRE(old.listen(QHostAddress::LocalHost, 0));
        std::string received;
        QTcpSocket *socket = nullptr;
        QObject::connect(&old, &QTcpServer::newConnection, [&] {
            socket = old.nextPendingConnection();
            const std::string hello = framed(encodeHello({protocolVersion, InstanceId{"b"}, 3, {}, {}}));
            socket->write(hello.data(), static_cast<qint64>(hello.size()));
            QObject::connect(socket, &QTcpSocket::readyRead, [&] { received += socket->readAll().toStdString(); });
        });
        Router a("a", 1);
        a.knows("b", old.serverPort());
        FrameAssembler frames("a", 4096);
        std::size_t questions = 0;
        std::size_t messages = 0;
        for (std::uint64_t i = 0; i < 4; ++i) {
            a.say("b", i);
            letPass(Millis{250});
            frames.feed(std::exchange(received, {}));
            while (const auto body = frames.next()) {
                (body->empty() ? questions : messages) += 1;
                if (body->empty()) {
                    socket->write("\0\0\0\0", 4);
                }
            }
        }
        CHECK(messages == 5);
        CHECK(questions >= 2);
        CHECK(a.mesh.counters().silentLinks == 0);
        CHECK(a.mesh.counters().dials == 1);
    }
    SUBCASE("as the dialling side")
    {
        Router b("b", 1);
        QTcpSocket old;
        old.connectToHost(QHostAddress::LocalHost, b.mesh.port());
        REQUIRE(waitUntil([&] { return old.state() == QAbstractSocket::ConnectedState; }));
        const PeerMessage message = IndirectProbe{1, {}};
        const std::string bytes = framed(encodeHello({protocolVersion, InstanceId{"x"}, 1, {}, InstanceId{"b"}}))
            + framed(encodeFrame({&message, 1}));
        old.write(bytes.data(), static_cast<qint64>(bytes.size()));
        REQUIRE(waitUntil([&] { return b.messages.size() == 1; }));
        letPass(Millis{400});
        CHECK(b.mesh.counters().signsSent == 0);
        old.readAll();
        old.write("\0\0\0\0", 4);
        CHECK(waitUntil([&] { return old.bytesAvailable() == 4; }));
        CHECK(old.readAll() == QByteArray(4, '\0'));
    }
}

TEST_CASE("a link in use for longer than the silence limit stays up, and an idle one is closed")
{
    ensureApplication();
    Router a("a", 1);
    Router b("b", 1);
    a.knows("b", b.mesh.port());
    for (std::uint64_t i = 0; i < 8; ++i) {
        a.say("b", i);
        letPass(Millis{100});
    }
    CHECK(a.changes == std::vector<std::string>{"b 1 up"});
    letPass(Millis{2500});
    CHECK(a.mesh.counters().silentLinks == 0);
    CHECK(a.mesh.counters().dials == 1);
    a.say("b", 9);
    CHECK(waitUntil([&] { return b.messages.size() == 9; }));
    CHECK(a.mesh.counters().dials == 2);
    CHECK(a.changes == std::vector<std::string>{"b 1 up"});
}

// Guards against a link that is closed as silent while its acknowledgement waits in the kernel.
TEST_CASE("a link stays up though the process was held up for longer than the silence limit")
{
    ensureApplication();
    Router a("a", 1);
    Router b("b", 1);
    a.knows("b", b.mesh.port());
    a.say("b", 0);
    REQUIRE(waitUntil([&] { return b.messages.size() == 1; }));
    for (std::uint64_t i = 1; i <= 8; ++i) {
        a.say("b", i);
        letPass(Millis{20 * static_cast<std::int64_t>(i)});
        std::this_thread::sleep_for(std::chrono::milliseconds(350));
    }
    REQUIRE(waitUntil([&] { return b.messages.size() == 9; }));
    letPass(Millis{100});
    CHECK(a.mesh.counters().silentLinks == 0);
    CHECK(a.mesh.counters().dials == 1);
}

// Guards against callers that are cut off, and shards that are not used, because the close of an unused link is
// reported as the loss of the peer: while an answer streams in from the peer, nothing is sent in the other direction.
TEST_CASE("a link that is closed since nobody used it says nothing of the peer")
{
    ensureApplication();
    Router a("a", 1);
    auto b = std::make_unique<Router>("b", 5);
    const std::uint16_t port = b->mesh.port();
    a.knows("b", port);
    b->knows("a", a.mesh.port());
    a.say("b", 1);
    REQUIRE(waitUntil([&] { return b->messages.size() == 1; }));
    for (std::uint64_t i = 0; i < 30; ++i) {
        b->say("a", i);
        letPass(Millis{100});
    }
    CHECK(a.messages.size() == 30);
    CHECK(a.changes == std::vector<std::string>{"b 5 up"});
    SUBCASE("and is dialled again where it is needed")
    {
        a.say("b", 2);
        CHECK(waitUntil([&] { return b->messages.size() == 2; }));
        CHECK(a.mesh.counters().dials == 2);
        CHECK(a.changes == std::vector<std::string>{"b 5 up"});
    }
    SUBCASE("but one that is gone by then is told as lost")
    {
        b.reset();
        a.say("b", 2);
        CHECK(waitUntil([&] { return a.changes.size() == 2; }));
        CHECK(a.changes.back() == "b 5 down");
    }
    SUBCASE("and so is an earlier life that another one has followed")
    {
        b.reset();
        b = std::make_unique<Router>("b", 6, port);
        a.say("b", 2);
        CHECK(waitUntil([&] { return b->messages.size() == 1; }));
        CHECK(a.changes == std::vector<std::string>{"b 5 up", "b 5 down", "b 6 up"});
    }
    SUBCASE("and one that is wanted no more")
    {
        a.mesh.setPeers({});
        CHECK(a.changes == std::vector<std::string>{"b 5 up", "b 5 down"});
    }
}

// Guards against a crash or growing memory when a port scan, a browser or a faulty peer connects to the peer port.
TEST_CASE("garbage closes the connection and nothing else")
{
    ensureApplication();
    const std::string hello = framed(encodeHello({protocolVersion, InstanceId{"x"}, 1, {}, InstanceId{"b"}}));
    const std::string otherVersion = framed(encodeHello({99, InstanceId{"x"}, 1, {}, InstanceId{"b"}}));
    const std::string otherWanted = framed(encodeHello({protocolVersion, InstanceId{"x"}, 1, {}, InstanceId{"c"}}));
    struct Case
    {
        const char *what;
        std::string bytes;
    };
    const std::vector<Case> cases{{"text in place of a length", "GET / HTTP/1.1\r\n\r\n"},
                                  {"no hello", framed("no hello at all")},
                                  {"another version", otherVersion},
                                  {"another name wanted", otherWanted},
                                  {"no frame after the hello", hello + framed("no frame of messages")},
                                  {"an oversize frame announced", hello + std::string("\x7f\0\0\0", 4)}};
    Router b("b", 1);
    for (const Case &c : cases) {
        CAPTURE(c.what);
        const std::uint64_t before = b.mesh.counters().refusedLinks;
        QTcpSocket socket;
        socket.connectToHost(QHostAddress::LocalHost, b.mesh.port());
        REQUIRE(waitUntil([&] { return socket.state() == QAbstractSocket::ConnectedState; }));
        socket.write(c.bytes.data(), static_cast<qint64>(c.bytes.size()));
        CHECK(waitUntil([&] { return socket.state() == QAbstractSocket::UnconnectedState; }));
        CHECK(b.mesh.counters().refusedLinks == before + 1);
    }
    CHECK(b.messages.empty());
    Router a("a", 1);
    a.knows("b", b.mesh.port());
    a.say("b", 1);
    CHECK(waitUntil([&] { return b.messages.size() == 1; }));
}

// Guards against clients that open connections to the peer port and say nothing, until no descriptor is left.
TEST_CASE("connections whose peers do not say who they are make room for others, the oldest first")
{
    ensureApplication();
    LinkSettings settings = Router::settingsOf("b", 1);
    settings.silence = Millis{5000};
    settings.maxUnknownPeers = 3;
    Router b(settings);
    std::vector<std::unique_ptr<QTcpSocket>> silent;
    for (int i = 0; i < 5; ++i) {
        silent.push_back(std::make_unique<QTcpSocket>());
        silent.back()->connectToHost(QHostAddress::LocalHost, b.mesh.port());
        REQUIRE(waitUntil([&] { return silent.back()->state() == QAbstractSocket::ConnectedState; }));
    }
    CHECK(waitUntil([&] { return b.mesh.counters().refusedLinks == 2; }));
    CHECK(waitUntil([&] { return silent[1]->state() == QAbstractSocket::UnconnectedState; }));
    CHECK(silent[4]->state() == QAbstractSocket::ConnectedState);
    Router a("a", 1);
    a.knows("b", b.mesh.port());
    a.say("b", 1);
    CHECK(waitUntil([&] { return b.messages.size() == 1; }));
}

// Guards against memory for the largest frame on each connection of a client that is no peer.
TEST_CASE("a frame larger than a hello is refused before the hello, and taken after it")
{
    ensureApplication();
    Router b("b", 1);
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, b.mesh.port());
    REQUIRE(waitUntil([&] { return socket.state() == QAbstractSocket::ConnectedState; }));
    socket.write("\x00\x00\x20\x00", 4);
    CHECK(waitUntil([&] { return socket.state() == QAbstractSocket::UnconnectedState; }));
    CHECK(b.mesh.counters().refusedLinks == 1);
}

// Guards against memory that grows while a peer is unreachable or stalls and others continue to send to it.
TEST_CASE("a queue for an absent peer is bounded in bytes and in time")
{
    ensureApplication();
    QTcpServer absent;
    REQUIRE(absent.listen(QHostAddress::LocalHost, 0));
    const std::uint16_t port = absent.serverPort();
    absent.close();
    Router a("a", 1);
    a.knows("b", port);
    int taken = 0;
    while (taken < 10000 && a.say("b", 1)) {
        ++taken;
    }
    CHECK(taken > 100);
    CHECK(taken < 1000);
    CHECK(a.mesh.counters().droppedFull == 1);
    REQUIRE(waitUntil([&] { return a.mesh.counters().droppedOld == static_cast<std::uint64_t>(taken); }));
    CHECK(a.say("b", 1));
}
