#pragma once

// The soak's run from within: its parts, the clock by which its actions go, and what its faults do to gateways, store,
// links and targets.
//
//     run.during(span, {SoakJudge::storeSubject}, [&] { begin(); }, [&] { end(); });
//     run.strike(fault);

#include "lab/fleet/reservedport.h"
#include "lab/hostile/clientcrowd.h"
#include "lab/soak/crashingcaller.h"
#include "lab/soak/fleetfaults.h"
#include "lab/soak/lastingcaller.h"
#include "lab/soak/openload.h"
#include "lab/soak/soakcaller.h"
#include "lab/soak/soakgateway.h"
#include "lab/soak/soakjudge.h"
#include "lab/soak/soakoperator.h"
#include "lab/soak/soakrun.h"
#include "lab/soak/soakstore.h"
#include "lab/soak/soaktarget.h"

#include <QTimer>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

inline constexpr Millis pollInterval{250};
/** A stopped gateway is gone so long after SIGTERM: its grace and what it takes to end. */
inline constexpr Millis longestStop{9000};
/** How long a target stays cold. */
inline constexpr Millis coldTime{3000};

/** One of three data centres. */
DataCentreId dataCentreOf(std::uint64_t number);

class SoakRun::Private
{
public:
    explicit Private(const SoakOptions &with);

    struct TargetPlace
    {
        std::unique_ptr<SoakTarget> target;
        /** The link's port while it refuses connections. */
        std::unique_ptr<ReservedPort> linkPort;
        std::unique_ptr<Relay> link;
        /** Its entry stands in the store. */
        bool isListed = false;
        bool isLeaving = false;
        DataCentreId dataCentre;
        /** The software version of its life. */
        std::string version = "v1";
        /** Its life is cold until then. */
        Millis coldUntil;
    };

    void setUp();
    void makeCallers();
    /** Plans all faults, which begin then. @return when the last one ends. */
    Millis planRun(Millis begin);
    void makeOpenLoad();
    /** Starts the clients that do not behave. */
    void makeHostileClients();
    /** Adds a target that has not started. @return its place. */
    TargetPlace &addPlace();
    /** What the living targets of a service hold. */
    ServiceHolding holdingOf(const std::string &service) const;
    void tick();
    void watchProcesses(Millis now);
    /** Checks that the gateway keeps within its memory. */
    void checkMemory(std::size_t number, Millis now);
    void at(Millis when, std::function<void()> action);
    void after(Millis span, std::function<void()> action);
    /** Does begin now and end after the span, with the subjects disturbed meanwhile. */
    void during(Millis span,
                const std::vector<std::string> &subjects,
                const std::function<void()> &begin,
                const std::function<void()> &end);
    void strike(const SoakFault &fault);
    void strikeGateway(const SoakFault &fault, std::size_t gateway);
    void strikeFleet(const FleetFault &fault);
    void strikeSome(const FleetFault &fault, std::size_t count, SoakFaultKind kind);
    /** @return whether the kind changes the load, which it then does. */
    bool changeLoad(const FleetFault &fault);
    /** Lets so many targets of the engines leave, the first one chosen by the fault. */
    void leaveSome(const FleetFault &fault, std::size_t count);
    /** Starts so many further targets of the engines. @return how many there were. */
    std::size_t joinSome(std::size_t count);
    /**
     * How many targets of the engines may leave now. Fewer than half are on their way out at any time: the others could
     * not take all requests within the limit, which counts the mean of all. With mayLeaveTogether it is half of those
     * that are not on their way out.
     */
    std::size_t mayLeave() const;
    void loseAnswers(const FleetFault &fault);
    void strikeStore(const SoakFault &fault);
    void strikeTarget(const SoakFault &fault, TargetPlace &place);
    void operate(const SoakFault &fault);
    void strikeLink(Relay &relay, const Link &link, Millis span, const std::vector<std::string> &subjects);
    void killGateway(std::size_t number, Millis down);
    void stopGateway(std::size_t number);
    void startGateway(std::size_t number);
    void startTarget(TargetPlace &place, const std::string &service);
    /** The target's process ends: it closes its connections in order, and new ones are refused. */
    void endTarget(TargetPlace &place);
    /** Counts a target as disturbed for the span. */
    void disturbTargets(Millis span);
    /** Whether anything accepts connections to the target. */
    void setListening(const TargetPlace &place, bool on);
    void listTarget(TargetPlace &place, bool isLeaving);
    void unlistTarget(TargetPlace &place);
    void leaveTarget(TargetPlace &place);
    /** @param listedFor how long its entry stays. @param next the service of its next life. */
    void crashTarget(TargetPlace &place, Millis listedFor, const std::string &next);
    void lapse(Millis span);
    /** The store is away from then on, and comes back from a copy made some time before. */
    void planReturn(Millis at);
    /** Requests the evacuation of a data centre at that time, and takes it back later. */
    void planEvacuation(Millis at);
    void endEvacuation(const DataCentreId &dataCentre);
    /** From then on a service rejects most requests for some seconds, and gateways are killed one after the other. */
    void planOutage(Millis at);
    /** Then all gateways are killed, maybe after the targets of one software version have left. */
    void planFleetKill(Millis at, bool removesVersion);
    /**
     * From then on some or all gateways are asked to stop, one after the other or at once; some of them twice, beside a
     * reload, or again a moment after their start.
     */
    void planStops(Millis at);
    /** From then on some or all gateways reach no target by themselves, for some seconds. */
    void planCut(Millis at);
    /** From then on a target sends answers that nobody asked for, and an entry names no service. */
    void planForeign(Millis at);
    /** Writes entries that no gateway can read. @return their keys. */
    std::vector<std::string> writeOddEntries(GatewayTarget entry, std::size_t number);
    /** During a cut of the paths of struck gateways, notes others that may use these paths as disturbed. */
    void notePathsOfPeers(const std::set<std::size_t> &struck, Millis until);
    /** The present life of the target is cold from now on, as its entry states. */
    void coolDown(TargetPlace &place);
    /** One that is there says that it leaves. */
    void leaveAnyTarget();
    /** What the copy does not have is written again. */
    void writeAgain();
    std::optional<SoakEntry> pick();
    /** One in rotation, or any whose process runs where none is. */
    std::optional<SoakEntry> pickAny();
    void note(const std::string &line);
    static std::string unplanned(std::size_t gateway);
    static std::string killed(std::size_t gateway);
    void readLogs(Millis now);
    /** Notes each request at a target above the limit, with what the gateway that sent it wrote of its choice. */
    void noteBreaches();
    void finish(SoakResult &result, Millis calmFrom);

    SoakOptions options;
    std::mt19937_64 random;
    /** For returns alone, so that a seed's other faults stay the same. */
    std::mt19937_64 returns;
    /** For evacuations alone. */
    std::mt19937_64 evacuations;
    /** For outages alone. */
    std::mt19937_64 outages;
    /** For kills of the whole fleet alone. */
    std::mt19937_64 fleetKills;
    /** For cuts alone. */
    std::mt19937_64 cuts;
    /** For series of planned stops alone. */
    std::mt19937_64 stops;
    /** For bytes and entries of others alone. */
    std::mt19937_64 foreign;
    /** For software versions alone. */
    std::mt19937_64 versions;
    std::set<DataCentreId> evacuated;
    SoakJudge judge;
    SoakStore store;
    SoakOperator administrator;
    /** The port of all gateways' tunnels, for as long as the run lasts. */
    std::unique_ptr<ReservedPort> tunnelPort;
    std::vector<std::unique_ptr<SoakGateway>> gateways;
    std::vector<TargetPlace> places;
    std::vector<std::unique_ptr<SoakCaller>> callers;
    std::vector<std::unique_ptr<LastingCaller>> lasting;
    std::unique_ptr<CrashingCaller> crashing;
    std::vector<std::unique_ptr<ClientCrowd>> hostile;
    std::unique_ptr<OpenLoad> load;
    PromptDraw prompts;
    std::multimap<Millis, std::function<void()>> actions;
    QTimer timer;
    std::ofstream log;
    Millis startedAt;
    Millis lastTick;
    Millis nextPoll;
    Millis longestPause;
    std::uint64_t picks = 0;
    std::size_t faultsOpen = 0;
};

} // namespace Sequoiausher::Lab
