#include "sequoiausher/transport/gateway/targetdial.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/peers/peeraddress.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Sequoiausher {

namespace {

/** A way that is not open after this time gets another one beside it: a live target accepts within milliseconds. */
constexpr Millis nextWayDelay{60};
/** What the kernel receives from a target before it is read. */
constexpr std::size_t maxReceivedBytes = 65536;
/** A dial that was given up earlier does not show that the target cannot be reached. */
constexpr Millis minUnreachedTime{300};
/** The word of a single other gateway may be that of one that is cut off as well and does not know it yet. */
constexpr std::size_t decisiveRefusals = 2;

} // namespace

class TargetDial::Private
{
public:
    /** One way, not open yet. */
    class Way : public ByteStreamUser
    {
    public:
        Way(Private &of, const std::string &address, InstanceId peer, Millis now)
            : dial(of)
            , through(std::move(peer))
            , begunAt(now)
            , stream(of.dial(address, this))
        {
            // A target whose answer is held back would otherwise fill a buffer of megabytes in the kernel.
            this->stream->limitReceiving(maxReceivedBytes);
            if (!this->isDirect()) {
                this->tunnel.emplace("gateway " + this->through.value);
                this->stream->detectDeadPeer(tunnelDeadPeerTime);
                this->stream->write(encodeTunnelRequest(this->dial.target.id));
            }
        }
        ~Way() override
        {
            if (this->stream) {
                this->stream->forgetUser();
                this->stream->close();
            }
        }
        Way(const Way &) = delete;
        Way &operator=(const Way &) = delete;

        bool isDirect() const
        {
            return this->through.value.empty();
        }

        void connected() override
        {
            if (this->isDirect()) {
                this->dial.opened(*this);
            }
        }
        void bytesArrived() override
        {
            if (!this->tunnel) {
                return;
            }
            try {
                this->tunnel->read(this->stream->input());
            } catch (const Error &) {
                this->dial.lost(*this, TunnelState::Opening);
                return;
            }
            if (this->tunnel->state() == TunnelState::Open) {
                this->dial.opened(*this);
            } else if (this->tunnel->state() != TunnelState::Opening) {
                this->dial.lost(*this, this->tunnel->state());
            }
        }
        void ended(StreamEnd /*how*/) override
        {
            this->dial.lost(*this, TunnelState::Opening);
        }

        Private &dial;
        InstanceId through;
        Millis begunAt;
        std::optional<TunnelReader> tunnel;
        std::shared_ptr<ByteStream> stream;
    };

    Private(TargetDialUser &by, DialEnvironment &with, GatewayTarget to, DialWays which)
        : user(by)
        , environment(with)
        , target(std::move(to))
        , ways(which)
    {
    }

    /** @throws Error(Step::Connect, address, ...) if no socket can be opened, or there is no descriptor for it. */
    std::shared_ptr<ByteStream> dial(const std::string &address, ByteStreamUser *by) const;
    void opened(Way &way);
    /** @param why what the other gateway said; Opening if it said nothing. */
    void lost(Way &way, TunnelState why);
    /** Starts the next way. @return false if there is none. */
    bool startNext(Millis now);
    bool startDirect(Millis now);
    bool startTunnel(Millis now);
    void fail();
    void closeAll();

    TargetDialUser &user;
    DialEnvironment &environment;
    GatewayTarget target;
    DialWays ways;
    std::vector<std::unique_ptr<Way>> pending;
    /** Ways that have ended in the middle of their own calls. */
    std::vector<std::unique_ptr<Way>> ended;
    /** The gateways that can still be asked, the next one last; filled once one is needed. */
    std::optional<std::vector<InstanceId>> peers;
    std::size_t askedPeers = 0;
    std::size_t refusals = 0;
    bool hasTriedDirect = false;
    bool isDirectFirst = true;
    bool isOver = false;
    std::string lastError;
    Millis begunAt;
    Millis lastWayAt;
};

std::shared_ptr<ByteStream> TargetDial::Private::dial(const std::string &address, ByteStreamUser *by) const
{
    if (!this->environment.memory.hasDescriptorForTarget(this->environment.openDescriptors())) {
        throw Error(Step::Connect, address, "too many descriptors are open");
    }
    return ByteStream::dial(address, by);
}

void TargetDial::Private::opened(Way &way)
{
    const Millis now = Millis::monotonicNow();
    TargetReachability &reachability = this->environment.reachability;
    if (way.isDirect()) {
        reachability.recordConnected(this->target.service, this->target.id, now);
    } else {
        this->environment.tunnels.recordOpened(way.through, this->target.service);
        this->environment.metrics.add("gateway_tunnels_opened_total");
        if (this->hasTriedDirect) {
            reachability.recordBypassed(this->target.service, this->target.id, now);
        } else {
            reachability.recordAnswer(this->target.service);
        }
    }
    DialledTarget result{way.stream, std::move(way.tunnel), way.through};
    result.stream->setUser(nullptr);
    way.stream.reset();
    for (const auto &other : this->pending) {
        if (!other->isDirect() && other->stream && !other->stream->isConnected()
            && now - other->begunAt >= nextWayDelay) {
            this->environment.tunnels.recordFailure(other->through, now);
        }
    }
    this->closeAll();
    this->user.dialled(std::move(result));
}

void TargetDial::Private::lost(Way &way, TunnelState why)
{
    const Millis now = Millis::monotonicNow();
    if (!way.isDirect()) {
        if (why == TunnelState::Unreachable) {
            this->environment.tunnels.recordUnreachable(way.through, this->target.service, now);
        } else if (why == TunnelState::Refused) {
            this->refusals += 1;
        } else {
            this->environment.tunnels.recordFailure(way.through, now);
        }
    }
    const auto self = std::find_if(
        this->pending.begin(), this->pending.end(), [&way](const auto &held) { return held.get() == &way; });
    way.stream->forgetUser();
    way.stream->close();
    this->ended.push_back(std::move(*self));
    this->pending.erase(self);
    const bool isDecided = this->refusals >= decisiveRefusals;
    if (isDecided || (!this->startNext(now) && this->pending.empty())) {
        this->fail();
    }
}

bool TargetDial::Private::startNext(Millis now)
{
    this->lastWayAt = now;
    if (!this->hasTriedDirect && this->isDirectFirst && this->startDirect(now)) {
        return true;
    }
    const bool mayTunnel = this->ways == DialWays::All && this->environment.settings.tunnelPort != 0;
    if (mayTunnel && this->startTunnel(now)) {
        return true;
    }
    return !this->hasTriedDirect && this->startDirect(now);
}

bool TargetDial::Private::startDirect(Millis now)
{
    this->hasTriedDirect = true;
    try {
        this->pending.push_back(std::make_unique<Way>(*this, this->target.address, InstanceId(), now));
    } catch (const Error &error) {
        this->lastError = error.reason();
        return false;
    }
    return true;
}

bool TargetDial::Private::startTunnel(Millis now)
{
    if (!this->peers) {
        this->peers = this->environment.tunnels.candidates(
            this->target.service, this->target.dataCentre, this->environment.random(), now);
        std::reverse(this->peers->begin(), this->peers->end());
    }
    while (!this->peers->empty()) {
        const InstanceId peer = this->peers->back();
        this->peers->pop_back();
        try {
            // Gateways listen for tunnels at one port throughout the fleet.
            const PeerAddress address{parsePeerAddress(peer.value).host, this->environment.settings.tunnelPort};
            this->pending.push_back(std::make_unique<Way>(*this, toText(address), peer, now));
            this->askedPeers += 1;
            return true;
        } catch (const Error &error) {
            this->lastError = error.reason();
            this->environment.tunnels.recordFailure(peer, now);
        }
    }
    return false;
}

void TargetDial::Private::fail()
{
    this->closeAll();
    if (this->ways == DialWays::All) {
        this->environment.reachability.recordUnreached(this->target.service, this->target.id, Millis::monotonicNow());
    }
    const bool isRefused = this->askedPeers == 0 || this->refusals > 0;
    this->user.dialFailed(isRefused ? DialFailure::Refused : DialFailure::Unreached);
}

void TargetDial::Private::closeAll()
{
    this->isOver = true;
    std::move(this->pending.begin(), this->pending.end(), std::back_inserter(this->ended));
    this->pending.clear();
    for (const auto &way : this->ended) {
        if (way->stream) {
            way->stream->forgetUser();
            way->stream->close();
        }
    }
}

TargetDial::TargetDial(TargetDialUser &user, DialEnvironment &environment, const GatewayTarget &target, DialWays ways)
    : d(std::make_unique<Private>(user, environment, target, ways))
{
}

TargetDial::~TargetDial() = default;

void TargetDial::start(Millis now)
{
    this->d->begunAt = now;
    const GatewayTarget &target = this->d->target;
    this->d->isDirectFirst = this->d->ways == DialWays::Direct
        || this->d->environment.reachability.isDirect(target.service, target.id, now);
    if (!this->d->startNext(now)) {
        throw Error(Step::Connect, target.address, this->d->lastError);
    }
}

void TargetDial::tick(Millis now)
{
    if (!this->d->isOver && now - this->d->lastWayAt >= nextWayDelay) {
        this->d->startNext(now);
    }
}

void TargetDial::giveUp(Millis now)
{
    if (this->d->isOver) {
        return;
    }
    if (this->d->ways == DialWays::All && now - this->d->begunAt >= minUnreachedTime) {
        this->d->environment.reachability.recordUnreached(this->d->target.service, this->d->target.id, now);
    }
    this->d->closeAll();
}

} // namespace Sequoiausher
