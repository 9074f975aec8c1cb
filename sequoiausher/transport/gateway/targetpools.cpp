#include "sequoiausher/transport/gateway/targetpools.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/coordination/gateway/connectiontimeouts.h"

#include <algorithm>
#include <limits>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Sequoiausher {

namespace {

/** The idle time of connections to targets that announce none. */
constexpr Millis defaultIdleTime{4000};
/** A probe that is not open after this time is given up. */
constexpr Millis probeTimeout{400};
/** Answers are streams of any length. */
constexpr std::uint64_t maxAnswerBytes = std::numeric_limits<std::uint64_t>::max() / 2;
constexpr std::uint32_t maxAnswerHeadBytes = 32768;
/** A body up to this size is copied behind its head, which saves a call to the kernel. */
constexpr std::size_t maxJoinedBytes = 16384;

} // namespace

class TargetPools::Private
{
public:
    struct Pool
    {
        /** The most recently used one is last. */
        std::vector<std::shared_ptr<TargetConnection>> idle;
        std::size_t open = 0;
        /** The most connections, as of the last request; 0 for no limit. */
        std::size_t limit = 0;
    };
    struct Probe
    {
        std::shared_ptr<TargetConnection> connection;
        Millis begunAt;
    };

    explicit Private(DialEnvironment &with) : environment(with)
    {
    }

    /** Whether a request may be sent over the idle connection, as far as its path is concerned. */
    bool isUsable(const TargetConnection &connection, Millis now) const
    {
        const GatewayTarget &target = connection.target;
        const bool isDirect = this->environment.reachability.isDirect(target.service, target.id, now);
        if (connection.through().value.empty()) {
            return isDirect;
        }
        // A tunnel costs the other gateway work, so it is used only as long as it is needed.
        return !isDirect && this->environment.tunnels.isAlive(connection.through(), now);
    }
    void tickDials(Millis now);
    void tickProbes(Millis now);

    DialEnvironment &environment;
    std::unordered_map<TargetId, Pool> pools;
    /** Connections that are not open yet. */
    std::set<TargetConnection *> dialling;
    std::vector<Probe> probes;
    /** Ended connections, destroyed at the next tick because they may be in the middle of their own calls. */
    std::vector<std::shared_ptr<TargetConnection>> retired;
    /** The same for dials. */
    std::vector<std::unique_ptr<TargetDial>> retiredDials;
    std::uint64_t dialled = 0;
};

TargetConnection::TargetConnection(TargetPools &with, const GatewayTarget &to, DialWays ways)
    : target(to)
    , pools(with)
    , dialling(std::make_unique<TargetDial>(*this, with.d->environment, to, ways))
    , answer(HttpReader::Kind::Answer, {maxAnswerHeadBytes, maxAnswerBytes})
{
    this->pools.d->pools[this->target.id].open += 1;
    this->pools.d->environment.openConnections += 1;
}

TargetConnection::~TargetConnection()
{
    this->drop();
    this->pools.d->environment.openConnections -= 1;
    auto pool = this->pools.d->pools.find(this->target.id);
    if (pool != this->pools.d->pools.end()) {
        pool->second.open -= std::min<std::size_t>(pool->second.open, 1);
        if (pool->second.open == 0 && pool->second.idle.empty()) {
            this->pools.d->pools.erase(pool);
        }
    }
}

void TargetConnection::dial(Millis now)
{
    this->pools.d->dialling.insert(this);
    this->dialling->start(now);
}

void TargetConnection::tick(Millis now)
{
    if (this->dialling) {
        this->dialling->tick(now);
    }
}

void TargetConnection::dialled(DialledTarget opened)
{
    this->pools.d->dialling.erase(this);
    this->pools.d->retiredDials.push_back(std::move(this->dialling));
    this->stream = std::move(opened.stream);
    this->stream->countInto(this->pools.d->environment.heldTotal);
    this->tunnel = std::move(opened.tunnel);
    this->throughPeer = std::move(opened.through);
    this->stream->setUser(this);
    if (this->user == nullptr) {
        this->goIdle(defaultIdleTime, Millis::monotonicNow());
        this->reportProbe(true);
        return;
    }
    this->write(std::exchange(this->unsent, nullptr)());
}

void TargetConnection::dialFailed(DialFailure /*why*/)
{
    this->pools.d->dialling.erase(this);
    this->pools.d->retiredDials.push_back(std::move(this->dialling));
    this->ended(StreamEnd::NotConnected);
    this->reportProbe(false);
}

void TargetConnection::reportProbe(bool isAccepted)
{
    if (const auto report = std::exchange(this->probed, nullptr)) {
        report(isAccepted);
    }
}

void TargetConnection::begin(TargetConnectionUser *by, RequestWriter write, bool isHead)
{
    this->user = by;
    this->hasRequest = true;
    this->answer.restart();
    if (isHead) {
        this->answer.expectNoBody();
    }
    if (this->stream) {
        this->write(write());
    } else {
        this->unsent = std::move(write);
    }
}

void TargetConnection::write(const OutgoingRequest &request)
{
    this->hasWritten = true;
    if (request.body->size() <= maxJoinedBytes) {
        this->stream->write(request.head + *request.body);
    } else {
        this->stream->write(request.head);
        this->stream->write(request.body);
    }
}

std::string &TargetConnection::input()
{
    return this->tunnel ? this->tunnel->bytes() : this->stream->input();
}

const InstanceId &TargetConnection::through() const
{
    return this->throughPeer;
}

HttpReader &TargetConnection::reader()
{
    return this->answer;
}

void TargetConnection::readOn()
{
    this->answer.read(this->input());
}

bool TargetConnection::isOpen() const
{
    return this->stream && this->stream->isConnected();
}

bool TargetConnection::hasSent() const
{
    // On a reused connection, bytes of earlier requests cannot be told from those of this one, and on a tunnel, bytes
    // that opened it.
    return this->wasReused || (this->hasWritten && (this->tunnel || this->stream->hasSent()));
}

bool TargetConnection::hasSentAll() const
{
    return this->hasWritten && this->stream->hasSentAll();
}

void TargetConnection::setReading(bool on)
{
    if (this->stream) {
        this->stream->setReading(on);
    }
}

std::size_t TargetConnection::unreadBytes() const
{
    return this->stream ? this->stream->unreadBytes() : 0;
}

void TargetConnection::recordEchoedId()
{
    this->echoesIds = true;
}

bool TargetConnection::hasEchoedIds() const
{
    return this->echoesIds;
}

bool TargetConnection::hasForeignBytes() const
{
    return this->stream && this->stream->unreadBytes() > 0;
}

void TargetConnection::release(std::optional<Millis> idleTime, Millis now)
{
    this->user = nullptr;
    this->hasRequest = false;
    // Bytes after the answer belong to no request, and a request that was answered before it was read whole would be
    // followed by its own rest.
    const bool isClean = this->input().empty() && this->stream->input().empty() && this->stream->pendingBytes() == 0;
    const bool isEnded = this->tunnel && this->tunnel->state() != TunnelState::Open;
    const bool keepsOpen
        = this->answer.head().keepAlive && this->stream->isOpen() && this->stream->isConnected() && !isEnded;
    const TargetPools::Private::Pool &pool = this->pools.d->pools[this->target.id];
    const bool isBeyondLimit = pool.limit > 0 && pool.open > pool.limit;
    if (!isClean || !keepsOpen || isBeyondLimit) {
        this->drop();
        return;
    }
    // A slow caller may have paused it; the next answer would never be read.
    this->stream->setReading(true);
    this->wasReused = true;
    this->answer.restart();
    this->goIdle(idleTime.value_or(defaultIdleTime), now);
}

void TargetConnection::goIdle(Millis idleTime, Millis now)
{
    this->idleSince = now;
    this->idleUntil = now + usableIdleTime(idleTime);
    this->pools.d->pools[this->target.id].idle.push_back(this->shared_from_this());
}

void TargetConnection::drop()
{
    this->user = nullptr;
    this->unsent = nullptr;
    if (this->dialling) {
        this->pools.d->dialling.erase(this);
        this->dialling->giveUp(Millis::monotonicNow());
        this->pools.d->retiredDials.push_back(std::move(this->dialling));
    }
    // What was read of an answer that is given up; the connection itself is destroyed at a later tick.
    this->answer.restart();
    if (this->stream) {
        this->stream->forgetUser();
        if (this->hasRequest) {
            // A close would leave to the kernel what the target has not received: it would run when a silent path is
            // whole again, after the request was given up.
            this->stream->reset();
        } else {
            this->stream->close();
        }
    }
}

void TargetConnection::bytesArrived()
{
    if (this->tunnel) {
        try {
            this->tunnel->read(this->stream->input());
        } catch (const Error &) {
            this->ended(StreamEnd::Reset);
            return;
        }
    }
    const bool isFinished = this->tunnel && this->tunnel->state() == TunnelState::Finished;
    if (this->user == nullptr) {
        // Bytes that belong to no request, or the end.
        this->ended(StreamEnd::Reset);
        return;
    }
    this->readOn();
    const std::weak_ptr<TargetConnection> self = this->weak_from_this();
    this->user->answerGrew();
    if (isFinished && !self.expired() && this->user != nullptr) {
        this->ended(StreamEnd::Finished);
    }
}

void TargetConnection::ended(StreamEnd how)
{
    if (this->user != nullptr) {
        // The end of a tunnel is not the end of the target's connection, which the other gateway tells.
        const bool isInOrder = !this->tunnel || this->tunnel->state() == TunnelState::Finished;
        const StreamEnd end = how == StreamEnd::Finished && !isInOrder ? StreamEnd::Reset : how;
        if (end == StreamEnd::Finished) {
            this->answer.finish();
        }
        std::exchange(this->user, nullptr)->connectionEnded(end);
        return;
    }
    if (this->stream) {
        this->stream->close();
    }
    const auto pool = this->pools.d->pools.find(this->target.id);
    if (pool == this->pools.d->pools.end()) {
        return;
    }
    auto &idle = pool->second.idle;
    const auto self = std::find_if(idle.begin(), idle.end(), [this](const auto &held) { return held.get() == this; });
    if (self != idle.end()) {
        this->pools.d->retired.push_back(std::move(*self));
        idle.erase(self);
    }
}

TargetPools::TargetPools(DialEnvironment &environment) : d(std::make_unique<Private>(environment))
{
}

TargetPools::~TargetPools()
{
    // The destructor of a connection looks up its pool.
    std::vector<std::shared_ptr<TargetConnection>> last;
    for (auto &[target, pool] : this->d->pools) {
        std::move(pool.idle.begin(), pool.idle.end(), std::back_inserter(last));
        pool.idle.clear();
    }
    for (Private::Probe &probe : this->d->probes) {
        last.push_back(std::move(probe.connection));
    }
    last.clear();
    this->d->retired.clear();
}

std::shared_ptr<TargetConnection> TargetPools::take(const GatewayTarget &target, std::size_t limit, Millis now)
{
    Private::Pool &pool = this->d->pools[target.id];
    while (!pool.idle.empty()) {
        std::shared_ptr<TargetConnection> last = pool.idle.back();
        if (now >= last->idleUntil) {
            // The others have been idle even longer.
            break;
        }
        pool.idle.pop_back();
        if (last->isOpen() && !last->hasForeignBytes() && this->d->isUsable(*last, now)) {
            return last;
        }
        last->drop();
        this->d->retired.push_back(std::move(last));
    }
    pool.limit = limit;
    if (limit > 0 && pool.open >= limit) {
        if (pool.idle.empty()) {
            return nullptr;
        }
        // At the limit, the oldest idle connection is replaced.
        this->d->retired.push_back(std::move(pool.idle.front()));
        pool.idle.erase(pool.idle.begin());
        this->d->retired.back()->drop();
    }
    this->d->dialled += 1;
    auto connection = std::make_shared<TargetConnection>(*this, target, DialWays::All);
    connection->dial(now);
    return connection;
}

bool TargetPools::probe(const GatewayTarget &target, DialWays ways, Millis now, Probed probed)
{
    this->d->dialled += 1;
    auto connection = std::make_shared<TargetConnection>(*this, target, ways);
    try {
        connection->dial(now);
    } catch (const Error &) {
        // Nothing could be started: the next probe tries again.
        return false;
    }
    connection->probed = std::move(probed);
    this->d->probes.push_back({std::move(connection), now});
    return true;
}

void TargetPools::Private::tickDials(Millis now)
{
    // A tick may end a dial, and with it the connection.
    std::vector<std::shared_ptr<TargetConnection>> all;
    for (TargetConnection *connection : this->dialling) {
        all.push_back(connection->shared_from_this());
    }
    for (const auto &connection : all) {
        connection->tick(now);
    }
}

void TargetPools::Private::tickProbes(Millis now)
{
    std::vector<std::shared_ptr<TargetConnection>> overdue;
    std::erase_if(this->probes, [this, now, &overdue](Probe &probe) {
        const bool isDialling = this->dialling.contains(probe.connection.get());
        const bool isOverdue = now - probe.begunAt >= probeTimeout;
        if (isDialling && isOverdue) {
            probe.connection->drop();
            overdue.push_back(probe.connection);
        }
        if (!isDialling || isOverdue) {
            this->retired.push_back(std::move(probe.connection));
        }
        return !isDialling || isOverdue;
    });
    // Whoever hears of it may start another probe.
    for (const auto &connection : overdue) {
        connection->reportProbe(false);
    }
}

void TargetPools::tick(Millis now)
{
    this->d->retiredDials.clear();
    this->d->tickDials(now);
    this->d->tickProbes(now);
    for (auto &[target, pool] : this->d->pools) {
        const auto old = std::stable_partition(pool.idle.begin(), pool.idle.end(), [this, now](const auto &held) {
            return now < held->idleUntil && this->d->isUsable(*held, now);
        });
        std::move(old, pool.idle.end(), std::back_inserter(this->d->retired));
        pool.idle.erase(old, pool.idle.end());
    }
    // The destructor of a connection may erase its pool.
    std::vector<std::shared_ptr<TargetConnection>> last = std::move(this->d->retired);
    this->d->retired.clear();
    last.clear();
}

void TargetPools::keepOnly(const std::function<bool(const TargetId &)> &isListed)
{
    for (auto &[target, pool] : this->d->pools) {
        if (!isListed(target)) {
            std::move(pool.idle.begin(), pool.idle.end(), std::back_inserter(this->d->retired));
            pool.idle.clear();
        }
    }
}

std::uint64_t TargetPools::dialled() const
{
    return this->d->dialled;
}

} // namespace Sequoiausher
