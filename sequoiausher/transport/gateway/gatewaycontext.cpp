#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <sys/resource.h>

namespace Sequoiausher {

namespace {

/** The weight of one answer in the moving average, which covers about twenty answers. */
constexpr double timeWeight = 0.05;
/** Retry-After of a refusal in a stop, from the moment at which another gateway takes the caller. */
constexpr Millis retryElsewhere{10};
/** The same where all gateways stop, from the end of the grace: this one may be ready again. */
constexpr Millis retryWhenAllStop{1000};

bool hasBytesLeft(const std::weak_ptr<ByteStream> &closed)
{
    const std::shared_ptr<ByteStream> stream = closed.lock();
    return stream && stream->pendingBytes() > 0;
}

} // namespace

std::size_t memoryBudgetOf(const GatewaySettings &settings)
{
    // The other half is for what the gateway knows, for the connections and for the memory allocator's gaps.
    constexpr std::size_t megabyte = std::size_t{1} << 20U;
    return settings.memoryMb * megabyte / 2;
}

StoreDutySettings storeDutyOf(const GatewaySettings &settings)
{
    return {settings.leaveBound, settings.keyFreshness, storeTimesOf(settings).proofInterval};
}

StoreTimes storeTimesOf(const GatewaySettings &settings)
{
    StoreTimes longest;
    longest.callTimeout = settings.store.callTimeout;
    longest.watchTime = settings.store.watchTime;
    longest.watchDelay = settings.store.watchDelay;
    longest.proofInterval = settings.store.proofInterval;
    return limitStoreTimes(longest, settings.leaveBound);
}

GatewayContext::GatewayContext(const GatewayDialect &platformDialect,
                               const Log &output,
                               Metrics &counters,
                               const GatewaySettings &initialSettings,
                               std::uint64_t seed)
    : dialect(platformDialect)
    , log(output)
    , metrics(counters)
    , settings(initialSettings)
    , random(seed)
    , memory(memoryBudgetOf(initialSettings), seed)
    , retryBudget(initialSettings.repeats, Millis::monotonicNow())
    , peers(InstanceId{initialSettings.peerAddress}, initialSettings.seeds, seed)
    , duty(storeDutyOf(initialSettings), seed)
    , coldLimit(peers, initialSettings.coldTargets)
    , brittleLimit(peers)
    , board(seed)
    , origins(this->peers)
    , tunnels(this->peers, initialSettings.dataCentre)
    , dialEnvironment{this->reachability, this->tunnels, this->settings, this->metrics, this->random}
    , pools(this->dialEnvironment)
    , lifeChecks(*this, this->dialEnvironment)
{
    this->dialEnvironment.heldTotal = this->memory.answerTotal();
    this->dialEnvironment.openDescriptors = [this] { return this->openDescriptors(); };
    this->board.setColdLimit(&this->coldLimit);
    this->board.setBrittleLimit(&this->brittleLimit);
    this->board.setRegions(initialSettings.regions);
}

void GatewayContext::targetEnded(const TargetId &target)
{
    this->log.info(LogPart::Targets, "target ended with requests in hand", {{"target", target.value}});
    this->logRefused(this->quarantine.recordTargetEnded(target, Millis::monotonicNow()), "own");
}

void GatewayContext::targetLives(const TargetId &target)
{
    this->quarantine.recordTargetAlive(target);
}

void GatewayContext::logRefused(const std::vector<SuspectKey> &suspects, const std::string &from)
{
    for (const SuspectKey &suspect : suspects) {
        if (suspect.kind == SuspectKind::Request) {
            this->log.warning(LogPart::Entry,
                              "request crashes targets and is refused",
                              {{"fingerprint", toText(suspect)}, {"from", from}});
        } else {
            this->log.warning(
                LogPart::Entry,
                "prompt part crashes targets; requests with it are refused",
                {{"prompt_part", loggedPart(suspect.content)}, {"fingerprint", toText(suspect)}, {"from", from}});
        }
    }
}

StoreRole GatewayContext::storeRole(Millis now) const
{
    return {this->peers.hasPeers(), this->peers.hasHubs(now), this->peers.hubRank(now), this->peers.fleetSize(now)};
}

RetryBudgetFleet GatewayContext::retryBudgetFleet(Millis now) const
{
    return {this->peers.hasPeers() ? this->peers.fleetSize(now) : 1, this->peers.knowsFleet(now)};
}

Millis GatewayContext::proofAge(Millis now) const
{
    return this->freshness.age(this->revision(), now);
}

bool GatewayContext::isBehind() const
{
    return this->freshness.isBehind(this->revision());
}

bool GatewayContext::mayBegin(const GatewayRoute &route, Millis timeLeft, Millis now) const
{
    const auto shareLongerThan = [&](Millis limit) { return this->durations.shareLongerThan(limit, route.name, now); };
    return !this->stop.isBegun() || this->stop.mayBegin({timeLeft, shareLongerThan}, this->peers.successor(now), now);
}

Millis GatewayContext::retryAfterStop(Millis now)
{
    StopSuccessor successor = this->peers.successor(now);
    if (successor == StopSuccessor::None && this->peers.hasPeers() && this->peers.members(now).empty()) {
        // A gateway that hears nobody knows of no stop of the others.
        successor = StopSuccessor::Elsewhere;
    }
    return this->stop.timeUntilTaken(successor, now)
        + this->spread(successor == StopSuccessor::None ? retryWhenAllStop : retryElsewhere);
}

CallerLimits GatewayContext::callerLimits() const
{
    return this->table ? this->table->configuration().limits : CallerLimits();
}

Revision GatewayContext::revision() const
{
    return this->table ? this->table->configuration().revision : 0;
}

void GatewayContext::useColdLimits()
{
    std::map<PoolId, std::uint32_t> limits;
    std::map<PoolId, Millis> times;
    for (const GatewayService &service : this->table->configuration().services) {
        if (service.coldRequestsPerSecond > 0) {
            limits[service.name] = service.coldRequestsPerSecond;
            times[service.name] = service.coldTime;
        }
    }
    this->coldLimit.setServiceLimits(std::move(limits));
    this->board.setColdTimes(std::move(times));
}

Millis GatewayContext::spread(Millis min)
{
    std::uniform_int_distribution<std::int64_t> extra(0, min.count);
    return min + Millis{extra(this->random)};
}

double GatewayContext::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void GatewayContext::recordFirstAnswerTime(const PoolId &service, Millis time)
{
    const auto given = static_cast<double>(time.count);
    double &usual = this->firstAnswers.try_emplace(service, given).first->second;
    usual += (given - usual) * timeWeight;
}

Millis GatewayContext::usualFirstAnswer(const PoolId &service) const
{
    const auto found = this->firstAnswers.find(service);
    return Millis{found != this->firstAnswers.end() ? std::llround(found->second) : 0};
}

void GatewayContext::keepDelivering(ConnectionLedger::Number number, const std::shared_ptr<ByteStream> &closed)
{
    const Millis now = Millis::monotonicNow();
    this->delivering[number] = closed;
    this->ledger.add(number, now);
    this->updateDelivering(number, *closed, now);
}

void GatewayContext::updateDelivering(ConnectionLedger::Number number, ByteStream &closed, Millis now)
{
    const std::size_t taken = closed.updateAcknowledged();
    const std::size_t unread = closed.pendingBytes() + closed.knownUnacknowledged();
    this->ledger.setHeld(number, {unread, 0}, taken, now);
    if (unread == 0) {
        this->ledger.setUse(number, ConnectionUse::Closing, now);
        return;
    }
    const bool hasStalled = this->ledger.hasStalled(number, now);
    this->ledger.setUse(number, hasStalled ? ConnectionUse::Stalled : ConnectionUse::Unread, now);
}

void GatewayContext::tickDelivering(Millis now)
{
    for (auto next = this->delivering.begin(); next != this->delivering.end();) {
        const auto [number, weak] = *next;
        const auto stream = weak.lock();
        if (!stream || !stream->isConnected()) {
            this->ledger.remove(number);
            next = this->delivering.erase(next);
            continue;
        }
        this->updateDelivering(number, *stream, now);
        ++next;
    }
}

bool GatewayContext::isDelivering() const
{
    return std::any_of(
        this->delivering.begin(), this->delivering.end(), [](const auto &entry) { return hasBytesLeft(entry.second); });
}

std::size_t GatewayContext::closingCount() const
{
    return this->delivering.size();
}

std::shared_ptr<ByteStream> GatewayContext::endDelivering(ConnectionLedger::Number number)
{
    const auto found = this->delivering.find(number);
    if (found == this->delivering.end()) {
        return nullptr;
    }
    auto stream = found->second.lock();
    this->delivering.erase(found);
    this->ledger.remove(number);
    return stream;
}

OpenDescriptors GatewayContext::openDescriptors() const
{
    return {
        this->ledger.size(), this->dialEnvironment.openConnections + this->carryingConnections, this->peerConnections};
}

ConnectionMemory GatewayContext::connectionMemory() const
{
    constexpr std::size_t megabyte = std::size_t{1} << 20U;
    ProcessLimits limits{this->settings.memoryMb * megabyte, this->settings.descriptors};
    rlimit limit{};
    const bool isLimited = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    if (limits.descriptors == 0 && isLimited) {
        limits.descriptors = limit.rlim_cur;
    }
    return ConnectionMemory(limits);
}

void GatewayContext::destroyLater(std::shared_ptr<void> object)
{
    this->pendingDestruction.push_back(std::move(object));
}

} // namespace Sequoiausher
