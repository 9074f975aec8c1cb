#include "sequoiausher/coordination/gateway/requestquarantine.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace Sequoiausher {

namespace {

/** All that is refused is told to a peer in every so many reports, so that one that starts anew hears of it. */
constexpr std::uint64_t retellEvery = 4;
/** The most entries in one report: requests under which most targets ended go first. */
constexpr std::size_t mostNews = 256;

/** A target that ended while it had the request. */
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
    /** What ended before the last whole answer is not the request's doing. */
    std::optional<Millis> answeredAt;
    Millis answerLearntAt;
    InstanceId answerFrom;
    UpdateScope answerScope = UpdateScope::Own;
    bool isRefused = false;
};

bool hasEnded(const Suspect &suspect, const TargetId &target)
{
    return std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&target](const Crash &crash) {
        return crash.target == target;
    });
}

/** Whether all targets that ended under the suspect ended under the other one as well. */
bool wasBeside(const Suspect &suspect, const Suspect &other)
{
    return std::all_of(suspect.crashes.begin(), suspect.crashes.end(), [&other](const Crash &crash) {
        return hasEnded(other, crash.target);
    });
}

/** How long targets had had the request when they ended. */
Millis meanTime(const std::vector<Crash> &crashes)
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
    /** The target has taken a connection since. */
    bool targetLives = false;
};

} // namespace

class RequestQuarantine::Private
{
public:
    using Suspects = std::map<RequestFingerprint, Suspect>;

    void blame(const RequestFingerprint &request, Crash crash, Millis now);
    /** Decides on those that were blamed since. @return the ones that are refused from now on. */
    std::vector<RequestFingerprint> decide();
    void acquit(const RequestFingerprint &request, Millis at, Millis now, const InstanceId &from, UpdateScope scope);
    bool isCulprit(const RequestFingerprint &request, const Suspect &suspect) const;
    /** Lets those go that were refused for targets which ended under this one, and fewer. */
    void releaseBeside(const RequestFingerprint &request, const Suspect &culprit);
    /** The losses of the suspect; given its fingerprint, only those that no other refused request explains. */
    std::size_t countOf(const Suspect &suspect, const std::optional<RequestFingerprint> &request) const;
    bool isExplained(const RequestFingerprint &request, const TargetId &target) const;
    /** What is known of the request, if all targets ended whose fate is not known yet. */
    Suspect likely(const RequestFingerprint &request, Millis now) const;
    std::optional<Millis> answeredAt(const RequestFingerprint &request, Millis now) const;
    void makeRoom();
    void expire(Millis now);
    /** Of those that the list of targets cannot decide any more. */
    void forgetLosses(Millis now);

    RequestQuarantineSettings settings;
    Suspects suspects;
    std::vector<Loss> losses;
    std::map<RequestFingerprint, Millis> answers;
    std::deque<std::pair<Millis, RequestFingerprint>> answerOrder;
    std::map<InstanceId, std::uint64_t> reports;
    /** Blamed, and not yet decided on. */
    std::vector<RequestFingerprint> undecided;
};

RequestQuarantine::RequestQuarantine(const RequestQuarantineSettings &settings) : d(std::make_unique<Private>())
{
    this->d->settings = settings;
}

RequestQuarantine::~RequestQuarantine() = default;

void RequestQuarantine::lost(const RequestFingerprint &request, const TargetId &target, Millis sentAt, Millis now)
{
    this->d->forgetLosses(now);
    this->d->losses.push_back({request, target, sentAt, now});
}

std::vector<RequestFingerprint> RequestQuarantine::targetEnded(const TargetId &target, Millis now)
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
        this->d->blame(loss.request, {target, loss.sentAt, loss.at, now, {}, UpdateScope::Own}, now);
    }
    return this->d->decide();
}

void RequestQuarantine::targetLives(const TargetId &target)
{
    for (Loss &loss : this->d->losses) {
        loss.targetLives = loss.targetLives || loss.target == target;
    }
}

std::vector<TargetId> RequestQuarantine::undecidedTargets(Millis now)
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

void RequestQuarantine::answered(const RequestFingerprint &request, Millis now)
{
    this->d->answers[request] = now;
    this->d->answerOrder.emplace_back(now, request);
    const auto isOver = [this, now](const auto &oldest) {
        return this->d->answerOrder.size() > this->d->settings.mostAnswers
            || now - oldest.first > this->d->settings.answerLife;
    };
    while (isOver(this->d->answerOrder.front())) {
        const auto &[at, old] = this->d->answerOrder.front();
        const auto found = this->d->answers.find(old);
        if (found != this->d->answers.end() && found->second == at) {
            this->d->answers.erase(found);
        }
        this->d->answerOrder.pop_front();
    }
    this->d->acquit(request, now, now, {}, UpdateScope::Own);
}

std::vector<RequestFingerprint> RequestQuarantine::heard(const InstanceId &peer,
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
        const Millis at = now - std::min(crash.age, this->d->settings.life);
        if (crash.target.value.empty()) {
            this->d->acquit(request, at, now, peer, scope);
        } else {
            const Millis sentAt = at - std::min(crash.ranFor, this->d->settings.life);
            this->d->blame(request, {crash.target, sentAt, at, now, peer, scope}, now);
        }
    }
    return this->d->decide();
}

void RequestQuarantine::Private::blame(const RequestFingerprint &request, Crash crash, Millis now)
{
    Suspect &suspect = this->suspects[request];
    const std::optional<Millis> own = this->answeredAt(request, now);
    if (own && (!suspect.answeredAt || *suspect.answeredAt < *own)) {
        // A peer that blames it has not seen this answer.
        suspect.answeredAt = own;
        suspect.answerLearntAt = now;
    }
    suspect.seenAt = std::max(suspect.seenAt, crash.endedAt);
    if (hasEnded(suspect, crash.target) || (suspect.answeredAt && crash.endedAt <= *suspect.answeredAt)) {
        return;
    }
    suspect.crashes.push_back(std::move(crash));
    this->undecided.push_back(request);
    this->makeRoom();
}

std::vector<RequestFingerprint> RequestQuarantine::Private::decide()
{
    // What crashes a target does so soon after it came; what was merely there had mostly come before. So of requests
    // with as many targets the quickest is judged first.
    std::vector<std::pair<std::pair<std::int64_t, Millis>, RequestFingerprint>> order;
    for (const RequestFingerprint &request : std::exchange(this->undecided, {})) {
        const auto found = this->suspects.find(request);
        if (found != this->suspects.end()) {
            const auto count = static_cast<std::int64_t>(this->countOf(found->second, {}));
            order.push_back({{-count, meanTime(found->second.crashes)}, request});
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<RequestFingerprint> refused;
    for (const auto &[rank, request] : order) {
        Suspect &suspect = this->suspects[request];
        if (!suspect.isRefused && this->isCulprit(request, suspect)) {
            suspect.isRefused = true;
            refused.push_back(request);
        }
        if (suspect.isRefused) {
            this->releaseBeside(request, suspect);
        }
    }
    return refused;
}

bool RequestQuarantine::Private::isCulprit(const RequestFingerprint &request, const Suspect &suspect) const
{
    if (this->countOf(suspect, request) >= this->settings.mostCrashes) {
        return true;
    }
    // A refused one may itself have been beside this one, which then goes on to end targets without it.
    return this->countOf(suspect, {}) > this->settings.mostCrashes
        && std::none_of(this->suspects.begin(), this->suspects.end(), [&request, &suspect](const auto &entry) {
               return entry.first != request && entry.second.isRefused && wasBeside(suspect, entry.second);
           });
}

void RequestQuarantine::Private::releaseBeside(const RequestFingerprint &request, const Suspect &culprit)
{
    for (auto &[other, suspect] : this->suspects) {
        if (other != request && suspect.isRefused && suspect.crashes.size() < culprit.crashes.size()) {
            suspect.isRefused = !wasBeside(suspect, culprit);
        }
    }
}

void RequestQuarantine::Private::acquit(const RequestFingerprint &request,
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
    suspect.isRefused = suspect.isRefused && this->countOf(suspect, {}) >= this->settings.mostCrashes;
}

bool RequestQuarantine::Private::isExplained(const RequestFingerprint &request, const TargetId &target) const
{
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&request, &target](const auto &entry) {
        return entry.second.isRefused && entry.first != request && hasEnded(entry.second, target);
    });
}

std::size_t RequestQuarantine::Private::countOf(const Suspect &suspect,
                                                const std::optional<RequestFingerprint> &request) const
{
    std::vector<Crash> ends = suspect.crashes;
    std::sort(ends.begin(), ends.end(), [](const Crash &a, const Crash &b) { return a.endedAt < b.endedAt; });
    std::size_t count = 0;
    const Crash *last = nullptr;
    for (const Crash &crash : ends) {
        // One that came to its target after the other had ended was no part of the same loss.
        const bool isApart = last == nullptr || crash.endedAt - last->endedAt > this->settings.sameMoment
            || crash.sentAt + this->settings.tellingDelay >= last->endedAt;
        if (isApart && !(request && this->isExplained(*request, crash.target))) {
            count += 1;
            last = &crash;
        }
    }
    return count;
}

Suspect RequestQuarantine::Private::likely(const RequestFingerprint &request, Millis now) const
{
    const auto found = this->suspects.find(request);
    Suspect suspect = found != this->suspects.end() ? found->second : Suspect();
    for (const Loss &loss : this->losses) {
        const bool isOpen = !loss.targetLives && now - loss.at <= this->settings.verdictTime;
        if (loss.request == request && isOpen && !hasEnded(suspect, loss.target)) {
            suspect.crashes.push_back({loss.target, loss.sentAt, loss.at, loss.at, {}, UpdateScope::Own});
        }
    }
    return suspect;
}

std::optional<Millis> RequestQuarantine::Private::answeredAt(const RequestFingerprint &request, Millis now) const
{
    const auto found = this->answers.find(request);
    const bool isRemembered = found != this->answers.end() && now - found->second <= this->settings.answerLife;
    return isRemembered ? std::optional(found->second) : std::nullopt;
}

void RequestQuarantine::Private::makeRoom()
{
    while (this->suspects.size() > this->settings.mostSuspects) {
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
                  [this, now](const auto &entry) { return now - entry.second.seenAt > this->settings.life; });
}

void RequestQuarantine::Private::forgetLosses(Millis now)
{
    std::erase_if(this->losses, [this, now](const Loss &loss) { return now - loss.at > this->settings.lossLife; });
}

std::vector<GatewayCrash> RequestQuarantine::newsFor(const InstanceId &peer, UpdateScope scope, Millis now)
{
    std::vector<std::pair<std::size_t, GatewayCrash>> news;
    const bool tellsAll = this->d->reports[peer]++ % retellEvery == 0;
    const auto isNews = [this, &peer, scope, now](Millis learntAt, const InstanceId &from, UpdateScope own) {
        return now - learntAt <= this->d->settings.toldFor && own <= scope && from != peer;
    };
    for (const auto &[request, suspect] : this->d->suspects) {
        const std::size_t weight = suspect.crashes.size();
        if (suspect.answeredAt && isNews(suspect.answerLearntAt, suspect.answerFrom, suspect.answerScope)) {
            news.push_back({weight, {request.caller, request.content, {}, now - *suspect.answeredAt, Millis{0}}});
        }
        for (const Crash &crash : suspect.crashes) {
            if ((tellsAll && suspect.isRefused) || isNews(crash.learntAt, crash.from, crash.scope)) {
                const Millis ranFor = crash.endedAt - crash.sentAt;
                news.push_back({weight, {request.caller, request.content, crash.target, now - crash.endedAt, ranFor}});
            }
        }
    }
    std::stable_sort(news.begin(), news.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    news.resize(std::min(news.size(), mostNews));
    std::vector<GatewayCrash> told;
    told.reserve(news.size());
    for (auto &[weight, crash] : news) {
        told.push_back(std::move(crash));
    }
    return told;
}

std::optional<Millis> RequestQuarantine::refusedFor(const RequestFingerprint &request, Millis now)
{
    const auto found = this->d->suspects.find(request);
    if (found == this->d->suspects.end() || !found->second.isRefused) {
        this->d->forgetLosses(now);
        if (this->d->losses.empty()) {
            return std::nullopt;
        }
        const Suspect likely = this->d->likely(request, now);
        const bool isOpen = found == this->d->suspects.end() || likely.crashes.size() > found->second.crashes.size();
        return isOpen && this->d->isCulprit(request, likely) ? std::optional(this->d->settings.usualVerdictTime)
                                                             : std::nullopt;
    }
    if (now - found->second.seenAt > this->d->settings.life) {
        this->d->suspects.erase(found);
        return std::nullopt;
    }
    found->second.seenAt = now;
    return this->d->settings.life;
}

bool RequestQuarantine::mayRetry(const RequestFingerprint &request, Millis now) const
{
    const Suspect likely = this->d->likely(request, now);
    return !likely.isRefused && this->d->countOf(likely, request) + 1 < this->d->settings.mostCrashes;
}

std::size_t RequestQuarantine::refusedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        this->d->suspects.begin(), this->d->suspects.end(), [](const auto &entry) { return entry.second.isRefused; }));
}

} // namespace Sequoiausher
