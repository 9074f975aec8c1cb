#include "sequoiausher/transport/router/nodeprivate.h"

#include <mutex>
#include <utility>
#include <variant>

namespace Sequoiausher {

namespace {

/**
 * Whether after message a decision waits for less than the longest rest between two ticks: for lists to agree about an
 * owner, or for a contended claim.
 */
bool bringsDeadline(const PeerMessage &message)
{
    if (const auto *reply = std::get_if<ReserveReply>(&message)) {
        return reply->verdict == ReserveVerdict::NotOwner;
    }
    const auto *vote = std::get_if<ClaimVote>(&message);
    return vote != nullptr && vote->verdict != ClaimVerdict::Granted;
}

} // namespace

void Node::Private::received(const InstanceId &from, Incarnation senderIncarnation, PeerMessage message)
{
    (void)senderIncarnation;
    {
        const std::scoped_lock lock(this->membershipMutex);
        this->membership.confirmAlive(from);
    }
    Outbox outbox;
    this->dispatch(from, message, outbox);
    this->deliver(std::move(outbox));
    if (bringsDeadline(message)) {
        this->pacer.wake();
    }
}

void Node::Private::linkChanged(const InstanceId &peer, Incarnation peerIncarnation, bool up)
{
    (void)peerIncarnation;
    if (up) {
        const std::scoped_lock lock(this->admissionMutex);
        this->reserver.markPeerReachable(peer);
        return;
    }
    Outbox outbox;
    std::vector<ReserveResult> results;
    {
        const std::scoped_lock lock(this->admissionMutex);
        const Millis now = Millis::monotonicNow();
        this->reserver.markPeerUnreachable(now, peer, outbox);
        this->owned.suspectInstance(now, peer);
        results = this->reserver.takeResults();
    }
    this->tellReservations(results);
    this->answerServer.peerLost(peer);
    this->answerHandover.peerLost(Millis::monotonicNow(), peer, outbox);
    this->registry.tellAll([peer](RequestEar &ear) { ear.peerLost(peer); });
    this->deliver(std::move(outbox));
}

// One message to the decision that it is for. Exactly one lock is held at a time.
class Node::Private::Receiver
{
public:
    Receiver(Private &node, const InstanceId &sender, Outbox &answers)
        : self(node)
        , from(sender)
        , now(Millis::monotonicNow())
        , outbox(answers)
    {
    }

    void operator()(const ClaimRequest &m) const
    {
        this->toWitness(m);
    }
    void operator()(const ClaimWithdraw &m) const
    {
        this->toWitness(m);
    }
    void operator()(const ClaimPull &m) const
    {
        this->toWitness(m);
    }
    void operator()(const ClaimPage &m) const
    {
        this->toWitness(m);
    }
    void operator()(const ClaimVote &m) const
    {
        std::vector<ClaimOutcome> outcomes;
        {
            const std::scoped_lock lock(this->self.claimsMutex);
            this->self.claimant.receive(this->now, this->from, m, this->outbox);
            outcomes = this->self.claimant.takeOutcomes();
        }
        this->self.tellClaims(outcomes);
    }
    void operator()(const ReserveRequest &m) const
    {
        const std::scoped_lock lock(this->self.admissionMutex);
        this->self.owned.receive(this->now, this->from, m, this->outbox);
        if (this->self.owned.hasWaiting()) {
            this->self.pacer.wake();
        }
    }
    void operator()(const Release &m) const
    {
        const std::scoped_lock lock(this->self.admissionMutex);
        this->self.owned.receive(this->now, this->from, m);
        this->self.owned.serveWaiting(this->now, this->outbox);
    }
    void operator()(const HoldingsReport &m) const
    {
        const std::scoped_lock lock(this->self.admissionMutex);
        this->self.owned.receive(this->now, this->from, m, this->outbox);
        this->self.owned.serveWaiting(this->now, this->outbox);
    }
    void operator()(const HoldingsDigest &m) const
    {
        const std::scoped_lock lock(this->self.admissionMutex);
        this->self.owned.receive(this->now, this->from, m, this->outbox);
    }
    void operator()(const HoldingsAnswer &m) const
    {
        const std::scoped_lock lock(this->self.admissionMutex);
        this->self.reserver.receive(this->from, m, this->outbox);
    }
    void operator()(const ReserveReply &m) const
    {
        std::vector<ReserveResult> results;
        {
            const std::scoped_lock lock(this->self.admissionMutex);
            this->self.reserver.receive(this->now, this->from, m, this->outbox);
            results = this->self.reserver.takeResults();
        }
        this->self.tellReservations(results);
    }
    void operator()(const Probe &m) const
    {
        this->toMembership(m);
        this->heardGossip(m.gossip);
    }
    void operator()(const ProbeReply &m) const
    {
        this->toMembership(m);
        this->heardGossip(m.gossip);
    }
    void operator()(const IndirectProbe &m) const
    {
        this->toMembership(m);
    }
    void operator()(const DocumentPush &m) const
    {
        this->toSpread(m);
        this->self.documentsChangedSoon();
    }
    void operator()(const DocumentDigest &m) const
    {
        this->toSpread(m);
    }
    void operator()(const DocumentPull &m) const
    {
        this->toSpread(m);
    }
    void operator()(const AttachRequest &m) const
    {
        bool isWithdrawn = false;
        {
            // A retry that asks for a withdrawn attempt met a witness that missed the withdrawal.
            const std::scoped_lock lock(this->self.claimsMutex);
            isWithdrawn = this->self.claimant.repeatWithdrawal(this->now, m.attempt, this->outbox);
        }
        if (isWithdrawn) {
            // That attempt may follow another one by now. Were its answer followed all the same, two attempts that
            // took each other for the holder would wait for each other until both their callers give up.
            this->outbox.push_back(Outgoing{this->from, AttachReply{m.attachment, AttachVerdict::NotRun, 0, {}}});
            return;
        }
        this->self.answerServer.attach(this->from, m);
    }
    void operator()(const AttachCancel &m) const
    {
        this->self.answerServer.cancel(this->from, m);
    }
    void operator()(const AttachReply &m) const
    {
        this->self.registry.tell(m.attachment,
                                 [m, sender = this->from](RequestEar &ear) { ear.attachReplied(sender, m); });
    }
    void operator()(const AttachChunk &m) const
    {
        this->self.registry.tell(m.attachment, [m](RequestEar &ear) { ear.attachChunk(m); });
    }
    void operator()(const AttachEnd &m) const
    {
        this->self.registry.tell(m.attachment, [m](RequestEar &ear) { ear.attachEnded(m); });
    }
    void operator()(const AnswerPage &m) const
    {
        this->self.answerHandover.receive(this->now, this->from, m, this->outbox);
    }
    void operator()(const AnswerPageAck &m) const
    {
        this->self.answerHandover.receive(this->now, this->from, m, this->outbox);
    }
    void operator()(const GatewayReport & /*m*/) const
    {
        // Gateways and routers are fleets of their own; one that was given the other's seeds is told nothing.
    }
    void operator()(const GatewayStreamOrigin & /*m*/) const
    {
        // The same.
    }
    void operator()(const GatewayAdmissionRequest & /*m*/) const
    {
        // The same.
    }
    void operator()(const GatewayAdmissionReply & /*m*/) const
    {
        // The same.
    }
    void operator()(const GatewayAdmissionRelease & /*m*/) const
    {
        // The same.
    }

private:
    template<typename Message>
    void toWitness(const Message &message) const
    {
        const std::scoped_lock lock(this->self.claimsMutex);
        this->self.witness.receive(this->now, this->from, message, this->outbox);
    }
    template<typename Message>
    void toMembership(const Message &message) const
    {
        const std::scoped_lock lock(this->self.membershipMutex);
        this->self.membership.receive(this->now, this->from, message, this->outbox);
    }
    template<typename Message>
    void toSpread(const Message &message) const
    {
        const std::scoped_lock lock(this->self.documentsMutex);
        this->self.spread.receive(this->now, this->from, message, this->outbox);
    }
    void heardGossip(const Gossip &gossip) const
    {
        const std::scoped_lock lock(this->self.documentsMutex);
        this->self.spread.receiveGossip(this->now, this->from, gossip, this->outbox);
    }

    Private &self;
    const InstanceId &from;
    Millis now;
    Outbox &outbox;
};

void Node::Private::dispatch(const InstanceId &from, const PeerMessage &message, Outbox &outbox)
{
    std::visit(Receiver(*this, from, outbox), message);
}

// Sends what is for others, and gives back what is for this router itself until nothing comes of it any more.
void Node::Private::deliver(Outbox outbox)
{
    Outbox others;
    while (!outbox.empty()) {
        Outbox next;
        for (Outgoing &out : outbox) {
            if (out.to == this->settings.name) {
                this->dispatch(this->settings.name, out.message, next);
            } else {
                others.push_back(std::move(out));
            }
        }
        outbox = std::move(next);
    }
    if (!others.empty()) {
        this->mesh.post(std::move(others));
    }
}

} // namespace Sequoiausher
