#pragma once

// A gateway with a store, targets and callers of a test's own, all in one process and on one event loop.
//
//     GatewayTestbed bed;
//     FakeTarget &target = bed.addTarget("t1", "desk");
//     target.answers = [](FakeRequest &request) { request.reply("200 OK", "hello"); };
//     bed.publish(bed.configuration());
//     const CallerReply reply = bed.call("GET", "/desk/1");

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/transport/gateway/gatewaynode.h"
#include "sequoiausher/transport/stream/bytestream.h"
#include "sequoiausher/transport/stream/httpreader.h"
#include "sequoiausher/transport/stream/streamlistener.h"

#include <QCoreApplication>

#include <functional>
#include <map>
#include <memory>
#include <sstream>
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
    /** Sends a whole answer with the signature and the request's id. */
    void reply(const std::string &status, const std::string &content, const std::string &fields = {}) const;
    /** Begins a chunked stream of events. */
    void beginEvents() const;
    void event(int id) const;
    void endEvents() const;
    /** Closes the connection: in order, or by a reset. */
    void close() const;
    void reset() const;
};

/** Hears requests. */
class FakeServer
{
public:
    FakeServer();
    ~FakeServer();
    FakeServer(const FakeServer &) = delete;
    FakeServer &operator=(const FakeServer &) = delete;

    std::string address() const;

    std::function<void(FakeRequest &request)> answers;
    std::vector<FakeRequest> seen;
    std::size_t connections = 0;
    /** Connections that the other side closed. */
    std::size_t closed = 0;

private:
    friend class FakeConnection;
    std::unique_ptr<StreamListener> listener;
    std::vector<std::shared_ptr<FakeConnection>> open;
};

/** One connection to a fake server. */
class FakeConnection : public ByteStreamUser
{
public:
    FakeConnection(FakeServer &server, int descriptor);
    ~FakeConnection() override;
    void bytesArrived() override;
    void ended(StreamEnd how) override;

    FakeServer *server;
    int descriptor;
    std::shared_ptr<ByteStream> stream;
    HttpReader reader;
};

/** What a caller got. */
struct CallerReply
{
    int status = 0;
    HttpHead head;
    std::string body;
    /** The whole answer came, its end mark included. */
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

private:
    HttpReader reader;
};

/** Everything together. */
class GatewayTestbed
{
public:
    GatewayTestbed();
    ~GatewayTestbed();

    FakeServer &addTarget(const std::string &name, const std::string &service);
    void removeTarget(const std::string &name);
    /** Routes /desk/ (at most once), /look/ (idempotent, two targets), /talk/ and /once/ (streams, the first resumes).
     */
    static std::string configuration(int revision = 1);
    void publish(const std::string &configuration);
    /** Starts the gateway and waits until it is ready. */
    void start();

    std::string request(const std::string &method, const std::string &path, const std::string &fields = {}) const;
    /** Sends one request over a connection of its own and waits for the end of its answer. */
    CallerReply call(const std::string &method, const std::string &path, const std::string &fields = {});
    /** Runs the loop until done holds; false after the time. */
    static bool waitFor(const std::function<bool()> &done, Millis time = Millis{3000});
    std::string address() const;

    /** Made before anything that needs an event loop. */
    QCoreApplication &application;
    GatewaySettings settings;
    FakeServer store;
    /** The store answers nothing any more. */
    bool isStoreSilent = false;
    std::map<std::string, std::unique_ptr<FakeServer>> targets;
    std::ostringstream logged;
    std::unique_ptr<Log> log;
    std::unique_ptr<GatewayDialect> dialect;
    std::unique_ptr<GatewayNode> node;
    bool isStopped = false;

private:
    void answerStore(FakeRequest &request);
    std::string targetsText() const;

    std::string stored;
    std::map<std::string, std::string> services;
    int revision = 1;
    std::vector<std::pair<int, FakeRequest>> watches;
    void changed();
};

} // namespace Sequoiausher
