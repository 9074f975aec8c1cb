#pragma once

// What all requests of one gateway share: its configuration, what it knows of targets and peers, and its connections.
// Everything belongs to one thread.
//
//     GatewayContext context(dialect, log, metrics, settings, seed);

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/coordination/gateway/callerwaitestimator.h"
#include "sequoiausher/coordination/gateway/coldtargetlimit.h"
#include "sequoiausher/coordination/gateway/freshness.h"
#include "sequoiausher/coordination/gateway/loadshedder.h"
#include "sequoiausher/coordination/gateway/peerdirectory.h"
#include "sequoiausher/coordination/gateway/prefixdirectory.h"
#include "sequoiausher/coordination/gateway/requestquarantine.h"
#include "sequoiausher/coordination/gateway/retrybudgetshare.h"
#include "sequoiausher/coordination/gateway/routetable.h"
#include "sequoiausher/coordination/gateway/storeduty.h"
#include "sequoiausher/coordination/gateway/targetboard.h"
#include "sequoiausher/coordination/gateway/watchdeadline.h"
#include "sequoiausher/coordination/rules/ruleset.h"
#include "sequoiausher/protocol/gateway/gatewaydialect.h"
#include "sequoiausher/protocol/settings/gatewaysettings.h"
#include "sequoiausher/transport/gateway/targetlifechecks.h"
#include "sequoiausher/transport/gateway/targetpools.h"
#include "sequoiausher/transport/stream/bytestream.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace Sequoiausher {

/** The name under which a rule speaks of the service that the route of the request leads to. */
inline constexpr const char *routedPool = "routed";

/** The part of the settings that says when a gateway reads the store. */
StoreDutySettings storeDutyOf(const GatewaySettings &settings);
/** The spans of its calls, within the bound for leaving targets. */
StoreTimes storeTimesOf(const GatewaySettings &settings);

/** The shared state. */
struct GatewayContext : public TargetLifeUser
{
    GatewayContext(const GatewayDialect &speaks,
                   const Log &writes,
                   Metrics &counts,
                   const GatewaySettings &with,
                   std::uint64_t seed);

    /** The target has ended: what it was sent may have done that. */
    void targetEnded(const TargetId &target) override;
    void targetLives(const TargetId &target) override;
    /** Notes in the log which requests are refused from now on. @param from who told of it. */
    void requestsRefused(const std::vector<RequestFingerprint> &requests, const std::string &from);
    /** How long ago the configuration in force was proven to be the newest. */
    Millis proofAge(Millis now) const;
    /** A newer configuration than the one in force is known to be published. */
    bool isBehind() const;
    /** What callers may send, and how long they may take, by the configuration in force. */
    CallerLimits callerLimits() const;
    /** The revision of the configuration in force; 0 before the first. */
    Revision revision() const;
    /** What this gateway is to those who read the store. */
    StoreRole storeRole(Millis now) const;
    /** Limits requests to cold targets as the configuration in force states. */
    void useColdLimits();
    /** A span from least to twice least, so that those who were refused together do not return together. */
    Millis spread(Millis least);
    /** At random, from 0 up to 1. */
    double draw();
    /** Remembers how long a service took to begin an answer. */
    void firstAnswerTook(const PoolId &service, Millis time);
    /** About how long it takes; 0 before the first. */
    Millis usualFirstAnswer(const PoolId &service) const;
    /** Remembers a closed connection until all of its answer has been sent. */
    void keepDelivering(const std::shared_ptr<ByteStream> &closed);
    /** Whether a caller's last answer, on a connection that is closed, still waits to be sent. */
    bool isDelivering() const;
    /** Frees what is let go of in the middle of its own calls at the next tick. */
    void freeLater(std::shared_ptr<void> object);

    const GatewayDialect &dialect;
    const Log &log;
    Metrics &metrics;
    GatewaySettings settings;
    std::shared_ptr<const RouteTable> table;
    std::shared_ptr<const RuleSet> rules;
    Freshness freshness;
    RetryBudgetShare retryBudget;
    PeerDirectory peers;
    StoreDuty duty;
    SharedColdTargetLimit coldLimit;
    TargetBoard board;
    LoadShedder shedder;
    CallerWaitEstimator patience;
    PrefixDirectory parts;
    TargetPools pools;
    RequestQuarantine quarantine;
    TargetLifeChecks lifeChecks;
    std::uint64_t connectionsAccepted = 0;
    bool isStopping = false;
    /** Not yet ready for the first time since its start. */
    bool isStarting = true;
    /** Requests that come while it starts wait until then at the most. */
    Millis startsUntil;
    std::mt19937_64 random;
    std::vector<std::shared_ptr<void>> doomed;
    /** Closed connections whose last answer has not left this process: it must not end before. */
    std::vector<std::weak_ptr<ByteStream>> delivering;
    /** Expires with the context: what may outlive it looks here first. */
    std::shared_ptr<const bool> life = std::make_shared<const bool>(true);

private:
    std::map<PoolId, double> firstAnswers;
};

} // namespace Sequoiausher
