#pragma once

// The state that all requests of one gateway share: its configuration, its knowledge of targets and peers, and its
// connections. Used by one thread only.
//
//     GatewayContext context(dialect, log, metrics, settings, seed);

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/coordination/gateway/admissionclient.h"
#include "sequoiausher/coordination/gateway/admissionowner.h"
#include "sequoiausher/coordination/gateway/brittletargetlimit.h"
#include "sequoiausher/coordination/gateway/callerwaitestimator.h"
#include "sequoiausher/coordination/gateway/coldtargetlimit.h"
#include "sequoiausher/coordination/gateway/connectionledger.h"
#include "sequoiausher/coordination/gateway/connectionmemory.h"
#include "sequoiausher/coordination/gateway/engineowner.h"
#include "sequoiausher/coordination/gateway/freshness.h"
#include "sequoiausher/coordination/gateway/loadshedder.h"
#include "sequoiausher/coordination/gateway/memorybudget.h"
#include "sequoiausher/coordination/gateway/peerdirectory.h"
#include "sequoiausher/coordination/gateway/prefixdirectory.h"
#include "sequoiausher/coordination/gateway/requestquarantine.h"
#include "sequoiausher/coordination/gateway/retrybudgetshare.h"
#include "sequoiausher/coordination/gateway/routedurations.h"
#include "sequoiausher/coordination/gateway/routetable.h"
#include "sequoiausher/coordination/gateway/stopschedule.h"
#include "sequoiausher/coordination/gateway/storeduty.h"
#include "sequoiausher/coordination/gateway/streamorigins.h"
#include "sequoiausher/coordination/gateway/targetboard.h"
#include "sequoiausher/coordination/gateway/targetreachability.h"
#include "sequoiausher/coordination/gateway/tunnelpeers.h"
#include "sequoiausher/coordination/gateway/watchdeadline.h"
#include "sequoiausher/coordination/rules/ruleset.h"
#include "sequoiausher/protocol/gateway/gatewaydialect.h"
#include "sequoiausher/protocol/settings/gatewaysettings.h"
#include "sequoiausher/transport/gateway/targetlifechecks.h"
#include "sequoiausher/transport/gateway/targetpools.h"
#include "sequoiausher/transport/stream/bytestream.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace Sequoiausher {

/** The name by which rules refer to the service that the route of the request leads to. */
inline constexpr const char *routedPool = "routed";

/** The part of the process's memory that requests and answers may hold, in bytes; 0 for no limit. */
std::size_t memoryBudgetOf(const GatewaySettings &settings);
/** The settings that determine when a gateway reads the store. */
StoreDutySettings storeDutyOf(const GatewaySettings &settings);
/** The time limits of calls to the store, such that the bound for leaving targets holds. */
StoreTimes storeTimesOf(const GatewaySettings &settings);

/** The shared state. */
struct GatewayContext : public TargetLifeUser
{
    GatewayContext(const GatewayDialect &platformDialect,
                   const Log &output,
                   Metrics &counters,
                   const GatewaySettings &initialSettings,
                   std::uint64_t seed);

    /** Records that the target has ended, perhaps because of a request that it ran. */
    void targetEnded(const TargetId &target) override;
    void targetLives(const TargetId &target) override;
    /** Logs what is refused from now on. @param from the gateway that reported the last crash. */
    void logRefused(const std::vector<SuspectKey> &suspects, const std::string &from);
    /** The time since the configuration in force was last proven to be the newest. */
    Millis proofAge(Millis now) const;
    /** Whether a newer configuration than the one in force is known to exist. */
    bool isBehind() const;
    /**
     * Whether a request of the route may be begun although this gateway may have to stop before the request ends;
     * always true while it does not stop. @param timeLeft until the caller or the route gives the request up.
     */
    bool mayBegin(const GatewayRoute &route, Millis timeLeft, Millis now) const;
    /** When a caller that is refused because of the stop shall come back. */
    Millis retryAfterStop(Millis now);
    /** The limits for callers, by the configuration in force. */
    CallerLimits callerLimits() const;
    /** The revision of the configuration in force; 0 before the first. */
    Revision revision() const;
    /** The role of this gateway among those that read the store. */
    StoreRole storeRole(Millis now) const;
    /** The gateways that share the retry budget. */
    RetryBudgetFleet retryBudgetFleet(Millis now) const;
    /** Limits requests to cold targets as the configuration in force states. */
    void useColdLimits();
    /** Returns a random time from min to twice min, so that callers who were refused together return at different
     * times. */
    Millis spread(Millis min);
    /** Returns a random number from 0 up to 1. */
    double draw();
    /** Records how long a service took to begin an answer. */
    void recordFirstAnswerTime(const PoolId &service, Millis time);
    /** The usual time until the service begins an answer; 0 before the first. */
    Millis usualFirstAnswer(const PoolId &service) const;
    /** Keeps account of a connection that is closed gently until it has ended. @param number its number in the ledger.
     */
    void keepDelivering(ConnectionLedger::Number number, const std::shared_ptr<ByteStream> &closed);
    /** Updates the account of closed connections. */
    void tickDelivering(Millis now);
    /** Whether the last answer on a closed connection was not yet sent completely. */
    bool isDelivering() const;
    /** The connections that were closed gently and have not ended. */
    std::size_t closingCount() const;
    /** Ends a connection that was closed gently. @return its stream; null if there is none of the number. */
    std::shared_ptr<ByteStream> endDelivering(ConnectionLedger::Number number);
    /** What the memory and the descriptors of the settings allow to connections. */
    ConnectionMemory connectionMemory() const;
    /** The descriptors of all connections. */
    OpenDescriptors openDescriptors() const;
    /** Destroys the object at the next tick, because it may be in the middle of its own calls. */
    void destroyLater(std::shared_ptr<void> object);

    const GatewayDialect &dialect;
    const Log &log;
    Metrics &metrics;
    GatewaySettings settings;
    std::mt19937_64 random;
    MemoryBudget memory;
    ConnectionLedger ledger;
    std::shared_ptr<const RouteTable> table;
    std::shared_ptr<const RuleSet> rules;
    Freshness freshness;
    RetryBudgetShare retryBudget;
    PeerDirectory peers;
    StoreDuty duty;
    SharedColdTargetLimit coldLimit;
    BrittleTargetLimit brittleLimit;
    TargetBoard board;
    LoadShedder shedder;
    CallerWaitEstimator patience;
    /** The services that this gateway owns, and its requests to the owners of the others. */
    AdmissionOwner admissionOwner;
    EngineOwner engineOwner;
    AdmissionClient admissionClient;
    std::uint64_t lastOwnPlaceId = 0;
    StreamOrigins origins;
    /** Sends messages to other gateways; drops them before the gateway listens for others. */
    std::function<void(Outbox messages)> sendToPeers = [](const Outbox &) {};
    PrefixDirectory parts;
    TargetReachability reachability;
    TunnelPeers tunnels;
    DialEnvironment dialEnvironment;
    TargetPools pools;
    RequestQuarantine quarantine;
    TargetLifeChecks lifeChecks;
    std::uint64_t connectionsAccepted = 0;
    /** Connections to targets that carry tunnels, and connections to and from peers. */
    std::size_t carryingConnections = 0;
    std::size_t peerConnections = 0;
    StopSchedule stop;
    RouteDurations durations;
    /** Connections of callers may stay open after an answer. */
    bool mayKeepCallers = true;
    /** The gateway has not been ready since its start. */
    bool isStarting = true;
    /** Requests that arrive during the start wait until this time at most. */
    Millis holdsRequestsUntil;
    std::vector<std::shared_ptr<void>> pendingDestruction;
    /** Closed connections that have not ended; the process must not end before their answers were sent. */
    std::map<ConnectionLedger::Number, std::weak_ptr<ByteStream>> delivering;
    /** Expires with the context, for callbacks that may outlive it. */
    std::shared_ptr<const bool> life = std::make_shared<const bool>(true);

private:
    /** Tells the ledger what the caller of a closed connection has not taken. */
    void updateDelivering(ConnectionLedger::Number number, ByteStream &closed, Millis now);

    std::map<PoolId, double> firstAnswers;
};

} // namespace Sequoiausher
