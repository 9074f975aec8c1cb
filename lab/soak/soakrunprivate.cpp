#include "lab/soak/soakrunprivate.h"

#include <QDir>

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

/** The pause before a process that ended is started again. */
constexpr Millis restartPause{300};
/** A target that leaves serves on for so long, and its end follows. */
constexpr Millis leavingTime{3000};
constexpr Millis reuseWait{2000};
/** Entries that lapsed are written again so long after the store is back. */
constexpr Millis lapseReturn{1200};
constexpr Millis shortestLapse{2500};
constexpr Millis stormGap{120};
constexpr Millis linkDelay{150};
constexpr std::uint64_t stormChanges = 10;
/**
 * A return loses at least so many changes, of which all gateways have heard. A target leaves after it, at a revision
 * that was given out before: gateways that order by the revision alone do not hear of it.
 */
constexpr int changesLost = 500;
constexpr Millis changesLostBefore{300};
constexpr Millis leavesAfterReturn{3300};
constexpr int leavesOfReturn = 3;
constexpr Millis leavesGap{400};
/** The targets that replace others have started so long before. */
constexpr Millis releaseLead{800};
constexpr std::uint64_t mostJoining = 4;
/** An outage lasts for most of the window in which retries are counted. */
constexpr Millis outageTime{9000};
constexpr double outageShare = 0.95;

} // namespace

DataCentreId dataCentreOf(std::uint64_t number)
{
    constexpr std::uint64_t dataCentreCount = 3;
    return DataCentreId{"hall-" + std::to_string(number % dataCentreCount)};
}

SoakRun::Private::Private(const SoakOptions &with)
    : options(with)
    , random(with.seed)
    , returns(with.seed)
    , evacuations(with.seed)
    , outages(with.seed)
    , fleetKills(with.seed)
    , cuts(with.seed)
    , stops(with.seed)
    , foreign(with.seed)
    , versions(with.seed)
    , judge(SoakBounds{})
    , store(with.seed)
    , administrator(this->store, this->judge)
{
    QDir().mkpath(QString::fromStdString(this->options.folder));
    this->log.open(this->options.folder + "/soak.log");
}

std::string SoakRun::Private::unplanned(std::size_t gateway)
{
    return SoakJudge::gatewaySubject(gateway) + SoakJudge::unplannedSuffix;
}

std::string SoakRun::Private::killed(std::size_t gateway)
{
    return SoakJudge::gatewaySubject(gateway) + SoakJudge::killedSuffix;
}

void SoakRun::Private::note(const std::string &line)
{
    this->log << Millis::wallNow().count << " " << (Millis::monotonicNow() - this->startedAt).count << " " << line
              << std::endl;
}

void SoakRun::Private::at(Millis when, std::function<void()> action)
{
    this->actions.emplace(when, std::move(action));
}

void SoakRun::Private::after(Millis span, std::function<void()> action)
{
    this->at(Millis::monotonicNow() + span, std::move(action));
}

void SoakRun::Private::during(Millis span,
                              const std::vector<std::string> &subjects,
                              const std::function<void()> &begin,
                              const std::function<void()> &end)
{
    const Millis now = Millis::monotonicNow();
    for (const std::string &subject : subjects) {
        this->judge.disturbances().begin(subject, now);
    }
    begin();
    this->after(span, [this, subjects, end] {
        end();
        for (const std::string &subject : subjects) {
            this->judge.disturbances().end(subject, Millis::monotonicNow());
        }
    });
}

void SoakRun::Private::startGateway(std::size_t number)
{
    this->gateways[number]->start();
    this->note("gateway " + std::to_string(number) + " started");
    if (const std::optional<Millis> again = std::exchange(this->gateways[number]->stopsAfterStart, std::nullopt)) {
        this->after(*again, [this, number] { this->stopGateway(number); });
    }
}

void SoakRun::Private::killGateway(std::size_t number, Millis down)
{
    SoakGateway &gateway = *this->gateways[number];
    if (gateway.isEndExpected) {
        return;
    }
    this->during(
        down,
        {SoakJudge::gatewaySubject(number), unplanned(number), killed(number)},
        [&gateway] {
            gateway.isEndExpected = true;
            gateway.process().kill();
        },
        [this, number] { this->startGateway(number); });
}

void SoakRun::Private::stopGateway(std::size_t number)
{
    SoakGateway &gateway = *this->gateways[number];
    if (gateway.isEndExpected) {
        return;
    }
    gateway.isEndExpected = true;
    gateway.stopAsked = Millis::monotonicNow();
    this->judge.disturbances().begin(SoakJudge::gatewaySubject(number), gateway.stopAsked);
    this->judge.stopAsked(number, gateway.life(), gateway.stopAsked);
    gateway.process().requestStop();
    // Looks again until it is gone.
    const auto look = std::make_shared<std::function<void()>>();
    *look = [this, number, &gateway, again = std::weak_ptr(look)] {
        const Millis now = Millis::monotonicNow();
        const std::string name = "gateway " + std::to_string(number);
        if (gateway.process().isRunning() && now - gateway.stopAsked < longestStop) {
            if (const auto next = again.lock()) {
                this->after(pollInterval, [next] { (*next)(); });
            }
            return;
        }
        const std::optional<int> status = gateway.process().waitForExit(Millis{0});
        const bool isUntouched
            = this->judge.disturbances().isUntouched(unplanned(number), gateway.stopAsked - Millis{1}, now);
        // Until its program can hold signals back, a process that starts ends by the signal; it has taken nothing yet.
        const std::optional<int> signal = gateway.process().endingSignal();
        const bool wasStarting = signal == SIGTERM && gateway.process().outputOfLastRun().empty();
        if (status != 0 && !wasStarting && isUntouched) {
            const std::string how = signal ? "signal " + std::to_string(*signal)
                : status                   ? "status " + std::to_string(*status)
                                           : "nothing after " + toText(longestStop);
            this->judge.broken("stop", name + " was to end with status 0, and ended with " + how, now);
        }
        gateway.process().kill();
        this->after(restartPause, [this, number] {
            this->startGateway(number);
            this->judge.disturbances().end(SoakJudge::gatewaySubject(number), Millis::monotonicNow());
        });
    };
    this->after(pollInterval, [look] { (*look)(); });
}

void SoakRun::Private::strikeLink(Relay &relay, const Link &link, Millis span, const std::vector<std::string> &subjects)
{
    this->during(
        span, subjects, [&relay, link] { relay.setLink(link); }, [&relay] { relay.setLink({}); });
}

void SoakRun::Private::strikeGateway(const SoakFault &fault, std::size_t number)
{
    SoakGateway &gateway = *this->gateways[number];
    const std::string subject = SoakJudge::gatewaySubject(number);
    const std::vector<std::string> both{subject, unplanned(number)};
    switch (fault.kind) {
    case SoakFaultKind::KillGateway:
        this->killGateway(number, fault.lasts);
        return;
    case SoakFaultKind::FreezeGateway:
        this->during(
            fault.lasts, both, [&gateway] { gateway.process().freeze(); }, [&gateway] { gateway.process().thaw(); });
        return;
    case SoakFaultKind::StopGateway:
        this->stopGateway(number);
        return;
    case SoakFaultKind::ReloadGateway:
        gateway.process().requestReload();
        return;
    case SoakFaultKind::CutPeers:
        this->strikeLink(gateway.peerLink(), {LinkMode::Cut, {}}, fault.lasts, {subject});
        return;
    case SoakFaultKind::SilencePeers:
        this->strikeLink(gateway.peerLink(), {LinkMode::Silent, {}}, fault.lasts, {subject});
        return;
    case SoakFaultKind::OneWayPeers:
        this->strikeLink(gateway.peerLink(), {LinkMode::OneWay, {}}, fault.lasts, {subject});
        return;
    case SoakFaultKind::SilenceOpenPeers:
        this->strikeLink(gateway.peerLink(), {LinkMode::SilentOpen, {}}, Millis{1}, {subject});
        return;
    case SoakFaultKind::DelayPeers:
        this->strikeLink(gateway.peerLink(), {LinkMode::Delay, linkDelay}, fault.lasts, {subject});
        return;
    case SoakFaultKind::CutStore:
        this->strikeLink(gateway.storeLink(), {LinkMode::Cut, {}}, fault.lasts, {subject});
        return;
    case SoakFaultKind::SilenceStore:
        this->strikeLink(gateway.storeLink(), {LinkMode::Silent, {}}, fault.lasts, {subject});
        return;
    case SoakFaultKind::OneWayStore:
        this->strikeLink(gateway.storeLink(), {LinkMode::OneWay, {}}, fault.lasts, {subject});
        return;
    case SoakFaultKind::SilenceOpenStore:
        this->strikeLink(gateway.storeLink(), {LinkMode::SilentOpen, {}}, Millis{1}, {subject});
        return;
    case SoakFaultKind::CutCallers:
        this->strikeLink(gateway.callerLink(), {LinkMode::Cut, {}}, fault.lasts / 4, both);
        return;
    case SoakFaultKind::DelayCallers:
        this->strikeLink(gateway.callerLink(), {LinkMode::Delay, linkDelay}, fault.lasts, both);
        return;
    default:
        return;
    }
}

void SoakRun::Private::lapse(Millis span)
{
    const Millis down = std::max(span, shortestLapse);
    this->during(
        down,
        {SoakJudge::storeSubject},
        [this] { this->store.setMood(StoreMood::Silent); },
        [this] {
            std::vector<TargetPlace *> lapsed;
            for (TargetPlace &place : this->places) {
                if (place.isListed && place.target->isAlive()) {
                    this->store.remove(StandInDialect::targetKey(TargetId{place.target->life()}));
                    lapsed.push_back(&place);
                }
            }
            this->store.setMood(StoreMood::Up);
            this->after(lapseReturn, [this, lapsed] {
                for (TargetPlace *place : lapsed) {
                    if (place->isListed && place->target->isAlive()) {
                        this->listTarget(*place, false);
                    }
                }
            });
        });
}

void SoakRun::Private::planReturn(Millis at)
{
    std::uniform_int_distribution<std::int64_t> age(200, 4000);
    std::uniform_int_distribution<std::int64_t> absence(100, 1500);
    std::uniform_int_distribution<std::int64_t> rewriting(50, 1500);
    const Millis away{absence(this->returns)};
    const Millis again{rewriting(this->returns)};
    this->at(at - changesLostBefore * 2 - Millis{age(this->returns)}, [this] { this->store.copy(); });
    this->at(at - changesLostBefore, [this] {
        for (int i = 0; i < changesLost; ++i) {
            this->store.write("lost", std::to_string(i));
        }
    });
    this->at(at, [this, away, again] {
        for (int i = 0; i < leavesOfReturn; ++i) {
            this->after(away + again + leavesAfterReturn + leavesGap * i, [this] { this->leaveAnyTarget(); });
        }
        this->note("the store returns from a copy after " + toText(away) + ", written again after " + toText(again));
        this->during(
            away + again,
            {SoakJudge::storeSubject},
            [this] { this->store.setMood(StoreMood::Silent); },
            [this] { this->writeAgain(); });
        this->after(away, [this] {
            this->store.restore();
            this->store.setMood(StoreMood::Up);
        });
    });
}

void SoakRun::Private::leaveAnyTarget()
{
    const std::size_t first = this->returns() % this->places.size();
    for (std::size_t i = 0; i < this->places.size(); ++i) {
        TargetPlace &place = this->places[(first + i) % this->places.size()];
        if (place.isListed && !place.isLeaving && place.target->isAlive()) {
            this->note("target " + place.target->life() + " leaves after the store's return");
            this->leaveTarget(place);
            return;
        }
    }
}

void SoakRun::Private::writeAgain()
{
    this->administrator.publishAgain();
    std::set<std::string> listed{StandInDialect::configurationKey()};
    for (const DataCentreId &dataCentre : this->evacuated) {
        listed.insert(StandInDialect::evacuationKey(dataCentre));
        this->store.write(StandInDialect::evacuationKey(dataCentre), "{}");
    }
    for (TargetPlace &place : this->places) {
        if (place.isListed) {
            listed.insert(StandInDialect::targetKey(TargetId{place.target->life()}));
            this->listTarget(place, place.isLeaving);
        }
    }
    for (const std::string &key : this->store.keys()) {
        if (!listed.contains(key)) {
            this->store.remove(key);
        }
    }
    this->administrator.writeOddNames();
}

void SoakRun::Private::strikeStore(const SoakFault &fault)
{
    const auto inMood = [this, &fault](StoreMood mood) {
        this->during(
            fault.lasts,
            {SoakJudge::storeSubject},
            [this, mood] { this->store.setMood(mood); },
            [this] { this->store.setMood(StoreMood::Up); });
    };
    switch (fault.kind) {
    case SoakFaultKind::StoreSilent:
        inMood(StoreMood::Silent);
        return;
    case SoakFaultKind::StoreBusy:
        inMood(StoreMood::Busy);
        return;
    case SoakFaultKind::StoreReset:
        inMood(StoreMood::Reset);
        return;
    case SoakFaultKind::StoreSlow:
        inMood(StoreMood::Slow);
        return;
    case SoakFaultKind::StoreLosing:
        inMood(StoreMood::Losing);
        return;
    case SoakFaultKind::StoreCompact:
        this->during(
            Millis{1}, {SoakJudge::storeSubject}, [this] { this->store.compact(); }, [] {});
        return;
    case SoakFaultKind::StoreLapse:
        this->lapse(fault.lasts);
        return;
    default:
        return;
    }
}

void SoakRun::Private::listTarget(TargetPlace &place, bool isLeaving)
{
    GatewayTarget entry;
    entry.id.value = place.target->life();
    entry.service.value = place.target->service();
    entry.address = toText(place.link->listening());
    entry.softwareVersion = place.version;
    entry.dataCentre = place.dataCentre;
    entry.slots = place.target->slots();
    entry.isLeaving = isLeaving;
    entry.coldFor = std::max(place.coldUntil - Millis::monotonicNow(), Millis{0});
    place.isListed = true;
    place.isLeaving = isLeaving;
    this->judge.placed(entry.id.value, entry.dataCentre);
    this->judge.serves(entry.id.value, place.version);
    if (isLeaving) {
        this->judge.servesNoMore(entry.id.value);
    }
    this->store.write(StandInDialect::targetKey(entry.id), StandInDialect::targetText(entry));
}

void SoakRun::Private::unlistTarget(TargetPlace &place)
{
    place.isListed = false;
    this->judge.servesNoMore(place.target->life());
    this->store.remove(StandInDialect::targetKey(TargetId{place.target->life()}));
    this->judge.leavingAcknowledged(place.target->life(), Millis::monotonicNow());
}

void SoakRun::Private::startTarget(TargetPlace &place, const std::string &service)
{
    place.target->start(service);
    if (this->options.versions > 0) {
        place.version = "v" + std::to_string(1 + this->versions() % this->options.versions);
    }
    this->setListening(place, true);
    place.coldUntil = Millis{0};
    // At the start of the run the gateways start too, and nothing is cold.
    if (this->options.hasColdTargets && !this->gateways.empty()) {
        this->coolDown(place);
    } else {
        this->listTarget(place, false);
    }
    this->note("target " + place.target->life() + " of " + service + " started");
}

void SoakRun::Private::endTarget(TargetPlace &place)
{
    this->judge.servesNoMore(place.target->life());
    place.target->crash();
    // A link that accepts connections to a target that is gone would vouch for its answers.
    this->setListening(place, !this->options.hasUnframedAnswers);
}

void SoakRun::Private::setListening(const TargetPlace &place, bool on)
{
    place.link->setListening(on);
    const std::string address = toText(place.link->listening());
    for (const auto &gateway : this->gateways) {
        const auto path = gateway->paths.find(address);
        if (path != gateway->paths.end()) {
            path->second->setListening(on);
        }
    }
}

void SoakRun::Private::coolDown(TargetPlace &place)
{
    const std::string life = place.target->life();
    place.coldUntil = Millis::monotonicNow() + coldTime;
    this->judge.cold(life, place.coldUntil);
    this->listTarget(place, place.isLeaving);
    this->after(coldTime, [this, &place, life] {
        if (place.isListed && place.target->isAlive() && place.target->life() == life) {
            this->listTarget(place, place.isLeaving);
        }
    });
}

void SoakRun::Private::planEvacuation(Millis at)
{
    std::uniform_int_distribution<std::int64_t> span(200, 9000);
    const DataCentreId dataCentre = dataCentreOf(this->evacuations());
    const Millis lasts{span(this->evacuations)};
    this->at(at, [this, dataCentre, lasts] {
        if (!this->evacuated.insert(dataCentre).second) {
            return;
        }
        this->note("data centre " + dataCentre.value + " is evacuated for " + toText(lasts));
        this->store.write(StandInDialect::evacuationKey(dataCentre), "{}");
        this->judge.evacuationAcknowledged(dataCentre, Millis::monotonicNow());
        this->after(lasts, [this, dataCentre] { this->endEvacuation(dataCentre); });
    });
}

void SoakRun::Private::endEvacuation(const DataCentreId &dataCentre)
{
    this->evacuated.erase(dataCentre);
    this->note("data centre " + dataCentre.value + " is taken back");
    this->store.remove(StandInDialect::evacuationKey(dataCentre));
    this->judge.evacuationEnded(dataCentre);
    for (TargetPlace &place : this->places) {
        if (this->options.hasColdTargets && place.dataCentre == dataCentre && place.isListed
            && place.target->isAlive()) {
            this->coolDown(place);
        }
    }
}

void SoakRun::Private::planOutage(Millis at)
{
    std::uniform_int_distribution<std::int64_t> gap(200, 1200);
    const std::string service = this->outages() % 4 == 0 ? "desk-b" : "llm";
    this->at(at, [this, service] {
        this->note("service " + service + " rejects most requests for " + toText(outageTime));
        for (TargetPlace &place : this->places) {
            if (place.target->service() == service) {
                place.target->setMood(TargetMood::Full, outageShare);
                this->disturbTargets(outageTime);
                this->after(outageTime, [&place] { place.target->setMood(TargetMood::Well, 0); });
            }
        }
    });
    std::size_t next = this->outages() % this->gateways.size();
    for (Millis offset{gap(this->outages)}; offset < outageTime; offset += Millis{gap(this->outages)}) {
        this->at(at + offset, [this, number = next] { this->killGateway(number, restartPause); });
        next = (next + 1) % this->gateways.size();
    }
}

void SoakRun::Private::planFleetKill(Millis at, bool removesVersion)
{
    std::uniform_int_distribution<std::int64_t> down(100, 1500);
    const Millis lasts{down(this->fleetKills)};
    this->at(at, [this, removesVersion, lasts] {
        this->note("all gateways are killed for " + toText(lasts));
        for (TargetPlace &place : this->places) {
            const bool leaves = removesVersion && place.version == "v1" && place.isListed && place.target->isAlive();
            if (leaves && place.target->service() == "llm") {
                this->crashTarget(place, Millis{1}, "llm");
            }
        }
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            this->killGateway(i, lasts);
        }
    });
}

std::vector<std::string> SoakRun::Private::writeOddEntries(GatewayTarget entry, std::size_t number)
{
    constexpr std::size_t depth = 20000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    entry.service.value = "llm";
    const std::string whole = StandInDialect::targetText(entry);
    entry.address = "127.0.0.1:65536";
    const std::vector<std::string> values{nested,
                                          "{\"version\":" + nested + "," + whole.substr(1),
                                          "{\"slots\":1e300," + whole.substr(1),
                                          "{\"slots\":1e999," + whole.substr(1),
                                          StandInDialect::targetText(entry)};
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < values.size(); ++i) {
        const std::string name = "odd-" + std::to_string(number) + "-" + std::to_string(i);
        // The names of every other one are no names of targets either.
        keys.push_back(StandInDialect::targetKey(TargetId{i % 2 == 0 ? name : " " + name + "\n[gone 1]"}));
        this->store.write(keys.back(), values[i]);
    }
    return keys;
}

void SoakRun::Private::planForeign(Millis at)
{
    std::uniform_int_distribution<std::int64_t> span(1000, 6000);
    const std::size_t number = this->foreign() % this->places.size();
    const Millis lasts{span(this->foreign)};
    this->at(at, [this, number, lasts] {
        TargetPlace &place = this->places[number];
        this->note("target " + place.target->life() + " sends unasked answers, and an entry names no service, for "
                   + toText(lasts));
        GatewayTarget entry;
        entry.id.value = "nobody-" + std::to_string(number);
        entry.address = toText(place.link->listening());
        const std::string key = StandInDialect::targetKey(entry.id);
        this->store.write(key, StandInDialect::targetText(entry));
        const std::vector<std::string> odd = this->writeOddEntries(entry, number);
        place.target->setUnasked(true);
        this->disturbTargets(lasts);
        this->after(lasts, [this, &place, key, odd] {
            place.target->setUnasked(false);
            this->store.remove(key);
            for (const std::string &each : odd) {
                this->store.remove(each);
            }
        });
    });
}

void SoakRun::Private::planCut(Millis at)
{
    constexpr std::int64_t shortestCutMs = 500;
    std::uniform_int_distribution<std::int64_t> span(shortestCutMs, this->options.longest.count);
    std::uniform_int_distribution<std::size_t> some(1, this->gateways.size());
    const auto how = nameTable<PathCut>[this->cuts() % nameTable<PathCut>.size()];
    const std::size_t first = this->cuts() % this->gateways.size();
    const std::size_t count = some(this->cuts);
    const Millis lasts{span(this->cuts)};
    this->at(at, [this, first, count, how, lasts] {
        std::set<std::size_t> struck;
        for (std::size_t i = 0; i < count; ++i) {
            struck.insert((first + i) % this->gateways.size());
        }
        this->note(std::to_string(count) + " gateways from " + std::to_string(first)
                   + " on lose all paths to targets for " + toText(lasts) + ", " + std::string(how.name));
        const Millis from = Millis::monotonicNow();
        for (const std::size_t number : struck) {
            // A stream whose connection is reset in its middle cannot be answered whole.
            this->judge.disturbances().begin(unplanned(number), from);
            for (const auto &[address, path] : this->gateways[number]->paths) {
                path->cut(how.value);
            }
        }
        this->notePathsOfPeers(struck, from + lasts);
        this->after(lasts, [this, struck, from] {
            this->judge.pathsCut(struck, from, Millis::monotonicNow());
            for (const std::size_t number : struck) {
                for (const auto &[address, path] : this->gateways[number]->paths) {
                    path->heal();
                }
                this->judge.disturbances().end(unplanned(number), Millis::monotonicNow());
            }
        });
    });
}

void SoakRun::Private::planStops(Millis at)
{
    constexpr std::int64_t mostGapMs = 2000;
    constexpr std::int64_t mostAgainMs = 5000;
    constexpr std::int64_t mostAfterStartMs = 3000;
    const auto between = [this](std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(this->stops);
    };
    const auto all = static_cast<std::int64_t>(this->gateways.size());
    const std::int64_t first = between(0, all - 1);
    const std::int64_t count = between(0, 2) == 0 ? all : between(1, all);
    const Millis gap{between(0, 2) == 0 ? 0 : between(1, mostGapMs)};
    for (std::int64_t i = 0; i < count; ++i) {
        const auto number = static_cast<std::size_t>((first + i) % all);
        const Millis moment = at + gap * i;
        const std::int64_t how = between(0, 3);
        const Millis again{between(1, mostAgainMs)};
        const Millis afterStart{between(0, mostAfterStartMs)};
        this->at(moment, [this, number, how, again, afterStart] {
            SoakGateway &gateway = *this->gateways[number];
            this->note("gateway " + std::to_string(number) + " is asked to stop"
                       + (how == 1       ? ", and again after " + toText(again)
                              : how == 2 ? ", and again " + toText(afterStart) + " after its next start"
                              : how == 3 ? ", reloading"
                                         : ""));
            if (how == 2) {
                gateway.stopsAfterStart = afterStart;
            } else if (how == 3) {
                gateway.process().requestReload();
            }
            this->stopGateway(number);
            if (how == 3) {
                gateway.process().requestReload();
            } else if (how == 1) {
                this->after(again, [&gateway, life = gateway.life()] {
                    if (gateway.life() == life && gateway.process().isRunning()) {
                        gateway.process().requestStop();
                    }
                });
            }
        });
    }
}

void SoakRun::Private::notePathsOfPeers(const std::set<std::size_t> &struck, Millis until)
{
    const Millis now = Millis::monotonicNow();
    if (now >= until) {
        return;
    }
    const Millis step = std::min(pollInterval, until - now);
    for (std::size_t number = 0; number < this->gateways.size(); ++number) {
        // A gateway that learns of a target from a peer, by a list or by a change, gets the address of the peer's path.
        const std::string output = this->gateways[number]->process().outputOfLastRun();
        const bool usesPathsOfPeers = output.find("targets changed why=peer") != std::string::npos
            || output.find(", by a peer\"") != std::string::npos;
        if (usesPathsOfPeers && !struck.contains(number)) {
            this->judge.disturbances().begin(unplanned(number), now);
            this->after(step,
                        [this, number] { this->judge.disturbances().end(unplanned(number), Millis::monotonicNow()); });
        }
    }
    this->after(step, [this, struck, until] { this->notePathsOfPeers(struck, until); });
}

void SoakRun::Private::leaveTarget(TargetPlace &place)
{
    const std::string life = place.target->life();
    const std::string service = place.target->service();
    this->listTarget(place, true);
    this->judge.leavingAcknowledged(life, Millis::monotonicNow());
    this->after(leavingTime, [this, &place, life, service] {
        if (place.target->life() != life || !place.target->isAlive()) {
            return;
        }
        this->unlistTarget(place);
        this->judge.disturbances().begin(SoakJudge::targetSubject(life), Millis::monotonicNow());
        this->endTarget(place);
        this->after(reuseWait, [this, &place, service] { this->startTarget(place, service); });
    });
}

void SoakRun::Private::crashTarget(TargetPlace &place, Millis listedFor, const std::string &next)
{
    // What dies says nothing; its entry goes after some silence, and another life has another id.
    const std::string life = place.target->life();
    this->note("target " + life + " crashes");
    this->judge.disturbances().begin(SoakJudge::targetSubject(life), Millis::monotonicNow());
    this->endTarget(place);
    this->disturbTargets(listedFor + reuseWait);
    this->after(listedFor, [this, &place] { this->unlistTarget(place); });
    this->after(listedFor + reuseWait, [this, &place, next] { this->startTarget(place, next); });
}

void SoakRun::Private::disturbTargets(Millis span)
{
    this->during(
        span, {SoakJudge::targetsSubject}, [] {}, [] {});
}

void SoakRun::Private::strikeTarget(const SoakFault &fault, TargetPlace &place)
{
    const std::string life = place.target->life();
    const std::string service = place.target->service();
    if (!place.target->isAlive() || !place.isListed) {
        return;
    }
    const std::string subject = SoakJudge::targetSubject(life);
    const auto mood = static_cast<TargetMood>(1 + fault.detail % (nameTable<TargetMood>.size() - 1));
    const bool isLinkStruck = fault.kind == SoakFaultKind::SilenceTarget
        || fault.kind == SoakFaultKind::SilenceOpenTarget || fault.kind == SoakFaultKind::DelayTarget;
    // Lost and spoilt answers leave a target what it is.
    const bool isWorkStruck = mood == TargetMood::Slow || mood == TargetMood::Full || mood == TargetMood::Failing;
    if (isLinkStruck || (fault.kind == SoakFaultKind::SpoilTarget && isWorkStruck)) {
        this->disturbTargets(fault.lasts);
    }
    constexpr double halfOfThem = 0.5;
    switch (fault.kind) {
    case SoakFaultKind::CrashTarget:
    case SoakFaultKind::ReuseAddress: {
        const bool isReused = fault.kind == SoakFaultKind::ReuseAddress;
        this->crashTarget(place, fault.lasts, !isReused ? service : service == "llm" ? "desk-b" : "llm");
        return;
    }
    case SoakFaultKind::LeaveTarget:
        this->leaveTarget(place);
        return;
    case SoakFaultKind::SilenceTarget:
        this->strikeLink(*place.link, {LinkMode::Silent, {}}, fault.lasts, {subject});
        return;
    case SoakFaultKind::SilenceOpenTarget:
        this->strikeLink(*place.link, {LinkMode::SilentOpen, {}}, Millis{1}, {subject});
        return;
    case SoakFaultKind::DelayTarget:
        this->strikeLink(*place.link, {LinkMode::Delay, linkDelay}, fault.lasts, {subject});
        return;
    case SoakFaultKind::SpoilTarget:
        this->note("target " + life + " is " + std::string(nameOf(mood)));
        place.target->setMood(mood, halfOfThem);
        this->after(fault.lasts, [&place] { place.target->setMood(TargetMood::Well, 0); });
        return;
    default:
        return;
    }
}

void SoakRun::Private::strikeSome(const FleetFault &fault, std::size_t count, SoakFaultKind kind)
{
    for (std::size_t i = 0; i < count; ++i) {
        SoakFault each;
        each.kind = kind;
        each.lasts = fault.lasts;
        this->strikeGateway(each, (fault.subject + i) % this->gateways.size());
    }
}

bool SoakRun::Private::changeLoad(const FleetFault &fault)
{
    constexpr std::uint64_t percent = 100;
    switch (fault.kind) {
    case FleetFaultKind::HeavyUse:
        this->prompts.heavyUsePercent = static_cast<std::int64_t>(10 + fault.detail % 60);
        this->load->setPrompts(this->prompts);
        this->after(fault.lasts, [this] {
            this->prompts.heavyUsePercent = 0;
            this->load->setPrompts(this->prompts);
        });
        return true;
    case FleetFaultKind::Burst: {
        const double times = 1 + static_cast<double>(fault.detail % percent) / percent;
        this->load->setRate(times * static_cast<double>(this->options.loadPerSecond));
        this->after(fault.lasts, [this] { this->load->setRate(static_cast<double>(this->options.loadPerSecond)); });
        return true;
    }
    case FleetFaultKind::Impatience:
        this->load->setImpatience(static_cast<std::int64_t>(fault.detail % percent));
        this->after(fault.lasts, [this] { this->load->setImpatience(0); });
        return true;
    default:
        return false;
    }
}

std::size_t SoakRun::Private::mayLeave() const
{
    std::size_t listed = 0;
    std::size_t leaving = 0;
    for (const TargetPlace &place : this->places) {
        const bool isCounted = place.isListed && place.target->isAlive() && place.target->service() == "llm";
        listed += isCounted ? 1 : 0;
        leaving += isCounted && place.isLeaving ? 1 : 0;
    }
    if (this->options.mayLeaveTogether) {
        return (listed - leaving) / 2;
    }
    const std::size_t most = listed > 0 ? (listed - 1) / 2 : 0;
    return most - std::min(leaving, most);
}

void SoakRun::Private::leaveSome(const FleetFault &fault, std::size_t count)
{
    std::vector<TargetPlace *> serving;
    for (TargetPlace &place : this->places) {
        if (place.isListed && !place.isLeaving && place.target->isAlive() && place.target->service() == "llm") {
            serving.push_back(&place);
        }
    }
    for (std::size_t i = 0; i < std::min(count, serving.size()); ++i) {
        this->leaveTarget(*serving[(fault.subject + i) % serving.size()]);
    }
}

std::size_t SoakRun::Private::joinSome(std::size_t count)
{
    std::size_t joined = 0;
    for (TargetPlace &place : this->places) {
        if (joined < count && place.target->life().empty()) {
            this->startTarget(place, "llm");
            joined += 1;
        }
    }
    return joined;
}

void SoakRun::Private::loseAnswers(const FleetFault &fault)
{
    constexpr std::uint64_t percent = 100;
    constexpr std::uint64_t leastLostPercent = 30;
    const std::uint64_t mostLostPercent = this->options.mayLoseAllAnswers ? percent : 70;
    constexpr std::uint64_t fewestStruckPercent = 50;
    const std::uint64_t mostStruckPercent = this->options.mayLoseAllAnswers ? percent - 1 : 75;
    const double lost
        = static_cast<double>(leastLostPercent + fault.detail % (mostLostPercent + 1 - leastLostPercent)) / percent;
    std::vector<TargetPlace *> struck;
    for (TargetPlace &place : this->places) {
        if (place.target->isAlive() && place.target->service() == "llm") {
            struck.push_back(&place);
        }
    }
    const std::size_t struckPercent
        = fewestStruckPercent + fault.subject % (mostStruckPercent + 1 - fewestStruckPercent);
    struck.resize(struck.size() * struckPercent / percent);
    for (TargetPlace *place : struck) {
        place->target->setLosing(lost);
    }
    this->after(fault.lasts * 2, [struck] {
        for (TargetPlace *place : struck) {
            place->target->setLosing(0);
        }
    });
}

void SoakRun::Private::strikeFleet(const FleetFault &fault)
{
    this->note(toText(fault));
    if (this->changeLoad(fault)) {
        return;
    }
    const std::size_t all = this->gateways.size();
    const std::size_t half = (all + 1) / 2;
    const std::size_t leaving = this->mayLeave();
    const std::size_t some = leaving > 0 ? 1 + fault.detail % leaving : 0;
    switch (fault.kind) {
    case FleetFaultKind::KillGateway:
        this->strikeSome(fault, 1, SoakFaultKind::KillGateway);
        return;
    case FleetFaultKind::KillHalf:
        this->strikeSome(fault, half, SoakFaultKind::KillGateway);
        return;
    case FleetFaultKind::KillAll:
        for (std::size_t i = 0; i < all; ++i) {
            this->killGateway(i, fault.lasts / 4);
        }
        return;
    case FleetFaultKind::FreezeGateway:
        this->strikeSome(fault, 1, SoakFaultKind::FreezeGateway);
        return;
    case FleetFaultKind::FreezeHalf:
        this->strikeSome(fault, half, SoakFaultKind::FreezeGateway);
        return;
    case FleetFaultKind::StopGateway:
        this->strikeSome(fault, 1, SoakFaultKind::StopGateway);
        return;
    case FleetFaultKind::RollGateways:
        for (std::size_t i = 0; i < all; ++i) {
            this->after(fault.lasts * static_cast<std::int64_t>(i) / 2, [this, i] { this->stopGateway(i); });
        }
        return;
    case FleetFaultKind::CutPeers:
        this->strikeSome(fault, 1 + fault.detail % all, SoakFaultKind::CutPeers);
        return;
    case FleetFaultKind::SilencePeers:
        this->strikeSome(fault, 1 + fault.detail % all, SoakFaultKind::SilencePeers);
        return;
    case FleetFaultKind::SilenceOpenPeers:
        this->strikeSome(fault, 1 + fault.detail % all, SoakFaultKind::SilenceOpenPeers);
        return;
    case FleetFaultKind::OneWayPeers:
        this->strikeSome(fault, 1 + fault.detail % all, SoakFaultKind::OneWayPeers);
        return;
    case FleetFaultKind::DelayPeers:
        this->strikeSome(fault, 1 + fault.detail % all, SoakFaultKind::DelayPeers);
        return;
    case FleetFaultKind::DelayCallers:
        this->strikeSome(fault, 1, SoakFaultKind::DelayCallers);
        return;
    case FleetFaultKind::LeaveTargets:
        this->leaveSome(fault, some);
        return;
    case FleetFaultKind::JoinTargets:
        this->joinSome(1 + fault.detail % mostJoining);
        return;
    case FleetFaultKind::ReleaseTargets:
        this->joinSome(some);
        this->after(releaseLead, [this, fault, some] { this->leaveSome(fault, std::min(some, this->mayLeave())); });
        return;
    case FleetFaultKind::LoseAnswers:
        this->loseAnswers(fault);
        return;
    default:
        return;
    }
}

void SoakRun::Private::operate(const SoakFault &fault)
{
    switch (fault.kind) {
    case SoakFaultKind::AddRoute:
        this->administrator.addRoute();
        return;
    case SoakFaultKind::DropRoute:
        this->administrator.dropRoute();
        return;
    case SoakFaultKind::MoveRoute:
        this->administrator.moveRoute();
        return;
    case SoakFaultKind::ChangeTimeout:
        this->administrator.changeTimeout(fault.detail);
        return;
    case SoakFaultKind::RevokeKey:
        this->administrator.revokeKey(fault.detail);
        return;
    case SoakFaultKind::Storm:
        for (std::uint64_t i = 0; i < stormChanges; ++i) {
            this->after(stormGap * static_cast<std::int64_t>(i),
                        [this, i] { i % 2 == 0 ? this->administrator.moveRoute() : this->administrator.addRoute(); });
        }
        return;
    default:
        return;
    }
}

void SoakRun::Private::strike(const SoakFault &fault)
{
    this->note(toText(fault));
    const std::size_t gateway = fault.subject % this->gateways.size();
    TargetPlace &place = this->places[fault.subject % this->places.size()];
    switch (fault.kind) {
    case SoakFaultKind::KillAllGateways:
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            this->killGateway(i, fault.lasts / 4);
        }
        return;
    case SoakFaultKind::RollGateways:
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            this->after(fault.lasts * static_cast<std::int64_t>(i) / 2, [this, i] { this->stopGateway(i); });
        }
        return;
    case SoakFaultKind::SpoilService:
        for (TargetPlace &one : this->places) {
            if (one.target->service() == place.target->service()) {
                SoakFault each = fault;
                each.kind = SoakFaultKind::SpoilTarget;
                this->strikeTarget(each, one);
            }
        }
        return;
    default:
        break;
    }
    if (fault.kind < SoakFaultKind::StoreSilent || fault.kind == SoakFaultKind::CutCallers
        || fault.kind == SoakFaultKind::DelayCallers) {
        this->strikeGateway(fault, gateway);
    } else if (fault.kind < SoakFaultKind::CutCallers) {
        this->strikeStore(fault);
    } else if (fault.kind < SoakFaultKind::AddRoute) {
        this->strikeTarget(fault, place);
    } else {
        this->operate(fault);
    }
}

} // namespace Sequoiausher::Lab
