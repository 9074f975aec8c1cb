#include "sequoiausher/coordination/spread/testfleet.h"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <tuple>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::uint64_t wholePercent = 100;
constexpr std::int64_t microsPerMilli = 1000;
constexpr std::int64_t microsPerSecond = 1000000;
constexpr Millis watchTimeout{20000};

/** A message in flight. */
struct Flight
{
    Millis at;
    std::uint64_t order = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    std::shared_ptr<const PeerMessage> message;

    bool operator>(const Flight &other) const
    {
        return std::tuple(this->at, this->order) > std::tuple(other.at, other.order);
    }
};

/** The service's answer to a router: a part of the service's history. */
struct Answer
{
    Millis at;
    std::uint64_t order = 0;
    std::size_t router = 0;
    std::size_t first = 0;
    std::size_t end = 0;

    bool operator>(const Answer &other) const
    {
        return std::tuple(this->at, this->order) > std::tuple(other.at, other.order);
    }
};

struct Router
{
    std::unique_ptr<Membership> membership;
    std::unique_ptr<Spread> spread;
    Incarnation incarnation = 0;
    bool alive = true;
    int group = 0;
    Millis pausedUntil;
    std::vector<Flight> waiting;
    std::uint64_t view = 0;
    std::size_t staleRevisions = 0;
    /** How much of the service's history the current watch has seen. Without a change the watch ends at watchEnds. */
    std::size_t watched = 0;
    Millis watchEnds;
    bool reading = false;
    std::map<std::string, Revision> seen;
    std::map<std::string, Revision> naive;
};

} // namespace

class TestFleet::Private
{
public:
    Private(TestFleet &fleet, const TestFleetSettings &given) : owner(fleet), settings(given), random(given.seed)
    {
    }

    TestFleet &owner;
    TestFleetSettings settings;
    std::mt19937_64 random;
    Millis now;
    std::vector<Router> routers;
    std::map<InstanceId, std::size_t> numbers;
    std::vector<ListedInstance> list;
    std::priority_queue<Flight, std::vector<Flight>, std::greater<>> flights;
    std::priority_queue<Answer, std::vector<Answer>, std::greater<>> answers;
    std::uint64_t flightCount = 0;
    std::int64_t serviceFreeAt = 0;
    std::vector<Document> history;
    DocumentTable published;
    bool serviceDown = false;
    TestFleetCounts counts;

    bool chance(int percent)
    {
        return percent > 0 && this->random() % wholePercent < static_cast<std::uint64_t>(percent);
    }

    Millis delay(std::size_t from, std::size_t to)
    {
        constexpr std::size_t regionSpan = 26;
        const std::size_t regionOfFrom = from % this->settings.dataCentres % this->settings.regions;
        const std::size_t regionOfTo = to % this->settings.dataCentres % this->settings.regions;
        Millis delay{1};
        if (regionOfFrom != regionOfTo) {
            delay = Millis{static_cast<std::int64_t>(5 + (regionOfFrom + regionOfTo) * 7 % regionSpan)};
        }
        if (this->settings.jitter.count > 0) {
            delay += Millis{
                static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(this->settings.jitter.count))};
        }
        return delay;
    }

    void send(std::size_t from, Outbox &outbox)
    {
        for (Outgoing &out : outbox) {
            const auto number = this->numbers.find(out.to);
            if (number == this->numbers.end()) {
                continue;
            }
            ++this->counts.messages;
            if (this->owner.onSent) {
                this->owner.onSent(from, out.message);
            }
            const auto message = std::make_shared<const PeerMessage>(std::move(out.message));
            const int copies = this->chance(this->settings.repeatPercent) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                if (!this->chance(this->settings.lossPercent)) {
                    const Millis at = this->now + this->delay(from, number->second);
                    this->flights.push({at, ++this->flightCount, from, number->second, message});
                }
            }
        }
        outbox.clear();
    }

    void start(std::size_t number)
    {
        Router &router = this->routers[number];
        router.incarnation += 1;
        router.alive = true;
        router.seen.clear();
        router.naive.clear();
        router.watched = 0;
        router.watchEnds = Millis{};
        router.reading = false;
        router.waiting.clear();
        router.view = 0;
        const ListedInstance &row = this->list[number];
        router.membership = std::make_unique<Membership>(
            OwnInstance{row.instance, row.dataCentre, router.incarnation}, this->random(), this->settings.membership);
        router.spread = std::make_unique<Spread>(row.instance, this->random(), this->settings.spread);
        router.membership->setListed(this->list);
        this->refreshView(number);
    }

    void refreshView(std::size_t number)
    {
        Router &router = this->routers[number];
        if (router.view != router.membership->viewVersion()) {
            router.view = router.membership->viewVersion();
            router.spread->setFleet(this->now, {router.membership->listed(), router.membership->live()});
        }
    }

    void noteDocument(std::size_t number, const Document &document)
    {
        Router &router = this->routers[number];
        Revision &naive = router.naive[document.name];
        this->counts.naiveReversions += document.revision < naive ? 1 : 0;
        naive = document.revision;
        Revision &seen = router.seen[document.name];
        const Revision known = router.spread->documents().revisionOf(document.name);
        this->counts.reversions += known < seen ? 1 : 0;
        if (known > seen && this->owner.onNewRevision) {
            this->owner.onNewRevision(number, document);
        }
        seen = known;
    }

    void learn(std::size_t number, const std::vector<Document> &documents, bool isComplete)
    {
        Outbox outbox;
        this->routers[number].spread->addServiceDocuments(this->now, documents, isComplete, outbox);
        for (const Document &document : documents) {
            this->noteDocument(number, document);
        }
        if (!this->settings.everyoneReads) {
            this->send(number, outbox);
        }
    }

    bool canReadService(std::size_t number) const
    {
        const Router &router = this->routers[number];
        const bool runs = router.alive && this->now >= router.pausedUntil && !router.reading;
        return runs && !this->serviceDown
            && (this->settings.everyoneReads || router.spread->readPlan(this->now) == ReadPlan::Watch);
    }

    /**
     * Starts a read if the router's watch has an answer. A router has one watch at a time, which answers at once if
     * there are changes, or else at its timeout. Each call uses part of the service's rate, so many readers wait for
     * each other.
     */
    void readService(std::size_t number)
    {
        Router &router = this->routers[number];
        const std::size_t shown = this->history.size() - std::min(router.staleRevisions, this->history.size());
        const std::size_t first = router.staleRevisions > 0 ? 0 : std::min(router.watched, shown);
        if (!this->canReadService(number) || (first == shown && this->now < router.watchEnds)) {
            return;
        }
        const std::uint64_t calls = 1 + shown - first;
        this->counts.serviceReads += calls;
        const std::int64_t microsNow = this->now.count * microsPerMilli;
        this->serviceFreeAt = std::max(this->serviceFreeAt, microsNow)
            + static_cast<std::int64_t>(calls) * microsPerSecond / this->settings.serviceReadsPerSecond;
        const Millis done{this->serviceFreeAt / microsPerMilli};
        router.reading = true;
        this->answers.push({done + this->settings.serviceDelay * 2, ++this->flightCount, number, first, shown});
    }

    void answer(const Answer &answer)
    {
        Router &router = this->routers[answer.router];
        router.reading = false;
        if (!router.alive || this->now < router.pausedUntil || this->serviceDown) {
            return;
        }
        router.watched = std::max(router.watched, answer.end);
        router.watchEnds = this->now + watchTimeout;
        const auto begin = this->history.begin();
        this->learn(
            answer.router,
            {begin + static_cast<std::ptrdiff_t>(answer.first), begin + static_cast<std::ptrdiff_t>(answer.end)},
            true);
    }

    void tick(std::size_t number)
    {
        Router &router = this->routers[number];
        if (!router.alive || this->now < router.pausedUntil) {
            return;
        }
        if (this->settings.everyoneReads) {
            this->readService(number);
            return;
        }
        Outbox outbox;
        for (const Flight &flight : std::exchange(router.waiting, {})) {
            this->handle(flight);
        }
        const DocumentSummary summary = router.spread->summary(this->now);
        router.membership->setDocuments({summary.digest, summary.highestRevision, summary.serviceAge});
        router.membership->tick(this->now, outbox);
        for (const MembershipEvent &event : router.membership->takeEvents()) {
            if (event.kind == MembershipEventKind::WokeLate) {
                router.spread->resumeAfterPause(this->now, outbox);
            }
            if (this->owner.onEvent) {
                this->owner.onEvent(number, event);
            }
        }
        this->refreshView(number);
        router.spread->tick(this->now, outbox);
        this->send(number, outbox);
        this->readService(number);
    }

    void deliver(const Flight &flight)
    {
        Router &router = this->routers[flight.to];
        if (!router.alive || router.group != this->routers[flight.from].group) {
            return;
        }
        if (this->now < router.pausedUntil) {
            router.waiting.push_back(flight);
            return;
        }
        this->handle(flight);
    }

    void handle(const Flight &flight);
};

void TestFleet::Private::handle(const Flight &flight)
{
    Router &router = this->routers[flight.to];
    const InstanceId &from = this->list[flight.from].instance;
    Outbox outbox;
    const PeerMessage &message = *flight.message;
    if (const auto *probe = std::get_if<Probe>(&message)) {
        router.membership->receive(this->now, from, *probe, outbox);
        router.spread->receiveGossip(this->now, from, probe->gossip, outbox);
    } else if (const auto *reply = std::get_if<ProbeReply>(&message)) {
        router.membership->receive(this->now, from, *reply, outbox);
        router.spread->receiveGossip(this->now, from, reply->gossip, outbox);
    } else if (const auto *indirect = std::get_if<IndirectProbe>(&message)) {
        router.membership->receive(this->now, from, *indirect, outbox);
    } else if (const auto *push = std::get_if<DocumentPush>(&message)) {
        router.spread->receive(this->now, from, *push, outbox);
        for (const Document &document : push->documents) {
            this->noteDocument(flight.to, document);
        }
    } else if (const auto *digest = std::get_if<DocumentDigest>(&message)) {
        router.spread->receive(this->now, from, *digest, outbox);
    } else if (const auto *pull = std::get_if<DocumentPull>(&message)) {
        router.spread->receive(this->now, from, *pull, outbox);
    }
    this->send(flight.to, outbox);
}

TestFleet::TestFleet(const TestFleetSettings &settings) : d(std::make_unique<Private>(*this, settings))
{
    for (std::size_t i = 0; i < settings.routers; ++i) {
        const InstanceId instance{"router-" + std::to_string(i)};
        const DataCentreId dataCentre{"dc-" + std::to_string(i % settings.dataCentres)};
        this->d->numbers[instance] = i;
        this->d->list.push_back({instance, dataCentre});
    }
    this->d->routers.resize(settings.routers);
    for (std::size_t i = 0; i < settings.routers; ++i) {
        this->d->start(i);
    }
}
TestFleet::~TestFleet() = default;

Millis TestFleet::now() const
{
    return this->d->now;
}

void TestFleet::run(Millis span)
{
    const Millis end = this->d->now + span;
    while (this->d->now < end) {
        this->d->now += Millis{1};
        while (!this->d->flights.empty() && this->d->flights.top().at <= this->d->now) {
            const Flight flight = this->d->flights.top();
            this->d->flights.pop();
            this->d->deliver(flight);
        }
        while (!this->d->answers.empty() && this->d->answers.top().at <= this->d->now) {
            const Answer answer = this->d->answers.top();
            this->d->answers.pop();
            this->d->answer(answer);
        }
        // The ticks of the routers are distributed over the interval.
        const auto interval = static_cast<std::size_t>(this->d->settings.tickInterval.count);
        for (std::size_t i = static_cast<std::size_t>(this->d->now.count) % interval; i < this->size(); i += interval) {
            this->d->tick(i);
        }
    }
}

Revision TestFleet::publish(const std::string &name, const std::string &body, bool deleted)
{
    const Document document{name, this->d->history.size() + 1, deleted ? "" : body, deleted};
    this->d->history.push_back(document);
    this->d->published.learn(document);
    for (std::size_t i = 0; i < this->size(); ++i) {
        this->d->readService(i);
    }
    return document.revision;
}

void TestFleet::setServiceDown(bool down)
{
    this->d->serviceDown = down;
}

void TestFleet::setServiceStale(std::size_t router, std::size_t revisionsAgo)
{
    this->d->routers[router].staleRevisions = revisionsAgo;
}

void TestFleet::addServiceDocument(std::size_t router, const Document &document)
{
    this->d->learn(router, {document}, false);
}

void TestFleet::setGroup(std::size_t router, int group)
{
    this->d->routers[router].group = group;
}

void TestFleet::pause(std::size_t router, Millis span)
{
    this->d->routers[router].pausedUntil = this->d->now + span;
}

void TestFleet::restart(std::size_t router)
{
    this->d->start(router);
}

void TestFleet::kill(std::size_t router)
{
    this->d->routers[router].alive = false;
}

std::size_t TestFleet::size() const
{
    return this->d->routers.size();
}

Membership &TestFleet::membership(std::size_t router)
{
    return *this->d->routers[router].membership;
}

Spread &TestFleet::spread(std::size_t router)
{
    return *this->d->routers[router].spread;
}

bool TestFleet::isAlive(std::size_t router) const
{
    return this->d->routers[router].alive;
}

std::uint64_t TestFleet::serviceDigest() const
{
    return this->d->published.digest();
}

const TestFleetCounts &TestFleet::counts() const
{
    return this->d->counts;
}

} // namespace Sequoiausher
