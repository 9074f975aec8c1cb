#pragma once

// For tests and benchmarks only: simulates routers, each with a Membership and a Spread, a network in discrete time
// that can lose, repeat, delay and reorder messages, and the configuration service. Equal seeds give equal runs.
//
//     TestFleet fleet({.routers = 7, .seed = 1});
//     fleet.publish("rules/fleet", "body");
//     fleet.run(Millis{5000});

#include "sequoiausher/coordination/membership/membership.h"
#include "sequoiausher/coordination/spread/spread.h"

#include <functional>
#include <memory>
#include <vector>

namespace Sequoiausher {

struct TestFleetSettings
{
    std::size_t routers = 7;
    std::size_t dataCentres = 4;
    std::size_t regions = 1;
    std::uint64_t seed = 1;
    int lossPercent = 0;
    int repeatPercent = 0;
    /** A random time below this is added to each delay, which reorders messages. */
    Millis jitter{0};
    Millis tickInterval{100};
    /** Delay of one call of the service; a change takes a watch and a read. */
    Millis serviceDelay{2};
    /** Calls per second that the service answers; further calls wait. */
    std::int64_t serviceReadsPerSecond = 2000;
    SpreadSettings spread;
    MembershipSettings membership;
    /** Every router watches the service and none relays documents; a baseline for comparison. */
    bool everyoneReads = false;
};

/** Counts of a run. */
struct TestFleetCounts
{
    std::uint64_t serviceReads = 0;
    std::uint64_t messages = 0;
    /** How often a running router's revision of a document decreased. */
    std::uint64_t reversions = 0;
    /** How often a revision would have decreased if each router kept whatever it received last. */
    std::uint64_t naiveReversions = 0;
};

/** Not thread-safe. Routers are numbered from 0. */
class TestFleet
{
public:
    explicit TestFleet(const TestFleetSettings &settings);
    ~TestFleet();

    Millis now() const;
    void run(Millis span);

    /** Publishes the next revision of name at the service. */
    Revision publish(const std::string &name, const std::string &body, bool deleted = false);
    void setServiceDown(bool down);
    /**
     * Makes the service show this router its whole state of revisionsAgo revisions ago, documents that the router
     * already has included; 0 ends this.
     */
    void setServiceStale(std::size_t router, std::size_t revisionsAgo);
    /** Gives the router one document as if read from the service, as part of an incomplete read. */
    void addServiceDocument(std::size_t router, const Document &document);

    /** Messages pass only between routers of the same group. All start in group 0. */
    void setGroup(std::size_t router, int group);
    /** Pauses the router for span; messages to it are delivered after the pause. */
    void pause(std::size_t router, Millis span);
    /** Restarts the router with empty memory. */
    void restart(std::size_t router);
    void kill(std::size_t router);

    std::size_t size() const;
    Membership &membership(std::size_t router);
    Spread &spread(std::size_t router);
    bool isAlive(std::size_t router) const;
    std::uint64_t serviceDigest() const;
    const TestFleetCounts &counts() const;

    /** Called when a router receives a revision that is new to it. */
    std::function<void(std::size_t, const Document &)> onNewRevision;
    /** Called for each message sent. */
    std::function<void(std::size_t, const PeerMessage &)> onSent;
    /** Called for each event of a router's membership. */
    std::function<void(std::size_t, const MembershipEvent &)> onEvent;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
