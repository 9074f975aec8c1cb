#include "sequoiausher/coordination/membership/reachability.h"

#include "sequoiausher/coordination/membership/newsqueue.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace Sequoiausher {

namespace {

bool isNewerReach(const ReachNews &news, const ReachNews &known)
{
    return std::tuple(news.incarnation, news.refutation, news.suspected)
        > std::tuple(known.incarnation, known.refutation, known.suspected);
}

struct Peer
{
    ReachNews news;
    std::optional<Millis> suspectedAt;
    bool unreachable = false;
};

} // namespace

class Reachability::Private
{
public:
    ReachNews own;
    Millis suspicionTimeout;
    std::map<InstanceId, Peer> peers;
    NewsQueue<InstanceId> queue;
    std::vector<InstanceId> changed;
    /** No suspicion expires before this time. */
    Millis nextExpiry = Millis::never();
    std::ptrdiff_t unreachableCount = 0;

    void startSuspicion(Peer &peer, Millis now)
    {
        peer.suspectedAt = now;
        this->nextExpiry = std::min(this->nextExpiry, now + this->suspicionTimeout);
    }

    void setUnreachable(const InstanceId &instance, Peer &peer, bool unreachable)
    {
        if (peer.unreachable != unreachable) {
            peer.unreachable = unreachable;
            this->unreachableCount += unreachable ? 1 : -1;
            this->changed.push_back(instance);
        }
    }

    void markReachable(const InstanceId &instance, Peer &peer)
    {
        peer.suspectedAt.reset();
        this->setUnreachable(instance, peer, false);
    }

    void refute(const ReachNews &news)
    {
        if (!news.suspected || news.incarnation > this->own.incarnation) {
            return;
        }
        if (news.incarnation == this->own.incarnation && news.refutation >= this->own.refutation) {
            this->own.refutation = news.refutation + 1;
        }
        this->queue.add(this->own.instance);
    }
};

Reachability::Reachability(const InstanceId &self, Incarnation incarnation, Millis suspicionTimeout)
    : d(new Private{{self, incarnation, 0, false}, suspicionTimeout, {}, {}, {}, Millis::never(), 0})
{
}
Reachability::~Reachability() = default;

void Reachability::setListed(const std::vector<InstanceId> &listed)
{
    std::map<InstanceId, Peer> kept;
    for (const InstanceId &instance : listed) {
        if (instance == this->d->own.instance) {
            continue;
        }
        const auto known = this->d->peers.find(instance);
        kept[instance] = known != this->d->peers.end() ? known->second : Peer{{instance, 0, 0, false}, {}, false};
    }
    for (const auto &[instance, peer] : this->d->peers) {
        if (kept.count(instance) == 0) {
            this->d->unreachableCount -= peer.unreachable ? 1 : 0;
            this->d->queue.remove(instance);
        }
    }
    this->d->peers = std::move(kept);
}

void Reachability::setIncarnation(const InstanceId &instance, Incarnation incarnation)
{
    const auto found = this->d->peers.find(instance);
    if (found != this->d->peers.end() && incarnation > found->second.news.incarnation) {
        found->second.news = {instance, incarnation, 0, false};
        this->d->markReachable(instance, found->second);
    }
}

void Reachability::suspect(Millis now, const InstanceId &instance)
{
    const auto found = this->d->peers.find(instance);
    if (found == this->d->peers.end() || found->second.unreachable || found->second.suspectedAt) {
        return;
    }
    this->d->startSuspicion(found->second, now);
    found->second.news.suspected = true;
    this->d->queue.add(instance);
}

void Reachability::confirmAlive(const InstanceId &instance)
{
    const auto found = this->d->peers.find(instance);
    if (found != this->d->peers.end()) {
        this->d->markReachable(instance, found->second);
    }
}

void Reachability::merge(Millis now, const ReachNews &news)
{
    if (news.instance == this->d->own.instance) {
        this->d->refute(news);
        return;
    }
    const auto found = this->d->peers.find(news.instance);
    if (found == this->d->peers.end() || !isNewerReach(news, found->second.news)) {
        return;
    }
    Peer &peer = found->second;
    peer.news = news;
    this->d->queue.add(news.instance);
    if (!news.suspected) {
        this->d->markReachable(news.instance, peer);
    } else if (!peer.unreachable && !peer.suspectedAt) {
        this->d->startSuspicion(peer, now);
    }
}

void Reachability::tick(Millis now)
{
    if (now < this->d->nextExpiry) {
        return;
    }
    this->d->nextExpiry = Millis::never();
    for (auto &[instance, peer] : this->d->peers) {
        if (peer.suspectedAt && now - *peer.suspectedAt >= this->d->suspicionTimeout) {
            peer.suspectedAt.reset();
            this->d->setUnreachable(instance, peer, true);
        } else if (peer.suspectedAt) {
            this->d->nextExpiry = std::min(this->d->nextExpiry, *peer.suspectedAt + this->d->suspicionTimeout);
        }
    }
}

void Reachability::stopSuspicionTimers()
{
    for (auto &[instance, peer] : this->d->peers) {
        peer.suspectedAt.reset();
    }
}

bool Reachability::isReachable(const InstanceId &instance) const
{
    if (instance == this->d->own.instance) {
        return true;
    }
    const auto found = this->d->peers.find(instance);
    return found != this->d->peers.end() && !found->second.unreachable;
}

std::vector<InstanceId> Reachability::unreachable() const
{
    std::vector<InstanceId> instances;
    if (this->d->unreachableCount == 0) {
        return instances;
    }
    for (const auto &[instance, peer] : this->d->peers) {
        if (peer.unreachable) {
            instances.push_back(instance);
        }
    }
    return instances;
}

std::optional<ReachNews> Reachability::suspicionOf(const InstanceId &instance) const
{
    const auto found = this->d->peers.find(instance);
    if (found == this->d->peers.end() || !found->second.news.suspected) {
        return std::nullopt;
    }
    return found->second.news;
}

std::vector<ReachNews> Reachability::takeNews(std::size_t count, std::uint32_t sendLimit)
{
    std::vector<ReachNews> news;
    for (const InstanceId &instance : this->d->queue.take(count, sendLimit)) {
        const bool own = instance == this->d->own.instance;
        news.push_back(own ? this->d->own : this->d->peers.at(instance).news);
    }
    return news;
}

std::vector<InstanceId> Reachability::takeChanged()
{
    return std::exchange(this->d->changed, {});
}

} // namespace Sequoiausher
