#include "sequoiausher/transport/router/reportpage.h"

#include "sequoiausher/base/error.h"

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

std::uint64_t count(const QJsonValue &value)
{
    return static_cast<std::uint64_t>(value.toInteger());
}

std::string string(const QJsonObject &object, const char *key)
{
    return object[QLatin1String(key)].toString().toStdString();
}

QJsonObject toJson(const HistogramData &data)
{
    QJsonObject buckets;
    for (std::size_t i = 0; i < data.buckets.size(); ++i) {
        if (data.buckets.at(i) > 0) {
            buckets[QString::number(i)] = number(data.buckets.at(i));
        }
    }
    return {{QStringLiteral("buckets"), buckets},
            {QStringLiteral("count"), number(data.count)},
            {QStringLiteral("sum"), data.sum},
            {QStringLiteral("mean"), data.mean},
            {QStringLiteral("squares"), data.squares},
            {QStringLiteral("smallest"), data.smallest},
            {QStringLiteral("largest"), data.largest}};
}

HistogramData histogramOf(const QJsonObject &object, const std::string &peer)
{
    HistogramData data;
    const QJsonObject buckets = object[QStringLiteral("buckets")].toObject();
    for (auto bucket = buckets.begin(); bucket != buckets.end(); ++bucket) {
        const std::size_t index = bucket.key().toULongLong();
        if (index >= data.buckets.size()) {
            throw Error(Step::Decode, peer, "found the bucket " + bucket.key().toStdString());
        }
        data.buckets.at(index) = count(bucket.value());
    }
    data.count = count(object[QStringLiteral("count")]);
    data.sum = object[QStringLiteral("sum")].toDouble();
    data.mean = object[QStringLiteral("mean")].toDouble();
    data.squares = object[QStringLiteral("squares")].toDouble();
    data.smallest = object[QStringLiteral("smallest")].toDouble();
    data.largest = object[QStringLiteral("largest")].toDouble();
    return data;
}

QJsonObject toJson(const SeriesData &data)
{
    QJsonObject measures;
    for (const auto &entry : nameTable<Measure>) {
        measures[text(entry.name)] = toJson(data.measures.at(static_cast<std::size_t>(entry.value)));
    }
    QJsonObject outcomes;
    for (const auto &entry : nameTable<Outcome>) {
        outcomes[text(entry.name)] = number(data.outcomes.at(static_cast<std::size_t>(entry.value)));
    }
    QJsonObject dispatches;
    for (const auto &entry : data.dispatches) {
        dispatches[text(entry.first)] = number(entry.second);
    }
    return {{QStringLiteral("measures"), measures},
            {QStringLiteral("outcomes"), outcomes},
            {QStringLiteral("prompt_tokens"), number(data.promptTokens)},
            {QStringLiteral("cached_tokens"), number(data.cachedTokens)},
            {QStringLiteral("cached_shares"), number(data.cachedShares)},
            {QStringLiteral("cached_share_sum"), data.cachedShareSum},
            {QStringLiteral("cached_share_squares"), data.cachedShareSquares},
            {QStringLiteral("retries"), number(data.retries)},
            {QStringLiteral("dispatches"), dispatches}};
}

SeriesData seriesOf(const QJsonObject &object, const std::string &peer)
{
    SeriesData data;
    const QJsonObject measures = object[QStringLiteral("measures")].toObject();
    for (const auto &entry : nameTable<Measure>) {
        data.measures.at(static_cast<std::size_t>(entry.value))
            = histogramOf(measures[text(entry.name)].toObject(), peer);
    }
    const QJsonObject outcomes = object[QStringLiteral("outcomes")].toObject();
    for (const auto &entry : nameTable<Outcome>) {
        data.outcomes.at(static_cast<std::size_t>(entry.value)) = count(outcomes[text(entry.name)]);
    }
    data.promptTokens = count(object[QStringLiteral("prompt_tokens")]);
    data.cachedTokens = count(object[QStringLiteral("cached_tokens")]);
    data.cachedShares = count(object[QStringLiteral("cached_shares")]);
    data.cachedShareSum = object[QStringLiteral("cached_share_sum")].toDouble();
    data.cachedShareSquares = object[QStringLiteral("cached_share_squares")].toDouble();
    data.retries = count(object[QStringLiteral("retries")]);
    const QJsonObject dispatches = object[QStringLiteral("dispatches")].toObject();
    for (auto entry = dispatches.begin(); entry != dispatches.end(); ++entry) {
        data.dispatches[entry.key().toStdString()] = count(entry.value());
    }
    return data;
}

} // namespace

std::string reportJson(const MetricsSnapshot &snapshot)
{
    QJsonArray series;
    for (const auto &entry : snapshot.series) {
        QJsonObject object = toJson(entry.second);
        object[QStringLiteral("organisation")] = text(entry.first.organisation.value);
        object[QStringLiteral("class")] = text(nameOf(entry.first.requestClass));
        series.append(object);
    }
    QJsonArray arms;
    for (const auto &entry : snapshot.arms) {
        QJsonObject object = toJson(entry.second);
        object[QStringLiteral("experiment")] = text(entry.first.experiment);
        object[QStringLiteral("arm")] = text(entry.first.arm);
        arms.append(object);
    }
    QJsonObject counters;
    for (const auto &entry : snapshot.counters) {
        counters[text(entry.first)] = number(entry.second);
    }
    QJsonObject gauges;
    for (const auto &entry : snapshot.gauges) {
        gauges[text(entry.first)] = entry.second;
    }
    const QJsonObject object{{QStringLiteral("series"), series},
                             {QStringLiteral("arms"), arms},
                             {QStringLiteral("counters"), counters},
                             {QStringLiteral("gauges"), gauges}};
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

MetricsSnapshot parseReport(const std::string &report, const std::string &peer)
{
    const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(report)).object();
    if (!object[QStringLiteral("series")].isArray() || !object[QStringLiteral("arms")].isArray()) {
        throw Error(Step::Decode, peer, "the answer is no report");
    }
    MetricsSnapshot snapshot;
    const QJsonArray series = object[QStringLiteral("series")].toArray();
    for (const auto &value : series) {
        const QJsonObject entry = value.toObject();
        const auto requestClass = parseName<RequestClass>(string(entry, "class"));
        if (!requestClass) {
            throw Error(Step::Decode, peer, "found the class " + string(entry, "class"));
        }
        snapshot.series[{OrganisationId{string(entry, "organisation")}, *requestClass}] = seriesOf(entry, peer);
    }
    const QJsonArray arms = object[QStringLiteral("arms")].toArray();
    for (const auto &value : arms) {
        const QJsonObject entry = value.toObject();
        snapshot.arms[{string(entry, "experiment"), string(entry, "arm")}] = seriesOf(entry, peer);
    }
    const QJsonObject counters = object[QStringLiteral("counters")].toObject();
    for (auto entry = counters.begin(); entry != counters.end(); ++entry) {
        snapshot.counters[entry.key().toStdString()] = count(entry.value());
    }
    const QJsonObject gauges = object[QStringLiteral("gauges")].toObject();
    for (auto entry = gauges.begin(); entry != gauges.end(); ++entry) {
        snapshot.gauges[entry.key().toStdString()] = entry.value().toDouble();
    }
    return snapshot;
}

} // namespace Sequoiausher
