#include "sequoiausher/transport/stream/bytestream.h"

#include "sequoiausher/transport/http/testloop.h"
#include "sequoiausher/transport/stream/fakehttp.h"
#include "sequoiausher/transport/stream/streamlistener.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <optional>

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Sequoiausher;
using Internal::runFor;
using Internal::runUntil;

namespace {

constexpr int smallBuffer = 4096;

int optionOf(int descriptor, int level, int option)
{
    int value = -1;
    socklen_t size = sizeof value;
    getsockopt(descriptor, level, option, &value, &size);
    return value;
}

/** Connects two sockets over the loopback interface. */
bool socketpairOverTcp(std::array<int, 2> &ends)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    bool isDone = bind(listener, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0 && listen(listener, 1) == 0
        && getsockname(listener, reinterpret_cast<sockaddr *>(&at), &size) == 0;
    ends[1] = socket(AF_INET, SOCK_STREAM, 0);
    isDone = isDone && connect(ends[1], reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
    ends[0] = accept(listener, nullptr, nullptr);
    ::close(listener);
    return isDone && ends[0] >= 0;
}

/** A connection with a stream on this side and a plain caller on the other. */
struct Pair : ByteStreamUser
{
    explicit Pair(int receiveBytes = 0)
        : listener("127.0.0.1:0",
                   [this](int descriptor) {
                       setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &smallBuffer, sizeof smallBuffer);
                       this->stream = ByteStream::adopt(descriptor, this);
                   })
        , caller("127.0.0.1:" + std::to_string(this->listener.port()), receiveBytes)
    {
        runUntil([this] { return this->stream != nullptr; });
    }
    ~Pair() override
    {
        this->stream->forgetUser();
        this->stream->close();
    }
    Pair(const Pair &) = delete;
    Pair &operator=(const Pair &) = delete;

    void bytesArrived() override
    {
        this->arrivals += 1;
    }
    void ended(StreamEnd /*how*/) override
    {
    }

    QCoreApplication &application = Internal::testApplication();
    StreamListener listener;
    CrossingCaller caller;
    std::shared_ptr<ByteStream> stream;
    int arrivals = 0;
};

std::string answerOf(std::size_t size)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
}

} // namespace

// Guards against a large answer that is cut off on a slow link: the connection closes gently with pending bytes, and
// the timeout for the other side's close begins before they are sent.
TEST_CASE("a gentle close delivers what is pending, also to a side that takes it late")
{
    Pair pair(smallBuffer);
    pair.stream->write(answerOf(300000));
    REQUIRE(pair.stream->pendingBytes() > 0);
    pair.stream->closeGently();
    runFor(2500);
    CHECK(runUntil([&] { return pair.caller.look(); }));
    CHECK(pair.caller.body.size() == 300000);
    CHECK(runUntil([&] { return pair.caller.isFinished(); }));
    CHECK(pair.stream->pendingBytes() == 0);
}

TEST_CASE("what comes after a gentle close is thrown away and told, with what had come and was not used")
{
    Pair pair;
    std::size_t discarded = 0;
    pair.caller.send("early");
    REQUIRE(runUntil([&] { return pair.arrivals > 0; }));
    pair.stream->closeGently([&discarded](std::size_t bytes) { discarded += bytes; });
    REQUIRE(runUntil([&] { return pair.caller.isFinished(); }));
    pair.caller.send("late");
    CHECK(runUntil([&] { return discarded > 0; }));
    CHECK(discarded == 9);
    CHECK_FALSE(pair.caller.isReset());
    CHECK(pair.arrivals == 1);
}

// Guards against a caller that goes on sending for as long as it likes after its request was refused.
TEST_CASE("a gentle close ends once more has come than is thrown away")
{
    Pair pair;
    bool isOver = false;
    pair.stream->closeGently([&isOver](std::size_t /*bytes*/) { isOver = true; }, 1000);
    pair.caller.send(std::string(900, 'x'));
    runFor(50);
    CHECK_FALSE(isOver);
    pair.caller.send(std::string(900, 'x'));
    CHECK(runUntil([&] { return isOver; }));
    pair.caller.send("late");
    CHECK(runUntil([&] { return pair.caller.isReset(); }));
}

// Guards against megabytes in the kernel for a receiver that reads nothing: they count against the process's memory.
TEST_CASE("what the kernel keeps for a receiver that reads nothing is bounded, and counted from the write on")
{
    Pair pair(smallBuffer);
    const auto total = std::make_shared<std::size_t>(0);
    pair.stream->countInto(total);
    pair.stream->countUnacknowledged();
    const std::string answer = answerOf(std::size_t{4} << 20U);
    pair.stream->write(answer);
    constexpr std::size_t mostInKernel = std::size_t{512} << 10U;
    CHECK(answer.size() - pair.stream->pendingBytes() <= mostInKernel);
    CHECK(*total == answer.size());
    runFor(50);
    const std::size_t taken = pair.stream->updateAcknowledged();
    CHECK(*total == pair.stream->heldBytes());
    CHECK(*total <= answer.size() - taken);
    CHECK(runUntil([&] { return pair.caller.look(); }));
    CHECK(runUntil([&] { return pair.stream->updateAcknowledged() > 0 || *total == 0; }));
}

// Guards against one connection that keeps the event loop from the others.
TEST_CASE("a user that puts its reading off is called again in a later turn, without new bytes")
{
    Pair pair;
    pair.caller.send("some");
    REQUIRE(runUntil([&] { return pair.arrivals == 1; }));
    pair.stream->readLater();
    CHECK_FALSE(pair.stream->isReading());
    CHECK(pair.arrivals == 1);
    CHECK(runUntil([&] { return pair.arrivals == 2; }));
    CHECK(pair.stream->isReading());
}

TEST_CASE("what comes after a close at once is refused by the kernel")
{
    Pair pair;
    pair.stream->close();
    REQUIRE(runUntil([&] { return pair.caller.isFinished(); }));
    pair.caller.send("late");
    CHECK(runUntil([&] { return pair.caller.isReset(); }));
}

TEST_CASE("bytes are unacknowledged until the other side's kernel has them, unread until this side has read them")
{
    Pair pair(smallBuffer);
    pair.stream->write(answerOf(300000));
    CHECK(pair.stream->unacknowledgedBytes() >= pair.stream->pendingBytes());
    runFor(50);
    CHECK(pair.stream->unacknowledgedBytes() > 0);
    CHECK(runUntil([&] { return pair.caller.look(); }));
    CHECK(runUntil([&] { return pair.stream->unacknowledgedBytes() == 0; }));
    CHECK(pair.stream->unreadBytes() == 0);
    pair.caller.send("four");
    CHECK(pair.stream->unreadBytes() == 4);
    SUBCASE("and can be read before the event loop's next turn")
    {
        pair.stream->readNow();
        CHECK(pair.arrivals == 1);
        CHECK(pair.stream->input() == "four");
        CHECK(pair.stream->unreadBytes() == 0);
    }
}

TEST_CASE("a connection that is refused ends as one that was never open")
{
    Internal::testApplication();
    std::string address;
    {
        const StreamListener listener("127.0.0.1:0", [](int) {});
        address = "127.0.0.1:" + std::to_string(listener.port());
    }
    struct User : ByteStreamUser
    {
        void bytesArrived() override
        {
        }
        void ended(StreamEnd how) override
        {
            this->end = how;
        }
        std::optional<StreamEnd> end;
    };
    User user;
    const std::shared_ptr<ByteStream> stream = ByteStream::dial(address, &user);
    stream->write("x");
    CHECK_FALSE(user.end);
    REQUIRE(Internal::runUntil([&user] { return user.end.has_value(); }, 1000));
    CHECK(user.end == StreamEnd::NotConnected);
    CHECK_FALSE(stream->hasSent());
}

// Guards against connections that outlive a machine which lost power, and against a user timeout that has the kernel
// give up sooner or later than the probes.
TEST_CASE("a dead peer is found in the same time whether or not bytes are on their way to it")
{
    Internal::testApplication();
    for (const int seconds : {1, 3, 5, 60}) {
        CAPTURE(seconds);
        std::array<int, 2> ends{};
        REQUIRE(socketpairOverTcp(ends));
        const auto stream = ByteStream::adopt(ends[0], nullptr);
        stream->detectDeadPeer(Millis{seconds * 1000});
        const int expected = std::max(seconds, static_cast<int>(ByteStream::minDeadPeerTime.count / 1000));
        CHECK(optionOf(ends[0], SOL_SOCKET, SO_KEEPALIVE) == 1);
        const int probing = optionOf(ends[0], IPPROTO_TCP, TCP_KEEPIDLE)
            + optionOf(ends[0], IPPROTO_TCP, TCP_KEEPINTVL) * optionOf(ends[0], IPPROTO_TCP, TCP_KEEPCNT);
        CHECK(probing == expected);
        CHECK(optionOf(ends[0], IPPROTO_TCP, TCP_USER_TIMEOUT) == expected * 1000);
        stream->close();
        ::close(ends[1]);
    }
}

namespace {

/** A stream that reads nothing at first, and a plain socket on the other side. */
struct RawPair : ByteStreamUser
{
    RawPair()
    {
        REQUIRE(socketpairOverTcp(this->ends));
        REQUIRE(fcntl(this->ends[0], F_SETFL, O_NONBLOCK) == 0);
        this->stream = ByteStream::adopt(this->ends[0], this);
        this->stream->setReading(false);
        // Without any event the loop would wait for one.
        this->ticks.start(1);
    }
    ~RawPair() override
    {
        this->stream->forgetUser();
        this->stream->close();
    }
    RawPair(const RawPair &) = delete;
    RawPair &operator=(const RawPair &) = delete;

    void bytesArrived() override
    {
    }
    void ended(StreamEnd how) override
    {
        this->end = how;
    }
    void sendPart()
    {
        REQUIRE(::send(this->ends[1], "part", 4, MSG_NOSIGNAL) == 4);
    }
    void resetOther()
    {
        const linger now{1, 0};
        setsockopt(this->ends[1], SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(this->ends[1]);
        runFor(10);
    }
    std::optional<StreamEnd> endOnceRead()
    {
        this->stream->setReading(true);
        runUntil([this] { return this->end.has_value(); }, 1000);
        return this->end;
    }

    QCoreApplication &application = Internal::testApplication();
    QTimer ticks;
    std::array<int, 2> ends{};
    std::shared_ptr<ByteStream> stream;
    std::optional<StreamEnd> end;
};

} // namespace

// Guards against a part of an answer that passes for the whole of it: the kernel tells an error once, to whoever comes
// first, and then reports an end like that of an orderly close.
TEST_CASE("a reset stays one, whichever call the kernel told of it")
{
    RawPair pair;
    SUBCASE("a write")
    {
        pair.sendPart();
        pair.resetOther();
        pair.stream->write("more");
        CHECK(pair.endOnceRead() == StreamEnd::Reset);
        CHECK(pair.stream->input() == "part");
    }
    SUBCASE("a write of bytes that were waiting")
    {
        // More than the kernel takes, so that the event loop meets the reset.
        pair.stream->write(std::string(std::size_t{16} << 20U, 'x'));
        pair.sendPart();
        pair.resetOther();
        CHECK(pair.endOnceRead() == StreamEnd::Reset);
    }
    SUBCASE("two writes")
    {
        pair.sendPart();
        pair.resetOther();
        pair.stream->write("more");
        pair.stream->write("and more");
        CHECK(pair.endOnceRead() == StreamEnd::Reset);
    }
    SUBCASE("a look at whether the other side has left")
    {
        pair.resetOther();
        CHECK(pair.stream->isLeft());
        CHECK(pair.endOnceRead() == StreamEnd::Reset);
    }
}

// Guards against a whole answer that is thrown away, since its target closed before it had read all of the request.
TEST_CASE("an orderly close stays one where the other side refuses what is written after it")
{
    RawPair pair;
    pair.sendPart();
    ::close(pair.ends[1]);
    runFor(10);
    pair.stream->write("more");
    runFor(10);
    pair.stream->write("and more");
    CHECK(pair.endOnceRead() == StreamEnd::Finished);
    CHECK(pair.stream->input() == "part");
}

TEST_CASE("a stream knows whether all that was written has left it")
{
    RawPair pair;
    CHECK(pair.stream->hasSentAll());
    pair.stream->write("some");
    CHECK(pair.stream->hasSentAll());
    pair.stream->write(std::string(std::size_t{16} << 20U, 'x'));
    CHECK_FALSE(pair.stream->hasSentAll());
    pair.resetOther();
    CHECK(pair.endOnceRead() == StreamEnd::Reset);
    CHECK_FALSE(pair.stream->hasSentAll());
}
