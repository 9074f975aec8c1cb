#pragma once

// A whole fleet of real processes for tests and benches: platform, engines, services, routers and, where asked for,
// relays between the routers. It finds free ports, writes the settings into a temporary folder, waits until all is
// ready, does the operators' first start, and ends every process it started when it goes, also after a failed test.
//
//     Fleet fleet({.routers = 3, .engines = 0});
//     fleet.start();
//     LabCaller caller(fleet.routerPort(0));
//     caller.call("POST", "/orders", "{}", fleet.headers("key-1"));
//     fleet.router(1).kill();
//     fleet.runs();
//
// Needs a QCoreApplication. Every wait runs the event loop, so calls in progress go on meanwhile.

#include "lab/fleet/fleettexts.h"
#include "lab/fleet/labprocess.h"
#include "lab/relay/relay.h"
#include "sequoiausher/protocol/http/httpheaders.h"

#include <QtCore/QJsonObject>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** One run at a target, as the target itself counts it. */
struct TargetRun
{
    std::string target;
    std::string requestId;
    std::string idempotencyKey;
    /** When the target took it; comparable with Millis::monotonicNow(), which is one clock for the whole machine. */
    Millis at;
};

/** See above. */
class Fleet
{
public:
    explicit Fleet(const FleetOptions &options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Starts everything and, where the options say so, founds the fleet. @throws Error what did not become ready. */
    void start();

    const FleetOptions &options() const;
    std::size_t routers() const;
    /** Routers r1, r2, … by number, from 0. */
    LabProcess &router(std::size_t number);
    std::uint16_t routerPort(std::size_t number) const;
    std::uint16_t platformPort() const;
    std::vector<std::uint16_t> enginePorts() const;
    std::vector<std::uint16_t> servicePorts() const;
    /** The processes of all engines, of all services, and the platform's. */
    LabProcess &engines();
    LabProcess &services();
    LabProcess &platform();

    /** Kills the router where it runs, and starts it again as an operator's supervisor would. Does not wait. */
    void restartRouter(std::size_t number);
    /** Waits until the router answers that it is ready. */
    bool waitUntilReady(std::size_t number, Millis limit = Millis{10000});
    /** Waits until the witness of each running router votes. */
    bool waitUntilVoting(Millis limit = Millis{10000});
    /** /status of a router; empty where it does not answer in time. */
    QJsonObject status(std::size_t number) const;

    /** Publishes a document. */
    void publish(const std::string &name, const std::string &text);
    /** The rows of the list of instances as it was published last. */
    std::vector<InstanceRow> &instances();
    /** Publishes instances(). */
    void publishInstances();
    /** `up`, `down` or `stale`; see lab/README.md. */
    void setPlatformMode(const std::string &mode);

    /** A fault of every engine, or of every service; see lab/README.md. */
    void setEngineFault(const std::string &mode, std::int64_t value = 0);
    void setServiceFault(const std::string &mode, std::int64_t value = 0);
    /** How the messages that other routers send to this one fare. Only with FleetOptions::relays. */
    void setLink(std::size_t number, const Link &link);

    /** Every run at every engine and service, asked from them now. @throws Error where one does not answer. */
    std::vector<TargetRun> runs() const;

    /** The headers of a call of the lab's organisation, with an idempotency key where one is given. */
    static HttpHeaders headers(const std::string &idempotencyKey = {});
    /** A chat completion; the answer has maxTokens tokens. */
    static std::string chatBody(const std::string &prompt, int maxTokens, bool streamed);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
