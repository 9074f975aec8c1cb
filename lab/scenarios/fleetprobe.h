#pragma once

// Watches all routers of a lab fleet through their /status: how long something takes to hold on each, and whether
// anything ever goes back.
//
//     FleetProbe probe(fleet);
//     const auto times = probe.times([](const RouterSight &sight) { return sight.revision >= 9; }, Millis{2000});
//     probe.reversions();

#include "lab/fleet/fleet.h"
#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/state/targets/lifestate.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** What one router's /status said. */
struct RouterSight
{
    bool answered = false;
    bool ready = false;
    Revision revision = 0;
    std::string refusal;
    std::size_t reachable = 0;
    std::uint64_t requests = 0;
    /** By the target's name; of one target, lives only grow. */
    std::map<std::string, LifeNews> targets;
};

/** Needs a running fleet that outlives it. */
class FleetProbe
{
public:
    using Condition = std::function<bool(const RouterSight &)>;

    explicit FleetProbe(const Fleet &fleet);
    ~FleetProbe();

    /** Asks all routers at once; one that does not answer within a second is left unanswered. */
    const std::vector<RouterSight> &look();

    /** Looks again and again: for each router, how long after the call condition held; nothing where not in limit. */
    std::vector<std::optional<Millis>> times(const Condition &condition, Millis limit);

    /** Whether condition held on all in limit. */
    bool allWithin(const Condition &condition, Millis limit);

    /** How often a router showed an older revision, or an older life of a target, than it had shown before. */
    std::uint64_t reversions() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

/** The largest of times; nothing where one is missing. */
std::optional<Millis> longest(const std::vector<std::optional<Millis>> &times);

/** "r1 12 ms, r2 never", for messages. */
std::string toText(const std::vector<std::optional<Millis>> &times);

/** The fleet's own rules behind one that answers GET /version with 404 and this version, which tells what is in force.
 */
std::string versionedRules(const std::string &version);

/** The version in force on the router, by a call; empty where none answers. */
std::string versionAt(const Fleet &fleet, std::size_t router);

/** A chat that gives up after deadline. */
HttpHeaders headersWithDeadline(Millis deadline, const std::string &idempotencyKey = {});

/** A fleet of routers and the platform alone, with versionedRules("v0"); for tests of configuration. */
FleetOptions fleetWithoutTargets(std::size_t routers);
/** Holds of a router that has this revision in force, or a later one. */
FleetProbe::Condition atRevision(Revision revision);
/** The highest revision in force on any router. */
Revision highestRevision(FleetProbe &probe);
/** Whether every router decides by the rules of this version. */
bool allHaveVersion(const Fleet &fleet, const std::string &version);

} // namespace Sequoiausher::Lab
