#include "sequoiausher/transport/router/statuspage.h"

#include "sequoiausher/protocol/codec/messagekind.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace Sequoiausher {

namespace {

QString text(std::string_view value)
{
    return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
}

qint64 number(std::uint64_t value)
{
    return static_cast<qint64>(value);
}

QJsonArray names(const std::vector<InstanceId> &instances)
{
    QJsonArray array;
    for (const InstanceId &instance : instances) {
        array.append(text(instance.value));
    }
    return array;
}

QJsonArray shards(const NodeStatus &status)
{
    QJsonArray array;
    for (const ShardSum &sum : status.sums) {
        array.append(QJsonObject{{QStringLiteral("pool"), text(sum.pool.value)},
                                 {QStringLiteral("shard"), number(sum.shard)},
                                 {QStringLiteral("in_flight"), number(sum.inFlight)},
                                 {QStringLiteral("targets"), number(sum.targets)},
                                 {QStringLiteral("age_ms"), static_cast<qint64>(sum.age.count)}});
    }
    return array;
}

QJsonArray pools(const NodeStatus &status)
{
    QJsonArray array;
    for (const auto &pool : status.pools) {
        QJsonArray targets;
        for (const TargetView &target : pool->targets) {
            targets.append(QJsonObject{{QStringLiteral("name"), text(target.description.target.value)},
                                       {QStringLiteral("address"), text(target.description.address)},
                                       {QStringLiteral("state"), text(nameOf(target.description.life.state))},
                                       {QStringLiteral("incarnation"), number(target.description.life.incarnation)}});
        }
        array.append(QJsonObject{{QStringLiteral("pool"), text(pool->pool.value)},
                                 {QStringLiteral("kind"), text(nameOf(pool->kind))},
                                 {QStringLiteral("model"), text(pool->model)},
                                 {QStringLiteral("targets"), targets}});
    }
    return array;
}

QJsonArray ownedShards(const NodeStatus &status)
{
    QJsonArray array;
    for (const ShardId &shard : status.ownedShards) {
        array.append(text(shard.pool.value + "/" + std::to_string(shard.shard)));
    }
    return array;
}

QJsonArray ownedTargets(const NodeStatus &status)
{
    QJsonArray array;
    for (const TargetLoadStatus &load : status.ownedTargets) {
        QJsonObject object{{QStringLiteral("name"), text(load.target.value)},
                           {QStringLiteral("pool"), text(load.shard.pool.value)},
                           {QStringLiteral("shard"), number(load.shard.shard)},
                           {QStringLiteral("in_flight"), number(load.inFlight)}};
        if (load.reported) {
            object[QStringLiteral("reported")] = number(*load.reported);
        }
        array.append(object);
    }
    return array;
}

QJsonArray instances(const NodeStatus &status)
{
    QJsonArray array;
    for (const InstanceDescription &instance : status.instances) {
        array.append(QJsonObject{{QStringLiteral("name"), text(instance.instance.value)},
                                 {QStringLiteral("address"), text(instance.address)},
                                 {QStringLiteral("peer_address"), text(instance.peerAddress)},
                                 {QStringLiteral("operators_address"), text(instance.operatorsAddress)},
                                 {QStringLiteral("data_centre"), text(instance.dataCentre.value)},
                                 {QStringLiteral("state"), text(nameOf(instance.state))}});
    }
    return array;
}

QJsonObject traffic(const PeerCounters &counters)
{
    QJsonObject kinds;
    for (std::size_t kind = 0; kind < counters.bytesSent.size(); ++kind) {
        if (counters.messagesSent.at(kind) > 0) {
            kinds[text(nameOf(static_cast<MessageKind>(kind)))] = number(counters.bytesSent.at(kind));
        }
    }
    return QJsonObject{{QStringLiteral("sent_bytes"), number(counters.totalSent)},
                       {QStringLiteral("received_bytes"), number(counters.totalReceived)},
                       {QStringLiteral("sent_bytes_by_kind"), kinds},
                       {QStringLiteral("dropped_full"), number(counters.droppedFull)},
                       {QStringLiteral("dropped_old"), number(counters.droppedOld)},
                       {QStringLiteral("signs_of_life"), number(counters.signsSent)},
                       {QStringLiteral("silent_links"), number(counters.silentLinks)},
                       {QStringLiteral("refused_links"), number(counters.refusedLinks)}};
}

} // namespace

std::string statusJson(const NodeStatus &status)
{
    const QJsonObject object{{QStringLiteral("instance"), text(status.instance.value)},
                             {QStringLiteral("incarnation"), number(status.incarnation)},
                             {QStringLiteral("ready"), status.ready},
                             {QStringLiteral("leaving"), status.leaving},
                             {QStringLiteral("revision"), number(status.highestRevision)},
                             {QStringLiteral("digest"), QString::number(status.digest, 16)},
                             {QStringLiteral("refusal"), text(status.refusal)},
                             {QStringLiteral("listed"), names(status.listed)},
                             {QStringLiteral("reachable"), names(status.reachable)},
                             {QStringLiteral("live"), names(status.live)},
                             {QStringLiteral("shards"), shards(status)},
                             {QStringLiteral("owned_shards"), ownedShards(status)},
                             {QStringLiteral("owned_targets"), ownedTargets(status)},
                             {QStringLiteral("instances"), instances(status)},
                             {QStringLiteral("bound_percent"), number(status.boundPercent)},
                             {QStringLiteral("pools"), pools(status)},
                             {QStringLiteral("control"), traffic(status.counters)},
                             {QStringLiteral("platform_calls"), number(status.platformCalls)},
                             {QStringLiteral("claims"), number(status.claims)},
                             {QStringLiteral("may_vote"), status.mayVote},
                             {QStringLiteral("requests"), number(status.requests)},
                             {QStringLiteral("held"), number(status.held)},
                             {QStringLiteral("waiting"), number(status.waiting)}};
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::string documentsJson(const std::vector<DocumentPointer> &documents)
{
    QJsonArray array;
    for (const DocumentPointer &document : documents) {
        array.append(QJsonObject{{QStringLiteral("name"), text(document->name)},
                                 {QStringLiteral("revision"), number(document->revision)},
                                 {QStringLiteral("body"), text(document->body)}});
    }
    const QJsonObject object{{QStringLiteral("documents"), array}};
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace Sequoiausher
