#include "sequoiausher/transport/gateway/storewatcher.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/gateway/storecall.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
/** After a failed call the next one waits for so long; doubled each time up to the most, with jitter. */
constexpr Millis firstPause{100};
constexpr Millis longestPause{800};

/** One line of calls with its own pauses. */
struct CallLine
{
    explicit CallLine(const std::string &address) : calls(address)
    {
    }

    StoreCalls calls;
    Millis nextAt;
    Millis pause = firstPause;
};

} // namespace

class StoreWatcher::Private
{
public:
    Private(const GatewayDialect &speaks, const StoreSettings &with, const Log &writes, StoreListener &hears)
        : dialect(speaks)
        , settings(with)
        , log(writes)
        , listener(hears)
        , proof(with.address)
        , configurationWatch(with.address)
        , targetsWatch(with.address)
        , random(std::random_device{}())
    {
    }

    void prove();
    void listTargets(const std::string &next);
    void targetsListed(const StoreAnswer &answer);
    void watch(StoreSubject subject);
    void watched(StoreSubject subject, const StoreAnswer &answer);
    void apply(const StoreEvents &events);
    bool isGood(CallLine &line, const StoreAnswer &answer, std::string_view what);
    void failed(CallLine &line, std::string_view what, const std::string &problem);
    void succeeded(CallLine &line);
    CallLine &lineOf(StoreSubject subject);
    Revision &revisionOf(StoreSubject subject);
    void get(CallLine &line, const std::string &target, Millis timeout, StoreCalls::Done done);

    const GatewayDialect &dialect;
    StoreSettings settings;
    const Log &log;
    StoreListener &listener;
    CallLine proof;
    CallLine configurationWatch;
    CallLine targetsWatch;
    /** Watches go on from here; 0 before the first reading, or where the history is gone. */
    Revision configurationFrom = 0;
    Revision targetsFrom = 0;
    std::vector<GatewayTarget> listed;
    Revision listedFrom = 0;
    bool isLost = false;
    std::uint64_t made = 0;
    std::mt19937_64 random;
};

StoreWatcher::StoreWatcher(const GatewayDialect &dialect,
                           const StoreSettings &settings,
                           const Log &log,
                           StoreListener &listener)
    : d(std::make_unique<Private>(dialect, settings, log, listener))
{
}

StoreWatcher::~StoreWatcher() = default;

void StoreWatcher::start()
{
    this->tick(Millis::monotonicNow());
}

void StoreWatcher::tick(Millis now)
{
    for (CallLine *line : {&this->d->proof, &this->d->configurationWatch, &this->d->targetsWatch}) {
        line->calls.tick(now);
    }
    if (!this->d->proof.calls.isBusy() && now >= this->d->proof.nextAt) {
        this->d->prove();
    }
    if (!this->d->targetsWatch.calls.isBusy() && now >= this->d->targetsWatch.nextAt) {
        if (this->d->targetsFrom == 0) {
            this->d->listed.clear();
            this->d->listedFrom = 0;
            this->d->listTargets({});
        } else {
            this->d->watch(StoreSubject::Targets);
        }
    }
    const bool mayWatch = this->d->configurationFrom > 0 && now >= this->d->configurationWatch.nextAt;
    if (mayWatch && !this->d->configurationWatch.calls.isBusy()) {
        this->d->watch(StoreSubject::Configuration);
    }
}

std::uint64_t StoreWatcher::calls() const
{
    return this->d->made;
}

CallLine &StoreWatcher::Private::lineOf(StoreSubject subject)
{
    return subject == StoreSubject::Targets ? this->targetsWatch : this->configurationWatch;
}

Revision &StoreWatcher::Private::revisionOf(StoreSubject subject)
{
    return subject == StoreSubject::Targets ? this->targetsFrom : this->configurationFrom;
}

void StoreWatcher::Private::get(CallLine &line, const std::string &target, Millis timeout, StoreCalls::Done done)
{
    this->made += 1;
    line.calls.get(target, timeout, std::move(done));
}

void StoreWatcher::Private::failed(CallLine &line, std::string_view what, const std::string &problem)
{
    std::uniform_int_distribution<std::int64_t> jitter(line.pause.count / 2, line.pause.count);
    line.nextAt = Millis::monotonicNow() + Millis{jitter(this->random)};
    line.pause = std::min(line.pause * 2, longestPause);
    if (!std::exchange(this->isLost, true)) {
        this->log.warning(LogPart::Platform, "store lost", {{"call", std::string(what)}, {"why", problem}});
        this->listener.storeLost(problem);
    }
}

void StoreWatcher::Private::succeeded(CallLine &line)
{
    line.pause = firstPause;
    if (std::exchange(this->isLost, false)) {
        this->log.info(LogPart::Platform, "store regained");
        this->listener.storeReturned();
    }
}

bool StoreWatcher::Private::isGood(CallLine &line, const StoreAnswer &answer, std::string_view what)
{
    if (answer.status == statusOk) {
        this->succeeded(line);
        return true;
    }
    this->failed(line, what, answer.status == 0 ? answer.problem : "status " + std::to_string(answer.status));
    return false;
}

void StoreWatcher::Private::prove()
{
    this->get(this->proof, this->dialect.configurationCall(), this->settings.callTimeout, [this](const StoreAnswer &a) {
        if (a.status == statusNotFound) {
            this->succeeded(this->proof);
            this->proof.nextAt = Millis::monotonicNow() + firstPause;
            return;
        }
        if (!this->isGood(this->proof, a, "read configuration")) {
            return;
        }
        try {
            const StoredConfiguration stored = this->dialect.readConfigurationAnswer(a.status, a.body);
            if (this->configurationFrom == 0) {
                this->configurationFrom = stored.storeRevision;
            }
            this->proof.nextAt = a.startedAt + this->settings.proofInterval;
            this->listener.configurationRead(stored, a.startedAt);
        } catch (const Error &error) {
            this->failed(this->proof, "read configuration", error.what());
        }
    });
}

void StoreWatcher::Private::listTargets(const std::string &next)
{
    this->get(
        this->targetsWatch, this->dialect.targetsCall(next), this->settings.callTimeout, [this](const StoreAnswer &a) {
            if (this->isGood(this->targetsWatch, a, "list targets")) {
                this->targetsListed(a);
            }
        });
}

void StoreWatcher::Private::targetsListed(const StoreAnswer &answer)
{
    try {
        const StoredTargets page = this->dialect.readTargetsAnswer(answer.body);
        for (const std::string &problem : page.problems) {
            this->log.warning(LogPart::Platform, "an entry cannot be read", {{"why", problem}});
        }
        this->listed.insert(this->listed.end(), page.targets.begin(), page.targets.end());
        // Pages are read one after the other: what changed since the first is in the watch that begins there.
        if (this->listedFrom == 0) {
            this->listedFrom = page.storeRevision;
        }
        if (!page.next.empty()) {
            this->listTargets(page.next);
            return;
        }
        this->targetsFrom = this->listedFrom;
        this->listener.targetsRead(this->listed, this->listedFrom);
        this->watch(StoreSubject::Targets);
    } catch (const Error &error) {
        this->failed(this->targetsWatch, "list targets", error.what());
    }
}

void StoreWatcher::Private::watch(StoreSubject subject)
{
    const Millis wait = this->settings.watchTime;
    this->get(this->lineOf(subject),
              this->dialect.watchCall(subject, this->revisionOf(subject), wait),
              wait + this->settings.callTimeout,
              [this, subject](const StoreAnswer &answer) { this->watched(subject, answer); });
}

void StoreWatcher::Private::watched(StoreSubject subject, const StoreAnswer &answer)
{
    CallLine &line = this->lineOf(subject);
    if (this->dialect.isHistoryGone(answer.status)) {
        this->log.info(LogPart::Platform,
                       "the store's history is gone, reading all again",
                       {{"what", subject == StoreSubject::Targets ? "targets" : "configuration"},
                        {"after", std::to_string(this->revisionOf(subject))}});
        this->succeeded(line);
        this->revisionOf(subject) = 0;
        if (subject == StoreSubject::Configuration) {
            this->proof.nextAt = Millis{0};
        }
        return;
    }
    if (!this->isGood(line, answer, "watch")) {
        return;
    }
    try {
        const StoreEvents events = this->dialect.readWatchAnswer(answer.body);
        this->revisionOf(subject) = std::max(this->revisionOf(subject), events.storeRevision);
        this->apply(events);
        this->watch(subject);
    } catch (const Error &error) {
        this->failed(line, "watch", error.what());
    }
}

void StoreWatcher::Private::apply(const StoreEvents &events)
{
    for (const std::string &problem : events.problems) {
        this->log.warning(LogPart::Platform, "an entry cannot be read", {{"why", problem}});
    }
    for (const StoreEvent &event : events.events) {
        if (event.configuration) {
            this->listener.configurationRead(*event.configuration, std::nullopt);
        } else if (event.target) {
            this->listener.targetWritten(*event.target, events.storeRevision);
        } else if (!event.removedTarget.empty()) {
            this->listener.targetRemoved(event.removedTarget, events.storeRevision);
        }
    }
}

} // namespace Sequoiausher
