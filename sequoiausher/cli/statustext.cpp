#include "sequoiausher/cli/statustext.h"

#include "sequoiausher/cli/texttable.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace Sequoiausher {

namespace {

std::string bytesText(std::uint64_t bytes)
{
    constexpr std::uint64_t kilo = 1000;
    constexpr std::uint64_t million = kilo * kilo;
    if (bytes < kilo) {
        return std::to_string(bytes) + " B";
    }
    return bytes < million ? std::to_string(bytes / kilo) + " kB" : std::to_string(bytes / million) + " MB";
}

std::string decimal(double value)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << value;
    return out.str();
}

std::string stateOf(const RouterStatus &router)
{
    if (router.leaving) {
        return "leaving";
    }
    return router.ready ? "ready" : "not ready";
}

/** The digest that most routers have. */
std::string commonDigest(const FleetStatus &fleet)
{
    std::map<std::string, std::size_t> counts;
    for (const RouterStatus &router : fleet.routers) {
        ++counts[router.digest];
    }
    const auto most = std::max_element(
        counts.begin(), counts.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return most == counts.end() ? "" : most->first;
}

std::string routersText(const FleetStatus &fleet)
{
    TextTable table({"ROUTER",
                     "ADDRESS",
                     "STATE",
                     "INCARNATION",
                     "REVISION",
                     "DIGEST",
                     "VOTES",
                     "REQUESTS",
                     "HELD",
                     "WAITING",
                     "SENT",
                     "RECEIVED"});
    const std::string common = commonDigest(fleet);
    for (const RouterStatus &router : fleet.routers) {
        table.add({router.name,
                   router.address,
                   stateOf(router),
                   std::to_string(router.incarnation),
                   std::to_string(router.revision),
                   router.digest == common ? "equal" : "differs",
                   router.mayVote ? "yes" : "no",
                   std::to_string(router.requests),
                   std::to_string(router.held),
                   std::to_string(router.waiting),
                   bytesText(router.sentBytes),
                   bytesText(router.receivedBytes)});
    }
    for (const UnreachableRouter &router : fleet.unreachable) {
        table.add({router.name, router.address, "unreachable", "", "", "", "", "", "", "", "", ""});
    }
    return table.toText();
}

std::string poolsText(const std::vector<PoolStatus> &pools)
{
    TextTable table({"POOL", "KIND", "TARGETS", "LIVE", "IN FLIGHT", "MEAN", "MAX", "BOUND"});
    for (const PoolStatus &pool : pools) {
        table.add({pool.pool.name,
                   pool.pool.kind,
                   std::to_string(pool.pool.targets.size()),
                   std::to_string(pool.live),
                   std::to_string(pool.total),
                   decimal(pool.mean()),
                   std::to_string(pool.largest),
                   std::to_string(pool.bound) + " (" + std::to_string(pool.boundPercent) + "%)"});
    }
    return table.toText();
}

std::string targetsText(const FleetStatus &fleet, const std::vector<PoolStatus> &pools)
{
    std::map<std::string, std::string> states;
    for (const PoolStatus &pool : pools) {
        for (const ListedTarget &target : pool.pool.targets) {
            states[pool.pool.name + "/" + target.name] = target.state;
        }
    }
    TextTable table({"TARGET", "STATE", "IN FLIGHT", "REPORTED", "SHARD", "OWNER"});
    for (const RouterStatus &router : fleet.routers) {
        for (const CountedTarget &target : router.targets) {
            table.add({target.name,
                       states[target.pool + "/" + target.name],
                       std::to_string(target.inFlight),
                       target.reported ? std::to_string(*target.reported) : "",
                       target.pool + "/" + std::to_string(target.shard),
                       router.name});
        }
    }
    return table.toText();
}

QJsonObject poolJson(const PoolStatus &pool)
{
    QJsonObject inFlight;
    for (const auto &entry : pool.inFlight) {
        inFlight[QString::fromStdString(entry.first)] = static_cast<qint64>(entry.second);
    }
    return {{"pool", QString::fromStdString(pool.pool.name)},
            {"targets", static_cast<qint64>(pool.pool.targets.size())},
            {"live", static_cast<qint64>(pool.live)},
            {"in_flight", static_cast<qint64>(pool.total)},
            {"in_flight_by_target", inFlight},
            {"mean", pool.mean()},
            {"max", static_cast<qint64>(pool.largest)},
            {"bound", static_cast<qint64>(pool.bound)},
            {"bound_percent", static_cast<qint64>(pool.boundPercent)}};
}

} // namespace

std::string statusText(const FleetStatus &fleet)
{
    const std::vector<PoolStatus> pools = poolStatuses(fleet);
    std::string text = routersText(fleet) + "\n" + poolsText(pools) + "\n" + targetsText(fleet, pools) + "\n";
    const std::vector<std::string> warnings = fleetWarnings(fleet);
    for (const std::string &warning : warnings) {
        text += "warning: " + warning + "\n";
    }
    text += "status: " + std::to_string(fleet.routers.size()) + " routers reached, "
        + std::to_string(fleet.unreachable.size()) + " unreachable, " + std::to_string(warnings.size()) + " warnings\n";
    return text;
}

std::string statusJsonOf(const FleetStatus &fleet)
{
    QJsonArray routers;
    for (const RouterStatus &router : fleet.routers) {
        QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(router.page)).object();
        object["asked_at"] = QString::fromStdString(router.address);
        routers.append(object);
    }
    QJsonArray unreachable;
    for (const UnreachableRouter &router : fleet.unreachable) {
        unreachable.append(QJsonObject{{"instance", QString::fromStdString(router.name)},
                                       {"asked_at", QString::fromStdString(router.address)},
                                       {"reason", QString::fromStdString(router.reason)}});
    }
    QJsonArray pools;
    for (const PoolStatus &pool : poolStatuses(fleet)) {
        pools.append(poolJson(pool));
    }
    QJsonArray warnings;
    for (const std::string &warning : fleetWarnings(fleet)) {
        warnings.append(QString::fromStdString(warning));
    }
    const QJsonObject object{
        {"routers", routers}, {"unreachable", unreachable}, {"pools", pools}, {"warnings", warnings}};
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() + "\n";
}

ExitCode exitCodeOf(const FleetStatus &fleet)
{
    if (!fleet.unreachable.empty()) {
        return ExitCode::Unreachable;
    }
    return fleetWarnings(fleet).empty() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace Sequoiausher
