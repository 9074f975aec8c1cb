#include "sequoiausher/transport/gateway/gatewayknowledge.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/coordination/gateway/restoredstore.h"
#include "sequoiausher/coordination/gateway/storeposition.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Sequoiausher {

namespace {

/** A log line names at most this many changed targets, because thousands change at once when a large fleet starts. */
constexpr std::size_t maxNamedChanges = 12;

} // namespace

class GatewayKnowledge::Private : public StoreListener, public PeerUpdates
{
public:
    Private(GatewayContext &sharedContext, KnowledgeUser &notifiedUser) : context(sharedContext), user(notifiedUser)
    {
    }

    void install(const std::string &raw, GatewayConfiguration configuration, std::string_view from);
    void targetsChanged(std::string_view why);
    /** The content of the store counts as known once both the configuration and the list were read. */
    void noteFirstReading();
    /**
     * Records the store's era. A later one than before means that the store was restored from a copy.
     * @param era 0 if it is unknown. @param from the store or the peer that reported it.
     */
    void noteEra(std::uint64_t era, const std::string &from);
    /** Adds a change to those that the next log line names. */
    void noteChange(const std::string &change);

    bool configurationRead(const StoredConfiguration &stored, std::optional<Millis> readAt) override;
    void configurationAbsent() override;
    void listRead(const StoredTargets &list, Revision at, Millis asOf) override;
    void targetWritten(const GatewayTarget &target, Revision at) override;
    void targetRemoved(const TargetId &name, Revision at) override;
    void targetUnreadable(const TargetId &name, Revision at) override;
    void evacuationChanged(const GatewayEvacuation &change) override;
    void targetChangesEnd() override;
    void watchAnswered(Revision upTo, Millis asOf) override;
    void storeRestored(std::uint64_t era) override;
    void storeLost(const std::string &problem) override;
    void storeReturned() override;
    void configurationOffered(const std::string &raw, Revision revision) override;
    void targetsOffered(const std::vector<GatewayTarget> &targets, Revision revision) override;
    void targetChangesOffered(const TargetChanges &changes) override;
    void eraOffered(std::uint64_t era, const InstanceId &by) override;
    void evacuationsOffered(const std::vector<GatewayEvacuation> &evacuations, const InstanceId &by) override;
    /** Applies the evacuations that are known now to the choice of targets. */
    void useEvacuations(const std::string &from);

    GatewayContext &context;
    KnowledgeUser &user;
    SharedKnowledge known;
    /** The store's revision of the last configuration, so that the same one is not decoded again. */
    Revision readChangedAt = 0;
    Revision readRevision = 0;
    std::optional<std::uint64_t> storeEra;
    RestoredStore restored;
    bool hasAskedConfiguration = false;
    bool hasAskedTargets = false;
    std::string changesNamed;
    std::size_t changeCount = 0;
    /** The evacuations in use. */
    std::set<DataCentreId> evacuated;
};

GatewayKnowledge::GatewayKnowledge(GatewayContext &context, KnowledgeUser &user)
    : d(std::make_unique<Private>(context, user))
{
}

GatewayKnowledge::~GatewayKnowledge() = default;

SharedKnowledge &GatewayKnowledge::sharedKnowledge()
{
    return this->d->known;
}

StoreListener &GatewayKnowledge::storeListener()
{
    return *this->d;
}

PeerUpdates &GatewayKnowledge::peerUpdates()
{
    return *this->d;
}

void GatewayKnowledge::tick(Millis now)
{
    if (this->d->known.targets.tick(now)) {
        this->d->targetsChanged("missing entries did not come back");
    }
    this->d->known.evacuations.tick(now);
    this->d->useEvacuations("store");
}

std::uint64_t GatewayKnowledge::storeEra() const
{
    return this->d->storeEra.value_or(0);
}

void GatewayKnowledge::Private::install(const std::string &raw,
                                        GatewayConfiguration configuration,
                                        std::string_view from)
{
    const Revision revision = configuration.revision;
    this->context.log.info(LogPart::Config,
                           "configuration in force",
                           {{"revision", std::to_string(revision)},
                            {"before", std::to_string(this->context.revision())},
                            {"from", std::string(from)},
                            {"routes", std::to_string(configuration.routes.size())},
                            {"organisations", std::to_string(configuration.organisations.size())}});
    this->context.table = std::make_shared<const RouteTable>(std::move(configuration));
    this->context.useColdLimits();
    this->known.configuration = raw;
    this->known.configurationRevision = revision;
}

void GatewayKnowledge::Private::noteEra(std::uint64_t era, const std::string &from)
{
    if (era == 0 || (this->storeEra && era <= *this->storeEra)) {
        return;
    }
    const std::optional<std::uint64_t> before = std::exchange(this->storeEra, era);
    this->user.storeEraChanged(era);
    if (!before) {
        return;
    }
    const Millis now = Millis::monotonicNow();
    const Revision newest = std::max(this->context.revision(), this->context.freshness.newest());
    const std::vector<GatewayTarget> targets = this->known.targets.targets();
    const auto leaving
        = std::count_if(targets.begin(), targets.end(), [](const GatewayTarget &target) { return target.isLeaving; });
    this->context.log.warning(LogPart::Platform,
                              "the store came back from a copy",
                              {{"era", std::to_string(era)},
                               {"before", std::to_string(*before)},
                               {"from", from},
                               {"targets_kept", std::to_string(targets.size())},
                               {"leaving_kept", std::to_string(leaving)},
                               {"unproven_until_revision", std::to_string(newest)}});
    this->restored.recordRestore(newest, now);
    this->known.targets.storeRestored(now);
    this->context.origins.recordRestore(now);
}

void GatewayKnowledge::Private::storeRestored(std::uint64_t era)
{
    this->noteEra(era, "store");
}

void GatewayKnowledge::Private::eraOffered(std::uint64_t era, const InstanceId &by)
{
    this->noteEra(era, by.value);
}

bool GatewayKnowledge::Private::configurationRead(const StoredConfiguration &stored, std::optional<Millis> readAt)
{
    this->noteEra(eraOf(stored.storeRevision), "store");
    if (readAt) {
        this->context.duty.recordStoreRevision(stored.storeRevision, *readAt);
    }
    if (stored.changedAt != this->readChangedAt) {
        if (stored.changedAt < this->readChangedAt) {
            return true;
        }
        GatewayConfiguration configuration;
        try {
            configuration = this->context.dialect.readConfiguration(stored.raw);
        } catch (const Error &error) {
            this->context.log.error(
                LogPart::Config, "the last good configuration stays in force", {{"why", error.what()}});
            return true;
        }
        this->readChangedAt = stored.changedAt;
        this->readRevision = configuration.revision;
        if (configuration.revision > this->context.revision()) {
            this->install(stored.raw, std::move(configuration), "store");
        }
    }
    const bool proves = this->restored.provesNewest(this->readRevision, stored.changedAt, Millis::monotonicNow());
    if (readAt && proves) {
        this->context.freshness.recordProof(this->readRevision, *readAt);
    }
    this->hasAskedConfiguration = true;
    this->noteFirstReading();
    this->user.knowledgeChanged();
    return proves;
}

void GatewayKnowledge::Private::configurationOffered(const std::string &raw, Revision revision)
{
    GatewayConfiguration configuration = this->context.dialect.readConfiguration(raw);
    if (configuration.revision != revision) {
        throw Error(Step::Decode, "configuration", "its revision is not the one that was announced");
    }
    if (configuration.revision > this->context.revision()) {
        this->install(raw, std::move(configuration), "peer");
    }
}

void GatewayKnowledge::Private::targetsChanged(std::string_view why)
{
    const std::vector<GatewayTarget> targets = this->known.targets.targets();
    const Millis now = Millis::monotonicNow();
    this->context.board.setTargets(targets, now);
    this->context.origins.setTargets(targets, now);
    std::size_t leaving = 0;
    std::map<PoolId, std::set<TargetId>> staying;
    for (const GatewayTarget &target : targets) {
        leaving += target.isLeaving ? 1 : 0;
        if (!target.isLeaving) {
            staying[target.service].insert(target.id);
        }
    }
    this->context.reachability.setTargets(staying);
    // A target that was removed without announcing it has ended, even if something else accepts its connections.
    for (const TargetId &lost : this->context.quarantine.targetsToCheck(now)) {
        if (!this->context.board.isListed(lost)) {
            this->context.targetEnded(lost);
        }
    }
    // Requests on connections to an earlier incarnation would be lost, or reach another process at the same address.
    this->context.pools.keepOnly([this](const TargetId &id) { return this->context.board.isListed(id); });
    this->context.log.info(LogPart::Targets,
                           "targets changed",
                           {{"why", std::string(why)},
                            {"count", std::to_string(targets.size())},
                            {"leaving", std::to_string(leaving)},
                            {"revision", std::to_string(revisionOf(this->known.targets.revision()))}});
    this->user.knowledgeChanged();
}

void GatewayKnowledge::Private::listRead(const StoredTargets &list, Revision at, Millis asOf)
{
    this->context.duty.recordStoreRevision(at, asOf);
    this->known.evacuations.replaceAll(list.evacuations, at, Millis::monotonicNow());
    this->useEvacuations("store");
    // A peer may have told of later changes already.
    if (at >= this->known.targets.revision()) {
        for (const GatewayTarget &target : list.targets) {
            this->context.board.recordCold(target.id, target.coldFor, Millis::monotonicNow());
        }
        this->known.targets.replaceAll(list.targets, at, Millis::monotonicNow());
        for (const TargetId &name : list.unreadable) {
            this->known.targets.removeUnreadable(name, at);
        }
        this->targetsChanged("list");
    }
    this->context.duty.recordListRevision(at);
    this->hasAskedTargets = true;
    this->noteFirstReading();
}

void GatewayKnowledge::Private::configurationAbsent()
{
    this->hasAskedConfiguration = true;
    this->noteFirstReading();
}

void GatewayKnowledge::Private::noteFirstReading()
{
    if (this->hasAskedConfiguration && this->hasAskedTargets) {
        this->context.duty.recordFirstFullRead(Millis::monotonicNow());
    }
}

void GatewayKnowledge::Private::targetWritten(const GatewayTarget &target, Revision at)
{
    this->context.board.recordCold(target.id, target.coldFor, Millis::monotonicNow());
    this->context.origins.recordWritten(target, Millis::monotonicNow());
    this->known.targets.put(target, at);
    this->noteChange(target.id.value + (target.isLeaving ? " leaves" : " written"));
}

void GatewayKnowledge::Private::targetRemoved(const TargetId &name, Revision at)
{
    this->known.targets.remove(name, at, Millis::monotonicNow());
    this->noteChange(name.value + " removed");
}

void GatewayKnowledge::Private::targetUnreadable(const TargetId &name, Revision at)
{
    this->known.targets.removeUnreadable(name, at);
    this->noteChange(name.value + " unreadable");
}

void GatewayKnowledge::Private::evacuationChanged(const GatewayEvacuation &change)
{
    this->known.evacuations.write(change);
    this->noteChange(change.dataCentre.value + (change.isEvacuated ? " evacuated" : " taken back"));
}

void GatewayKnowledge::Private::evacuationsOffered(const std::vector<GatewayEvacuation> &evacuations,
                                                   const InstanceId &by)
{
    this->known.evacuations.merge(evacuations, Millis::monotonicNow());
    this->useEvacuations(by.value);
}

void GatewayKnowledge::Private::useEvacuations(const std::string &from)
{
    std::set<DataCentreId> current = this->known.evacuations.evacuated();
    if (current == this->evacuated) {
        return;
    }
    this->evacuated = std::move(current);
    this->context.board.setEvacuated(this->evacuated, Millis::monotonicNow());
    std::string names;
    for (const DataCentreId &dataCentre : this->evacuated) {
        names += (names.empty() ? "" : ", ") + dataCentre.value;
    }
    this->context.log.info(
        LogPart::Targets, "evacuated data centres changed", {{"data_centres", names}, {"from", from}});
}

void GatewayKnowledge::Private::noteChange(const std::string &change)
{
    this->changeCount += 1;
    if (this->changeCount <= maxNamedChanges) {
        this->changesNamed += (this->changesNamed.empty() ? "" : ", ") + change;
    }
}

void GatewayKnowledge::Private::targetChangesEnd()
{
    this->useEvacuations("store");
    if (this->changeCount > maxNamedChanges) {
        this->changesNamed += " and " + std::to_string(this->changeCount - maxNamedChanges) + " more";
    }
    this->targetsChanged(std::exchange(this->changesNamed, std::string()));
    this->changeCount = 0;
}

void GatewayKnowledge::Private::watchAnswered(Revision upTo, Millis asOf)
{
    this->known.evacuations.setCompleteUpTo(upTo);
    this->context.duty.recordStoreRevision(upTo, asOf);
    this->context.duty.recordListRevision(upTo);
}

void GatewayKnowledge::Private::storeLost(const std::string & /*problem*/)
{
    const Millis now = Millis::monotonicNow();
    this->known.targets.storeLost(now);
    this->context.holdsRequestsUntil = std::min(this->context.holdsRequestsUntil, now);
}

void GatewayKnowledge::Private::storeReturned()
{
    this->known.targets.storeReturned(Millis::monotonicNow());
}

void GatewayKnowledge::Private::targetsOffered(const std::vector<GatewayTarget> &targets, Revision revision)
{
    this->known.targets.replaceFromPeer(targets, revision);
    this->context.duty.recordListRevision(this->known.targets.revision());
    this->targetsChanged("peer");
}

void GatewayKnowledge::Private::targetChangesOffered(const TargetChanges &changes)
{
    if (!this->known.targets.apply(changes)) {
        return;
    }
    this->context.duty.recordListRevision(this->known.targets.revision());
    for (const TargetId &gone : changes.gone) {
        this->noteChange(gone.value + " gone");
    }
    for (const GatewayTarget &target : changes.written) {
        this->noteChange(target.id.value + (target.isLeaving ? " leaves" : " written"));
    }
    this->noteChange("by a peer");
    this->targetChangesEnd();
}

} // namespace Sequoiausher
