#pragma once

// HTTP servers and callers for tests, on the test's event loop. The test writes each answer, if necessary byte by byte.
//
//     FakeServer server;
//     server.answers = [](FakeRequest &request) { request.reply("200 OK", "hello"); };
//     FakeCaller caller(server.address());
//     caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");

#include "sequoiausher/transport/stream/bytestream.h"
#include "sequoiausher/transport/stream/httpreader.h"
#include "sequoiausher/transport/stream/streamlistener.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher {

class FakeConnection;

/** A request at a fake target or store. */
struct FakeRequest
{
    std::shared_ptr<FakeConnection> connection;
    HttpHead head;
    std::string body;

    std::string header(const std::string &name) const;
    /** Sends bytes as they are. */
    void send(const std::string &bytes) const;
    /** Sends a complete answer with the server's own fields. */
    void reply(const std::string &status, const std::string &content, const std::string &fields = {}) const;
    /** Begins a chunked stream of events. */
    void beginEvents() const;
    void event(int id) const;
    void endEvents() const;
    /** Closes the connection: in order, or by a reset. */
    void close() const;
    void reset() const;

private:
    std::string ownFields() const;
};

/** Receives requests. */
class FakeServer
{
public:
    /** @param listenAt the address; port 0 for a free one. */
    explicit FakeServer(const std::string &listenAt = "127.0.0.1:0");
    ~FakeServer();
    FakeServer(const FakeServer &) = delete;
    FakeServer &operator=(const FakeServer &) = delete;

    std::string address() const;

    /** Handles a request; may answer later. */
    std::function<void(FakeRequest &request)> answers;
    /** Header fields of the server's own answers to the request, each with its line end. */
    std::function<std::string(const FakeRequest &request)> ownFields;
    /** The other side closed this connection. */
    std::function<void(const FakeConnection &connection)> lost;
    /** Whether requests are recorded in seen. */
    bool isRecording = true;
    std::vector<FakeRequest> seen;
    std::size_t connections = 0;
    /** Connections that the other side closed. */
    std::size_t closed = 0;

private:
    friend class FakeConnection;
    void forget(const FakeConnection &connection);

    std::unique_ptr<StreamListener> listener;
    std::vector<std::shared_ptr<FakeConnection>> open;
    /** Connections that ended during their own calls; freed with the next connection. */
    std::vector<std::shared_ptr<FakeConnection>> ended;
};

/** One connection to a fake server. */
class FakeConnection : public ByteStreamUser, public std::enable_shared_from_this<FakeConnection>
{
public:
    FakeConnection(FakeServer &server, int descriptor);
    ~FakeConnection() override;
    void bytesArrived() override;
    void ended(StreamEnd how) override;

    FakeServer *server;
    std::shared_ptr<ByteStream> stream;
    HttpReader reader;
};

/** The answer that a caller received. */
struct CallerReply
{
    int status = 0;
    HttpHead head;
    std::string body;
    /** Whether the complete answer was received, including its end mark. */
    bool isWhole = false;
    StreamEnd end = StreamEnd::Finished;
    bool hasEnded = false;
};

/** A caller with one connection. */
class FakeCaller : public ByteStreamUser
{
public:
    explicit FakeCaller(const std::string &address);
    ~FakeCaller() override;
    void send(const std::string &bytes);
    void close();
    void bytesArrived() override;
    void ended(StreamEnd how) override;

    CallerReply reply;
    std::shared_ptr<ByteStream> stream;
    /** Called after each change of the reply. */
    std::function<void()> changed;

private:
    HttpReader reader;
};

/**
 * A caller that keeps writing after the other side has closed, like one whose request crosses the close. Uses no event
 * loop: look() reads what has arrived.
 */
class CrossingCaller
{
public:
    /** @param receiveBytes the approximate size of the kernel's receive buffer; 0 for the default. */
    explicit CrossingCaller(const std::string &address, int receiveBytes = 0);
    ~CrossingCaller();
    CrossingCaller(const CrossingCaller &) = delete;
    CrossingCaller &operator=(const CrossingCaller &) = delete;

    /** Sends a request and discards the previous answer. */
    void send(const std::string &bytes);
    /** Discards the answer and expects a further one, of a request that was sent ahead. */
    void next();
    /** Sends a further part of the request. */
    void sendMore(const std::string &bytes);
    /** Reads what has arrived. @return whether the answer is complete. */
    bool look();
    /** Whether the other side has shut the connection down. */
    bool isFinished();
    /** Whether the other side's kernel refused bytes, so that no process there has read what was sent last. */
    bool isReset();

    int status = 0;
    HttpHead head;
    std::string body;

private:
    int descriptor;
    bool hasEnd = false;
    bool wasReset = false;
    std::string input;
    HttpReader reader;
};

} // namespace Sequoiausher
