#include "sequoiausher/transport/gateway/gatewaynode.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/base/hashing.h"
#include "sequoiausher/base/metrics/prometheus.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/connectionadmission.h"
#include "sequoiausher/transport/gateway/callerconnection.h"
#include "sequoiausher/transport/gateway/gatewayknowledge.h"
#include "sequoiausher/transport/gateway/gatewaypages.h"
#include "sequoiausher/transport/gateway/gatewaypeers.h"
#include "sequoiausher/transport/gateway/gatewayrules.h"
#include "sequoiausher/transport/gateway/storewatcher.h"
#include "sequoiausher/transport/gateway/tunnelserver.h"
#include "sequoiausher/transport/stream/streamlistener.h"

#include <QTimer>

#include <algorithm>
#include <bit>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include <unistd.h>

namespace Sequoiausher {

namespace {

/**
 * How long after its start a gateway holds requests that it cannot admit yet, unless a call to the store fails. It is
 * ready within 50 ms, or once a configuration of a megabyte has arrived over a link of 10 Mbit/s. After a crash of the
 * whole fleet all callers return within this time, and a refusal would delay them for longer.
 */
constexpr Millis startupHoldTime{1200};
/** How long a gateway that starts waits for the first reply of a peer: by then each peer that runs has replied. */
constexpr Millis firstReplyTime{300};
/** How often the time limits of requests and connections are checked; a request ends at most this much late. */
constexpr int tickMs = 40;
/** If a tick comes this long after the previous one, the process was busy, for instance with a large configuration. */
constexpr Millis lateTickInterval{2L * tickMs};
/**
 * The number of iterations of the event loop that a late tick waits for. The first iteration may be delayed too, and of
 * a long answer each iteration reads only what the other side's kernel could send since the last one. If they take
 * long, the tick waits for the minimum only, so that it is not postponed forever.
 */
constexpr int minLateIterations = 2;
constexpr int maxLateIterations = 8;
constexpr Millis lateIterationsTime{100};
/** Two rounds of reports: by then a gateway that has just started knows whether a peer watches the store. */
constexpr Millis firstWatchDelay = reportInterval * 2;
/** How often the counts of suppressed log lines are written. */
constexpr Millis suppressedInterval{2000};
/** A gateway is not ready if the age of its proof exceeds this fraction of the maximum age for keys. */
constexpr std::int64_t readyProofAgeNumerator = 3;
constexpr std::int64_t readyProofAgeDenominator = 5;

/** How often a line is written of connections that were closed for want of room. */
constexpr Millis yieldedInterval{1000};
/** So many connections are asked to make room for one; a request may have arrived on each of them meanwhile. */
constexpr std::size_t maxYieldsAtOnce = 4;

} // namespace

/** Why a connection was closed for want of room. */
enum class YieldReason {
    Descriptors,
    Memory,
};

template<>
inline constexpr auto nameTable<YieldReason> = std::to_array<NameEntry<YieldReason>>({
    {YieldReason::Descriptors, "descriptors"},
    {YieldReason::Memory, "memory"},
});

class GatewayNode::Private : public KnowledgeUser
{
public:
    Private(const GatewayDialect &speaks,
            const GatewaySettings &with,
            const Log &writes,
            std::function<void()> whenStopped)
        : dialect(speaks)
        , log(writes)
        , onStopped(std::move(whenStopped))
        , incarnation(static_cast<Incarnation>(Millis::wallNow().count))
        , context(speaks, writes, this->metrics, with, hash64(with.peerAddress, this->incarnation))
        , knowledge(this->context, *this)
        , known(this->knowledge.sharedKnowledge())
        , peers(this->context, this->incarnation, this->known, this->knowledge.peerUpdates())
        , pages(
              with.readyAddress,
              speaks.readinessPath(),
              with.metricsAddress,
              this->context.connectionMemory(),
              [this] { return this->isReady(); },
              [this] { return this->metricsPage(); })
    {
    }

    void start();
    void reload(const GatewaySettings &settings);
    void watchStore();
    void accept(int descriptor);
    /** Makes room for one more connection of a caller. @return whether there is any. */
    bool makeRoom();
    bool hasRoom() const;
    /** The connections of callers, closed ones among them that have not ended. */
    std::size_t callerConnections() const;
    /** Closes the connection for want of room. @return whether it is closed. */
    bool yield(ConnectionLedger::Number number, YieldReason reason, Millis now);
    /** Logs the yields that no line has told of, at most once in yieldedInterval. */
    void reportYields(Millis now);
    /** Closes connections until callers hold no more memory and descriptors than they may. */
    void tickRoom(Millis now);
    void useLimits();
    /** Has the kernel receive less on a further connection the more there are. */
    void updateReceiveBytes();
    void timerFired();
    /** Counts an iteration of the event loop and runs the late tick after enough of them. */
    void lateIteration();
    void tick();
    void tickStore(Millis now);
    /** Probes paths that were cut, and logs which services are cut off. */
    void tickReachability(Millis now);
    void tickCallers(Millis now);
    /** Returns a copy, because a connection that ends removes itself from the map. */
    std::vector<std::shared_ptr<CallerConnection>> allCallers() const;
    /** Admits the requests that wait for the start, once the gateway is ready. */
    void endStart();
    void tickStop(Millis now);
    /** Adapts the limit for new connections. @param interval time since the timer fired before. */
    void updateAdmission(Millis interval, Millis now);
    void beginStop();
    /** Answers all remaining requests with what is known of them. */
    void endRequests();
    void finishStop(std::string_view how);
    bool isReady() const;
    /** Whether enough is known to admit requests; a gateway that stops admits some, but is not ready. */
    bool canAdmit() const;
    std::string metricsPage();
    void knowledgeChanged() override;
    void storeEraChanged(std::uint64_t era) override;

    const GatewayDialect &dialect;
    const Log &log;
    std::function<void()> onStopped;
    Incarnation incarnation;
    Metrics metrics;
    GatewayContext context;
    GatewayKnowledge knowledge;
    SharedKnowledge &known;
    GatewayPeers peers;
    GatewayPages pages;
    ConnectionAdmission admission{{}};
    TunnelServer tunnelServer{this->context};
    std::unique_ptr<StoreWatcher> watcher;
    std::unique_ptr<StreamListener> listener;
    /** By the numbers of their connections. */
    std::unordered_map<ConnectionLedger::Number, std::shared_ptr<CallerConnection>> callers;
    /** What the settings allow to connections. */
    ConnectionMemory connectionMemory{{}};
    std::size_t listenerReceiveBytes = 0;
    /** Connections that were closed for want of room since the last line about them. */
    struct Yields
    {
        std::size_t count = 0;
        ConnectionLedger::Number lastNumber = 0;
        YieldReason lastReason = YieldReason::Descriptors;
        std::string lastPeer;
        ConnectionAccount lastAccount;
        Millis lastStill;
    };
    Yields unreportedYields;
    Millis nextYieldLine;
    QTimer timer;
    /** Fires after the event loop has read its sockets. */
    QTimer lateTimer;
    /** When the current late tick was due, and how many iterations it has waited for. */
    Millis lateSince;
    int lateIterations = 0;
    /** When the timer last fired. */
    Millis tickedAt;
    /** A start waits for the first reply of a peer until this time. */
    Millis awaitsReplyUntil;
    bool hasClosedIdle = false;
    bool hasEndedRequests = false;
    bool isStopped = false;
    bool wasReady = false;
    bool wasResting = false;
    Millis nextSuppressedAt;
    /** Whether bodies wait for memory, or answers are held back by their callers. */
    bool wasShortOfMemory = false;
    std::vector<PoolId> cutOffServices;
};

void GatewayNode::Private::start()
{
    this->known.targets.setLeaveBound(this->context.settings.leaveBound);
    this->context.rules = readGatewayRules(this->context.settings.rulesFile);
    this->useLimits();
    this->listener = std::make_unique<StreamListener>(this->context.settings.address,
                                                      [this](int descriptor) { this->accept(descriptor); });
    this->peers.listen();
    this->tunnelServer.listen();
    this->pages.listen();
    const Millis now = Millis::monotonicNow();
    this->context.holdsRequestsUntil = now + startupHoldTime;
    this->awaitsReplyUntil = now + firstReplyTime;
    this->updateReceiveBytes();
    this->watchStore();
    QObject::connect(&this->timer, &QTimer::timeout, [this] { this->timerFired(); });
    QObject::connect(&this->lateTimer, &QTimer::timeout, [this] { this->lateIteration(); });
    this->lateTimer.setSingleShot(true);
    this->tickedAt = Millis::monotonicNow();
    this->timer.start(tickMs);
    this->log.info(LogPart::Main,
                   "gateway started",
                   {{"name", this->context.settings.name.value},
                    {"address", this->context.settings.address},
                    {"incarnation", std::to_string(this->incarnation)},
                    {"rules", this->context.settings.rulesFile},
                    {"rule_count", std::to_string(this->context.rules->size())}});
}

void GatewayNode::Private::watchStore()
{
    const GatewaySettings &settings = this->context.settings;
    const bool wasLost = this->watcher && this->watcher->isStoreLost();
    this->watcher = std::make_unique<StoreWatcher>(this->dialect,
                                                   settings.store.address,
                                                   storeTimesOf(settings),
                                                   settings.linkMbps,
                                                   std::size_t{settings.memoryMb} << 20U,
                                                   this->log,
                                                   this->knowledge.storeListener());
    this->watcher->setStoreLost(wasLost);
    if (this->context.peers.hasPeers()) {
        this->watcher->setFirstWatchDelay(firstWatchDelay);
    }
    this->watcher->tick(Millis::monotonicNow(), Millis::never(), Millis{0});
}

void GatewayNode::Private::reload(const GatewaySettings &settings)
{
    const std::string storeBefore = this->context.settings.store.address;
    try {
        this->context.rules = readGatewayRules(settings.rulesFile);
    } catch (const Error &error) {
        this->log.error(LogPart::Config, "the last good rules stay in force", {{"why", error.what()}});
    }
    this->context.settings = settings;
    this->context.memory.setLimit(memoryBudgetOf(settings));
    this->useLimits();
    this->context.coldLimit.setUse(settings.coldTargets);
    this->context.board.setRegions(settings.regions);
    this->context.retryBudget.setSettings(settings.repeats);
    this->context.duty.setSettings(storeDutyOf(settings));
    this->known.targets.setLeaveBound(settings.leaveBound);
    this->watcher->setTimes(storeTimesOf(settings));
    this->context.peers.setSeeds(settings.seeds);
    if (settings.store.address != storeBefore) {
        this->watchStore();
    }
    this->log.info(LogPart::Main, "settings reloaded", {{"rule_count", std::to_string(this->context.rules->size())}});
}

std::size_t GatewayNode::Private::callerConnections() const
{
    return this->callers.size() + this->context.closingCount();
}

bool GatewayNode::Private::hasRoom() const
{
    return this->admission.hasRoom(this->callerConnections())
        && this->connectionMemory.hasDescriptorForClient(this->context.openDescriptors());
}

bool GatewayNode::Private::makeRoom()
{
    const Millis now = Millis::monotonicNow();
    for (std::size_t i = 0; i < maxYieldsAtOnce && !this->hasRoom(); ++i) {
        const std::optional<ConnectionLedger::Number> yielding = this->context.ledger.yieldsDescriptor(now);
        if (!yielding) {
            return false;
        }
        this->yield(*yielding, YieldReason::Descriptors, now);
    }
    return this->hasRoom();
}

bool GatewayNode::Private::yield(ConnectionLedger::Number number, YieldReason reason, Millis now)
{
    const ConnectionAccount account = this->context.ledger.account(number).value_or(ConnectionAccount{});
    std::string peer;
    if (const auto found = this->callers.find(number); found != this->callers.end()) {
        const std::shared_ptr<CallerConnection> connection = found->second;
        peer = connection->peerAddress();
        if (!connection->yield()) {
            return false;
        }
    } else if (const auto stream = this->context.endDelivering(number)) {
        peer = stream->peerAddress();
        if (account.held.unread > 0) {
            stream->reset();
        } else {
            stream->close();
        }
    } else if (const std::optional<std::string> opener = this->tunnelServer.yield(number)) {
        peer = *opener;
    } else {
        this->context.ledger.remove(number);
        return false;
    }
    this->metrics.add("gateway_connections_closed_for_" + std::string(nameOf(reason)) + "_total");
    this->unreportedYields = {this->unreportedYields.count + 1, number, reason, peer, account, now - account.usedSince};
    this->reportYields(now);
    return true;
}

void GatewayNode::Private::reportYields(Millis now)
{
    if (this->unreportedYields.count == 0 || now < this->nextYieldLine) {
        return;
    }
    this->nextYieldLine = now + yieldedInterval;
    const Yields reported = std::exchange(this->unreportedYields, Yields{});
    this->log.warning(LogPart::Entry,
                      "closed connections for want of room",
                      {{"why", std::string(nameOf(reported.lastReason))},
                       {"count", std::to_string(reported.count)},
                       {"last_connection", std::to_string(reported.lastNumber)},
                       {"last_peer", reported.lastPeer},
                       {"last_use", std::string(nameOf(reported.lastAccount.use))},
                       {"held_bytes", std::to_string(reported.lastAccount.held.total())},
                       {"still_ms", std::to_string(reported.lastStill.count)},
                       {"connections", std::to_string(this->callerConnections())}});
}

void GatewayNode::Private::tickRoom(Millis now)
{
    this->context.tickDelivering(now);
    this->reportYields(now);
    std::size_t beyond = 0;
    while (!this->admission.hasRoom(this->callerConnections() - std::min<std::size_t>(this->callerConnections(), 1))
           && beyond < this->callers.size()) {
        const std::optional<ConnectionLedger::Number> yielding = this->context.ledger.yieldsDescriptor(now);
        if (!yielding) {
            break;
        }
        this->yield(*yielding, YieldReason::Descriptors, now);
        beyond += 1;
    }
    if (const std::size_t overrun = this->context.memory.overrun(); overrun > 0) {
        for (const ConnectionLedger::Number number : this->context.ledger.yieldMemory(overrun, now)) {
            this->yield(number, YieldReason::Memory, now);
        }
    }
}

void GatewayNode::Private::useLimits()
{
    this->connectionMemory = this->context.connectionMemory();
    this->context.dialEnvironment.memory = this->connectionMemory;
    this->admission.setMaxConnections(this->connectionMemory.maxConnections());
}

void GatewayNode::Private::accept(int descriptor)
{
    if (!this->hasRoom() && !this->makeRoom()) {
        // Nothing was read, so the caller may send its request to another gateway.
        ::close(descriptor);
        this->metrics.add("gateway_connections_refused_total");
        return;
    }
    if (!this->admission.admit(this->callerConnections())) {
        ::close(descriptor);
        this->metrics.add("gateway_connections_refused_total");
        return;
    }
    const auto gone = [this](CallerConnection &ended) {
        const auto found = this->callers.find(ended.connectionNumber());
        if (found != this->callers.end()) {
            this->context.destroyLater(std::move(found->second));
            this->callers.erase(found);
        }
    };
    auto connection = std::make_shared<CallerConnection>(this->context, descriptor, gone);
    this->callers.emplace(connection->connectionNumber(), connection);
    this->context.mayKeepCallers = this->admission.mayKeepOpen(this->callerConnections());
    this->updateReceiveBytes();
}

void GatewayNode::Private::updateReceiveBytes()
{
    // In steps of two, so that the listener's limit seldom changes.
    const std::size_t bytes = std::bit_floor(this->connectionMemory.receiveBytes(this->callerConnections()));
    if (bytes != this->listenerReceiveBytes) {
        this->listenerReceiveBytes = bytes;
        this->listener->setReceiveBytes(bytes);
    }
}

void GatewayNode::Private::updateAdmission(Millis interval, Millis now)
{
    const bool wasLimited = this->admission.limitPerSecond().has_value();
    const std::size_t gateways = this->context.peers.fleetSize(now);
    this->admission.setCrowding(this->context.board.shareOfAllTraffic(gateways), gateways);
    this->admission.recordTick(std::max(interval - Millis{tickMs}, Millis{0}), now);
    this->context.mayKeepCallers = this->admission.mayKeepOpen(this->callerConnections());
    const std::optional<double> limit = this->admission.limitPerSecond();
    if (limit.has_value() != wasLimited) {
        this->log.warning(LogPart::Entry,
                          wasLimited ? "takes all new connections again" : "closes some new connections unread",
                          {{"per_second", limit ? std::to_string(static_cast<int>(*limit)) : "all"},
                           {"late_ms", std::to_string(interval.count - tickMs)},
                           {"connections", std::to_string(this->callers.size())}});
    }
}

void GatewayNode::Private::timerFired()
{
    const Millis now = Millis::monotonicNow();
    const Millis interval = now - std::exchange(this->tickedAt, now);
    this->updateAdmission(interval, now);
    if (interval < lateTickInterval) {
        this->tick();
        return;
    }
    // What arrived in the meantime is still in the kernel's buffers. If the time limits were checked now, answers that
    // have arrived would count as missing, and connections with a request as unused. The event loop reads its sockets
    // before this timer fires.
    this->context.metrics.add("gateway_late_ticks_total");
    this->lateIterations = 0;
    this->lateSince = now;
    this->lateTimer.start(0);
}

void GatewayNode::Private::lateIteration()
{
    this->lateIterations += 1;
    const bool isShort = Millis::monotonicNow() - this->lateSince < lateIterationsTime;
    if (this->lateIterations < (isShort ? maxLateIterations : minLateIterations)) {
        this->lateTimer.start(0);
        return;
    }
    this->tick();
}

void GatewayNode::Private::tick()
{
    const Millis now = Millis::monotonicNow();
    this->tickStore(now);
    this->peers.tick(now);
    this->knowledge.tick(now);
    this->tickCallers(now);
    this->tickReachability(now);
    this->context.lifeChecks.tick(now);
    if (this->context.duty.hasRecentStoreAnswer(now)) {
        this->context.origins.recordContact(now);
    }
    this->context.origins.recordProof(this->context.duty.knownUpTo());
    this->context.origins.tick(now);
    this->context.pendingDestruction.clear();
    if (now >= this->nextSuppressedAt) {
        this->nextSuppressedAt = now + suppressedInterval;
        this->log.writeSuppressed();
    }
    this->endStart();
    const bool ready = this->isReady();
    if (ready != this->wasReady) {
        this->wasReady = ready;
        const Millis age = this->context.proofAge(now);
        this->log.info(LogPart::Main,
                       ready ? "ready" : "not ready",
                       {{"configuration", std::to_string(this->context.revision())},
                        {"proof_age_ms", age == Millis::never() ? "never" : std::to_string(age.count)},
                        {"targets", std::to_string(this->known.targets.targets().size())}});
    }
    this->tickStop(now);
}

void GatewayNode::Private::tickReachability(Millis now)
{
    for (const TargetReachability::Probe &probe : this->context.reachability.takeProbes(now)) {
        if (const auto target = this->context.board.stayingTarget(probe.target)) {
            this->context.pools.probe(*target, probe.isDirectOnly ? DialWays::Direct : DialWays::All, now);
        }
    }
    this->context.pools.tick(now);
    this->tunnelServer.tick(now);
    std::vector<PoolId> cutOff = this->context.reachability.cutOffServices();
    if (cutOff == this->cutOffServices) {
        return;
    }
    std::string names;
    for (const PoolId &service : cutOff) {
        names += (names.empty() ? "" : " ") + service.value;
    }
    this->cutOffServices = std::move(cutOff);
    this->log.warning(LogPart::Targets, "services reached only through other gateways", {{"services", names}});
}

void GatewayNode::Private::tickStore(Millis now)
{
    const StoreDuty &duty = this->context.duty;
    const StoreRole role = this->context.storeRole(now);
    const bool rests = duty.mayFollowPeers(role, now);
    if (rests != std::exchange(this->wasResting, rests)) {
        const Millis age = duty.knowledgeAge(now);
        this->log.info(LogPart::Platform,
                       rests ? "peers read the store" : "reads the store itself",
                       {{"knowledge_age_ms", age == Millis::never() ? "never" : std::to_string(age.count)},
                        {"hub_rank", role.hubRank ? std::to_string(*role.hubRank) : "none"},
                        {"gateways", std::to_string(role.fleetSize)}});
    }
    this->watcher->setResting(rests, this->known.completeUpTo());
    this->watcher->setLongestPause(duty.maxRetryPause(role));
    // A gateway that knows of a newer version than its own reads it without delay.
    const Millis age = this->context.isBehind() ? Millis::never() : this->context.proofAge(now);
    this->watcher->tick(now, age, duty.maxProofAge(role, now));
}

std::vector<std::shared_ptr<CallerConnection>> GatewayNode::Private::allCallers() const
{
    std::vector<std::shared_ptr<CallerConnection>> all;
    all.reserve(this->callers.size());
    for (const auto &[raw, connection] : this->callers) {
        all.push_back(connection);
    }
    return all;
}

void GatewayNode::Private::tickCallers(Millis now)
{
    for (const auto &connection : this->allCallers()) {
        connection->tick(now);
    }
    this->context.peerConnections = this->peers.connectionCount();
    this->tickRoom(now);
    this->updateReceiveBytes();
    const MemoryBudget &memory = this->context.memory;
    const bool isShort = memory.waitingBodies() > 0 || memory.isTightForAnswers();
    if (isShort != std::exchange(this->wasShortOfMemory, isShort)) {
        this->log.warning(LogPart::Entry,
                          isShort ? "memory for requests and answers is short" : "memory is free again",
                          {{"limit", std::to_string(memory.limit())},
                           {"body_bytes", std::to_string(memory.bodyBytes())},
                           {"answer_bytes", std::to_string(memory.answerBytes())},
                           {"waiting_bodies", std::to_string(memory.waitingBodies())}});
    }
}

void GatewayNode::Private::knowledgeChanged()
{
    this->endStart();
}

void GatewayNode::Private::storeEraChanged(std::uint64_t era)
{
    this->watcher->setEra(era);
}

void GatewayNode::Private::endStart()
{
    if (!this->context.isStarting || !this->canAdmit()) {
        return;
    }
    this->context.isStarting = false;
    this->tickCallers(Millis::monotonicNow());
}

void GatewayNode::Private::beginStop()
{
    if (this->context.stop.isBegun()) {
        return;
    }
    const GatewayStopSettings &stop = this->context.settings.stop;
    this->context.stop.begin({stop.grace, stop.notice}, Millis::monotonicNow());
    this->peers.reportSoon();
    const auto busy = std::count_if(this->callers.begin(), this->callers.end(), [](const auto &entry) {
        return entry.second->isBusy() || entry.second->isReading();
    });
    this->log.info(LogPart::Main,
                   "stop begun",
                   {{"connections", std::to_string(this->callers.size())},
                    {"busy", std::to_string(busy)},
                    {"tunnels", std::to_string(this->tunnelServer.tunnelCount())},
                    {"was_starting", this->context.isStarting ? "yes" : "no"}});
}

void GatewayNode::Private::tickStop(Millis now)
{
    const StopSchedule &stop = this->context.stop;
    if (!stop.isBegun() || this->isStopped) {
        return;
    }
    std::vector<std::shared_ptr<CallerConnection>> idle;
    std::size_t busy = 0;
    for (const auto &[raw, connection] : this->callers) {
        if (connection->isBusy() || connection->isReading()) {
            busy += 1;
        } else {
            idle.push_back(connection);
        }
    }
    // While all gateways stop, a caller that finds this one closed finds none.
    const bool isNeeded = busy > 0 && now < stop.cutAt() && !this->context.peers.hasStayingPeer(now);
    if (stop.isNoticeOver(now) && (this->hasClosedIdle || !isNeeded)) {
        if (!std::exchange(this->hasClosedIdle, true)) {
            this->listener->close();
        }
        // A request that crosses this close is not read, so its caller may send it elsewhere.
        for (const auto &connection : idle) {
            connection->closeForStop();
        }
        this->tunnelServer.closeListener();
        const bool isCarrying = this->tunnelServer.isBusy(now);
        if (busy == 0 && idle.empty() && !isCarrying && !this->context.isDelivering()) {
            this->finishStop("all requests answered");
            return;
        }
    }
    if (now >= stop.cutAt() && !std::exchange(this->hasEndedRequests, true)) {
        this->endRequests();
    } else if (now >= stop.endAt()) {
        this->finishStop(std::to_string(busy) + " connections cut at the end of the grace");
    }
}

void GatewayNode::Private::endRequests()
{
    // Without an answer, a caller would not know whether its request may have run.
    std::size_t ended = 0;
    for (const auto &connection : this->allCallers()) {
        ended += connection->isBusy() || connection->isReading() ? 1 : 0;
        connection->endForStop();
    }
    this->log.info(LogPart::Main, "requests ended at the end of the grace", {{"count", std::to_string(ended)}});
}

void GatewayNode::Private::finishStop(std::string_view how)
{
    this->isStopped = true;
    this->log.info(LogPart::Main, "stopped", {{"how", std::string(how)}});
    this->onStopped();
}

bool GatewayNode::Private::isReady() const
{
    return !this->context.stop.isBegun() && this->canAdmit();
}

bool GatewayNode::Private::canAdmit() const
{
    if (!this->context.table || this->known.targets.empty()) {
        return false;
    }
    const Millis now = Millis::monotonicNow();
    // Peers of an earlier version report no evacuations, and the store may be away: then nobody can tell.
    if (this->known.evacuations.completeUpTo() == 0 && now < this->context.holdsRequestsUntil) {
        return false;
    }
    // Until a peer has replied with the requests that crash targets, this gateway would send them.
    if (this->context.peers.hasPeers() && !this->context.peers.hasReceivedReply() && now < this->awaitsReplyUntil) {
        return false;
    }
    const Millis age = this->context.proofAge(now);
    return age != Millis::never()
        && age * readyProofAgeDenominator <= this->context.settings.keyFreshness * readyProofAgeNumerator;
}

std::string GatewayNode::Private::metricsPage()
{
    const Millis now = Millis::monotonicNow();
    const Millis age = this->context.proofAge(now);
    this->metrics.set("gateway_ready", this->isReady() ? 1 : 0);
    this->metrics.set("gateway_configuration_revision", static_cast<double>(this->context.revision()));
    this->metrics.set("gateway_proof_age_ms", age == Millis::never() ? -1 : static_cast<double>(age.count));
    this->metrics.set("gateway_store_era", static_cast<double>(this->knowledge.storeEra()));
    this->metrics.set("gateway_targets", static_cast<double>(this->known.targets.targets().size()));
    this->metrics.set("gateway_evacuated_data_centres",
                      static_cast<double>(this->known.evacuations.evacuated().size()));
    this->metrics.set("gateway_requests_refused_for_crashes",
                      static_cast<double>(this->context.quarantine.refusedCount()));
    this->metrics.set("gateway_peers", static_cast<double>(this->context.peers.members(now).size()));
    this->metrics.set("gateway_services_cut_off", static_cast<double>(this->cutOffServices.size()));
    this->metrics.set("gateway_tunnels_carried", static_cast<double>(this->tunnelServer.tunnelCount()));
    this->metrics.set("gateway_body_bytes", static_cast<double>(this->context.memory.bodyBytes()));
    this->metrics.set("gateway_answer_bytes", static_cast<double>(this->context.memory.answerBytes()));
    this->metrics.set("gateway_bodies_waiting", static_cast<double>(this->context.memory.waitingBodies()));
    this->metrics.set("gateway_connections", static_cast<double>(this->callers.size()));
    this->metrics.set("gateway_connections_closing", static_cast<double>(this->context.closingCount()));
    this->metrics.set("gateway_page_connections_closed", static_cast<double>(this->pages.yieldedConnections()));
    this->metrics.set("gateway_accepted", static_cast<double>(this->context.connectionsAccepted));
    this->metrics.set("gateway_target_connections_opened", static_cast<double>(this->context.pools.dialled()));
    for (const auto &entry : nameTable<StoreCallReason>) {
        const auto count = static_cast<double>(this->watcher->calls(entry.value));
        this->metrics.set("gateway_store_calls_" + std::string(entry.name), count);
    }
    const Millis readAt = this->watcher->targetsReadAt();
    this->metrics.set("gateway_targets_heard_ms", readAt == Millis{0} ? -1 : static_cast<double>((now - readAt).count));
    this->metrics.set("gateway_resting", this->context.duty.mayFollowPeers(this->context.storeRole(now), now) ? 1 : 0);
    this->metrics.set("gateway_peer_bytes_sent", static_cast<double>(this->peers.sentBytes()));
    return toPrometheus(this->metrics.snapshot());
}

GatewayNode::GatewayNode(const GatewayDialect &dialect,
                         const GatewaySettings &settings,
                         const Log &log,
                         std::function<void()> stopped)
    : d(std::make_unique<Private>(dialect, settings, log, std::move(stopped)))
{
}

GatewayNode::~GatewayNode()
{
    // The destructor of a connection removes it from the map.
    const auto callers = std::move(this->d->callers);
    this->d->callers.clear();
    for (const auto &[raw, connection] : callers) {
        connection->close();
    }
    this->d->context.pendingDestruction.clear();
}

void GatewayNode::start()
{
    this->d->start();
}

void GatewayNode::reload(const GatewaySettings &settings)
{
    this->d->reload(settings);
}

void GatewayNode::stop()
{
    this->d->beginStop();
}

bool GatewayNode::isReady() const
{
    return this->d->isReady();
}

HeldMemory GatewayNode::heldMemory() const
{
    const MemoryBudget &memory = this->d->context.memory;
    return {memory.bodyBytes(), memory.answerBytes(), memory.waitingBodies()};
}

} // namespace Sequoiausher
