#include "sequoiausher/transport/gateway/storewatcher.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/coordination/gateway/storeduty.h"
#include "sequoiausher/coordination/gateway/storeposition.h"
#include "sequoiausher/transport/gateway/storecall.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusTimeout = 408;
constexpr int statusTooMany = 429;
constexpr int firstCallerError = 400;
constexpr int firstServerError = 500;
/**
 * The average number of bytes per millisecond and Mbit/s that reads of the configuration may take, which is half of the
 * link's capacity. A configuration of a megabyte that is read as often as a small one would leave callers no capacity
 * on a link of 10 Mbit/s. The strongest instances, which read for the others, must not be slowed down by this limit:
 * when their proofs grew old, a fleet of 75 read everything by itself every two seconds, with 200 calls each time.
 */
constexpr double bytesPerMbps = 62.5;
/** The pause until the next read if there is no configuration yet; usually the watch or a peer reports the first one.
 */
constexpr Millis absentPause{1000};
/** Many times the entries of the largest fleet; a store that lists without an end must not fill the memory. */
constexpr std::size_t maxPages = 256;

/** Whether the store refuses the call itself, and so would refuse it again; it is neither down nor busy. */
bool isCallRefused(int status)
{
    return status >= firstCallerError && status < firstServerError && status != statusTimeout
        && status != statusTooMany;
}

/**
 * The most bytes of one answer: many times a page of the list, or a configuration of a megabyte in base64, where there
 * is memory for it. An answer takes up to twice its size while it grows, and there are two sequences of calls.
 */
std::uint64_t longestAnswerOf(std::size_t memory)
{
    constexpr std::uint64_t least = std::uint64_t{2} << 20U;
    constexpr std::uint64_t most = std::uint64_t{16} << 20U;
    constexpr std::size_t shareDenominator = 32;
    return memory == 0 ? most : std::clamp<std::uint64_t>(memory / shareDenominator, least, most);
}

/** A sequence of calls with its own pauses. */
struct CallLine
{
    CallLine(const std::string &address, std::uint64_t longestAnswer, Millis firstPause)
        : calls(address, longestAnswer)
        , pause(firstPause)
    {
    }

    StoreCalls calls;
    Millis nextAt;
    /** When the running or the last call began. */
    Millis begunAt;
    /**
     * The time from the begin of a failed call to the next call, with jitter; doubled after each failure until a whole
     * answer is read, all of its pages included.
     */
    Millis pause;
};

} // namespace

class StoreWatcher::Private
{
public:
    Private(const GatewayDialect &platformDialect,
            const std::string &address,
            const StoreTimes &storeTimes,
            double linkMbps,
            std::uint64_t longestAnswer,
            const Log &output,
            StoreListener &receiver)
        : dialect(platformDialect)
        , times(storeTimes)
        , log(output)
        , listener(receiver)
        , proof(address, longestAnswer, storeTimes.firstPause)
        , changes(address, longestAnswer, storeTimes.firstPause)
        , deadline(storeTimes)
        , bytesPerMs(std::max(linkMbps * bytesPerMbps, 1.0))
        , random(std::random_device{}())
    {
    }

    void prove();
    void listTargets(const std::string &next);
    void targetsListed(const StoreAnswer &answer);
    void watch();
    void watched(const StoreAnswer &answer, Millis wait);
    void apply(const StoreEvents &events);
    Revision position(Revision revision) const;
    StoredConfiguration positioned(StoredConfiguration stored) const;
    bool isGood(CallLine &line, const StoreAnswer &answer, std::string_view what);
    /** Whether the answer is of the current era or a later one, which then becomes the current one. */
    bool isOfEra(const StoreAnswer &answer);
    void beginEra(std::uint64_t of);
    /** Cancels a call that should have reported a change which the store is known to have. */
    void dropOverdue(Millis now);
    /** Makes the next call of the line after a pause. */
    void retryLater(CallLine &line, std::string_view what, const std::string &problem);
    /** The same, and takes the store for lost. */
    void failed(CallLine &line, std::string_view what, const std::string &problem);
    /** Records that the store answers. */
    void answered();
    /** Records that an answer was read as a whole. */
    void succeeded(CallLine &line);
    /** Whether the list may be continued after the key, which each page has to move on. */
    bool mayContinueAfter(const std::string &key) const;
    void get(CallLine &line, StoreCallReason reason, const std::string &target, Millis timeout, StoreCalls::Done done);

    const GatewayDialect &dialect;
    StoreTimes times;
    const Log &log;
    StoreListener &listener;
    /** Reads the configuration. */
    CallLine proof;
    /** Lists targets, then watches. */
    CallLine changes;
    WatchDeadline deadline;
    bool isOverdue = false;
    /** The latest known era of the store; absent before the first answer. */
    std::optional<std::uint64_t> era;
    /** The position from which the watch continues; 0 before the first list, or if the store lacks the changes since.
     */
    Revision watchedFrom = 0;
    /** The configuration must be read whatever the age of the last proof, because changes may have been missed. */
    bool mustProve = true;
    bool hasProven = false;
    bool hasListed = false;
    /** The additional time between two reads of a large configuration. */
    Millis readingTime;
    double bytesPerMs;
    Millis longestPause = baseStorePause;
    Millis firstWatchDelay;
    bool isResting = false;
    /** What the pages read so far list. */
    StoredTargets listed;
    /** The keys after which pages of this list were asked for. */
    std::set<std::string> continuedAfter;
    Revision listedFrom = 0;
    /** When the call for the first page began. */
    Millis listedSince;
    bool isLost = false;
    /** When a list or a watch last reported the targets; 0 for never. */
    Millis targetsReadAt;
    /** The number of calls by reason. */
    std::map<StoreCallReason, std::uint64_t> made;
    std::mt19937_64 random;
};

StoreWatcher::StoreWatcher(const GatewayDialect &dialect,
                           const std::string &address,
                           const StoreTimes &times,
                           double linkMbps,
                           std::size_t memory,
                           const Log &log,
                           StoreListener &listener)
    : d(std::make_unique<Private>(dialect, address, times, linkMbps, longestAnswerOf(memory), log, listener))
{
}

StoreWatcher::~StoreWatcher() = default;

void StoreWatcher::tick(Millis now, Millis proofAge, Millis longestProofAge)
{
    this->d->proof.calls.tick(now);
    this->d->changes.calls.tick(now);
    if (!this->d->proof.calls.isBusy() && now >= this->d->proof.nextAt) {
        // Peers share their proofs, so a few reads are enough for a fleet whose gateways reach each other.
        if (this->d->mustProve || proofAge >= longestProofAge + this->d->readingTime) {
            this->d->prove();
        }
    }
    if (this->d->isResting && this->d->watchedFrom > 0) {
        return;
    }
    this->d->dropOverdue(now);
    if (!this->d->changes.calls.isBusy() && now >= this->d->changes.nextAt) {
        if (this->d->watchedFrom == 0) {
            this->d->listed = {};
            this->d->continuedAfter.clear();
            this->d->listedFrom = 0;
            this->d->listTargets({});
        } else {
            this->d->watch();
        }
    }
}

void StoreWatcher::Private::dropOverdue(Millis now)
{
    if (!this->changes.calls.isBusy() || !this->deadline.isOverdue(this->changes.begunAt, now)) {
        return;
    }
    this->log.info(LogPart::Platform,
                   "gave up a call that should have told of a change",
                   {{"took_ms", std::to_string((now - this->changes.begunAt).count)},
                    {"heard_up_to", std::to_string(revisionOf(this->watchedFrom))}});
    this->changes.calls.cancel();
    this->changes.nextAt = now;
    this->deadline.recordAbandonedCall();
    this->watchedFrom = 0;
    this->isOverdue = true;
}

void StoreWatcher::setTimes(const StoreTimes &times)
{
    this->d->times = times;
    this->d->deadline.setTimes(times);
}

void StoreWatcher::setFirstWatchDelay(Millis delay)
{
    this->d->firstWatchDelay = delay;
}

bool StoreWatcher::isStoreLost() const
{
    return this->d->isLost;
}

void StoreWatcher::setStoreLost(bool isLost)
{
    this->d->isLost = isLost;
}

void StoreWatcher::setLongestPause(Millis pause)
{
    this->d->longestPause = pause;
}

void StoreWatcher::setResting(bool on, Revision knownUpTo)
{
    if (this->d->isResting && !on && this->d->watchedFrom > 0) {
        this->d->watchedFrom = knownUpTo;
        this->d->deadline.recordReportedUpTo(knownUpTo);
    }
    this->d->isResting = on;
}

std::uint64_t StoreWatcher::calls(StoreCallReason reason) const
{
    const auto found = this->d->made.find(reason);
    return found != this->d->made.end() ? found->second : 0;
}

Millis StoreWatcher::targetsReadAt() const
{
    return this->d->targetsReadAt;
}

void StoreWatcher::Private::get(CallLine &line,
                                StoreCallReason reason,
                                const std::string &target,
                                Millis timeout,
                                StoreCalls::Done done)
{
    this->made[line.pause > this->times.firstPause ? StoreCallReason::Failure : reason] += 1;
    line.begunAt = Millis::monotonicNow();
    line.calls.get(target, timeout, std::move(done));
}

void StoreWatcher::Private::retryLater(CallLine &line, std::string_view what, const std::string &problem)
{
    std::uniform_int_distribution<std::int64_t> jitter(line.pause.count / 2, line.pause.count);
    // The pause counts from the begin of the call, because a call that timed out was a pause in itself.
    line.nextAt = line.begunAt + Millis{jitter(this->random)};
    line.pause = std::min(line.pause * 2, this->longestPause);
    const Millis now = Millis::monotonicNow();
    this->log.info(LogPart::Platform,
                   "a call to the store failed",
                   {{"call", std::string(what)},
                    {"why", problem},
                    {"took_ms", std::to_string((now - line.begunAt).count)},
                    {"next_in_ms", std::to_string(std::max(line.nextAt - now, Millis{0}).count)},
                    {"targets_heard_ms",
                     this->targetsReadAt == Millis{0} ? "never" : std::to_string((now - this->targetsReadAt).count)}});
}

void StoreWatcher::Private::failed(CallLine &line, std::string_view what, const std::string &problem)
{
    this->retryLater(line, what, problem);
    if (!std::exchange(this->isLost, true)) {
        this->log.warning(LogPart::Platform, "store lost", {{"call", std::string(what)}, {"why", problem}});
        this->listener.storeLost(problem);
    }
}

void StoreWatcher::Private::succeeded(CallLine &line)
{
    this->answered();
    line.pause = this->times.firstPause;
}

void StoreWatcher::Private::answered()
{
    if (std::exchange(this->isLost, false)) {
        // A store that answers one sequence of calls is available for the other one too.
        const Millis now = Millis::monotonicNow();
        for (CallLine *each : {&this->proof, &this->changes}) {
            each->nextAt = each->pause > this->times.firstPause ? now : each->nextAt;
        }
        this->log.info(LogPart::Platform, "store regained");
        this->listener.storeReturned();
    }
}

void StoreWatcher::setEra(std::uint64_t era)
{
    if (!this->d->era || era > *this->d->era) {
        this->d->beginEra(era);
    }
}

void StoreWatcher::Private::beginEra(std::uint64_t of)
{
    // The store may have assigned the watched revisions to other changes.
    const bool isRestored = this->era.has_value();
    this->era = of;
    if (isRestored) {
        this->watchedFrom = 0;
        this->mustProve = true;
        this->changes.calls.cancel();
        this->changes.nextAt = Millis{0};
    }
}

bool StoreWatcher::Private::isOfEra(const StoreAnswer &answer)
{
    const std::uint64_t of = eraOf(storePosition(this->dialect.storeEra(answer.head), 0));
    if (!this->era || of > *this->era) {
        const bool isRestored = this->era.has_value();
        this->beginEra(of);
        if (isRestored) {
            this->listener.storeRestored(of);
        }
    }
    return of == *this->era;
}

bool StoreWatcher::Private::isGood(CallLine &line, const StoreAnswer &answer, std::string_view what)
{
    if (isCallRefused(answer.status)) {
        this->answered();
        this->retryLater(line, what, "the store refuses the call with status " + std::to_string(answer.status));
        return false;
    }
    if (answer.status != statusOk) {
        this->failed(line, what, answer.status == 0 ? answer.problem : "status " + std::to_string(answer.status));
        return false;
    }
    try {
        if (!this->isOfEra(answer)) {
            this->failed(line, what, "an answer of an earlier era");
            return false;
        }
    } catch (const Error &error) {
        this->failed(line, what, error.what());
        return false;
    }
    this->answered();
    return true;
}

void StoreWatcher::Private::prove()
{
    const StoreCallReason reason = this->hasProven ? StoreCallReason::Proof : StoreCallReason::Start;
    const std::string call = this->dialect.configurationCall();
    this->get(this->proof, reason, call, this->times.callTimeout, [this](const StoreAnswer &a) {
        if (a.status == statusNotFound) {
            this->succeeded(this->proof);
            this->proof.nextAt = Millis::monotonicNow() + absentPause;
            this->listener.configurationAbsent();
            return;
        }
        if (!this->isGood(this->proof, a, "read configuration")) {
            return;
        }
        try {
            const StoredConfiguration stored
                = this->positioned(this->dialect.readConfigurationAnswer(a.status, a.body));
            this->succeeded(this->proof);
            this->mustProve = false;
            this->hasProven = true;
            const Millis now = Millis::monotonicNow();
            this->deadline.recordStoreRevision(stored.storeRevision, now - a.startedAt, now);
            this->readingTime = Millis{std::llround(static_cast<double>(a.body.size()) / this->bytesPerMs)};
            // With jitter, the first gateway that reads spares the others their reads.
            std::uniform_int_distribution<std::int64_t> jitter(0, this->times.proofInterval.count / 2);
            this->proof.nextAt = a.startedAt + Millis{jitter(this->random)};
            if (!this->listener.configurationRead(stored, a.startedAt)) {
                this->proof.nextAt = a.startedAt + this->longestPause;
            }
        } catch (const Error &error) {
            this->failed(this->proof, "read configuration", error.what());
        }
    });
}

void StoreWatcher::Private::listTargets(const std::string &next)
{
    const StoreCallReason again = this->isOverdue ? StoreCallReason::Overdue : StoreCallReason::HistoryGone;
    const StoreCallReason first = this->hasListed ? again : StoreCallReason::Start;
    const StoreCallReason reason = next.empty() ? first : StoreCallReason::Page;
    const std::string call = this->dialect.targetsCall(next);
    this->get(this->changes, reason, call, this->times.callTimeout, [this](const StoreAnswer &a) {
        if (this->isGood(this->changes, a, "list targets")) {
            this->targetsListed(a);
        }
    });
}

void StoreWatcher::Private::targetsListed(const StoreAnswer &answer)
{
    try {
        StoredTargets page = this->dialect.readTargetsAnswer(answer.body);
        page.storeRevision = this->position(page.storeRevision);
        for (const std::string &problem : page.problems) {
            this->log.warning(LogPart::Platform, "an entry cannot be read", {{"why", problem}});
        }
        StoredTargets &list = this->listed;
        list.targets.insert(list.targets.end(), page.targets.begin(), page.targets.end());
        list.unreadable.insert(list.unreadable.end(), page.unreadable.begin(), page.unreadable.end());
        for (GatewayEvacuation evacuation : page.evacuations) {
            evacuation.changedAt = this->position(evacuation.changedAt);
            list.evacuations.push_back(evacuation);
        }
        if (this->listedFrom != 0 && eraOf(this->listedFrom) != *this->era) {
            // The store came back from a copy between two pages.
            return;
        }
        // Changes since the first page are reported by the watch, which starts at the position of that page.
        if (this->listedFrom == 0) {
            this->listedFrom = page.storeRevision;
            this->listedSince = answer.startedAt;
        }
        if (page.hasMore) {
            if (!this->mayContinueAfter(page.next)) {
                this->retryLater(this->changes, "list targets", "a page of the list does not move on");
                return;
            }
            this->continuedAfter.insert(page.next);
            this->listTargets(page.next);
            return;
        }
        this->succeeded(this->changes);
        this->watchedFrom = this->listedFrom;
        const Millis delay = this->hasListed ? Millis{0} : this->firstWatchDelay;
        this->hasListed = true;
        this->isOverdue = false;
        this->targetsReadAt = Millis::monotonicNow();
        this->deadline.recordReportedUpTo(this->listedFrom);
        this->listener.listRead(this->listed, this->listedFrom, this->listedSince);
        if (delay > Millis{0}) {
            this->changes.nextAt = Millis::monotonicNow() + delay;
        } else if (!this->isResting) {
            this->watch();
        }
    } catch (const Error &error) {
        this->failed(this->changes, "list targets", error.what());
    }
}

bool StoreWatcher::Private::mayContinueAfter(const std::string &key) const
{
    return !key.empty() && !this->continuedAfter.contains(key) && this->continuedAfter.size() < maxPages;
}

void StoreWatcher::Private::watch()
{
    const Millis wait = this->times.watchTime;
    this->get(this->changes,
              StoreCallReason::Watch,
              this->dialect.watchCall(revisionOf(this->watchedFrom), wait),
              wait + this->times.watchDelay,
              [this, wait](const StoreAnswer &answer) { this->watched(answer, wait); });
}

void StoreWatcher::Private::watched(const StoreAnswer &answer, Millis wait)
{
    // What changed since is too much for one answer, and would be again.
    if (this->dialect.isHistoryGone(answer.status) || answer.isTooLarge) {
        this->log.info(LogPart::Platform,
                       answer.isTooLarge ? "the store's changes are too many for one answer, reading all again"
                                         : "the store's history is gone, reading all again",
                       {{"after", std::to_string(revisionOf(this->watchedFrom))}});
        this->succeeded(this->changes);
        this->watchedFrom = 0;
        this->mustProve = true;
        return;
    }
    if (!this->isGood(this->changes, answer, "watch")) {
        return;
    }
    try {
        if (this->watchedFrom == 0) {
            // The changes follow a list of an earlier era.
            return;
        }
        StoreEvents events = this->dialect.readWatchAnswer(answer.body);
        this->succeeded(this->changes);
        events.storeRevision = this->position(events.storeRevision);
        this->watchedFrom = std::max(this->watchedFrom, events.storeRevision);
        const Millis now = Millis::monotonicNow();
        this->targetsReadAt = now;
        this->deadline.recordReportedUpTo(this->watchedFrom);
        this->apply(events);
        // A store without changes answers only after the wait.
        const bool hasWaited = events.events.empty() && now - answer.startedAt >= wait;
        this->listener.watchAnswered(this->watchedFrom, hasWaited ? answer.startedAt + wait : answer.startedAt);
        if (!events.events.empty()) {
            this->changes.nextAt = now + this->times.batchDelay;
        } else if (!this->isResting) {
            this->watch();
        }
    } catch (const Error &error) {
        this->failed(this->changes, "watch", error.what());
        // The same changes would come again, so what they lead to is listed.
        this->watchedFrom = 0;
        this->mustProve = true;
    }
}

Revision StoreWatcher::Private::position(Revision revision) const
{
    return storePosition(this->era.value_or(0), revision);
}

StoredConfiguration StoreWatcher::Private::positioned(StoredConfiguration stored) const
{
    stored.changedAt = this->position(stored.changedAt);
    stored.storeRevision = this->position(stored.storeRevision);
    return stored;
}

void StoreWatcher::Private::apply(const StoreEvents &events)
{
    for (const std::string &problem : events.problems) {
        this->log.warning(LogPart::Platform, "an entry cannot be read", {{"why", problem}});
    }
    const StoredConfiguration *newest = nullptr;
    bool hasTargets = false;
    for (const StoreEvent &event : events.events) {
        if (event.configuration) {
            // Decoding a configuration takes milliseconds, so only the last one of an answer is used.
            newest = &*event.configuration;
            continue;
        }
        hasTargets = true;
        if (event.evacuation) {
            GatewayEvacuation change = *event.evacuation;
            change.changedAt = this->position(change.changedAt);
            this->listener.evacuationChanged(change);
        } else if (event.target) {
            this->listener.targetWritten(*event.target, events.storeRevision);
        } else if (!event.removedTarget.empty()) {
            this->listener.targetRemoved(event.removedTarget, events.storeRevision);
        } else if (!event.unreadableTarget.empty()) {
            this->listener.targetUnreadable(event.unreadableTarget, events.storeRevision);
        }
    }
    if (hasTargets) {
        this->listener.targetChangesEnd();
    }
    if (newest != nullptr) {
        this->listener.configurationRead(this->positioned(*newest), std::nullopt);
    }
}

} // namespace Sequoiausher
