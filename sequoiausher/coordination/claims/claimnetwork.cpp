#include "sequoiausher/coordination/claims/claimnetwork.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>

namespace Sequoiausher {

namespace {

constexpr int perMille = 1000;

struct Node
{
    InstanceId name;
    std::unique_ptr<Claimant> claimant;
    std::unique_ptr<Witness> witness;
    InstanceList list;
    /** Number of the process, so that events meant for an earlier process are dropped. */
    int incarnation = 0;
    bool up = false;
    Millis pausedUntil;
    Millis wakeAt = Millis::never();
    int side = 0;
};

struct Event
{
    Millis at;
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator>(const Event &other) const
    {
        return this->at != other.at ? this->at > other.at : this->order > other.order;
    }
};

} // namespace

class ClaimNetwork::Private
{
public:
    explicit Private(const NetworkSettings &given) : settings(given), random(given.seed), nodes(given.routers)
    {
    }

    std::int64_t randomBetween(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
    }

    bool drawChance(int share)
    {
        return share > 0 && this->randomBetween(0, perMille - 1) < share;
    }

    void schedule(Millis at, std::function<void()> action)
    {
        this->events.push(Event{at, ++this->order, std::move(action)});
    }

    /** Runs action in the current process, after its pause if it is paused; never in a later process. */
    void runInProcess(std::size_t router, Millis at, std::function<void(Node &)> action)
    {
        const int incarnation = this->nodes[router].incarnation;
        this->schedule(at, [this, router, incarnation, action = std::move(action)]() {
            Node &node = this->nodes[router];
            if (!node.up || node.incarnation != incarnation) {
                return;
            }
            if (node.pausedUntil > this->now) {
                this->runInProcess(router, node.pausedUntil, action);
                return;
            }
            action(node);
            this->finishStep(router);
        });
    }

    void start(std::size_t router, bool first)
    {
        Node &node = this->nodes[router];
        ++node.incarnation;
        node.up = true;
        node.pausedUntil = this->now;
        node.wakeAt = Millis::never();
        node.claimant = std::make_unique<Claimant>(node.name, this->settings.parameters);
        node.witness = std::make_unique<Witness>(node.name, this->settings.parameters, this->now);
        if (first ? this->settings.assumeNoPriorClaimsAtStart : this->settings.restartedVotesAtOnce) {
            node.witness->assumeNoPriorClaims();
        }
        node.claimant->setInstances(node.list);
        node.witness->setInstances(this->now, node.list);
        this->finishStep(router);
    }

    void finishStep(std::size_t router)
    {
        this->takeOutcomes(router);
        Node &node = this->nodes[router];
        const Millis wake = std::min(node.claimant->nextDeadline(), node.witness->nextDeadline(this->now));
        if (wake == Millis::never() || wake >= node.wakeAt) {
            return;
        }
        node.wakeAt = wake;
        this->runInProcess(router, std::max(wake, this->now), [this, router](Node &awake) {
            awake.wakeAt = Millis::never();
            Outbox outbox;
            awake.claimant->tick(this->now, outbox);
            awake.witness->tick(this->now, outbox);
            this->send(router, outbox);
        });
    }

    void send(std::size_t router, const Outbox &outbox)
    {
        for (const Outgoing &out : outbox) {
            const std::size_t to = this->routerNumbers.at(out.to);
            if (to == router) {
                this->deliver(router, to, out.message, Millis{0});
                continue;
            }
            ++this->report.messages;
            if (this->drawChance(this->settings.lossPerMille)) {
                continue;
            }
            this->deliver(router, to, out.message, this->randomDelay());
            if (this->drawChance(this->settings.duplicatePerMille)) {
                this->deliver(router, to, out.message, this->randomDelay());
            }
        }
    }

    Millis randomDelay()
    {
        if (this->drawChance(this->settings.slowPerMille)) {
            return Millis{this->randomBetween(0, this->settings.slowDelay.count)};
        }
        return Millis{this->randomBetween(this->settings.delayMin.count, this->settings.delayMax.count)};
    }

    void deliver(std::size_t from, std::size_t to, const PeerMessage &message, Millis after)
    {
        if (this->nodes[from].side != this->nodes[to].side || !this->nodes[to].up) {
            return;
        }
        const InstanceId sender = this->nodes[from].name;
        this->runInProcess(to, this->now + after, [this, to, sender, message](Node &node) {
            Outbox outbox;
            std::visit([&](const auto &content) { this->handleMessage(node, sender, content, outbox); }, message);
            this->send(to, outbox);
        });
    }

    template<typename Message>
    void handleMessage(Node &node, const InstanceId &from, const Message &message, Outbox &outbox)
    {
        if constexpr (std::is_same_v<Message, ClaimVote>) {
            node.claimant->receive(this->now, from, message, outbox);
        } else if constexpr (
            std::is_same_v<
                Message,
                ClaimRequest> || std::is_same_v<Message, ClaimWithdraw> || std::is_same_v<Message, ClaimPull> || std::is_same_v<Message, ClaimPage>) {
            node.witness->receive(this->now, from, message, outbox);
        }
    }

    void takeOutcomes(std::size_t router)
    {
        for (const ClaimOutcome &outcome : this->nodes[router].claimant->takeOutcomes()) {
            this->ends.push_back(AttemptEnd{outcome.attempt, outcome, this->now});
            switch (outcome.kind) {
            case ClaimOutcomeKind::Acquired:
                this->handleAcquired(router, outcome);
                break;
            case ClaimOutcomeKind::HeldBy:
                ++this->report.held;
                break;
            case ClaimOutcomeKind::BodyDiffers:
                ++this->report.bodyDiffers;
                break;
            case ClaimOutcomeKind::NoQuorum:
                ++this->report.noQuorum;
                this->recordRefusal(outcome.key, outcome.attempt, false);
                break;
            }
        }
    }

    void handleAcquired(std::size_t router, const ClaimOutcome &outcome)
    {
        this->report.acquireTimes.push_back(this->now - this->begunAt.at(outcome.attempt));
        constexpr std::int64_t maxAdmissionMillis = 5;
        const Millis admission{this->randomBetween(0, maxAdmissionMillis)};
        this->runInProcess(router, this->now + admission, [this, router, outcome](Node &node) {
            Outbox outbox;
            if (this->drawChance(this->settings.admissionRefusesPerMille)) {
                // The client is answered at once, before the claim is withdrawn.
                this->recordRefusal(
                    outcome.key, outcome.attempt, node.claimant->isKeyUnrun(outcome.attempt, this->now));
                node.claimant->withdraw(this->now, outcome.attempt, outbox);
            } else if (node.claimant->mayDispatch(outcome.attempt, this->now)) {
                this->recordDispatch(outcome.key, outcome.attempt);
                this->finishLater(router, outcome.attempt);
            } else {
                this->recordRefusal(outcome.key, outcome.attempt, false);
            }
            this->send(router, outbox);
        });
    }

    void finishLater(std::size_t router, const RequestId &attempt)
    {
        this->runInProcess(router, this->now + this->settings.runTime, [attempt](Node &node) {
            node.claimant->finishAttempt(attempt);
        });
    }

    bool ranWithinLifetime(const ClaimKey &key) const
    {
        const auto last = this->lastDispatch.find(key);
        return last != this->lastDispatch.end() && this->now < last->second + this->settings.parameters.lifetime;
    }

    void recordDispatch(const ClaimKey &key, const RequestId &attempt)
    {
        ++this->report.dispatched;
        if (this->ranWithinLifetime(key)) {
            ++this->report.doubleRuns;
        }
        this->lastDispatch[key] = this->now;
        this->dispatchedAttempts.insert(attempt);
        if (this->refusedAttempts.contains(attempt)) {
            ++this->report.falseNotRun;
        }
    }

    void recordRefusal(const ClaimKey &key, const RequestId &attempt, bool assertsKeyUnrun)
    {
        ++this->report.refused;
        this->refusedAttempts.insert(attempt);
        if (this->dispatchedAttempts.contains(attempt) || (assertsKeyUnrun && this->ranWithinLifetime(key))) {
            ++this->report.falseNotRun;
        }
    }

    NetworkSettings settings;
    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::unordered_map<InstanceId, std::size_t> routerNumbers;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t order = 0;
    Millis now{1000};
    NetworkReport report;
    std::vector<AttemptEnd> ends;
    std::unordered_map<RequestId, Millis> begunAt;
    std::unordered_map<ClaimKey, Millis> lastDispatch;
    std::set<RequestId> dispatchedAttempts;
    std::set<RequestId> refusedAttempts;
};

ClaimNetwork::ClaimNetwork(const NetworkSettings &settings) : d(std::make_unique<Private>(settings))
{
    const std::size_t listed = settings.listed == 0 ? settings.routers : settings.listed;
    std::vector<InstanceId> names;
    for (std::size_t i = 0; i < settings.routers; ++i) {
        this->d->nodes[i].name = nameOfRouter(i);
        this->d->routerNumbers[nameOfRouter(i)] = i;
        if (i < listed) {
            names.push_back(nameOfRouter(i));
        }
    }
    for (std::size_t i = 0; i < listed; ++i) {
        this->d->nodes[i].list = makeInstanceList(names);
        this->d->start(i, true);
    }
}

ClaimNetwork::~ClaimNetwork() = default;

Millis ClaimNetwork::now() const
{
    return this->d->now;
}

void ClaimNetwork::run(Millis until)
{
    while (!this->d->events.empty() && this->d->events.top().at <= until) {
        const Event event = this->d->events.top();
        this->d->events.pop();
        this->d->now = std::max(this->d->now, event.at);
        event.action();
    }
    this->d->now = std::max(this->d->now, until);
}

RequestId ClaimNetwork::begin(std::size_t router, const ClaimKey &key, std::uint64_t bodyDigest)
{
    const RequestId attempt{this->d->random(), this->d->random()};
    if (!this->d->nodes[router].up) {
        return attempt;
    }
    ++this->d->report.attempts;
    this->d->begunAt[attempt] = this->d->now;
    if (this->d->settings.withoutClaims) {
        this->d->recordDispatch(key, attempt);
        return attempt;
    }
    this->d->runInProcess(router, this->d->now, [this, router, key, attempt, bodyDigest](Node &node) {
        Outbox outbox;
        node.claimant->begin(this->d->now, Claim{key, attempt, bodyDigest}, outbox);
        this->d->send(router, outbox);
    });
    return attempt;
}

void ClaimNetwork::kill(std::size_t router)
{
    this->d->nodes[router].up = false;
    ++this->d->nodes[router].incarnation;
}

void ClaimNetwork::restart(std::size_t router)
{
    this->d->start(router, false);
}

void ClaimNetwork::pause(std::size_t router, Millis time)
{
    Node &node = this->d->nodes[router];
    node.pausedUntil = std::max(node.pausedUntil, this->d->now + time);
}

void ClaimNetwork::setList(std::size_t router, const std::set<std::size_t> &listed)
{
    std::vector<InstanceId> names;
    std::transform(listed.begin(), listed.end(), std::back_inserter(names), nameOfRouter);
    Node &node = this->d->nodes[router];
    node.list = makeInstanceList(std::move(names));
    if (node.up) {
        this->d->runInProcess(router, this->d->now, [this](Node &reader) {
            reader.claimant->setInstances(reader.list);
            reader.witness->setInstances(this->d->now, reader.list);
        });
    }
}

void ClaimNetwork::split(const std::vector<int> &side)
{
    for (std::size_t i = 0; i < this->d->nodes.size(); ++i) {
        this->d->nodes[i].side = side[i];
    }
}

void ClaimNetwork::handOverClaims(std::size_t router)
{
    this->d->runInProcess(router, this->d->now, [this, router](Node &node) {
        Outbox outbox;
        node.witness->handOverClaims(this->d->now, outbox);
        this->d->send(router, outbox);
    });
}

InstanceId ClaimNetwork::nameOfRouter(std::size_t router)
{
    return InstanceId{"r" + std::to_string(router + 1)};
}

const Witness &ClaimNetwork::witness(std::size_t router) const
{
    return *this->d->nodes[router].witness;
}

const Claimant &ClaimNetwork::claimant(std::size_t router) const
{
    return *this->d->nodes[router].claimant;
}

const NetworkReport &ClaimNetwork::report() const
{
    return this->d->report;
}

const std::vector<AttemptEnd> &ClaimNetwork::ends() const
{
    return this->d->ends;
}

} // namespace Sequoiausher
