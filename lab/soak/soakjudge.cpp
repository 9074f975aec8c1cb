#include "lab/soak/soakjudge.h"

#include "lab/soak/streamcheck.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr int statusOk = 200;
constexpr int firstFailure = 300;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
/** The part of the idle limit for which callers use an idle connection again. */
constexpr std::int64_t usableParts = 4;
constexpr std::int64_t usablePartsOf = 5;

/** Before this a gateway that stops cuts no request: a little less than the part of its grace after which it does. */
constexpr Millis uncutStop{7300};

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/** One published version. */
struct Version
{
    GatewayConfiguration configuration;
    Millis at;
};

struct Run
{
    std::string target;
    Millis from;
    std::optional<RunEnd> end;
    Millis endedAt;
};

struct CallState
{
    SoakCall call;
    std::vector<Run> runs;
    std::size_t arrivals = 0;
    /** When its last byte was sent. */
    std::optional<Millis> wholeAt;
    std::optional<Millis> answeredAt;
    std::optional<Millis> leftAt;
    bool isRefused = false;
    bool isServed = false;
    bool isUnread = false;
    /** Overdue ends are reported once. */
    bool isTimeChecked = false;
    bool isLeaveChecked = false;
    Millis timeout = Millis::never();
};

/** Gateways that reached no target by themselves, and when. */
struct PathCutSpan
{
    std::set<std::size_t> gateways;
    Millis from;
    Millis to;
};

struct MadeAnswer
{
    int status = 0;
    std::string body;
};

const GatewayRoute *routeOf(const GatewayConfiguration &configuration, const std::string &path)
{
    const GatewayRoute *best = nullptr;
    for (const GatewayRoute &route : configuration.routes) {
        const bool fits = path.compare(0, route.pathPrefix.size(), route.pathPrefix) == 0;
        if (fits && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

const GatewayOrganisation *holderOf(const GatewayConfiguration &configuration, const std::string &key)
{
    for (const GatewayOrganisation &organisation : configuration.organisations) {
        if (std::find(organisation.keys.begin(), organisation.keys.end(), key) != organisation.keys.end()) {
            return &organisation;
        }
    }
    return nullptr;
}

bool leadsTo(const GatewayRoute &route, const std::string &service)
{
    return std::any_of(route.services.begin(), route.services.end(), [&service](const ServiceShare &share) {
        return share.service.value == service;
    });
}

/** The version lets the call run at the service for the organisation. */
bool allows(const Version &version, const SoakCall &call, const SoakArrival &arrival)
{
    const GatewayRoute *route = routeOf(version.configuration, call.path);
    const GatewayOrganisation *holder = holderOf(version.configuration, call.key);
    return route != nullptr && holder != nullptr && leadsTo(*route, arrival.service)
        && holder->name.value == arrival.organisation;
}

} // namespace

class SoakJudge::Private
{
public:
    explicit Private(const SoakBounds &with) : bounds(with), disturbed(with.contact)
    {
    }

    void broken(std::string promise, std::string detail, Millis at)
    {
        this->found.push_back({std::move(promise), std::move(detail), at});
    }

    Millis allowance(Millis from, Millis to) const;
    bool isInTouch(std::size_t gateway, Millis from, Millis to) const;
    /** Whether a path of the gateway to targets was cut so shortly before that a request may have waited in it. */
    bool isHeldUp(std::size_t gateway, Millis at) const;
    std::size_t oldestAllowed(const CallState &state, Millis now) const;
    void checkOrder(const CallState &state, const SoakArrival &arrival);
    void recordHolding(const CallState &state, const SoakArrival &arrival);
    void checkLimit();
    void checkConfiguration(const CallState &state, const SoakArrival &arrival);
    void checkRevoked(const CallState &state, const SoakArrival &arrival);
    void checkLeaving(const CallState &state, const SoakArrival &arrival);
    void checkEvacuated(const CallState &state, const SoakArrival &arrival);
    void checkCold(const SoakArrival &arrival);
    void checkRuns(CallState &state, const SoakArrival &arrival);
    void checkCrashing(const CallState &state, const SoakArrival &arrival);
    void checkSuccess(const CallState &state, const SoakAnswer &answer, Millis at);
    /** Looks for events of several software versions in one stream, over all attempts. */
    void checkVersions(const CallState &state, const SoakAnswer &answer, Millis at);
    void countStream(const CallState &state, const SoakAnswer &answer, Millis at);
    void checkTakenUp(Millis now);
    std::size_t servingTargets(const std::string &version) const;
    void checkDenied(const CallState &state, const SoakAnswer &answer, Millis at);
    /** Compares how calls were served at gateways without paths to targets and at the others. */
    void checkPathCut(const PathCutSpan &cut, Millis now);
    void checkLost(const CallState &state, Millis at);
    void checkLostUnsent(const CallState &state, Millis at);
    /** When the life of the gateway that got the call was asked to stop. */
    std::optional<Millis> stopOf(const SoakCall &call) const;
    /** Whether a planned stop may have cut the call off while its target worked on it. */
    bool mayBeCut(const CallState &state, Millis at) const;
    bool isTargetsFault(const CallState &state, Millis at) const;
    void countStop(const CallState &state, const SoakAnswer &answer, Millis at);
    void checkSilent(const CallState &state, Millis at);
    void checkUnread(CallState &state, Millis at);
    Millis shortestIdleTime() const;
    void checkTime(CallState &state, Millis now);
    void checkLeft(CallState &state, Millis now);
    void checkRepeats();
    bool isOwed(const CallState &state, Millis from) const;
    Millis timeoutOf(const SoakCall &call) const;

    struct Pause
    {
        Millis at;
        Millis span;
    };
    struct Seen
    {
        std::size_t version = 0;
        Millis at;
    };

    SoakBounds bounds;
    Disturbances disturbed;
    std::vector<Pause> pauses;
    std::vector<Version> versions;
    std::map<std::string, Millis> leaving;
    std::map<std::string, DataCentreId> dataCentres;
    /** Evacuated data centres, each with the time of the request. */
    std::map<DataCentreId, Millis> evacuations;
    struct ColdTarget
    {
        Millis until;
        std::vector<Millis> arrivals;
        bool isReported = false;
    };
    std::map<std::string, ColdTarget> coldTargets;
    std::map<std::string, CallState> calls;
    /** Calls that still have a check in time ahead. */
    std::set<std::string> open;
    std::map<std::string, MadeAnswer> answers;
    /** The software version of each target, and the targets that take new requests. */
    std::map<std::string, std::string> softwareVersions;
    std::set<std::string> serving;
    /** The version that began each stream, by the attempt that brought its first event. */
    std::map<std::string, std::string> streamVersions;
    StreamCounts streams;
    /** When each life of a gateway was first asked to stop. */
    std::map<std::pair<std::size_t, std::uint64_t>, Millis> stopsAsked;
    std::set<std::string> refusedByStop;
    std::size_t streamsCut = 0;
    std::vector<PathCutSpan> pathCuts;
    /** What became of the request that ends its targets. */
    std::set<std::string> ended;
    std::optional<Millis> endedEnoughAt;
    std::size_t lateEnds = 0;
    /** The newest version whose effect was seen, by gateway and life. */
    std::map<std::pair<std::size_t, std::uint64_t>, Seen> effects;
    std::map<std::string, std::vector<Millis>> requests;
    std::map<std::string, std::vector<Millis>> repeats;
    LimitJudge limit;
    std::vector<LimitWindow> worstWindows;
    std::vector<SoakViolation> found;
};

SoakJudge::SoakJudge(const SoakBounds &bounds) : d(std::make_unique<Private>(bounds))
{
}

SoakJudge::~SoakJudge() = default;

Disturbances &SoakJudge::disturbances()
{
    return this->d->disturbed;
}

std::string SoakJudge::gatewaySubject(std::size_t gateway)
{
    return "gateway " + std::to_string(gateway);
}

std::string SoakJudge::targetSubject(const std::string &life)
{
    return "target " + life;
}

void SoakJudge::paused(Millis at, Millis span)
{
    this->d->pauses.push_back({at, span});
}

Millis SoakJudge::Private::allowance(Millis from, Millis to) const
{
    Millis sum = this->bounds.allowance;
    for (const Pause &pause : this->pauses) {
        if (pause.at >= from && pause.at - pause.span <= to) {
            sum += pause.span;
        }
    }
    return sum;
}

bool SoakJudge::Private::isInTouch(std::size_t gateway, Millis from, Millis to) const
{
    return this->disturbed.isCalm(gatewaySubject(gateway), from, to) && this->disturbed.isCalm(storeSubject, from, to);
}

bool SoakJudge::Private::isHeldUp(std::size_t gateway, Millis at) const
{
    return std::any_of(this->pathCuts.begin(), this->pathCuts.end(), [this, gateway, at](const PathCutSpan &cut) {
        return cut.gateways.contains(gateway) && cut.from <= at && at <= cut.to + this->bounds.contact;
    });
}

void SoakJudge::configurationAcknowledged(const GatewayConfiguration &configuration, Millis at)
{
    this->d->versions.push_back({configuration, at});
}

void SoakJudge::leavingAcknowledged(const std::string &target, Millis at)
{
    this->d->leaving.emplace(target, at);
}

void SoakJudge::placed(const std::string &target, const DataCentreId &dataCentre)
{
    this->d->dataCentres[target] = dataCentre;
}

void SoakJudge::evacuationAcknowledged(const DataCentreId &dataCentre, Millis at)
{
    this->d->evacuations.emplace(dataCentre, at);
}

void SoakJudge::evacuationEnded(const DataCentreId &dataCentre)
{
    this->d->evacuations.erase(dataCentre);
}

void SoakJudge::cold(const std::string &target, Millis until)
{
    Private::ColdTarget &state = this->d->coldTargets[target];
    state.until = std::max(state.until, until);
}

Millis SoakJudge::Private::timeoutOf(const SoakCall &call) const
{
    // The longest that any version allows: a change may be on its way.
    Millis longest{0};
    for (const Version &version : this->versions) {
        const GatewayRoute *route = routeOf(version.configuration, call.path);
        longest = route != nullptr ? std::max(longest, route->timeout) : longest;
    }
    return longest == Millis{0} ? Millis::never() : std::min(longest, call.timeLeft);
}

void SoakJudge::serves(const std::string &target, const std::string &version)
{
    this->d->softwareVersions[target] = version;
    this->d->serving.insert(target);
}

void SoakJudge::servesNoMore(const std::string &target)
{
    this->d->serving.erase(target);
}

std::size_t SoakJudge::Private::servingTargets(const std::string &version) const
{
    return static_cast<std::size_t>(
        std::count_if(this->serving.begin(), this->serving.end(), [this, &version](const std::string &target) {
            return this->softwareVersions.at(target) == version;
        }));
}

void SoakJudge::sent(const SoakCall &call)
{
    CallState &state = this->d->calls[call.id];
    state.call = call;
    state.timeout = this->d->timeoutOf(call);
    state.wholeAt = call.isInParts ? std::nullopt : std::optional(call.sentAt);
    this->d->open.insert(call.id);
    std::set<std::string> services;
    for (const Version &version : this->d->versions) {
        if (const GatewayRoute *route = routeOf(version.configuration, call.path)) {
            services.insert(route->services.front().service.value);
        }
    }
    for (const std::string &service : services) {
        this->d->requests[service].push_back(call.sentAt);
    }
}

void SoakJudge::sentWhole(const std::string &id, Millis at)
{
    this->d->calls.at(id).wholeAt = at;
}

void SoakJudge::stopAsked(std::size_t gateway, std::uint64_t life, Millis at)
{
    this->d->stopsAsked.try_emplace({gateway, life}, at);
}

void SoakJudge::arrived(const SoakArrival &arrival)
{
    const auto found = this->d->calls.find(arrival.id);
    if (found == this->d->calls.end()) {
        this->d->broken("unasked", arrival.target + " got a request that nobody sent: " + arrival.id, arrival.at);
        return;
    }
    CallState &state = found->second;
    if (state.arrivals > 0) {
        this->d->repeats[arrival.service].push_back(arrival.at);
    }
    state.arrivals += 1;
    this->d->checkOrder(state, arrival);
    this->d->recordHolding(state, arrival);
    this->d->checkLeaving(state, arrival);
    this->d->checkEvacuated(state, arrival);
    this->d->checkCold(arrival);
    if (arrival.runs) {
        this->d->checkConfiguration(state, arrival);
        this->d->checkRevoked(state, arrival);
        this->d->checkRuns(state, arrival);
        this->d->checkCrashing(state, arrival);
        state.runs.push_back({arrival.target, arrival.at, std::nullopt});
        this->d->open.insert(arrival.id);
    }
}

void SoakJudge::Private::checkOrder(const CallState &state, const SoakArrival &arrival)
{
    const SoakCall &call = state.call;
    if (arrival.method != call.method || arrival.path != call.path || arrival.body != call.body) {
        this->broken("unasked", call.id + " reached " + arrival.target + " changed", arrival.at);
    }
    if (arrival.hasKey) {
        this->broken("unasked", call.id + " reached " + arrival.target + " with its key", arrival.at);
    }
    if (arrival.hasForged) {
        this->broken("unasked", call.id + " reached " + arrival.target + " with a forged field", arrival.at);
    }
    const Millis left = call.sentAt + call.timeLeft - arrival.at;
    const Millis most = left + this->bounds.ending + this->allowance(call.sentAt, arrival.at);
    // A gateway that stood still, or was sent the request late, cannot know how long it was on its way; nor can one
    // whose path to the target held the request up.
    const bool isLate = arrival.timeLeft && *arrival.timeLeft > most
        && this->isInTouch(call.gateway, call.sentAt, arrival.at) && !this->isHeldUp(call.gateway, arrival.at);
    if (!arrival.timeLeft || isLate) {
        const std::string given = arrival.timeLeft ? toText(*arrival.timeLeft) : "no deadline";
        this->broken(
            "budget", call.id + " was passed on with " + given + ", " + toText(left) + " are left", arrival.at);
    }
    const Millis leftBound = this->bounds.ending + this->allowance(call.sentAt, arrival.at);
    const bool isCalm = this->isInTouch(call.gateway, call.sentAt, arrival.at)
        && this->disturbed.isCalm(targetSubject(arrival.target), call.sentAt, arrival.at);
    if (state.leftAt && isCalm && arrival.at > *state.leftAt + leftBound) {
        this->broken("gone", call.id + " was passed on after its caller had left", arrival.at);
    }
}

void SoakJudge::Private::recordHolding(const CallState &state, const SoakArrival &arrival)
{
    const SoakCall &call = state.call;
    this->limit.arrived({arrival.service,
                         arrival.target,
                         call.gateway,
                         arrival.id,
                         arrival.at,
                         arrival.held,
                         arrival.ofService.requests,
                         arrival.ofService.targets,
                         this->isInTouch(call.gateway, call.sentAt, arrival.at)});
}

void SoakJudge::Private::checkLimit()
{
    this->worstWindows = this->limit.worstWindows(
        [this](Millis from, Millis to) { return this->disturbed.isUntouched(targetsSubject, from, to); });
    for (const LimitWindow &window : this->worstWindows) {
        if (window.isBreach) {
            this->broken("limit",
                         window.service + ": " + std::to_string(window.above.size()) + " of "
                             + std::to_string(window.arrivals)
                             + " requests of five seconds reached targets that held over twice the mean and three",
                         window.above.front().at);
        }
    }
}

std::size_t SoakJudge::Private::oldestAllowed(const CallState &state, Millis now) const
{
    const SoakCall &call = state.call;
    std::size_t oldest = 0;
    for (std::size_t i = 0; i < this->versions.size(); ++i) {
        const Millis since = this->versions[i].at;
        const Millis due = since + this->bounds.apply + this->allowance(since, now);
        if (call.sentAt > due && this->isInTouch(call.gateway, call.sentAt, now)) {
            oldest = i;
        }
    }
    const auto seen = this->effects.find({call.gateway, call.gatewayLife});
    if (seen != this->effects.end()) {
        const Millis due = seen->second.at + this->bounds.rollback + this->allowance(seen->second.at, now);
        if (call.sentAt > due) {
            oldest = std::max(oldest, seen->second.version);
        }
    }
    return oldest;
}

void SoakJudge::Private::checkConfiguration(const CallState &state, const SoakArrival &arrival)
{
    const std::size_t oldest = this->oldestAllowed(state, arrival.at);
    std::optional<std::size_t> first;
    bool isAllowedByOlder = false;
    for (std::size_t i = 0; i < this->versions.size(); ++i) {
        if (allows(this->versions[i], state.call, arrival)) {
            isAllowedByOlder = isAllowedByOlder || i < oldest;
            first = !first && i >= oldest ? i : first;
        }
    }
    if (!first) {
        const std::string what = state.call.id + " ran at " + arrival.target + " of " + arrival.service + " for '"
            + arrival.organisation + "' through gateway " + std::to_string(state.call.gateway);
        this->broken(isAllowedByOlder ? "config" : "route",
                     what + (isAllowedByOlder ? ", as only an older version allows" : ", as no version allows"),
                     arrival.at);
        return;
    }
    Seen &seen = this->effects[{state.call.gateway, state.call.gatewayLife}];
    // Where an older version than the first allowed one would have done the same, the effect says nothing new.
    if (*first > seen.version) {
        seen = {*first, arrival.at};
    }
}

void SoakJudge::Private::checkRevoked(const CallState &state, const SoakArrival &arrival)
{
    const auto held = std::find_if(this->versions.rbegin(), this->versions.rend(), [&state](const Version &version) {
        return holderOf(version.configuration, state.call.key) != nullptr;
    });
    if (held == this->versions.rbegin() || held == this->versions.rend()) {
        return;
    }
    const Millis takenAt = std::prev(held)->at;
    if (state.call.sentAt > takenAt + this->bounds.revocation) {
        const Millis late = state.call.sentAt - takenAt;
        this->broken("revoked", state.call.id + " ran " + toText(late) + " after its key was taken away", arrival.at);
    }
}

void SoakJudge::Private::checkLeaving(const CallState &state, const SoakArrival &arrival)
{
    const auto left = this->leaving.find(arrival.target);
    if (left == this->leaving.end()) {
        return;
    }
    const Millis due = left->second + this->bounds.drain + this->allowance(left->second, arrival.at);
    // The word counts from when the store took it in calm times.
    const bool isBound = this->disturbed.isCalm(storeSubject, left->second, left->second)
        && this->isInTouch(state.call.gateway, state.call.sentAt, arrival.at);
    if (arrival.at > due && isBound) {
        const Millis late = arrival.at - left->second;
        this->broken("drain",
                     state.call.id + " reached " + arrival.target + " " + toText(late) + " after its leave",
                     arrival.at);
    }
}

void SoakJudge::Private::checkEvacuated(const CallState &state, const SoakArrival &arrival)
{
    const auto placed = this->dataCentres.find(arrival.target);
    const auto evacuation
        = placed != this->dataCentres.end() ? this->evacuations.find(placed->second) : this->evacuations.end();
    if (evacuation == this->evacuations.end()) {
        return;
    }
    const Millis from = evacuation->second;
    const Millis due = from + this->bounds.evacuation + this->allowance(from, arrival.at);
    const bool isBound = this->disturbed.isCalm(storeSubject, from, from)
        && this->isInTouch(state.call.gateway, state.call.sentAt, arrival.at);
    if (arrival.at > due && isBound) {
        this->broken("evacuation",
                     state.call.id + " reached " + arrival.target + " in " + placed->second.value + " "
                         + toText(arrival.at - from) + " after the request to evacuate it",
                     arrival.at);
    }
}

void SoakJudge::Private::checkCold(const SoakArrival &arrival)
{
    const auto cold = this->coldTargets.find(arrival.target);
    if (cold == this->coldTargets.end() || arrival.at > cold->second.until) {
        return;
    }
    constexpr Millis second{1000};
    std::vector<Millis> &arrivals = cold->second.arrivals;
    arrivals.push_back(arrival.at);
    // What arrived while this process stood still is seen at once.
    const Millis stretched = second - (this->allowance(arrival.at - second, arrival.at) - this->bounds.allowance);
    std::erase_if(arrivals, [&](Millis at) { return at <= arrival.at - second; });
    const auto within = std::count_if(
        arrivals.begin(), arrivals.end(), [&](Millis at) { return at > arrival.at - std::max(stretched, Millis{0}); });
    const double most = this->bounds.coldPerSecond * this->bounds.coldOverrun + this->bounds.coldSlack;
    if (static_cast<double>(within) > most && !std::exchange(cold->second.isReported, true)) {
        this->broken("cold",
                     arrival.target + " got " + std::to_string(within) + " requests in a second while it was cold",
                     arrival.at);
    }
}

void SoakJudge::Private::checkRuns(CallState &state, const SoakArrival &arrival)
{
    const std::string &id = state.call.id;
    if (!state.runs.empty() && !isIdempotent(state.call.kind)) {
        this->broken("twice", id + " ran at " + state.runs.back().target + " and at " + arrival.target, arrival.at);
    }
    if (state.isRefused) {
        this->broken("refused", id + " ran at " + arrival.target + " after its caller heard 'not run'", arrival.at);
    }
    if (state.runs.size() >= state.call.mostTargets) {
        this->broken("budget", id + " ran at more targets than its route allows", arrival.at);
    }
}

void SoakJudge::Private::checkCrashing(const CallState &state, const SoakArrival &arrival)
{
    if (!arrival.endsTarget) {
        return;
    }
    const bool isLate = this->endedEnoughAt
        && arrival.at > *this->endedEnoughAt + this->bounds.contact + this->allowance(*this->endedEnoughAt, arrival.at);
    if (isLate && this->isInTouch(state.call.gateway, state.call.sentAt, arrival.at)) {
        this->lateEnds += 1;
    }
    if (this->lateEnds == this->bounds.lateEnds + 1) {
        this->broken("budget",
                     state.call.id + " reached " + arrival.target + ", the " + std::to_string(this->lateEnds)
                         + "th late arrival of a request that ended " + std::to_string(this->ended.size()) + " targets",
                     arrival.at);
    }
    this->ended.insert(arrival.target);
    if (this->ended.size() == this->bounds.endsUntilKnown) {
        this->endedEnoughAt = this->endedEnoughAt.value_or(arrival.at);
    }
}

void SoakJudge::made(const std::string &signature, int status, const std::string &body)
{
    this->d->answers[signature] = {status, body};
}

void SoakJudge::runEnded(const std::string &id, const std::string &target, RunEnd how, Millis at)
{
    const auto found = this->d->calls.find(id);
    if (found == this->d->calls.end()) {
        return;
    }
    for (Run &run : found->second.runs) {
        if (run.target == target && !run.end) {
            run.end = how;
            run.endedAt = at;
            return;
        }
    }
}

void SoakJudge::answered(const std::string &id, const SoakAnswer &answer, Millis at)
{
    CallState &state = this->d->calls.at(id);
    state.answeredAt = at;
    this->d->countStream(state, answer, at);
    this->d->countStop(state, answer, at);
    if (answer.isUnread) {
        this->d->checkUnread(state, at);
        this->d->checkLostUnsent(state, at);
        return;
    }
    if (!answer.isWhole && answer.status == 0) {
        this->d->checkSilent(state, at);
        this->d->checkLost(state, at);
        return;
    }
    if (answer.status < firstFailure || !answer.signature.empty()) {
        this->d->checkSuccess(state, answer, at);
    }
    if (!answer.isWhole) {
        this->d->checkLost(state, at);
        return;
    }
    state.isServed = answer.status == statusOk;
    if (promisesNotRun(answer.status)) {
        state.isRefused = true;
        if (!state.runs.empty()) {
            this->d->broken("refused", id + " heard 'not run' and ran at " + state.runs.back().target, at);
        }
    }
    if (answer.status == statusUnauthorized || answer.status == statusNotFound) {
        this->d->checkDenied(state, answer, at);
    }
}

void SoakJudge::Private::checkSuccess(const CallState &state, const SoakAnswer &answer, Millis at)
{
    const std::string &id = state.call.id;
    const auto own = this->answers.find(answer.signature);
    if (answer.attemptId != id || own == this->answers.end() || answer.signature.find(id) == std::string::npos) {
        this->broken("mixed", id + " got an answer that is not its own: '" + answer.signature + "'", at);
        return;
    }
    if (own->second.status != answer.status) {
        this->broken("mixed", id + " got another status than its target gave", at);
    }
    if (isStream(state.call.kind) && answer.status == statusOk) {
        if (const auto fault = streamFault(state.call, answer.body, answer.isWhole)) {
            this->broken("order", id + ": " + *fault, at);
        }
        this->checkVersions(state, answer, at);
    } else if (answer.isWhole && own->second.body != answer.body) {
        this->broken("mixed", id + " got another body than its target gave", at);
    }
}

void SoakJudge::Private::checkVersions(const CallState &state, const SoakAnswer &answer, Millis at)
{
    for (const std::string &target : targetsIn(answer.body)) {
        const auto version = this->softwareVersions.find(target);
        if (version == this->softwareVersions.end()) {
            continue;
        }
        const auto [began, isFirst] = this->streamVersions.try_emplace(streamIdOf(state.call), version->second);
        if (!isFirst && began->second != version->second) {
            this->broken("version",
                         state.call.id + ": the stream began at " + began->second + " and has events of "
                             + version->second + " by " + target,
                         at);
        }
    }
}

void SoakJudge::Private::countStream(const CallState &state, const SoakAnswer &answer, Millis at)
{
    if (state.call.endsTargets) {
        return;
    }
    const SoakCall &call = state.call;
    const bool isInTouch = this->isInTouch(call.gateway, call.sentAt, at);
    if (call.kind != CallKind::Chat || state.leftAt || answer.isUnread || !isInTouch) {
        return;
    }
    constexpr int statusOfSuccess = 200;
    const bool hasEvent = answer.status == statusOfSuccess && !targetsIn(answer.body).empty();
    if (call.takesUp.empty()) {
        this->streams.fresh += 1;
        this->streams.freshBegun += hasEvent ? 1 : 0;
        return;
    }
    const auto version = this->streamVersions.find(call.takesUp);
    constexpr std::size_t enoughTargets = 2;
    if (version != this->streamVersions.end() && this->servingTargets(version->second) >= enoughTargets) {
        this->streams.takenUp += 1;
        this->streams.takenUpGoneOn += hasEvent ? 1 : 0;
    }
}

void SoakJudge::Private::checkTakenUp(Millis now)
{
    constexpr std::size_t fewestStreams = 12;
    const StreamCounts &counts = this->streams;
    // Under half of the share of new streams that begin.
    if (counts.takenUp >= fewestStreams
        && counts.takenUpGoneOn * 2 * counts.fresh < counts.freshBegun * counts.takenUp) {
        this->broken("taken up",
                     "of the streams that were taken up " + std::to_string(counts.takenUpGoneOn) + " of "
                         + std::to_string(counts.takenUp) + " went on, of new ones " + std::to_string(counts.freshBegun)
                         + " of " + std::to_string(counts.fresh) + " began",
                     now);
    }
}

StreamCounts SoakJudge::streams() const
{
    return this->d->streams;
}

void SoakJudge::Private::checkDenied(const CallState &state, const SoakAnswer &answer, Millis at)
{
    if (!answer.signature.empty()) {
        return;
    }
    for (std::size_t i = this->oldestAllowed(state, at); i < this->versions.size(); ++i) {
        const Version &version = this->versions[i];
        const bool hasRoute = routeOf(version.configuration, state.call.path) != nullptr;
        const bool hasKey = holderOf(version.configuration, state.call.key) != nullptr;
        if (!hasRoute || !hasKey) {
            return;
        }
    }
    this->broken("denied",
                 state.call.id + " got " + std::to_string(answer.status) + " though every version in force allows it",
                 at);
}

std::optional<Millis> SoakJudge::Private::stopOf(const SoakCall &call) const
{
    const auto stop = this->stopsAsked.find({call.gateway, call.gatewayLife});
    return stop != this->stopsAsked.end() ? std::optional(stop->second) : std::nullopt;
}

bool SoakJudge::Private::isTargetsFault(const CallState &state, Millis at) const
{
    const Millis from = state.call.sentAt - this->bounds.ending;
    return std::any_of(state.runs.begin(), state.runs.end(), [this, from, at](const Run &run) {
        return run.end == RunEnd::Spoilt || !this->disturbed.isUntouched(targetSubject(run.target), from, at);
    });
}

bool SoakJudge::Private::mayBeCut(const CallState &state, Millis at) const
{
    const std::optional<Millis> stop = this->stopOf(state.call);
    if (!stop || !state.wholeAt || *state.wholeAt > *stop + this->bounds.sentEarly) {
        return false;
    }
    const auto isLate = [this, stop](Millis moment) { return (moment - *stop) * 6 >= this->bounds.grace * 5; };
    return isLate(at) && std::any_of(state.runs.begin(), state.runs.end(), [&isLate](const Run &run) {
               return run.end != RunEnd::Answered && (!run.end || isLate(run.endedAt));
           });
}

void SoakJudge::Private::checkLost(const CallState &state, Millis at)
{
    const SoakCall &call = state.call;
    const std::string subject = gatewaySubject(call.gateway) + unplannedSuffix;
    if (state.runs.empty()) {
        this->checkLostUnsent(state, at);
        return;
    }
    if (!this->disturbed.isUntouched(subject, call.sentAt - this->bounds.ending, at)) {
        return;
    }
    const Millis due = call.sentAt + std::min(state.timeout, call.timeLeft) - this->bounds.ending;
    if (at >= due || this->isTargetsFault(state, at) || this->mayBeCut(state, at)) {
        return;
    }
    const std::optional<Millis> stop = this->stopOf(call);
    this->broken("lost",
                 call.id + " was passed on and its connection ended without an answer"
                     + (stop ? ", sent " + toText(*state.wholeAt - *stop) + " and ended " + toText(at - *stop)
                                + " after the SIGTERM of gateway " + std::to_string(call.gateway)
                             : ""),
                 at);
}

// Around a planned stop a request that was not passed on is answered too, if there was time to read it. Behind a relay
// nobody can tell whether it came.
void SoakJudge::Private::checkLostUnsent(const CallState &state, Millis at)
{
    const SoakCall &call = state.call;
    const std::optional<Millis> stop = this->stopOf(call);
    if (!stop || !state.wholeAt || !call.isDirect || !state.runs.empty()) {
        return;
    }
    const Millis late
        = *state.wholeAt + this->bounds.lossSlack + this->allowance(*state.wholeAt, at) - this->bounds.allowance;
    const bool isAround = at >= *stop && at <= *stop + this->bounds.grace + this->bounds.afterGrace;
    const bool isOver = at >= call.sentAt + std::min(state.timeout, call.timeLeft) - this->bounds.ending;
    const std::string subject = gatewaySubject(call.gateway) + unplannedSuffix;
    if (isAround && at > late && !isOver && this->disturbed.isCalm(subject, call.sentAt, at)) {
        this->broken("lost",
                     call.id + " ended without an answer " + toText(at - *state.wholeAt) + " after its last byte and "
                         + toText(at - *stop) + " after the SIGTERM of gateway " + std::to_string(call.gateway),
                     at);
    }
}

void SoakJudge::Private::countStop(const CallState &state, const SoakAnswer &answer, Millis at)
{
    const std::optional<Millis> stop = this->stopOf(state.call);
    if (!stop || at < *stop) {
        return;
    }
    if (answer.isWhole && answer.status == statusUnavailable && answer.signature.empty()) {
        this->refusedByStop.insert(state.call.id);
    }
    const bool isCut = isStream(state.call.kind) && !answer.isWhole && !state.runs.empty();
    this->streamsCut += isCut && !this->isTargetsFault(state, at) ? 1 : 0;
}

StopCounts SoakJudge::stops() const
{
    StopCounts counts;
    counts.refused = this->d->refusedByStop.size();
    counts.streamsCut = this->d->streamsCut;
    for (const auto &[id, state] : this->d->calls) {
        const bool cameAgain = this->d->refusedByStop.contains(state.call.comesAgainFor);
        counts.cameAgain += cameAgain && state.answeredAt ? 1 : 0;
        counts.servedAgain += cameAgain && state.isServed ? 1 : 0;
    }
    return counts;
}

// A caller may retry a request that runs at most once only after a refusal, or if the gateway's kernel reported that
// nobody read it. A gateway that reads the request and closes without an answer leaves it neither.
void SoakJudge::Private::checkSilent(const CallState &state, Millis at)
{
    const SoakCall &call = state.call;
    const std::string subject = gatewaySubject(call.gateway) + killedSuffix;
    if (!call.isDirect || !state.wholeAt
        || !this->disturbed.isUntouched(subject, call.sentAt - this->bounds.ending, at)) {
        return;
    }
    // At the end of its grace a gateway cuts what it has not answered. Where the plan made it stand still meanwhile, it
    // may have read the request too late.
    const std::optional<Millis> stop = this->stopOf(call);
    const bool isHeldUp = stop && at >= *stop + uncutStop
        && !this->disturbed.isUntouched(gatewaySubject(call.gateway) + unplannedSuffix,
                                        std::max(*stop, call.sentAt - this->bounds.contact),
                                        *stop + uncutStop);
    if (!isHeldUp) {
        this->broken("silent",
                     call.id + " was read by gateway " + std::to_string(call.gateway) + " after " + toText(call.idleFor)
                         + " idle, and its connection ended with nothing",
                     at);
    }
}

void SoakJudge::Private::checkUnread(CallState &state, Millis at)
{
    const SoakCall &call = state.call;
    state.isUnread = true;
    state.isRefused = true;
    if (!state.runs.empty()) {
        this->broken("refused", call.id + " counted as unread and ran at " + state.runs.back().target, at);
    }
    // Callers are promised that a connection which was idle for less than four fifths of the limit still serves.
    const bool isInTime = call.idleFor + this->allowance(call.sentAt - call.idleFor, at)
        < this->shortestIdleTime() * usableParts / usablePartsOf;
    if (isInTime && this->disturbed.isUntouched(gatewaySubject(call.gateway), call.sentAt - call.idleFor, at)) {
        this->broken("kept", call.id + " met a closed connection after " + toText(call.idleFor) + " idle", at);
    }
}

Millis SoakJudge::Private::shortestIdleTime() const
{
    Millis shortest = Millis::never();
    for (const Version &version : this->versions) {
        shortest = std::min(shortest, version.configuration.limits.idleTime);
    }
    return shortest;
}

void SoakJudge::logged(std::size_t gateway, const std::string &line, Millis at)
{
    const bool isThrownAway = line.find("bytes thrown away after a close") != std::string::npos;
    const bool isUnused = line.find("why=idle") != std::string::npos || line.find("why=stopping") != std::string::npos;
    if (isThrownAway && isUnused) {
        this->d->broken("silent", gatewaySubject(gateway) + " wrote: " + line, at);
    }
}

void SoakJudge::strayBytes(const std::string &caller, Millis at)
{
    this->d->broken("mixed", caller + " got bytes for which no request waited", at);
}

void SoakJudge::broken(const std::string &promise, const std::string &detail, Millis at)
{
    this->d->broken(promise, detail, at);
}

void SoakJudge::left(const std::string &id, Millis at)
{
    this->d->calls.at(id).leftAt = at;
}

void SoakJudge::tick(Millis now)
{
    for (auto id = this->d->open.begin(); id != this->d->open.end();) {
        CallState &state = this->d->calls.at(*id);
        this->d->checkTime(state, now);
        this->d->checkLeft(state, now);
        const bool isAtWork = std::any_of(state.runs.begin(), state.runs.end(), [](const Run &r) { return !r.end; });
        const bool isOver = state.answeredAt || (state.leftAt && (state.isLeaveChecked || !isAtWork));
        id = isOver ? this->d->open.erase(id) : std::next(id);
    }
}

void SoakJudge::Private::checkTime(CallState &state, Millis now)
{
    if (state.answeredAt || state.leftAt || state.isTimeChecked || state.timeout == Millis::never()) {
        return;
    }
    const SoakCall &call = state.call;
    const Millis due = call.sentAt + state.timeout + this->bounds.ending + this->allowance(call.sentAt, now);
    if (now <= due) {
        return;
    }
    state.isTimeChecked = true;
    if (this->isInTouch(call.gateway, call.sentAt, now)) {
        this->broken("timeout", call.id + " has no answer after " + toText(now - call.sentAt), now);
    }
}

void SoakJudge::Private::checkLeft(CallState &state, Millis now)
{
    if (!state.leftAt || state.isLeaveChecked) {
        return;
    }
    const SoakCall &call = state.call;
    if (now <= *state.leftAt + this->bounds.ending + this->allowance(*state.leftAt, now)) {
        return;
    }
    state.isLeaveChecked = true;
    for (const Run &run : state.runs) {
        const bool isCalm = this->isInTouch(call.gateway, call.sentAt, now)
            && this->disturbed.isCalm(targetSubject(run.target), call.sentAt, now);
        if (!run.end && isCalm) {
            this->broken("gone", run.target + " still works on " + call.id + " whose caller has left", now);
        }
    }
}

void SoakJudge::Private::checkRepeats()
{
    const Millis window = this->bounds.repeatWindow;
    const auto countIn = [](const std::vector<Millis> &times, Millis from, Millis to) {
        const auto begin = std::upper_bound(times.begin(), times.end(), from);
        const auto end = std::upper_bound(times.begin(), times.end(), to);
        return static_cast<double>(std::max<std::ptrdiff_t>(end - begin, 0));
    };
    for (auto &[service, times] : this->repeats) {
        std::sort(times.begin(), times.end());
        const std::vector<Millis> &asked = this->requests[service];
        for (const Millis at : times) {
            const double most = std::max({countIn(asked, at - window, at),
                                          countIn(asked, at - window * 3 / 2, at - window / 2),
                                          countIn(asked, at - window * 2, at - window)});
            const double count = countIn(times, at - window, at);
            if (count > most * this->bounds.repeatRatio + this->bounds.repeatSlack) {
                this->broken("budget", service + " got " + std::to_string(count) + " repeats in a window", at);
                return;
            }
        }
    }
}

void SoakJudge::finish(Millis now)
{
    this->tick(now);
    this->d->checkRepeats();
    this->d->checkTakenUp(now);
    this->d->checkLimit();
    for (const PathCutSpan &cut : this->d->pathCuts) {
        this->d->checkPathCut(cut, now);
    }
}

void SoakJudge::pathsCut(const std::set<std::size_t> &gateways, Millis from, Millis to)
{
    this->d->pathCuts.push_back({gateways, from, to});
}

void SoakJudge::Private::checkPathCut(const PathCutSpan &cut, Millis now)
{
    struct Count
    {
        std::size_t sent = 0;
        std::size_t served = 0;
    };
    Count without;
    Count with;
    const Millis from = cut.from + this->bounds.contact;
    for (const auto &[id, state] : this->calls) {
        const SoakCall &call = state.call;
        if (call.sentAt < from || call.sentAt >= cut.to || !this->isOwed(state, from)) {
            continue;
        }
        if (this->disturbed.isUntouched(
                gatewaySubject(call.gateway), call.sentAt - this->bounds.contact, *state.answeredAt)) {
            Count &count = cut.gateways.contains(call.gateway) ? without : with;
            count.sent += 1;
            count.served += state.isServed ? 1 : 0;
        }
    }
    constexpr std::size_t freeFailures = 10;
    constexpr std::size_t failuresPerCalls = 50;
    const bool isFarWorse = without.served * 3 * with.sent < with.served * 2 * without.sent;
    if (isFarWorse && without.sent - without.served > freeFailures + without.sent / failuresPerCalls) {
        this->broken("recover",
                     "gateways without paths to targets served " + std::to_string(without.served) + " of "
                         + std::to_string(without.sent) + " calls, the others " + std::to_string(with.served) + " of "
                         + std::to_string(with.sent),
                     now);
    }
}

const std::vector<SoakViolation> &SoakJudge::violations() const
{
    return this->d->found;
}

const std::vector<LimitWindow> &SoakJudge::worstWindows() const
{
    return this->d->worstWindows;
}

bool SoakJudge::Private::isOwed(const CallState &state, Millis from) const
{
    if (state.call.endsTargets || state.call.sentAt < from || state.leftAt || !state.answeredAt
        || this->versions.empty()) {
        return false;
    }
    // It never came: its caller may send it again. One that opens a connection is owed the service.
    if (state.isUnread && !state.call.isFirst) {
        return false;
    }
    const GatewayConfiguration &newest = this->versions.back().configuration;
    return routeOf(newest, state.call.path) != nullptr && holderOf(newest, state.call.key) != nullptr;
}

std::size_t SoakJudge::sentSince(Millis from) const
{
    return static_cast<std::size_t>(
        std::count_if(this->d->calls.begin(), this->d->calls.end(), [this, from](const auto &entry) {
            return this->d->isOwed(entry.second, from);
        }));
}

std::size_t SoakJudge::servedSince(Millis from) const
{
    return static_cast<std::size_t>(
        std::count_if(this->d->calls.begin(), this->d->calls.end(), [this, from](const auto &entry) {
            return this->d->isOwed(entry.second, from) && entry.second.isServed;
        }));
}

std::size_t SoakJudge::unread() const
{
    return static_cast<std::size_t>(std::count_if(
        this->d->calls.begin(), this->d->calls.end(), [](const auto &entry) { return entry.second.isUnread; }));
}

} // namespace Sequoiausher::Lab
