#include "sequoiausher/transport/gateway/targetpools.h"

#include "sequoiausher/coordination/gateway/connectiontimeouts.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Sequoiausher {

namespace {

/** The idle time of connections to targets that announce none. */
constexpr Millis defaultIdleTime{4000};
/** Answers are streams of any length. */
constexpr std::uint64_t maxAnswerBytes = std::numeric_limits<std::uint64_t>::max() / 2;
constexpr std::uint32_t maxAnswerHeadBytes = 32768;

} // namespace

class TargetPools::Private
{
public:
    struct Pool
    {
        /** The most recently used one is last. */
        std::vector<std::shared_ptr<TargetConnection>> idle;
        std::size_t open = 0;
    };

    std::unordered_map<TargetId, Pool> pools;
    /** Ended connections, destroyed at the next tick because they may be in the middle of their own calls. */
    std::vector<std::shared_ptr<TargetConnection>> retired;
    std::uint64_t dialled = 0;
};

TargetConnection::TargetConnection(TargetPools &with, TargetId id, const std::string &address)
    : target(std::move(id))
    , pools(with)
    , stream(ByteStream::dial(address, this))
    , answer(HttpReader::Kind::Answer, {maxAnswerHeadBytes, maxAnswerBytes})
{
    this->pools.d->pools[this->target].open += 1;
}

TargetConnection::~TargetConnection()
{
    this->stream->forgetUser();
    this->stream->close();
    auto pool = this->pools.d->pools.find(this->target);
    if (pool != this->pools.d->pools.end()) {
        pool->second.open -= std::min<std::size_t>(pool->second.open, 1);
        if (pool->second.open == 0 && pool->second.idle.empty()) {
            this->pools.d->pools.erase(pool);
        }
    }
}

void TargetConnection::begin(TargetConnectionUser *by, std::string_view bytes, bool isHead)
{
    this->user = by;
    this->answer.restart();
    if (isHead) {
        this->answer.expectNoBody();
    }
    this->stream->write(bytes);
}

HttpReader &TargetConnection::reader()
{
    return this->answer;
}

void TargetConnection::readOn()
{
    this->answer.read(this->stream->input());
}

bool TargetConnection::isOpen() const
{
    return this->stream->isConnected();
}

bool TargetConnection::hasSent() const
{
    // On a reused connection, bytes of earlier requests cannot be told from those of this one.
    return this->wasReused || this->stream->hasSent();
}

void TargetConnection::setReading(bool on)
{
    this->stream->setReading(on);
}

void TargetConnection::release(std::optional<Millis> idleTime, Millis now)
{
    this->user = nullptr;
    // Bytes after the answer belong to no request, and a request that was answered before it was read whole would be
    // followed by its own rest.
    const bool isClean = this->stream->input().empty() && this->stream->pendingBytes() == 0;
    const bool keepsOpen = this->answer.head().keepAlive && this->stream->isOpen() && this->stream->isConnected();
    if (!isClean || !keepsOpen) {
        this->drop();
        return;
    }
    this->wasReused = true;
    this->idleSince = now;
    this->idleUntil = now + usableIdleTime(idleTime.value_or(defaultIdleTime));
    this->answer.restart();
    this->pools.d->pools[this->target].idle.push_back(this->shared_from_this());
}

void TargetConnection::drop()
{
    this->user = nullptr;
    this->stream->close();
}

void TargetConnection::bytesArrived()
{
    if (this->user == nullptr) {
        // Bytes that belong to no request.
        this->ended(StreamEnd::Reset);
        return;
    }
    this->readOn();
    this->user->answerGrew();
}

void TargetConnection::ended(StreamEnd how)
{
    if (this->user != nullptr) {
        if (how == StreamEnd::Finished) {
            this->answer.finish();
        }
        std::exchange(this->user, nullptr)->connectionEnded(how);
        return;
    }
    this->stream->close();
    const auto pool = this->pools.d->pools.find(this->target);
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

TargetPools::TargetPools() : d(std::make_unique<Private>())
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
        if (last->isOpen()) {
            return last;
        }
        this->d->retired.push_back(std::move(last));
    }
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
    return std::make_shared<TargetConnection>(*this, target.id, target.address);
}

void TargetPools::tick(Millis now)
{
    for (auto &[target, pool] : this->d->pools) {
        const auto old = std::stable_partition(
            pool.idle.begin(), pool.idle.end(), [now](const auto &held) { return now < held->idleUntil; });
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
