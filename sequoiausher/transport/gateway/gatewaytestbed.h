#pragma once

// A gateway with a store, targets and callers of a test's own, all in one process and on one event loop.
//
//     GatewayTestbed bed;
//     FakeTarget &target = bed.addTarget("t1", "desk");
//     target.answers = [](FakeRequest &request) { request.reply("200 OK", "hello"); };
//     bed.publish(bed.configuration());
//     const CallerReply reply = bed.call("GET", "/desk/1");

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/transport/gateway/fakepath.h"
#include "sequoiausher/transport/gateway/gatewaynode.h"
#include "sequoiausher/transport/stream/fakehttp.h"

#include <QCoreApplication>

#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace Sequoiausher {

/** Everything together. */
class GatewayTestbed
{
public:
    GatewayTestbed();
    ~GatewayTestbed();

    FakeServer &addTarget(const std::string &name,
                          const std::string &service,
                          const std::string &dataCentre = "a",
                          const std::string &version = "v1");
    /** The first gateway reaches the target over a path that can be cut; its neighbour reaches it directly. */
    FakePath &addPath(const std::string &name);
    void removeTarget(const std::string &name);
    /** The store lists a target that was removed once more. */
    void listTarget(const std::string &name, const std::string &service);
    /** The target's process ends: its connections break and nothing listens, while its entry stays. */
    void crashTarget(const std::string &name);
    /** The target writes its entry again: the watch that waits hears of that alone. */
    void rewriteTarget(const std::string &name);
    /** The operator requests that the data centre be evacuated, or takes that back: the watch hears of that alone. */
    void evacuate(const std::string &dataCentre);
    void takeBack(const std::string &dataCentre);
    /** Keeps what the store has now, for a return. */
    void copyStore();
    /** The store returns from the copy: its revisions go back, its era rises, and watches are told that history is
     * gone. */
    void restoreStore();
    /** Routes /desk/ (at most once), /look/ (idempotent, two targets), /talk/ and /once/ (streams, the first resumes).
     */
    static std::string configuration(int revision = 1);
    void publish(const std::string &configuration);
    /** Starts the gateway and waits until it is ready. */
    void start();
    void startWithoutWaiting();

    std::string request(const std::string &method, const std::string &path, const std::string &fields = {}) const;
    /** Sends one request over a connection of its own and waits for the end of its answer. */
    CallerReply call(const std::string &method, const std::string &path, const std::string &fields = {});
    /** One call of /look/1 under an attempt id of its own, so that each may go to another target. */
    CallerReply callAnew();
    /** Runs the loop until done holds; false after the time. */
    static bool waitFor(const std::function<bool()> &done, Millis time = Millis{3000});
    std::string address() const;
    /**
     * The settings of one more gateway, which finds the first one by its address for peers, and whose store lists the
     * targets themselves where the first gateway's lists paths.
     */
    GatewaySettings settingsOfNeighbour() const;

    /** Made before anything that needs an event loop. */
    QCoreApplication &application;
    GatewaySettings settings;
    FakeServer store;
    /** The same store as the neighbour sees it. */
    FakeServer neighboursStore;
    /** The store answers nothing any more. */
    bool isStoreSilent = false;
    /** So many answers of a watch that tell of a change are lost, and their connections stay open without a word. */
    int watchAnswersToLose = 0;
    /** The answer of a watch that tells of a change is longer than any that a gateway reads. */
    bool areWatchAnswersTooLong = false;
    /** Watches that were begun so far. */
    int watchesBegun = 0;
    /** The store answers what it is asked from now on by releaseStore(). */
    void holdStore();
    void releaseStore();
    std::map<std::string, std::unique_ptr<FakeServer>> targets;
    std::map<std::string, std::unique_ptr<FakePath>> paths;
    std::ostringstream logged;
    std::unique_ptr<Log> log;
    std::unique_ptr<GatewayDialect> dialect;
    std::unique_ptr<GatewayNode> node;
    bool isStopped = false;

private:
    /** A call to the store, and whether it comes from the first gateway. */
    struct StoreRequest
    {
        FakeRequest request;
        bool isFirstGateway = true;
    };
    void answerStore(const StoreRequest &asked);
    /** Tells a watch that something changed, unless that answer is to be lost. */
    void wakeWatch(const FakeRequest &request);
    std::string targetsText(bool forFirstGateway) const;

    /** What the store has. */
    struct Content
    {
        std::string stored;
        std::map<std::string, std::string> services;
        /** Evacuated data centres, each with the revision of the request. */
        std::map<std::string, int> evacuations;
        int revision = 1;
        /** At which revision the configuration was written. */
        int storedAt = 1;
    };
    void reply(const FakeRequest &request, const std::string &status, const std::string &body) const;
    std::string targetLine(const std::string &name, bool forFirstGateway = true) const;
    /** Writes one change, of which each watch hears. */
    void tellWatches(const std::string &line);

    /** Where each target listens, or listened. */
    std::map<std::string, std::string> addresses;
    std::map<std::string, std::string> dataCentres;
    std::map<std::string, std::string> versions;
    Content content;
    Content copy;
    int era = 1;
    std::vector<std::pair<int, FakeRequest>> watches;
    bool isStoreHeld = false;
    int calls = 0;
    std::vector<StoreRequest> heldCalls;
    void changed();
};

} // namespace Sequoiausher
