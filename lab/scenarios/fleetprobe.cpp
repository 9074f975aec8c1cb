#include "lab/scenarios/fleetprobe.h"

#include "lab/support/labcall.h"

#include <QtCore/QJsonArray>

#include <algorithm>

namespace Sequoiausher::Lab {

namespace {

constexpr Millis lookLimit{1000};
constexpr Millis lookEvery{10};

LifeNews lifeOf(const QJsonObject &target)
{
    const auto state = parseName<LifeState>(target.value("state").toString().toStdString());
    return LifeNews{static_cast<Incarnation>(target.value("incarnation").toInteger()), state.value_or(LifeState::Live)};
}

RouterSight sightOf(const LabAnswer &answer)
{
    RouterSight sight;
    if (!answer.whole) {
        return sight;
    }
    const QJsonObject json = answer.json();
    sight.answered = true;
    sight.ready = json.value("ready").toBool();
    sight.revision = static_cast<Revision>(json.value("revision").toInteger());
    sight.refusal = json.value("refusal").toString().toStdString();
    sight.reachable = static_cast<std::size_t>(json.value("reachable").toArray().size());
    sight.requests = static_cast<std::uint64_t>(json.value("requests").toInteger());
    for (const auto &pool : json.value("pools").toArray()) {
        for (const auto &entry : pool.toObject().value("targets").toArray()) {
            const QJsonObject target = entry.toObject();
            sight.targets[target.value("name").toString().toStdString()] = lifeOf(target);
        }
    }
    return sight;
}

} // namespace

class FleetProbe::Private
{
public:
    void compare(std::size_t router, const RouterSight &sight);

    std::vector<std::unique_ptr<LabCaller>> callers;
    std::vector<RouterSight> sights;
    /** The highest seen of each router, over its restarts. */
    std::vector<RouterSight> highest;
    std::uint64_t reverted = 0;
};

void FleetProbe::Private::compare(std::size_t router, const RouterSight &sight)
{
    // What a router that is not ready shows decides nothing.
    if (!sight.answered || !sight.ready) {
        return;
    }
    RouterSight &known = this->highest[router];
    this->reverted += sight.revision < known.revision ? 1 : 0;
    known.revision = std::max(known.revision, sight.revision);
    for (const auto &[name, life] : sight.targets) {
        const auto before = known.targets.find(name);
        if (before == known.targets.end()) {
            known.targets[name] = life;
            continue;
        }
        const bool older = life.incarnation < before->second.incarnation
            || (life.incarnation == before->second.incarnation && life.state < before->second.state);
        this->reverted += older ? 1 : 0;
        before->second = older ? before->second : life;
    }
}

FleetProbe::FleetProbe(const Fleet &fleet) : d(std::make_unique<Private>())
{
    for (std::size_t i = 0; i < fleet.routers(); ++i) {
        this->d->callers.push_back(std::make_unique<LabCaller>(fleet.routerPort(i)));
    }
    this->d->sights.resize(fleet.routers());
    this->d->highest.resize(fleet.routers());
}

FleetProbe::~FleetProbe() = default;

const std::vector<RouterSight> &FleetProbe::look()
{
    std::vector<PendingAnswer> answers;
    answers.reserve(this->d->callers.size());
    for (const auto &caller : this->d->callers) {
        answers.push_back(caller->start("GET", "/status", {}, {}, lookLimit));
    }
    const auto ended = [](const PendingAnswer &answer) { return answer->whole || answer->error.has_value(); };
    LabCaller::waitFor([&] { return std::all_of(answers.begin(), answers.end(), ended); }, lookLimit + lookEvery);
    for (std::size_t i = 0; i < answers.size(); ++i) {
        this->d->sights[i] = sightOf(*answers[i]);
        this->d->compare(i, this->d->sights[i]);
    }
    return this->d->sights;
}

std::vector<std::optional<Millis>> FleetProbe::times(const Condition &condition, Millis limit)
{
    const Millis start = Millis::monotonicNow();
    std::vector<std::optional<Millis>> times(this->d->callers.size());
    const auto missing = [](const std::optional<Millis> &time) { return !time; };
    while (std::any_of(times.begin(), times.end(), missing) && Millis::monotonicNow() - start < limit) {
        this->look();
        const Millis elapsed = Millis::monotonicNow() - start;
        for (std::size_t i = 0; i < times.size(); ++i) {
            const RouterSight &sight = this->d->sights[i];
            if (!times[i] && sight.answered && condition(sight)) {
                times[i] = elapsed;
            }
        }
        LabCaller::waitFor([] { return false; }, lookEvery);
    }
    return times;
}

bool FleetProbe::allWithin(const Condition &condition, Millis limit)
{
    return longest(this->times(condition, limit)).has_value();
}

std::uint64_t FleetProbe::reversions() const
{
    return this->d->reverted;
}

std::optional<Millis> longest(const std::vector<std::optional<Millis>> &times)
{
    Millis most{0};
    for (const std::optional<Millis> &time : times) {
        if (!time) {
            return std::nullopt;
        }
        most = std::max(most, *time);
    }
    return most;
}

std::string toText(const std::vector<std::optional<Millis>> &times)
{
    std::string text;
    for (std::size_t i = 0; i < times.size(); ++i) {
        text += (text.empty() ? "r" : ", r") + std::to_string(i + 1) + " ";
        text += times[i] ? toText(*times[i]) : "never";
    }
    return text;
}

std::string versionedRules(const std::string &version)
{
    return "[rule version]\nwhen.path = /version\nthen.refuse = 404\nthen.refuse_text = " + version + "\n\n"
        + fleetRules();
}

std::string versionAt(const Fleet &fleet, std::size_t router)
{
    LabCaller caller(fleet.routerPort(router));
    const LabAnswer answer = caller.call("GET", "/version", {}, Fleet::headers(), lookLimit);
    return answer.json().value("error").toObject().value("message").toString().toStdString();
}

HttpHeaders headersWithDeadline(Millis deadline, const std::string &idempotencyKey)
{
    HttpHeaders headers = Fleet::headers(idempotencyKey);
    headers.set("X-Deadline-Ms", std::to_string(deadline.count));
    return headers;
}

FleetOptions fleetWithoutTargets(std::size_t routers)
{
    FleetOptions options;
    options.routers = routers;
    options.engines = 0;
    options.services = 0;
    options.firstStart = false;
    options.rules = versionedRules("v0");
    return options;
}

FleetProbe::Condition atRevision(Revision revision)
{
    return [revision](const RouterSight &sight) { return sight.revision >= revision; };
}

Revision highestRevision(FleetProbe &probe)
{
    Revision most = 0;
    for (const RouterSight &sight : probe.look()) {
        most = std::max(most, sight.revision);
    }
    return most;
}

bool allHaveVersion(const Fleet &fleet, const std::string &version)
{
    for (std::size_t i = 0; i < fleet.routers(); ++i) {
        if (versionAt(fleet, i) != version) {
            return false;
        }
    }
    return true;
}

} // namespace Sequoiausher::Lab
