#include "sequoiausher/transport/router/nodeprivate.h"

#include <QMetaObject>

#include <mutex>

namespace Sequoiausher {

ReadPlan Node::Private::readPlan()
{
    const std::scoped_lock lock(this->documentsMutex);
    return this->spread.readPlan(Millis::monotonicNow());
}

std::vector<std::string> Node::Private::wanted(const std::vector<DocumentVersion> &listed)
{
    const std::scoped_lock lock(this->documentsMutex);
    return this->spread.selectNamesToRead(listed);
}

void Node::Private::learnt(const std::vector<Document> &documents, bool whole)
{
    const Millis now = Millis::monotonicNow();
    Outbox outbox;
    {
        const std::scoped_lock lock(this->documentsMutex);
        this->spread.addServiceDocuments(now, documents, whole, outbox);
    }
    this->deliver(std::move(outbox));
    this->documentsChanged(now);
}

void Node::Private::serviceAnswered()
{
    const std::scoped_lock lock(this->documentsMutex);
    this->spread.serviceAnswered(Millis::monotonicNow());
}

void Node::Private::serviceFailed(const std::string &address, const std::string &reason)
{
    this->metrics.add("platform_failures_total");
    this->log.warning(
        LogPart::Platform, "the configuration service did not answer", {{"peer", address}, {"reason", reason}});
}

// From a message: a new list of instances changes the peers of the mesh, which must not happen while the mesh hands
// over what one of them sent; the link that is being read would be closed under the reader.
void Node::Private::documentsChangedSoon()
{
    QMetaObject::invokeMethod(
        &this->context, [this] { this->documentsChanged(Millis::monotonicNow()); }, Qt::QueuedConnection);
}

// A refusal is told once, though the set in force may move on beside it.
void Node::Private::tellRefusal()
{
    const std::optional<Error> &refusal = this->configurationState.refusal();
    const std::string reason = refusal ? refusal->what() : "";
    if (refusal && reason != this->toldRefusal) {
        this->log.error(
            LogPart::Config, "a document is refused, the last good one stays in force", {{"reason", reason}});
        this->metrics.add("configurations_refused_total");
    }
    this->toldRefusal = reason;
}

void Node::Private::documentsChanged(Millis now)
{
    std::shared_ptr<const FleetConfiguration> fleet;
    Problems warnings;
    Revision revision = 0;
    {
        const std::scoped_lock lock(this->documentsMutex);
        const OfferResult result = this->configurationState.offer(this->spread.documents());
        this->spread.storeLastGood(now, this->configurationState.lastGood());
        this->tellRefusal();
        if (result != OfferResult::InForce) {
            return;
        }
        revision = this->configurationState.inForce()->highestRevision;
        fleet = this->compiler.compiled();
        warnings = this->compiler.warnings();
    }
    for (const Problem &problem : warnings) {
        this->log.warning(LogPart::Config, "the configuration has a doubtful place", {{"place", toText(problem)}});
    }
    const std::shared_ptr<const FleetConfiguration> previous = this->current.load();
    this->current = fleet;
    this->apply(now, previous.get(), *fleet);
    this->log.info(LogPart::Config, "a configuration is in force", {{"revision", std::to_string(revision)}});
}

// Only what differs is told: at 98,000 changes a day, nearly all of them rules, telling every decision of 1,300 routers
// and 10,000 targets each time held up the control thread for nothing.
void Node::Private::apply(Millis now, const FleetConfiguration *previous, const FleetConfiguration &fleet)
{
    const bool newInstances = instancesChanged(previous, fleet);
    const PoolChanges changes = poolChanges(previous, fleet);
    if (newInstances) {
        this->applyInstances(now, *fleet.instances);
        this->viewChanged(now);
    }
    this->applyPools(now, changes);
    if (newInstances || !changes.empty()) {
        Outbox outbox;
        this->poolsChanged(now, outbox);
        this->deliver(std::move(outbox));
    }
}

void Node::Private::applyInstances(Millis now, const std::vector<InstanceDescription> &instances)
{
    std::vector<ListedInstance> listed;
    std::vector<InstanceId> names;
    PeerAddresses addresses;
    bool first = false;
    for (const InstanceDescription &row : instances) {
        if (row.state == LifeState::Gone) {
            continue;
        }
        listed.push_back(ListedInstance{row.instance, row.dataCentre});
        names.push_back(row.instance);
        if (row.instance != this->settings.name) {
            addresses[row.instance] = parsePeerAddress(row.peerAddress);
        } else {
            first = row.firstStart == this->incarnation;
        }
    }
    if (listed.empty()) {
        return;
    }
    this->mesh.setPeers(addresses);
    this->membersKnown = true;
    {
        const std::scoped_lock lock(this->membershipMutex);
        this->membership.setListed(listed);
    }
    const InstanceList list = makeInstanceList(names);
    const std::scoped_lock lock(this->claimsMutex);
    this->claimant.setInstances(list);
    this->witness.setInstances(now, list);
    if (first && this->witness.isFresh(now)) {
        this->log.info(LogPart::Claims, "the operators say that this is a first start, so this witness votes");
        this->witness.assumeNoPriorClaims();
    }
}

void Node::Private::applyPools(Millis now, const PoolChanges &changes)
{
    for (const auto &pool : changes.changed) {
        this->targets.applyPool(now, *pool);
    }
    {
        const std::scoped_lock lock(this->membershipMutex);
        for (const TargetDescription &target : changes.targets) {
            this->membership.addTargetNews(TargetNews{target.target, target.life});
        }
    }
    for (const PoolId &pool : changes.removed) {
        this->targets.removePool(pool);
        const std::scoped_lock lock(this->admissionMutex);
        this->shards.removePool(pool);
    }
}

} // namespace Sequoiausher
