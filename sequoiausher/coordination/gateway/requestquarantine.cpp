#include "sequoiausher/coordination/gateway/requestquarantine.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace Sequoiausher {

namespace {

/** One in this many reports to a peer lists all refused requests, so that a restarted peer learns of them. */
constexpr std::uint64_t reportsPerFullReport = 4;
/** The most entries in one report; requests with the most crashes go first. */
constexpr std::size_t maxReportEntries = 256;

/** A target that ended while the request was in flight there. */
struct Crash
{
    TargetId target;
    Millis sentAt;
    Millis endedAt;
    Millis learntAt;
    InstanceId from;
    UpdateScope scope = UpdateScope::Own;
};

struct Suspect
{
    std::vector<Crash> crashes;
    Millis seenAt;
    /** The last complete answer. Targets that ended before it were not crashed by the request. */
    std::optional<Millis> answeredAt;
    Millis answerLearntAt;
    InstanceId answerFrom;
    UpdateScope answerScope = UpdateScope::Own;
    bool isRefused = false;
};

bool hasCrashOf(const Suspect &suspect, const TargetId &target)
{
    return std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&target](const Crash &crash) {
        return crash.target == target;
    });
}

/** Whether all targets that ended with the suspect in flight also had the other request in flight. */
bool isCoveredBy(const Suspect &suspect, const Suspect &other)
{
    return std::all_of(suspect.crashes.begin(), suspect.crashes.end(), [&other](const Crash &crash) {
        return hasCrashOf(other, crash.target);
    });
}

/** Returns the mean time from when targets received the request until they ended. */
Millis computeMeanRunTime(const std::vector<Crash> &crashes)
{
    Millis sum;
    for (const Crash &crash : crashes) {
        sum += crash.endedAt - crash.sentAt;
    }
    return crashes.empty() ? sum : Millis{sum.count / static_cast<std::int64_t>(crashes.size())};
}

struct Loss
{
    RequestFingerprint request;
    TargetId target;
    Millis sentAt;
    Millis at;
    /** The target has accepted a connection since. */
    bool isTargetAlive = false;
};

} // namespace

class RequestQuarantine::Private
{
public:
    using Suspects = std::map<RequestFingerprint, Suspect>;

    void addCrash(const RequestFingerprint &request, Crash crash, Millis now);
    /** Decides about the requests with new crashes. @return the requests that are refused from now on. */
    std::vector<RequestFingerprint> decide();
    void
    applyAnswer(const RequestFingerprint &request, Millis at, Millis now, const InstanceId &from, UpdateScope scope);
    bool causesCrashes(const RequestFingerprint &request, const Suspect &suspect) const;
    /** Stops refusing requests with fewer crashes, all of them at targets that also had the culprit in flight. */
    void releaseCoincident(const RequestFingerprint &request, const Suspect &culprit);
    /**
     * Counts the crashes of the suspect, simultaneous ones once. With its fingerprint, leaves out crashes of targets
     * that also had another refused request in flight.
     */
    std::size_t countCrashes(const Suspect &suspect, const std::optional<RequestFingerprint> &request) const;
    bool isExplained(const RequestFingerprint &request, const TargetId &target) const;
    /** Returns the suspect as it would be if all its targets whose state is not known yet had ended. */
    Suspect assumePendingCrashes(const RequestFingerprint &request, Millis now) const;
    std::optional<Millis> answeredAt(const RequestFingerprint &request, Millis now) const;
    void evictOldestSuspects();
    void expire(Millis now);
    /** Drops losses older than lossTtl. By then the list of targets would have dropped a target that ended. */
    void forgetLosses(Millis now);

    RequestQuarantineSettings settings;
    Suspects suspects;
    std::vector<Loss> losses;
    std::map<RequestFingerprint, Millis> answers;
    std::deque<std::pair<Millis, RequestFingerprint>> answerOrder;
    std::map<InstanceId, std::uint64_t> reports;
    /** Requests with new crashes that decide() has not handled yet. */
    std::vector<RequestFingerprint> requestsToDecide;
};

RequestQuarantine::RequestQuarantine(const RequestQuarantineSettings &settings) : d(std::make_unique<Private>())
{
    this->d->settings = settings;
}

RequestQuarantine::~RequestQuarantine() = default;

void RequestQuarantine::recordLostConnection(const RequestFingerprint &request,
                                             const TargetId &target,
                                             Millis sentAt,
                                             Millis now)
{
    this->d->forgetLosses(now);
    this->d->losses.push_back({request, target, sentAt, now});
}

std::vector<RequestFingerprint> RequestQuarantine::recordTargetEnded(const TargetId &target, Millis now)
{
    this->d->forgetLosses(now);
    std::vector<Loss> known;
    std::erase_if(this->d->losses, [&known, &target](const Loss &loss) {
        if (loss.target == target) {
            known.push_back(loss);
        }
        return loss.target == target;
    });
    this->d->expire(now);
    for (const Loss &loss : known) {
        this->d->addCrash(loss.request, {target, loss.sentAt, loss.at, now, {}, UpdateScope::Own}, now);
    }
    return this->d->decide();
}

void RequestQuarantine::recordTargetAlive(const TargetId &target)
{
    for (Loss &loss : this->d->losses) {
        loss.isTargetAlive = loss.isTargetAlive || loss.target == target;
    }
}

std::vector<TargetId> RequestQuarantine::targetsToCheck(Millis now)
{
    this->d->forgetLosses(now);
    std::vector<TargetId> targets;
    for (const Loss &loss : this->d->losses) {
        if (std::find(targets.begin(), targets.end(), loss.target) == targets.end()) {
            targets.push_back(loss.target);
        }
    }
    return targets;
}

void RequestQuarantine::recordAnswer(const RequestFingerprint &request, Millis now)
{
    this->d->answers[request] = now;
    this->d->answerOrder.emplace_back(now, request);
    const auto isOver = [this, now](const auto &oldest) {
        return this->d->answerOrder.size() > this->d->settings.maxAnswers
            || now - oldest.first > this->d->settings.answerTtl;
    };
    while (isOver(this->d->answerOrder.front())) {
        const auto &[at, old] = this->d->answerOrder.front();
        const auto found = this->d->answers.find(old);
        if (found != this->d->answers.end() && found->second == at) {
            this->d->answers.erase(found);
        }
        this->d->answerOrder.pop_front();
    }
    this->d->applyAnswer(request, now, now, {}, UpdateScope::Own);
}

std::vector<RequestFingerprint> RequestQuarantine::mergeReport(const InstanceId &peer,
                                                               const std::vector<GatewayCrash> &crashes,
                                                               Millis now,
                                                               UpdateScope scope)
{
    this->d->expire(now);
    for (const GatewayCrash &crash : crashes) {
        const RequestFingerprint request{crash.caller, crash.content};
        if (crash.age < Millis{0} || crash.ranFor < Millis{0}) {
            continue;
        }
        const Millis at = now - std::min(crash.age, this->d->settings.suspectTtl);
        if (crash.target.value.empty()) {
            this->d->applyAnswer(request, at, now, peer, scope);
        } else {
            const Millis sentAt = at - std::min(crash.ranFor, this->d->settings.suspectTtl);
            this->d->addCrash(request, {crash.target, sentAt, at, now, peer, scope}, now);
        }
    }
    return this->d->decide();
}

void RequestQuarantine::Private::addCrash(const RequestFingerprint &request, Crash crash, Millis now)
{
    Suspect &suspect = this->suspects[request];
    const std::optional<Millis> own = this->answeredAt(request, now);
    if (own && (!suspect.answeredAt || *suspect.answeredAt < *own)) {
        // A peer that reports a crash from before this answer has not learnt of the answer. Dating it as learnt now
        // puts it into the next reports.
        suspect.answeredAt = own;
        suspect.answerLearntAt = now;
    }
    suspect.seenAt = std::max(suspect.seenAt, crash.endedAt);
    if (hasCrashOf(suspect, crash.target) || (suspect.answeredAt && crash.endedAt <= *suspect.answeredAt)) {
        return;
    }
    suspect.crashes.push_back(std::move(crash));
    this->requestsToDecide.push_back(request);
    this->evictOldestSuspects();
}

std::vector<RequestFingerprint> RequestQuarantine::Private::decide()
{
    // A request that crashes a target does so soon after its arrival; other requests in flight there have mostly been
    // there for longer. Among requests with equally many crashes, the one with the shortest mean time is decided first.
    std::vector<std::pair<std::pair<std::int64_t, Millis>, RequestFingerprint>> order;
    for (const RequestFingerprint &request : std::exchange(this->requestsToDecide, {})) {
        const auto found = this->suspects.find(request);
        if (found != this->suspects.end()) {
            const auto count = static_cast<std::int64_t>(this->countCrashes(found->second, {}));
            order.push_back({{-count, computeMeanRunTime(found->second.crashes)}, request});
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<RequestFingerprint> refused;
    for (const auto &[rank, request] : order) {
        Suspect &suspect = this->suspects[request];
        if (!suspect.isRefused && this->causesCrashes(request, suspect)) {
            suspect.isRefused = true;
            refused.push_back(request);
        }
        if (suspect.isRefused) {
            this->releaseCoincident(request, suspect);
        }
    }
    return refused;
}

bool RequestQuarantine::Private::causesCrashes(const RequestFingerprint &request, const Suspect &suspect) const
{
    if (this->countCrashes(suspect, request) >= this->settings.crashThreshold) {
        return true;
    }
    // A refused request may only have been in flight beside this one, which then keeps crashing targets without it.
    return this->countCrashes(suspect, {}) > this->settings.crashThreshold
        && std::none_of(this->suspects.begin(), this->suspects.end(), [&request, &suspect](const auto &entry) {
               return entry.first != request && entry.second.isRefused && isCoveredBy(suspect, entry.second);
           });
}

void RequestQuarantine::Private::releaseCoincident(const RequestFingerprint &request, const Suspect &culprit)
{
    for (auto &[other, suspect] : this->suspects) {
        if (other != request && suspect.isRefused && suspect.crashes.size() < culprit.crashes.size()) {
            suspect.isRefused = !isCoveredBy(suspect, culprit);
        }
    }
}

void RequestQuarantine::Private::applyAnswer(const RequestFingerprint &request,
                                             Millis at,
                                             Millis now,
                                             const InstanceId &from,
                                             UpdateScope scope)
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end() || (found->second.answeredAt && *found->second.answeredAt >= at)) {
        return;
    }
    Suspect &suspect = found->second;
    suspect.answeredAt = at;
    suspect.answerLearntAt = now;
    suspect.answerFrom = from;
    suspect.answerScope = scope;
    std::erase_if(suspect.crashes, [at](const Crash &crash) { return crash.endedAt <= at; });
    suspect.isRefused = suspect.isRefused && this->countCrashes(suspect, {}) >= this->settings.crashThreshold;
}

bool RequestQuarantine::Private::isExplained(const RequestFingerprint &request, const TargetId &target) const
{
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&request, &target](const auto &entry) {
        return entry.second.isRefused && entry.first != request && hasCrashOf(entry.second, target);
    });
}

std::size_t RequestQuarantine::Private::countCrashes(const Suspect &suspect,
                                                     const std::optional<RequestFingerprint> &request) const
{
    std::vector<Crash> ends = suspect.crashes;
    std::sort(ends.begin(), ends.end(), [](const Crash &a, const Crash &b) { return a.endedAt < b.endedAt; });
    std::size_t count = 0;
    const Crash *last = nullptr;
    for (const Crash &crash : ends) {
        // A request that reached its target after the other target had ended was not part of the same loss.
        const bool isApart = last == nullptr || crash.endedAt - last->endedAt > this->settings.simultaneousWindow
            || crash.sentAt + this->settings.maxReportDelay >= last->endedAt;
        if (isApart && !(request && this->isExplained(*request, crash.target))) {
            count += 1;
            last = &crash;
        }
    }
    return count;
}

Suspect RequestQuarantine::Private::assumePendingCrashes(const RequestFingerprint &request, Millis now) const
{
    const auto found = this->suspects.find(request);
    Suspect suspect = found != this->suspects.end() ? found->second : Suspect();
    for (const Loss &loss : this->losses) {
        const bool isPending = !loss.isTargetAlive && now - loss.at <= this->settings.maxDetectionTime;
        if (loss.request == request && isPending && !hasCrashOf(suspect, loss.target)) {
            suspect.crashes.push_back({loss.target, loss.sentAt, loss.at, loss.at, {}, UpdateScope::Own});
        }
    }
    return suspect;
}

std::optional<Millis> RequestQuarantine::Private::answeredAt(const RequestFingerprint &request, Millis now) const
{
    const auto found = this->answers.find(request);
    const bool isRemembered = found != this->answers.end() && now - found->second <= this->settings.answerTtl;
    return isRemembered ? std::optional(found->second) : std::nullopt;
}

void RequestQuarantine::Private::evictOldestSuspects()
{
    while (this->suspects.size() > this->settings.maxSuspects) {
        const auto oldest = std::min_element(
            this->suspects.begin(), this->suspects.end(), [](const auto &a, const auto &b) {
                return std::pair(a.second.isRefused, a.second.seenAt) < std::pair(b.second.isRefused, b.second.seenAt);
            });
        this->suspects.erase(oldest);
    }
}

void RequestQuarantine::Private::expire(Millis now)
{
    std::erase_if(this->suspects,
                  [this, now](const auto &entry) { return now - entry.second.seenAt > this->settings.suspectTtl; });
}

void RequestQuarantine::Private::forgetLosses(Millis now)
{
    std::erase_if(this->losses, [this, now](const Loss &loss) { return now - loss.at > this->settings.lossTtl; });
}

std::vector<GatewayCrash> RequestQuarantine::reportFor(const InstanceId &peer, UpdateScope scope, Millis now)
{
    std::vector<std::pair<std::size_t, GatewayCrash>> news;
    const bool isFullReport = this->d->reports[peer]++ % reportsPerFullReport == 0;
    const auto isRecent = [this, &peer, scope, now](Millis learntAt, const InstanceId &from, UpdateScope own) {
        return now - learntAt <= this->d->settings.reportTtl && own <= scope && from != peer;
    };
    for (const auto &[request, suspect] : this->d->suspects) {
        const std::size_t weight = suspect.crashes.size();
        if (suspect.answeredAt && isRecent(suspect.answerLearntAt, suspect.answerFrom, suspect.answerScope)) {
            news.push_back({weight, {request.caller, request.content, {}, now - *suspect.answeredAt, Millis{0}}});
        }
        for (const Crash &crash : suspect.crashes) {
            if ((isFullReport && suspect.isRefused) || isRecent(crash.learntAt, crash.from, crash.scope)) {
                const Millis ranFor = crash.endedAt - crash.sentAt;
                news.push_back({weight, {request.caller, request.content, crash.target, now - crash.endedAt, ranFor}});
            }
        }
    }
    std::stable_sort(news.begin(), news.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    news.resize(std::min(news.size(), maxReportEntries));
    std::vector<GatewayCrash> entries;
    entries.reserve(news.size());
    for (auto &[weight, crash] : news) {
        entries.push_back(std::move(crash));
    }
    return entries;
}

std::optional<Millis> RequestQuarantine::refusedFor(const RequestFingerprint &request, Millis now)
{
    const auto found = this->d->suspects.find(request);
    if (found == this->d->suspects.end() || !found->second.isRefused) {
        this->d->forgetLosses(now);
        if (this->d->losses.empty()) {
            return std::nullopt;
        }
        const Suspect likely = this->d->assumePendingCrashes(request, now);
        const bool hasPending
            = found == this->d->suspects.end() || likely.crashes.size() > found->second.crashes.size();
        return hasPending && this->d->causesCrashes(request, likely)
            ? std::optional(this->d->settings.usualDetectionTime)
            : std::nullopt;
    }
    if (now - found->second.seenAt > this->d->settings.suspectTtl) {
        this->d->suspects.erase(found);
        return std::nullopt;
    }
    found->second.seenAt = now;
    return this->d->settings.suspectTtl;
}

bool RequestQuarantine::mayRetry(const RequestFingerprint &request, Millis now) const
{
    const Suspect likely = this->d->assumePendingCrashes(request, now);
    return !likely.isRefused && this->d->countCrashes(likely, request) + 1 < this->d->settings.crashThreshold;
}

std::size_t RequestQuarantine::refusedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        this->d->suspects.begin(), this->d->suspects.end(), [](const auto &entry) { return entry.second.isRefused; }));
}

} // namespace Sequoiausher
