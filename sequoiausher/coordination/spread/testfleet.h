#pragma once

// For tests and benches only: routers, each a Membership and a Spread, joined by a network in discrete time that can
// lose, repeat, delay and reorder messages, and a stand-in for the configuration service. Same seed, same run.
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
    /** Up to this is added to each delay at random, which reorders. */
    Millis jitter{0};
    Millis tickInterval{100};
    /** One call of the service; a change takes a watch and a read. */
    Millis serviceDelay{2};
    /** Calls that the service answers; more wait for each other. */
    std::int64_t serviceReadsPerSecond = 2000;
    SpreadSettings spread;
    MembershipSettings membership;
    /** Every router watches the service and none relays: the baseline. */
    bool everyoneReads = false;
};

/** What the run counted. */
struct TestFleetCounts
{
    std::uint64_t serviceReads = 0;
    std::uint64_t messages = 0;
    /** Times a live router's revision of a document fell. */
    std::uint64_t reversions = 0;
    /** The same for a shadow of each router that keeps whatever it received last. */
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
    /** The service shows this router its state of so many revisions ago, and all of it, wanted or not. */
    void setServiceStale(std::size_t router, std::size_t revisionsAgo);
    void learnFromService(std::size_t router, const Document &document);

    /** Messages pass only between routers of the same group. All start in group 0. */
    void setGroup(std::size_t router, int group);
    /** The router handles nothing until then; its messages wait. */
    void pause(std::size_t router, Millis span);
    /** The router starts anew, with nothing in memory. */
    void restart(std::size_t router);
    void kill(std::size_t router);

    std::size_t size() const;
    Membership &membership(std::size_t router);
    Spread &spread(std::size_t router);
    bool isAlive(std::size_t router) const;
    std::uint64_t serviceDigest() const;
    const TestFleetCounts &counts() const;

    /** Called as a router learns a revision that is new to it. */
    std::function<void(std::size_t, const Document &)> onLearnt;
    /** Called for each message sent. */
    std::function<void(std::size_t, const PeerMessage &)> onSent;
    /** Called for each event of a router's membership. */
    std::function<void(std::size_t, const MembershipEvent &)> onEvent;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
