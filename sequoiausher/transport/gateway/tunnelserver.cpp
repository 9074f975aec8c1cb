#include "sequoiausher/transport/gateway/tunnelserver.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/tunnel/tunnelframes.h"
#include "sequoiausher/transport/peers/peeraddress.h"
#include "sequoiausher/transport/stream/streamlistener.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Sequoiausher {

namespace {

/** A target that has not accepted after this time is not reached; the opener waits little longer for all its ways. */
constexpr Millis connectTimeout{250};
/** The opener sends its first bytes at once. */
constexpr Millis requestTimeout{2000};
/** Above this many bytes that one side has not taken, nothing more is read from the other side. */
constexpr std::size_t maxPendingBytes = 256UL * 1024;
/** Each tunnel takes two descriptors; callers and this gateway's own targets need the others. */
constexpr std::size_t maxTunnels = 1000;
/** A tunnel whose target has answered and that was silent for this long has no request in progress. */
constexpr Millis quietTime{1500};

} // namespace

class TunnelServer::Private
{
public:
    class Tunnel
    {
    public:
        Tunnel(Private &of, int descriptor, Millis now)
            : owner(of)
            , openerEnd(*this)
            , targetEnd(*this)
            , opener(ByteStream::adopt(descriptor, &this->openerEnd))
            , begunAt(now)
            , activeAt(now)
        {
            this->opener->detectDeadPeer(tunnelDeadPeerTime);
            this->opener->countInto(of.context.memory.answerTotal());
        }
        ~Tunnel()
        {
            this->close();
        }
        Tunnel(const Tunnel &) = delete;
        Tunnel &operator=(const Tunnel &) = delete;

        void tick(Millis now)
        {
            const Millis limit = this->target ? connectTimeout : requestTimeout;
            if (!this->isOpen && now - this->begunAt >= limit) {
                this->refuse(TunnelState::Unreachable);
            }
        }
        bool isBusy(Millis now) const
        {
            return this->awaitsAnswer || now - this->activeAt < quietTime;
        }

    private:
        struct OpenerEnd : public ByteStreamUser
        {
            explicit OpenerEnd(Tunnel &of) : tunnel(of)
            {
            }
            void bytesArrived() override
            {
                this->tunnel.openerSent();
            }
            void drained() override
            {
                if (this->tunnel.target) {
                    this->tunnel.target->setReading(true);
                }
            }
            void ended(StreamEnd /*how*/) override
            {
                this->tunnel.end();
            }
            Tunnel &tunnel;
        };
        struct TargetEnd : public ByteStreamUser
        {
            explicit TargetEnd(Tunnel &of) : tunnel(of)
            {
            }
            void connected() override
            {
                this->tunnel.targetConnected();
            }
            void bytesArrived() override
            {
                this->tunnel.targetSent();
            }
            void drained() override
            {
                this->tunnel.opener->setReading(true);
            }
            void ended(StreamEnd how) override
            {
                this->tunnel.targetEnded(how);
            }
            Tunnel &tunnel;
        };

        void openerSent();
        void begin(const TargetId &id);
        void targetConnected();
        void targetSent();
        void targetEnded(StreamEnd how);
        /** Tells the opener that there is no tunnel, and ends. */
        void refuse(TunnelState why);
        void end();
        void close();

        Private &owner;
        OpenerEnd openerEnd;
        TargetEnd targetEnd;
        std::shared_ptr<ByteStream> opener;
        std::shared_ptr<ByteStream> target;
        GatewayTarget goal;
        bool isOpen = false;
        /** The opener has sent something since the target sent anything. */
        bool awaitsAnswer = false;
        Millis begunAt;
        Millis activeAt;
    };

    explicit Private(GatewayContext &shared) : context(shared)
    {
    }

    void accept(int descriptor)
    {
        auto tunnel = std::make_unique<Tunnel>(*this, descriptor, Millis::monotonicNow());
        if (this->tunnels.size() < maxTunnels) {
            this->tunnels.push_back(std::move(tunnel));
        }
    }
    /** Keeps the tunnel until the next tick, because it may be in the middle of its own calls. */
    void retire(const Tunnel &tunnel)
    {
        const auto found = std::find_if(
            this->tunnels.begin(), this->tunnels.end(), [&tunnel](const auto &held) { return held.get() == &tunnel; });
        if (found != this->tunnels.end()) {
            this->retired.push_back(std::move(*found));
            this->tunnels.erase(found);
        }
    }

    GatewayContext &context;
    std::unique_ptr<StreamListener> listener;
    std::vector<std::unique_ptr<Tunnel>> tunnels;
    std::vector<std::unique_ptr<Tunnel>> retired;
};

void TunnelServer::Private::Tunnel::openerSent()
{
    if (!this->target) {
        try {
            if (const std::optional<TargetId> id = takeTunnelRequest(this->opener->input(), "a gateway")) {
                this->begin(*id);
            }
        } catch (const Error &error) {
            this->owner.context.log.warning(LogPart::Peers, "a tunnel request cannot be read", {{"why", error.what()}});
            this->end();
        }
        return;
    }
    if (!this->isOpen) {
        return;
    }
    this->awaitsAnswer = true;
    this->activeAt = Millis::monotonicNow();
    this->target->write(std::exchange(this->opener->input(), {}));
    if (this->target->pendingBytes() > this->owner.context.memory.unsentBound(maxPendingBytes)) {
        this->opener->setReading(false);
    }
}

void TunnelServer::Private::Tunnel::begin(const TargetId &id)
{
    GatewayContext &shared = this->owner.context;
    const Millis now = Millis::monotonicNow();
    // A tunnel ends with this process, whatever is in it. The opener asks another gateway at once.
    if (shared.stop.isNoticeOver(now) && shared.peers.hasStayingPeer(now)) {
        this->refuse(TunnelState::Unreachable);
        return;
    }
    const std::optional<GatewayTarget> listed = shared.board.stayingTarget(id);
    if (!listed) {
        this->refuse(TunnelState::Refused);
        return;
    }
    this->goal = *listed;
    if (!shared.reachability.isDirect(this->goal.service, id, now)) {
        this->refuse(TunnelState::Unreachable);
        return;
    }
    this->begunAt = now;
    try {
        this->target = ByteStream::dial(this->goal.address, &this->targetEnd);
        this->target->countInto(shared.memory.answerTotal());
    } catch (const Error &) {
        this->refuse(TunnelState::Unreachable);
    }
}

void TunnelServer::Private::Tunnel::targetConnected()
{
    this->isOpen = true;
    this->owner.context.reachability.recordConnected(this->goal.service, this->goal.id, Millis::monotonicNow());
    this->owner.context.metrics.add("gateway_tunnels_carried_total");
    this->opener->write(encodeTunnelState(TunnelState::Open));
    if (!this->opener->input().empty()) {
        this->openerSent();
    }
}

void TunnelServer::Private::Tunnel::targetSent()
{
    this->awaitsAnswer = false;
    this->activeAt = Millis::monotonicNow();
    this->opener->write(encodeTunnelBytes(this->target->input()));
    this->target->input().clear();
    if (this->opener->pendingBytes() > this->owner.context.memory.unsentBound(maxPendingBytes)) {
        this->target->setReading(false);
    }
}

void TunnelServer::Private::Tunnel::targetEnded(StreamEnd how)
{
    if (how == StreamEnd::NotConnected) {
        this->refuse(TunnelState::Refused);
        return;
    }
    if (how == StreamEnd::Finished) {
        this->opener->write(encodeTunnelState(TunnelState::Finished));
        this->opener->closeGently();
    } else {
        this->opener->reset();
    }
    this->end();
}

void TunnelServer::Private::Tunnel::refuse(TunnelState why)
{
    this->opener->write(encodeTunnelState(why));
    this->opener->closeGently();
    this->end();
}

void TunnelServer::Private::Tunnel::end()
{
    this->close();
    this->owner.retire(*this);
}

void TunnelServer::Private::Tunnel::close()
{
    this->opener->forgetUser();
    if (this->opener->isOpen()) {
        this->opener->close();
    }
    if (this->target) {
        this->target->forgetUser();
        // The opener has given up what the target has not received.
        this->target->reset();
    }
}

TunnelServer::TunnelServer(GatewayContext &context) : d(std::make_unique<Private>(context))
{
}

TunnelServer::~TunnelServer() = default;

void TunnelServer::listen()
{
    const GatewaySettings &settings = this->d->context.settings;
    if (settings.tunnelPort == 0) {
        return;
    }
    const PeerAddress address{parsePeerAddress(settings.peerAddress).host, settings.tunnelPort};
    this->d->listener
        = std::make_unique<StreamListener>(toText(address), [this](int descriptor) { this->d->accept(descriptor); });
}

void TunnelServer::tick(Millis now)
{
    this->d->retired.clear();
    // A tunnel that ends removes itself.
    std::vector<Private::Tunnel *> all;
    for (const auto &tunnel : this->d->tunnels) {
        all.push_back(tunnel.get());
    }
    for (Private::Tunnel *tunnel : all) {
        tunnel->tick(now);
    }
}

void TunnelServer::closeListener()
{
    this->d->listener.reset();
}

bool TunnelServer::isBusy(Millis now) const
{
    return std::any_of(
        this->d->tunnels.begin(), this->d->tunnels.end(), [now](const auto &tunnel) { return tunnel->isBusy(now); });
}

std::size_t TunnelServer::tunnelCount() const
{
    return this->d->tunnels.size();
}

} // namespace Sequoiausher
