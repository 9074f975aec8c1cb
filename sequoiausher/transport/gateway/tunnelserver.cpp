#include "sequoiausher/transport/gateway/tunnelserver.h"

#include "sequoiausher/base/countedbytes.h"
#include "sequoiausher/base/error.h"
#include "sequoiausher/protocol/tunnel/tunnelframes.h"
#include "sequoiausher/transport/peers/peeraddress.h"
#include "sequoiausher/transport/stream/streamlistener.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

namespace Sequoiausher {

namespace {

/** A target that has not accepted after this time is not reached; the opener waits little longer for all its ways. */
constexpr Millis connectTimeout{250};
/** The opener sends its first bytes at once. */
constexpr Millis requestTimeout{2000};
/** Above this many bytes that one side has not taken, nothing more is read from the other side. */
constexpr std::size_t maxPendingBytes = 256UL * 1024;
/** The same before the tunnel is open; the opener needs no more for the head of a request. */
constexpr std::size_t maxBytesBeforeOpen = 16384;
/** What the kernel receives from an opener before it is read. */
constexpr std::size_t openerReceiveBytes = 32768;
/** Bytes of an opener that was refused a tunnel are discarded up to this many. */
constexpr std::size_t maxDiscardedBytes = 65536;
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
            , number(++of.context.connectionsAccepted)
            , heldBack(of.context.memory.answerTotal())
            , openerEnd(*this)
            , targetEnd(*this)
            , opener(ByteStream::adopt(descriptor, &this->openerEnd))
            , begunAt(now)
            , activeAt(now)
        {
            this->opener->detectDeadPeer(tunnelDeadPeerTime);
            this->opener->countInto(of.context.memory.answerTotal());
            this->opener->countUnacknowledged();
            of.context.ledger.add(this->number, now);
            // Callers and tunnels have limits of their own for their descriptors.
            of.context.ledger.setUse(this->number, ConnectionUse::InUse, now);
        }
        ~Tunnel()
        {
            if (!this->hasClosedOpener) {
                this->owner.context.ledger.remove(this->number);
            }
            this->close();
            this->owner.context.carryingConnections -= this->target ? 1 : 0;
        }
        Tunnel(const Tunnel &) = delete;
        Tunnel &operator=(const Tunnel &) = delete;

        void tick(Millis now)
        {
            const Millis limit = this->target ? connectTimeout : requestTimeout;
            if (!this->isOpen && now - this->begunAt >= limit) {
                this->refuse(TunnelState::Unreachable);
                return;
            }
            this->updateAccount(now);
        }
        /** Ends the tunnel because there is no room for it. */
        void yield()
        {
            this->opener->reset();
            this->end();
        }
        bool hasTarget() const
        {
            return this->target != nullptr;
        }
        ConnectionLedger::Number connectionNumber() const
        {
            return this->number;
        }
        std::string peerAddress() const
        {
            return this->opener->peerAddress();
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

        /** Tells the ledger what the tunnel holds. */
        void updateAccount(Millis now)
        {
            const std::size_t taken = this->opener->updateAcknowledged();
            const bool isHeldBack = this->target && !this->target->isReading();
            this->heldBack.set(isHeldBack ? this->target->unreadBytes() : 0);
            const std::size_t carried = (this->target ? this->target->heldBytes() : 0) + this->heldBack.bytes();
            const std::size_t unread = this->opener->pendingBytes() + this->opener->knownUnacknowledged();
            this->owner.context.ledger.setHeld(this->number, {unread + carried, 0}, taken, now);
        }
        void openerSent();
        void begin(const TargetId &id);
        void targetConnected();
        void targetSent();
        void targetEnded(StreamEnd how);
        /** Whether all that has come from the opener was sent to the target. */
        bool hasPassedOnRequest() const;
        /** Lets the opener have what was written, in the account of connections that close. */
        void closeOpener()
        {
            this->hasClosedOpener = true;
            GatewayContext &shared = this->owner.context;
            shared.keepDelivering(this->number, this->opener);
            const std::weak_ptr<const bool> life = shared.life;
            const auto ended = [&shared, life, closed = this->number](std::size_t /*bytes*/) {
                if (!life.expired()) {
                    shared.endDelivering(closed);
                }
            };
            this->opener->closeGently(ended, maxDiscardedBytes);
        }
        /** Tells the opener that there is no tunnel, and ends. */
        void refuse(TunnelState why);
        void end();
        void close();

        Private &owner;
        ConnectionLedger::Number number;
        /** What the kernel has of the target's bytes because the opener reads too slowly. */
        CountedBytes heldBack;
        OpenerEnd openerEnd;
        TargetEnd targetEnd;
        std::shared_ptr<ByteStream> opener;
        std::shared_ptr<ByteStream> target;
        GatewayTarget goal;
        bool isOpen = false;
        /** The context keeps account of the opener's end. */
        bool hasClosedOpener = false;
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
        const ConnectionMemory memory = this->context.connectionMemory();
        const bool hasDescriptor = memory.hasDescriptorForClient(this->context.openDescriptors());
        const bool hasRoom = this->tunnels.size() < memory.maxTunnels();
        if (!hasDescriptor || (!hasRoom && !this->makeRoom())) {
            ::close(descriptor);
            this->context.metrics.add("gateway_tunnels_refused_total");
            return;
        }
        this->tunnels.push_back(std::make_unique<Tunnel>(*this, descriptor, Millis::monotonicNow()));
    }
    /** Ends the oldest tunnel whose opener has not said where it leads. @return whether there was one. */
    bool makeRoom()
    {
        const auto oldest = std::find_if(
            this->tunnels.begin(), this->tunnels.end(), [](const auto &tunnel) { return !tunnel->hasTarget(); });
        if (oldest == this->tunnels.end()) {
            return false;
        }
        (*oldest)->yield();
        this->context.metrics.add("gateway_tunnels_refused_total");
        return true;
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
        if (this->opener->input().size() > maxBytesBeforeOpen) {
            this->opener->setReading(false);
        }
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
    if (!shared.dialEnvironment.memory.hasDescriptorForTarget(shared.openDescriptors())) {
        this->refuse(TunnelState::Unreachable);
        return;
    }
    try {
        this->target = ByteStream::dial(this->goal.address, &this->targetEnd);
        this->target->countInto(shared.memory.answerTotal());
        shared.carryingConnections += 1;
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
    this->opener->setReading(true);
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
        // Without this frame the opener takes the answer for cut off, unless its framing says that it is whole.
        if (this->hasPassedOnRequest()) {
            this->opener->write(encodeTunnelState(TunnelState::Finished));
        }
        this->closeOpener();
    } else {
        this->opener->reset();
    }
    this->end();
}

bool TunnelServer::Private::Tunnel::hasPassedOnRequest() const
{
    return this->target->hasSentAll() && this->opener->input().empty() && this->opener->unreadBytes() == 0;
}

void TunnelServer::Private::Tunnel::refuse(TunnelState why)
{
    this->opener->write(encodeTunnelState(why));
    this->closeOpener();
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
    this->d->listener = std::make_unique<StreamListener>(
        toText(address), [this](int descriptor) { this->d->accept(descriptor); }, openerReceiveBytes);
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

std::optional<std::string> TunnelServer::yield(ConnectionLedger::Number number)
{
    const auto found = std::find_if(this->d->tunnels.begin(), this->d->tunnels.end(), [number](const auto &tunnel) {
        return tunnel->connectionNumber() == number;
    });
    if (found == this->d->tunnels.end()) {
        return std::nullopt;
    }
    const std::string peer = (*found)->peerAddress();
    (*found)->yield();
    return peer;
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
