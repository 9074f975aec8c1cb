#include "sequoiausher/coordination/gateway/requestquarantine.h"

#include "sequoiausher/coordination/gateway/answermemory.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace Sequoiausher {

namespace {

/** One in this many reports to a peer lists all refused requests, so that a restarted peer learns of them. */
constexpr std::uint64_t reportsPerFullReport = 4;
/** The most entries of each kind in one report; suspects with the most crashes go first. */
constexpr std::size_t maxReportEntries = 256;
/** The part of the suspects that is dropped at once where there are too many. */
constexpr std::size_t evictedFraction = 8;

/** A target that ended while a request with the suspect was in flight there. */
struct Crash
{
    TargetId target;
    Millis sentAt;
    ObservationTime ended;
    Millis learntAt;
    InstanceId from;
    UpdateScope scope = UpdateScope::Own;
};

struct Suspect
{
    std::vector<Crash> crashes;
    Millis seenAt;
    /** The last complete answer. Targets that ended before it were not crashed by the suspect. */
    std::optional<ObservationTime> answered;
    Millis answerLearntAt;
    InstanceId answerFrom;
    UpdateScope answerScope = UpdateScope::Own;
    bool isRefused = false;
};

const Crash *findCrash(const Suspect &suspect, const TargetId &target)
{
    const auto found = std::find_if(suspect.crashes.begin(), suspect.crashes.end(), [&target](const Crash &crash) {
        return crash.target == target;
    });
    return found != suspect.crashes.end() ? &*found : nullptr;
}

bool hasCrashOf(const Suspect &suspect, const TargetId &target)
{
    return findCrash(suspect, target) != nullptr;
}

/** Whether all targets that ended with the suspect in flight also had the other one in flight. */
bool isCoveredBy(const Suspect &suspect, const Suspect &other)
{
    return std::all_of(suspect.crashes.begin(), suspect.crashes.end(), [&other](const Crash &crash) {
        return hasCrashOf(other, crash.target);
    });
}

/** Returns the mean time from when targets received the suspect's requests until they ended. */
Millis computeMeanRunTime(const std::vector<Crash> &crashes)
{
    Millis sum;
    for (const Crash &crash : crashes) {
        sum += crash.ended.at - crash.sentAt;
    }
    return crashes.empty() ? sum : Millis{sum.count / static_cast<std::int64_t>(crashes.size())};
}

struct PeerState
{
    /** The peer has received a report since it started. */
    bool hasReceivedReport = false;
    /** The number of reports since then. */
    std::uint64_t reports = 0;
};

struct Loss
{
    std::vector<SuspectKey> suspects;
    TargetId target;
    Millis sentAt;
    ObservationTime observed;
    /** The target has accepted a connection since. */
    bool isTargetAlive = false;
};

} // namespace

class RequestQuarantine::Private
{
public:
    using Suspects = std::map<SuspectKey, Suspect>;

    explicit Private(const RequestQuarantineSettings &with)
        : settings(with)
        , requestAnswers({with.answerTtl, with.maxAnswers})
        , partAnswers({with.partAnswerTtl, with.maxAnswers})
    {
    }

    /** Returns the time of an observation that this gateway makes now. */
    ObservationTime observe(Millis now)
    {
        this->observations += 1;
        return {now, this->observations};
    }
    AnswerMemory<SuspectKey> &answersOf(SuspectKind kind);
    const AnswerMemory<SuspectKey> &answersOf(SuspectKind kind) const;
    void addCrash(const SuspectKey &key, Crash crash, Millis now);
    void mergeCrashes(SuspectKind kind,
                      const InstanceId &peer,
                      const std::vector<GatewayCrash> &crashes,
                      Millis now,
                      UpdateScope scope);
    /** Decides about the suspects with new crashes. @return those that are refused from now on. */
    std::vector<SuspectKey> decide();
    void recordAnswer(const SuspectKey &key, Millis now);
    void applyAnswer(const SuspectKey &key,
                     const ObservationTime &answered,
                     Millis now,
                     const InstanceId &from,
                     UpdateScope scope);
    std::size_t thresholdOf(const SuspectKey &key, const Suspect &suspect) const;
    bool causesCrashes(const SuspectKey &key, const Suspect &suspect) const;
    /** Stops refusing suspects with fewer crashes, all of them at targets that also had the culprit in flight. */
    void releaseCoincident(const SuspectKey &key, const Suspect &culprit);
    /** Counts the crashes of the suspect, without simultaneous ones beyond the limit of its kind. */
    std::size_t countCrashes(const SuspectKey &key, const Suspect &suspect) const;
    /** The same without crashes of targets that also had another refused suspect in flight. */
    std::size_t countUnexplained(const SuspectKey &key, const Suspect &suspect) const;
    bool isExplained(const SuspectKey &key, const Suspect &suspect, const TargetId &target) const;
    /**
     * Whether both suspects were in the same requests at each crash, so that no crash tells which of them it was due
     * to.
     */
    bool isInseparable(const Suspect &suspect, const Suspect &other) const;
    /** Whether a refused suspect outside the keys was in flight at all targets that ended under this one. */
    bool isExplainedWithout(const std::vector<SuspectKey> &keys, const SuspectKey &key, const Suspect &suspect) const;
    /** How long the refused suspect stays refused; none where it does not any more. */
    std::optional<Millis> remainingRefusal(const SuspectKey &key, const Suspect &suspect, Millis now) const;
    std::optional<QuarantineRefusal> pendingRefusal(const std::vector<SuspectKey> &keys, Millis now);
    /** Returns the suspect as it would be if all its targets whose state is not known yet had ended. */
    Suspect assumePendingCrashes(const SuspectKey &key, Millis now) const;
    void evictSuspects();
    void expire(Millis now);
    /** Drops losses older than lossTtl. By then the list of targets would have dropped a target that ended. */
    void forgetLosses(Millis now);

    RequestQuarantineSettings settings;
    std::uint64_t observations = 0;
    Suspects suspects;
    std::vector<Loss> losses;
    AnswerMemory<SuspectKey> requestAnswers;
    AnswerMemory<SuspectKey> partAnswers;
    std::map<InstanceId, PeerState> peers;
    /** Suspects with new crashes that decide() has not handled yet. */
    std::vector<SuspectKey> suspectsToDecide;
};

RequestQuarantine::RequestQuarantine(const RequestQuarantineSettings &settings) : d(std::make_unique<Private>(settings))
{
}

RequestQuarantine::~RequestQuarantine() = default;

AnswerMemory<SuspectKey> &RequestQuarantine::Private::answersOf(SuspectKind kind)
{
    return kind == SuspectKind::Request ? this->requestAnswers : this->partAnswers;
}

const AnswerMemory<SuspectKey> &RequestQuarantine::Private::answersOf(SuspectKind kind) const
{
    return kind == SuspectKind::Request ? this->requestAnswers : this->partAnswers;
}

void RequestQuarantine::recordLostConnection(const SuspectedRequest &request,
                                             const LostConnection &connection,
                                             Millis now)
{
    this->d->forgetLosses(now);
    std::vector<SuspectKey> suspects = keysOf(request);
    if (connection.hasBegun) {
        suspects.resize(1);
    }
    this->d->losses.push_back({std::move(suspects), connection.target, connection.sentAt, this->d->observe(now)});
}

std::vector<SuspectKey> RequestQuarantine::recordTargetEnded(const TargetId &target, Millis now)
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
        for (const SuspectKey &key : loss.suspects) {
            this->d->addCrash(key, {target, loss.sentAt, loss.observed, now, {}, UpdateScope::Own}, now);
        }
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

void RequestQuarantine::recordAnswer(const SuspectedRequest &request, Millis now)
{
    for (const SuspectKey &key : keysOf(request)) {
        this->d->recordAnswer(key, now);
    }
}

void RequestQuarantine::recordPromptRead(const SuspectedRequest &request, Millis now)
{
    for (const SuspectKey &key : keysOf(request)) {
        if (key.kind == SuspectKind::PromptPart) {
            this->d->recordAnswer(key, now);
        }
    }
}

void RequestQuarantine::Private::recordAnswer(const SuspectKey &key, Millis now)
{
    const ObservationTime answered = this->observe(now);
    this->answersOf(key.kind).record(key, answered);
    this->applyAnswer(key, answered, now, {}, UpdateScope::Own);
}

std::vector<SuspectKey>
RequestQuarantine::mergeReport(const InstanceId &peer, const CrashNews &news, Millis now, UpdateScope scope)
{
    this->d->expire(now);
    this->d->mergeCrashes(SuspectKind::Request, peer, news.requests, now, scope);
    this->d->mergeCrashes(SuspectKind::PromptPart, peer, news.parts, now, scope);
    return this->d->decide();
}

void RequestQuarantine::Private::mergeCrashes(SuspectKind kind,
                                              const InstanceId &peer,
                                              const std::vector<GatewayCrash> &crashes,
                                              Millis now,
                                              UpdateScope scope)
{
    for (const GatewayCrash &crash : crashes) {
        const SuspectKey key{kind, crash.caller, crash.content};
        if (crash.age < Millis{0} || crash.ranFor < Millis{0}) {
            continue;
        }
        const Millis at = now - std::min(crash.age, this->settings.suspectTtl);
        if (crash.target.value.empty()) {
            this->applyAnswer(key, {at}, now, peer, scope);
        } else {
            const Millis sentAt = at - std::min(crash.ranFor, this->settings.suspectTtl);
            this->addCrash(key, {crash.target, sentAt, {at}, now, peer, scope}, now);
        }
    }
}

void RequestQuarantine::Private::addCrash(const SuspectKey &key, Crash crash, Millis now)
{
    Suspect &suspect = this->suspects[key];
    const std::optional<ObservationTime> own = this->answersOf(key.kind).lastAnswer(key, now);
    if (own && (!suspect.answered || *suspect.answered < *own)) {
        // A peer that reports a crash from before this answer has not learnt of the answer. Dating it as learnt now
        // puts it into the next reports.
        suspect.answered = own;
        suspect.answerLearntAt = now;
        suspect.answerFrom = {};
        suspect.answerScope = UpdateScope::Own;
    }
    suspect.seenAt = std::max(suspect.seenAt, crash.ended.at);
    const bool isCleared = suspect.answered && crash.ended < *suspect.answered;
    if (!isCleared && !hasCrashOf(suspect, crash.target)) {
        suspect.crashes.push_back(std::move(crash));
        this->suspectsToDecide.push_back(key);
    }
    this->evictSuspects();
}

std::vector<SuspectKey> RequestQuarantine::Private::decide()
{
    // A request that crashes a target does so soon after its arrival; other requests in flight there have mostly been
    // there for longer. Among suspects with equally many crashes, the one with the shortest mean time is decided first.
    std::vector<std::pair<std::pair<std::int64_t, Millis>, SuspectKey>> order;
    for (const SuspectKey &key : std::exchange(this->suspectsToDecide, {})) {
        const auto found = this->suspects.find(key);
        if (found != this->suspects.end()) {
            const auto count = static_cast<std::int64_t>(this->countCrashes(key, found->second));
            order.push_back({{-count, computeMeanRunTime(found->second.crashes)}, key});
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<SuspectKey> refused;
    for (const auto &[rank, key] : order) {
        Suspect &suspect = this->suspects[key];
        if (!suspect.isRefused && this->causesCrashes(key, suspect)) {
            suspect.isRefused = true;
            refused.push_back(key);
        }
        if (suspect.isRefused) {
            this->releaseCoincident(key, suspect);
        }
    }
    return refused;
}

std::size_t RequestQuarantine::Private::thresholdOf(const SuspectKey &key, const Suspect &suspect) const
{
    return key.kind == SuspectKind::PromptPart && suspect.answered ? this->settings.answeredPartCrashThreshold
                                                                   : this->settings.crashThreshold;
}

bool RequestQuarantine::Private::causesCrashes(const SuspectKey &key, const Suspect &suspect) const
{
    const std::size_t threshold = this->thresholdOf(key, suspect);
    if (this->countUnexplained(key, suspect) >= threshold) {
        return true;
    }
    // A refused suspect may only have been in flight beside this one, which then keeps crashing targets without it.
    return this->countCrashes(key, suspect) > threshold
        && std::none_of(this->suspects.begin(), this->suspects.end(), [&key, &suspect](const auto &entry) {
               return entry.first != key && entry.second.isRefused && isCoveredBy(suspect, entry.second);
           });
}

void RequestQuarantine::Private::releaseCoincident(const SuspectKey &key, const Suspect &culprit)
{
    for (auto &[other, suspect] : this->suspects) {
        if (other != key && suspect.isRefused && suspect.crashes.size() < culprit.crashes.size()) {
            suspect.isRefused = !isCoveredBy(suspect, culprit);
        }
    }
}

void RequestQuarantine::Private::applyAnswer(const SuspectKey &key,
                                             const ObservationTime &answered,
                                             Millis now,
                                             const InstanceId &from,
                                             UpdateScope scope)
{
    const auto found = this->suspects.find(key);
    if (found == this->suspects.end() || (found->second.answered && *found->second.answered >= answered)) {
        return;
    }
    Suspect &suspect = found->second;
    suspect.answered = answered;
    suspect.answerLearntAt = now;
    suspect.answerFrom = from;
    suspect.answerScope = scope;
    std::erase_if(suspect.crashes, [&answered](const Crash &crash) { return crash.ended < answered; });
    suspect.isRefused = suspect.isRefused && this->countCrashes(key, suspect) >= this->thresholdOf(key, suspect);
}

bool RequestQuarantine::Private::isExplained(const SuspectKey &key,
                                             const Suspect &suspect,
                                             const TargetId &target) const
{
    return std::any_of(
        this->suspects.begin(), this->suspects.end(), [this, &key, &suspect, &target](const auto &entry) {
            return entry.second.isRefused && entry.first != key && hasCrashOf(entry.second, target)
                && !this->isInseparable(suspect, entry.second);
        });
}

bool RequestQuarantine::Private::isInseparable(const Suspect &suspect, const Suspect &other) const
{
    return suspect.crashes.size() == other.crashes.size()
        && std::all_of(suspect.crashes.begin(), suspect.crashes.end(), [this, &other](const Crash &crash) {
               const Crash *same = findCrash(other, crash.target);
               const Millis delay = this->settings.maxReportDelay;
               return same != nullptr && same->sentAt <= crash.sentAt + delay && crash.sentAt <= same->sentAt + delay;
           });
}

bool RequestQuarantine::Private::isExplainedWithout(const std::vector<SuspectKey> &keys,
                                                    const SuspectKey &key,
                                                    const Suspect &suspect) const
{
    return std::any_of(this->suspects.begin(), this->suspects.end(), [this, &keys, &key, &suspect](const auto &entry) {
        return entry.second.isRefused && entry.first != key
            && std::find(keys.begin(), keys.end(), entry.first) == keys.end()
            && this->isInseparable(suspect, entry.second);
    });
}

std::size_t RequestQuarantine::Private::countCrashes(const SuspectKey &key, const Suspect &suspect) const
{
    std::vector<Crash> ends = suspect.crashes;
    std::sort(ends.begin(), ends.end(), [](const Crash &a, const Crash &b) { return a.ended.at < b.ended.at; });
    const std::size_t maxSimultaneous
        = key.kind == SuspectKind::PromptPart ? this->settings.maxSimultaneousPartCrashes : 1;
    std::size_t count = 0;
    std::size_t simultaneous = 0;
    const Crash *first = nullptr;
    for (const Crash &crash : ends) {
        // A request that reached its target after the other target had ended was not part of the same loss.
        const bool isApart = first == nullptr || crash.ended.at - first->ended.at > this->settings.simultaneousWindow
            || crash.sentAt + this->settings.maxReportDelay >= first->ended.at;
        if (isApart) {
            first = &crash;
            simultaneous = 0;
        }
        if (simultaneous < maxSimultaneous) {
            simultaneous += 1;
            count += 1;
        }
    }
    return count;
}

std::size_t RequestQuarantine::Private::countUnexplained(const SuspectKey &key, const Suspect &suspect) const
{
    Suspect unexplained = suspect;
    std::erase_if(unexplained.crashes,
                  [this, &key, &suspect](const Crash &crash) { return this->isExplained(key, suspect, crash.target); });
    return this->countCrashes(key, unexplained);
}

Suspect RequestQuarantine::Private::assumePendingCrashes(const SuspectKey &key, Millis now) const
{
    const auto found = this->suspects.find(key);
    Suspect suspect = found != this->suspects.end() ? found->second : Suspect();
    suspect.answered = std::max(suspect.answered, this->answersOf(key.kind).lastAnswer(key, now));
    for (const Loss &loss : this->losses) {
        const bool isCleared = suspect.answered && loss.observed < *suspect.answered;
        const bool isPending
            = !isCleared && !loss.isTargetAlive && now - loss.observed.at <= this->settings.maxDetectionTime;
        const bool isSuspected = std::find(loss.suspects.begin(), loss.suspects.end(), key) != loss.suspects.end();
        if (isPending && isSuspected && !hasCrashOf(suspect, loss.target)) {
            suspect.crashes.push_back(
                {loss.target, loss.sentAt, loss.observed, loss.observed.at, {}, UpdateScope::Own});
        }
    }
    return suspect;
}

void RequestQuarantine::Private::evictSuspects()
{
    if (this->suspects.size() <= this->settings.maxSuspects) {
        return;
    }
    std::map<std::uint64_t, std::size_t> perCaller;
    for (const auto &[key, suspect] : this->suspects) {
        perCaller[key.caller] += 1;
    }
    const std::size_t fairShare = this->settings.maxSuspects / perCaller.size();
    std::vector<Suspects::iterator> order;
    for (auto entry = this->suspects.begin(); entry != this->suspects.end(); ++entry) {
        order.push_back(entry);
    }
    const auto rank = [&perCaller, fairShare](const Suspects::iterator &entry) {
        const bool isWithinShare = perCaller[entry->first.caller] <= fairShare;
        return std::tuple(entry->second.isRefused, isWithinShare, entry->second.seenAt, entry->first);
    };
    const std::size_t evicted
        = this->suspects.size() - this->settings.maxSuspects + this->settings.maxSuspects / evictedFraction;
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(evicted, order.size()));
    std::partial_sort(
        order.begin(), end, order.end(), [&rank](const auto &a, const auto &b) { return rank(a) < rank(b); });
    std::for_each(order.begin(), end, [this](const Suspects::iterator &entry) { this->suspects.erase(entry); });
}

void RequestQuarantine::Private::expire(Millis now)
{
    std::erase_if(this->suspects, [this, now](const auto &entry) {
        const bool isPart = entry.first.kind == SuspectKind::PromptPart;
        return now - entry.second.seenAt > this->settings.suspectTtl * (isPart ? 2 : 1);
    });
}

void RequestQuarantine::Private::forgetLosses(Millis now)
{
    std::erase_if(this->losses,
                  [this, now](const Loss &loss) { return now - loss.observed.at > this->settings.lossTtl; });
}

void RequestQuarantine::recordPeerState(const InstanceId &peer, bool hasReceivedReport)
{
    PeerState &state = this->d->peers[peer];
    state = hasReceivedReport ? PeerState{true, state.reports} : PeerState();
}

CrashNews RequestQuarantine::reportFor(const InstanceId &peer, UpdateScope scope, Millis now)
{
    using WeightedCrash = std::pair<std::size_t, GatewayCrash>;
    std::vector<WeightedCrash> requests;
    std::vector<WeightedCrash> parts;
    const auto known = this->d->peers.find(peer);
    const bool isInformed = known != this->d->peers.end() && known->second.hasReceivedReport;
    const bool isFullReport = !isInformed || known->second.reports++ % reportsPerFullReport == 0;
    // A peer that has restarted lacks what it reported itself before.
    const bool hasRestarted = known != this->d->peers.end() && !isInformed;
    const auto isNews =
        [this, &peer, scope, now, isInformed, hasRestarted](Millis learntAt, const InstanceId &from, UpdateScope own) {
            const bool isRecent = now - learntAt <= this->d->settings.reportTtl && own <= scope;
            return hasRestarted || (from != peer && (isRecent || !isInformed));
        };
    for (const auto &[key, suspect] : this->d->suspects) {
        std::vector<WeightedCrash> &news = key.kind == SuspectKind::Request ? requests : parts;
        const std::size_t weight = suspect.crashes.size();
        // Each report dates an answer a little too late, so an answer that its observer reports to all is not passed
        // on.
        const bool isPassedOn = suspect.answerFrom.empty() || suspect.answerScope != UpdateScope::Own;
        if (suspect.answered && isPassedOn && isNews(suspect.answerLearntAt, suspect.answerFrom, suspect.answerScope)) {
            news.push_back({weight, {key.caller, key.content, {}, now - suspect.answered->at, Millis{0}}});
        }
        for (const Crash &crash : suspect.crashes) {
            if ((isFullReport && suspect.isRefused) || isNews(crash.learntAt, crash.from, crash.scope)) {
                const Millis ranFor = crash.ended.at - crash.sentAt;
                news.push_back({weight, {key.caller, key.content, crash.target, now - crash.ended.at, ranFor}});
            }
        }
    }
    const auto heaviest = [](std::vector<WeightedCrash> &news) {
        std::stable_sort(news.begin(), news.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
        news.resize(std::min(news.size(), maxReportEntries));
        std::vector<GatewayCrash> entries;
        entries.reserve(news.size());
        for (auto &[weight, crash] : news) {
            entries.push_back(std::move(crash));
        }
        return entries;
    };
    return {heaviest(requests), heaviest(parts)};
}

std::optional<QuarantineRefusal> RequestQuarantine::refusal(const SuspectedRequest &request, Millis now)
{
    if (this->d->suspects.empty() && this->d->losses.empty()) {
        return std::nullopt;
    }
    const std::vector<SuspectKey> keys = keysOf(request);
    for (const SuspectKey &key : keys) {
        const auto found = this->d->suspects.find(key);
        if (found == this->d->suspects.end() || !found->second.isRefused) {
            continue;
        }
        Suspect &suspect = found->second;
        const std::optional<Millis> wait = this->d->remainingRefusal(key, suspect, now);
        if (!wait || this->d->isExplainedWithout(keys, key, suspect)) {
            continue;
        }
        if (key.kind == SuspectKind::Request) {
            suspect.seenAt = now;
        }
        QuarantineRefusal refusal{*wait, key, {}, false};
        std::transform(suspect.crashes.begin(),
                       suspect.crashes.end(),
                       std::back_inserter(refusal.targets),
                       [](const Crash &crash) { return crash.target; });
        return refusal;
    }
    return this->d->pendingRefusal(keys, now);
}

std::optional<Millis>
RequestQuarantine::Private::remainingRefusal(const SuspectKey &key, const Suspect &suspect, Millis now) const
{
    const Millis age = now - suspect.seenAt;
    if (age > this->settings.suspectTtl) {
        return std::nullopt;
    }
    return key.kind == SuspectKind::Request ? this->settings.suspectTtl : this->settings.suspectTtl - age;
}

std::optional<QuarantineRefusal> RequestQuarantine::Private::pendingRefusal(const std::vector<SuspectKey> &keys,
                                                                            Millis now)
{
    this->forgetLosses(now);
    if (this->losses.empty()) {
        return std::nullopt;
    }
    for (const SuspectKey &key : keys) {
        const auto found = this->suspects.find(key);
        const std::size_t known = found != this->suspects.end() ? found->second.crashes.size() : 0;
        const Suspect likely = this->assumePendingCrashes(key, now);
        if (likely.crashes.size() > known && this->causesCrashes(key, likely)) {
            return QuarantineRefusal{this->settings.usualDetectionTime, key, {}, true};
        }
    }
    return std::nullopt;
}

bool RequestQuarantine::mayRetry(const SuspectedRequest &request, Millis now) const
{
    const std::vector<SuspectKey> keys = keysOf(request);
    return std::all_of(keys.begin(), keys.end(), [this, now](const SuspectKey &key) {
        const Suspect likely = this->d->assumePendingCrashes(key, now);
        return !likely.isRefused && this->d->countUnexplained(key, likely) + 1 < this->d->thresholdOf(key, likely);
    });
}

std::size_t RequestQuarantine::refusedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        this->d->suspects.begin(), this->d->suspects.end(), [](const auto &entry) { return entry.second.isRefused; }));
}

std::size_t RequestQuarantine::suspectCount() const
{
    return this->d->suspects.size();
}

} // namespace Sequoiausher
