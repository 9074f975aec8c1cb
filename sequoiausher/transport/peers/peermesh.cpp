#include "sequoiausher/transport/peers/peermesh.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/peers/acceptedlink.h"
#include "sequoiausher/transport/peers/peerlink.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <algorithm>
#include <iterator>
#include <mutex>
#include <set>
#include <utility>

namespace Sequoiausher {

class PeerMesh::Private : public QObject, public AcceptedLinkListener
{
public:
    Private(LinkSettings with, PeerListener &listening) : settings(std::move(with)), listener(listening)
    {
        QObject::connect(&this->server, &QTcpServer::newConnection, this, [this] { this->accept(); });
    }

    bool greeted(AcceptedLink &link, const Hello &hello) override;
    ReceivedFrames &framesOf(const Hello &from) override;
    void acknowledged(const Hello &from, FrameNumber number) override;
    void arrived(const Hello &from, PeerMessage message) override;
    void ended(AcceptedLink &link) override;

    void accept();
    void limitUnknownPeers();
    bool send(const InstanceId &peer, PeerMessage message);
    void drainPosted();
    void closeLater(AcceptedLink &link);
    void forgetStrangers();
    std::unique_ptr<PeerLink> makeLink(const InstanceId &peer, const PeerAddress &address);

    LinkSettings settings;
    PeerListener &listener;
    PeerCounters counters;
    QTcpServer server;
    /** The mesh is being destroyed: the listener is not called any more. */
    bool closing = false;
    PeerAddresses wanted;
    /** The received frames of each peer; links hold references to them. */
    std::map<InstanceId, ReceivedFrames> received;
    std::map<InstanceId, std::unique_ptr<PeerLink>> links;
    std::vector<std::unique_ptr<AcceptedLink>> accepted;

    /** Guards the messages of post(); not held during other work. */
    std::mutex postedMutex;
    Outbox posted;
    std::size_t postedBytes = 0;
    std::uint64_t postedDropped = 0;
};

bool PeerMesh::Private::greeted(AcceptedLink &link, const Hello &hello)
{
    // After a suspended process or a hung connection, messages of an earlier incarnation may arrive after those of the
    // current one and would count as newer. The connection of the current incarnation stays, the earlier one is
    // refused.
    for (const auto &other : this->accepted) {
        if (other.get() == &link || other->hello().instance != hello.instance) {
            continue;
        }
        if (other->hello().incarnation > hello.incarnation) {
            return false;
        }
        other->close();
    }
    return true;
}

ReceivedFrames &PeerMesh::Private::framesOf(const Hello &from)
{
    return this->received[from.instance];
}

void PeerMesh::Private::acknowledged(const Hello &from, FrameNumber number)
{
    const auto link = this->links.find(from.instance);
    if (link != this->links.end() && link->second) {
        link->second->acknowledged(from.incarnation, number);
    }
}

void PeerMesh::Private::arrived(const Hello &from, PeerMessage message)
{
    this->listener.received(from.instance, from.incarnation, std::move(message));
}

void PeerMesh::Private::ended(AcceptedLink &link)
{
    this->closeLater(link);
}

void PeerMesh::Private::closeLater(AcceptedLink &link)
{
    // The link may be emitting its own signal.
    const auto close = [this, doomed = &link] {
        std::erase_if(this->accepted, [doomed](const auto &held) { return held.get() == doomed; });
    };
    QMetaObject::invokeMethod(this, close, Qt::QueuedConnection);
}

void PeerMesh::Private::accept()
{
    while (QTcpSocket *socket = this->server.nextPendingConnection()) {
        if (this->accepted.size() >= this->settings.maxAccepted) {
            ++this->counters.refusedLinks;
            socket->abort();
            socket->deleteLater();
            continue;
        }
        this->limitUnknownPeers();
        this->accepted.push_back(
            std::make_unique<AcceptedLink>(this->settings, std::unique_ptr<QTcpSocket>(socket), this->counters, *this));
    }
}

// A client that opens connections and says nothing would otherwise use up the descriptors.
void PeerMesh::Private::limitUnknownPeers()
{
    AcceptedLink *oldest = nullptr;
    std::size_t unknown = 0;
    for (const auto &link : this->accepted) {
        if (link->hello().instance.empty() && link->isOpen()) {
            oldest = oldest == nullptr ? link.get() : oldest;
            unknown += 1;
        }
    }
    if (oldest != nullptr && unknown >= this->settings.maxUnknownPeers) {
        ++this->counters.refusedLinks;
        oldest->close();
    }
}

// Names change for as long as a router runs; without this it would keep an entry for each.
void PeerMesh::Private::forgetStrangers()
{
    std::set<InstanceId> connected;
    for (const auto &link : this->accepted) {
        connected.insert(link->hello().instance);
    }
    std::erase_if(this->received, [&](const auto &entry) {
        return !this->wanted.contains(entry.first) && !connected.contains(entry.first);
    });
}

std::unique_ptr<PeerLink> PeerMesh::Private::makeLink(const InstanceId &peer, const PeerAddress &address)
{
    const auto changed = [this](const InstanceId &which, Incarnation incarnation, bool up) {
        if (!this->closing) {
            this->listener.linkChanged(which, incarnation, up);
        }
    };
    return std::make_unique<PeerLink>(this->settings, peer, address, this->counters, this->received[peer], changed);
}

bool PeerMesh::Private::send(const InstanceId &peer, PeerMessage message)
{
    const auto known = this->wanted.find(peer);
    if (known == this->wanted.end()) {
        ++this->counters.droppedUnknown;
        return false;
    }
    std::unique_ptr<PeerLink> &link = this->links[peer];
    if (!link) {
        link = this->makeLink(peer, known->second);
    }
    return link->send(std::move(message));
}

void PeerMesh::Private::drainPosted()
{
    Outbox taken;
    {
        const std::lock_guard lock(this->postedMutex);
        taken.swap(this->posted);
        this->postedBytes = 0;
        this->counters.droppedFull += std::exchange(this->postedDropped, 0);
    }
    for (Outgoing &out : taken) {
        this->send(out.to, std::move(out.message));
    }
}

PeerMesh::PeerMesh(LinkSettings settings, PeerListener &listener)
    : d(std::make_unique<Private>(std::move(settings), listener))
{
}

PeerMesh::~PeerMesh()
{
    this->d->closing = true;
}

void PeerMesh::listen(const PeerAddress &address)
{
    if (!this->d->server.listen(QHostAddress(QString::fromStdString(address.host)), address.port)) {
        throw Error(Step::Listen, toText(address), this->d->server.errorString().toStdString());
    }
}

std::uint16_t PeerMesh::port() const
{
    return this->d->server.serverPort();
}

void PeerMesh::setPeers(const PeerAddresses &peers)
{
    this->d->wanted = peers;
    // Moved out first: a link that closes calls the listener, which may send and so create a link.
    std::vector<std::unique_ptr<PeerLink>> doomed;
    for (auto &[peer, link] : this->d->links) {
        const auto found = peers.find(peer);
        if (link && (found == peers.end() || !(found->second == link->address()))) {
            doomed.push_back(std::move(link));
        }
    }
    std::erase_if(this->d->links, [](const auto &entry) { return entry.second == nullptr; });
    doomed.clear();
    this->d->forgetStrangers();
}

bool PeerMesh::send(const InstanceId &peer, PeerMessage message)
{
    return this->d->send(peer, std::move(message));
}

void PeerMesh::post(Outbox outbox)
{
    const std::lock_guard lock(this->d->postedMutex);
    const bool wake = this->d->posted.empty();
    for (Outgoing &out : outbox) {
        const std::size_t size = roughSize(out.message);
        if (this->d->postedBytes + size > this->d->settings.postedBytes) {
            ++this->d->postedDropped;
            continue;
        }
        this->d->postedBytes += size;
        this->d->posted.push_back(std::move(out));
    }
    if (wake && !this->d->posted.empty()) {
        const auto drain = [target = this->d.get()] { target->drainPosted(); };
        QMetaObject::invokeMethod(this->d.get(), drain, Qt::QueuedConnection);
    }
}

std::size_t PeerMesh::connectionCount() const
{
    return this->d->accepted.size() + this->d->links.size();
}

const PeerCounters &PeerMesh::counters() const
{
    return this->d->counters;
}

} // namespace Sequoiausher
