#include "sequoiausher/cli/fleetstatus.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/coordination/policies/loadbound.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <set>

namespace Sequoiausher {

namespace {

std::string text(const QJsonObject &object, const char *key)
{
    return object[QLatin1String(key)].toString().toStdString();
}

std::uint64_t number(const QJsonObject &object, const char *key)
{
    return static_cast<std::uint64_t>(object[QLatin1String(key)].toInteger());
}

std::uint32_t smallNumber(const QJsonObject &object, const char *key)
{
    return static_cast<std::uint32_t>(number(object, key));
}

QJsonArray list(const QJsonObject &object, const char *key)
{
    return object[QLatin1String(key)].toArray();
}

CountedTarget countedTarget(const QJsonObject &object)
{
    CountedTarget target{
        text(object, "name"), text(object, "pool"), smallNumber(object, "shard"), smallNumber(object, "in_flight"), {}};
    if (object.contains(QStringLiteral("reported"))) {
        target.reported = smallNumber(object, "reported");
    }
    return target;
}

ListedPool listedPool(const QJsonObject &object)
{
    ListedPool pool{text(object, "pool"), text(object, "kind"), text(object, "model"), {}};
    const QJsonArray targets = list(object, "targets");
    for (const auto &target : targets) {
        pool.targets.push_back({text(target.toObject(), "name"), text(target.toObject(), "state")});
    }
    return pool;
}

InstanceDescription instanceOf(const QJsonObject &object)
{
    InstanceDescription instance;
    instance.instance.value = text(object, "name");
    instance.address = text(object, "address");
    instance.peerAddress = text(object, "peer_address");
    instance.operatorsAddress = text(object, "operators_address");
    instance.dataCentre.value = text(object, "data_centre");
    instance.state = parseName<LifeState>(text(object, "state")).value_or(LifeState::Live);
    return instance;
}

void addAnswer(FleetStatus &fleet, const PageAnswer &answer, const std::string &name)
{
    if (!answer.isGood()) {
        fleet.unreachable.push_back({name, answer.address, answer.reason()});
        return;
    }
    RouterStatus status = parseRouterStatus(answer.body, answer.address);
    const bool known = std::any_of(fleet.routers.begin(), fleet.routers.end(), [&](const RouterStatus &router) {
        return router.name == status.name;
    });
    if (!known) {
        fleet.routers.push_back(std::move(status));
    }
}

std::string askAt(const InstanceDescription &instance)
{
    return instance.operatorsAddress.empty() ? instance.address : instance.operatorsAddress;
}

/** Gives the name to a router that was asked at its address without an answer, so that it is not asked again. */
void nameUnreachable(FleetStatus &fleet,
                     const std::string &name,
                     const std::string &address,
                     std::set<std::string> &known)
{
    for (UnreachableRouter &router : fleet.unreachable) {
        if (router.address == address) {
            router.name = name;
            known.insert(name);
        }
    }
}

/** The router whose lists are newest. */
const RouterStatus &newest(const FleetStatus &fleet)
{
    return *std::max_element(fleet.routers.begin(),
                             fleet.routers.end(),
                             [](const RouterStatus &a, const RouterStatus &b) { return a.revision < b.revision; });
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += text.empty() ? name : ", " + name;
    }
    return text;
}

void warnOfRevisions(const FleetStatus &fleet, std::vector<std::string> &warnings)
{
    std::map<std::string, std::vector<std::string>> byDigest;
    std::map<std::string, std::uint64_t> revisions;
    for (const RouterStatus &router : fleet.routers) {
        byDigest[router.digest].push_back(router.name);
        revisions[router.digest] = std::max(revisions[router.digest], router.revision);
    }
    if (byDigest.size() < 2) {
        return;
    }
    std::string sentence = "configurations differ:";
    for (const auto &entry : byDigest) {
        sentence += " revision " + std::to_string(revisions[entry.first]) + " (" + entry.first + ") at "
            + joined(entry.second) + ";";
    }
    sentence.back() = '.';
    warnings.push_back(sentence);
}

void warnOfShards(const FleetStatus &fleet, std::vector<std::string> &warnings)
{
    std::map<std::string, std::vector<std::string>> owners;
    for (const RouterStatus &router : fleet.routers) {
        for (const std::string &shard : router.ownedShards) {
            owners[shard].push_back(router.name);
        }
    }
    for (const auto &entry : owners) {
        if (entry.second.size() > 1) {
            warnings.push_back("shard " + entry.first + " has several owners: " + joined(entry.second) + ".");
        }
    }
}

void warnOfVotes(const FleetStatus &fleet, std::vector<std::string> &warnings)
{
    std::vector<std::string> abstaining;
    for (const RouterStatus &router : fleet.routers) {
        if (!router.mayVote && !router.leaving) {
            abstaining.push_back(router.name);
        }
    }
    if (!abstaining.empty()) {
        warnings.push_back("no votes on idempotency keys yet from " + joined(abstaining) + ".");
    }
}

void warnOfRouter(const RouterStatus &router, std::vector<std::string> &warnings)
{
    if (!router.refusal.empty()) {
        warnings.push_back(router.name + " refuses a newer configuration: " + router.refusal);
    }
    if (router.leaving) {
        warnings.push_back(router.name + " is leaving; " + std::to_string(router.requests) + " requests are open.");
    } else if (!router.ready) {
        warnings.push_back(router.name + " is not ready.");
    }
    if (router.reachable < router.listed) {
        warnings.push_back(router.name + " hears " + std::to_string(router.reachable) + " of "
                           + std::to_string(router.listed) + " listed routers.");
    }
}

std::string line(const std::string &key, const std::string &value)
{
    return value.empty() ? "" : key + " = " + value + "\n";
}

} // namespace

double PoolStatus::mean() const
{
    return this->live == 0 ? 0 : static_cast<double>(this->total) / static_cast<double>(this->live);
}

RouterStatus parseRouterStatus(const std::string &page, const std::string &address)
{
    const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(page)).object();
    RouterStatus status;
    status.name = text(object, "instance");
    if (status.name.empty()) {
        throw Error(Step::Decode, routerAt(address), "the answer is no status page");
    }
    status.address = address;
    status.incarnation = number(object, "incarnation");
    status.ready = object[QStringLiteral("ready")].toBool();
    status.leaving = object[QStringLiteral("leaving")].toBool();
    status.mayVote = object[QStringLiteral("may_vote")].toBool();
    status.revision = number(object, "revision");
    status.digest = text(object, "digest");
    status.refusal = text(object, "refusal");
    status.requests = number(object, "requests");
    status.held = number(object, "held");
    status.waiting = number(object, "waiting");
    status.claims = number(object, "claims");
    const QJsonObject control = object[QStringLiteral("control")].toObject();
    status.sentBytes = number(control, "sent_bytes");
    status.receivedBytes = number(control, "received_bytes");
    status.boundPercent = smallNumber(object, "bound_percent");
    status.listed = static_cast<std::size_t>(list(object, "listed").size());
    status.reachable = static_cast<std::size_t>(list(object, "reachable").size());
    const QJsonArray shards = list(object, "owned_shards");
    for (const auto &shard : shards) {
        status.ownedShards.push_back(shard.toString().toStdString());
    }
    const QJsonArray targets = list(object, "owned_targets");
    for (const auto &target : targets) {
        status.targets.push_back(countedTarget(target.toObject()));
    }
    const QJsonArray pools = list(object, "pools");
    for (const auto &pool : pools) {
        status.pools.push_back(listedPool(pool.toObject()));
    }
    const QJsonArray instances = list(object, "instances");
    for (const auto &instance : instances) {
        status.instances.push_back(instanceOf(instance.toObject()));
    }
    status.page = page;
    return status;
}

FleetStatus readFleet(OperatorClient &client, const std::vector<std::string> &addresses)
{
    const PageRequest request{"GET", "/status", ""};
    FleetStatus fleet;
    for (const PageAnswer &answer : client.ask(addresses, request)) {
        addAnswer(fleet, answer, "");
    }
    if (fleet.routers.empty()) {
        const UnreachableRouter &first = fleet.unreachable.front();
        throw Error(Step::Connect, routerAt(first.address), first.reason);
    }
    std::set<std::string> known;
    for (const RouterStatus &router : fleet.routers) {
        known.insert(router.name);
    }
    std::vector<std::string> names;
    std::vector<std::string> others;
    for (const InstanceDescription &instance : newest(fleet).instances) {
        const std::string address = askAt(instance);
        nameUnreachable(fleet, instance.instance.value, address, known);
        if (instance.state != LifeState::Gone && known.insert(instance.instance.value).second) {
            names.push_back(instance.instance.value);
            others.push_back(address);
        }
    }
    const std::vector<PageAnswer> answers = client.ask(others, request);
    for (std::size_t i = 0; i < answers.size(); ++i) {
        addAnswer(fleet, answers[i], names[i]);
    }
    std::sort(fleet.routers.begin(), fleet.routers.end(), [](const RouterStatus &a, const RouterStatus &b) {
        return a.name < b.name;
    });
    return fleet;
}

std::vector<PoolStatus> poolStatuses(const FleetStatus &fleet)
{
    std::vector<PoolStatus> pools;
    const RouterStatus &source = newest(fleet);
    for (const ListedPool &listed : source.pools) {
        PoolStatus pool;
        pool.pool = listed;
        pool.boundPercent = source.boundPercent;
        pool.live = static_cast<std::size_t>(
            std::count_if(listed.targets.begin(), listed.targets.end(), [](const ListedTarget &target) {
                return target.state == nameOf(LifeState::Live);
            }));
        for (const RouterStatus &router : fleet.routers) {
            for (const CountedTarget &target : router.targets) {
                if (target.pool == listed.name) {
                    pool.inFlight[target.name] += target.inFlight;
                }
            }
        }
        for (const auto &entry : pool.inFlight) {
            pool.total += entry.second;
            pool.largest = std::max(pool.largest, entry.second);
        }
        pool.bound = loadBound(pool.boundPercent, pool.total, pool.live);
        pools.push_back(std::move(pool));
    }
    return pools;
}

std::vector<std::string> fleetWarnings(const FleetStatus &fleet)
{
    std::vector<std::string> warnings;
    for (const UnreachableRouter &router : fleet.unreachable) {
        const std::string name = router.name.empty() ? "the router" : router.name;
        warnings.push_back(name + " at " + router.address + " cannot be reached: " + router.reason + ".");
    }
    warnOfRevisions(fleet, warnings);
    for (const RouterStatus &router : fleet.routers) {
        warnOfRouter(router, warnings);
    }
    warnOfVotes(fleet, warnings);
    warnOfShards(fleet, warnings);
    return warnings;
}

std::string firstStartDocument(const FleetStatus &fleet)
{
    if (!fleet.unreachable.empty()) {
        const UnreachableRouter &missing = fleet.unreachable.front();
        throw Error(Step::Report,
                    missing.name.empty() ? routerAt(missing.address) : missing.name,
                    "it cannot be reached, and a first start names every router: " + missing.reason);
    }
    std::map<std::string, std::uint64_t> incarnations;
    for (const RouterStatus &router : fleet.routers) {
        if (router.mayVote || router.claims > 0) {
            throw Error(Step::Report, router.name, "it votes already, so this is no first start");
        }
        incarnations[router.name] = router.incarnation;
    }
    std::string document
        = "; Publish this only where no router of this fleet ran before, under whatever name, in the\n"
          "; lifetime of an idempotency key: it lets each witness vote without having learnt claims.\n";
    for (const InstanceDescription &instance : newest(fleet).instances) {
        document += "\n[instance " + instance.instance.value + "]\n" + line("address", instance.address)
            + line("peer_address", instance.peerAddress) + line("operators_address", instance.operatorsAddress)
            + line("data_centre", instance.dataCentre.value) + line("state", std::string(nameOf(instance.state)));
        const auto incarnation = incarnations.find(instance.instance.value);
        if (incarnation != incarnations.end()) {
            document += line("first_start", std::to_string(incarnation->second));
        }
    }
    return document;
}

} // namespace Sequoiausher
