// Rolling replacements of a small fleet with lost, duplicate, late and corrupt messages, routers that die midway, and
// lists that differ. A retry is given either nothing or the complete answer of its own key, and no key is ever reported
// as free.

#include "sequoiausher/coordination/answers/answerreceiver.h"
#include "sequoiausher/coordination/answers/answersender.h"
#include "sequoiausher/coordination/answers/holdersearch.h"
#include "sequoiausher/state/answers/answertable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>

using namespace Sequoiausher;

namespace {

constexpr std::size_t routerCount = 7;
constexpr std::size_t answerCount = 40;
constexpr Millis step{10};
constexpr std::uint64_t bodyDigest = 7;

InstanceId nameOfRouter(std::size_t number)
{
    return InstanceId{"r" + std::to_string(number)};
}

/** Injected faults; shares are out of 1000. */
struct Faults
{
    std::uint64_t seed = 1;
    int lossPerMille = 0;
    int duplicatePerMille = 0;
    int latePerMille = 0;
    /** Share of pages of which one fragment is truncated or changed in flight. */
    int corruptPerMille = 0;
    /** Chance per step that a router dies during another router's hand-over. */
    int deathPerMille = 0;
    /** Share of routers that are missing from the list of the router that hands over. */
    int unlistedPerMille = 0;
    std::size_t totalBytes = std::size_t{1} << 20U;
};

/** One process of a router; a new process of the same name has no answers. */
struct Process : public AnswerBodySource
{
    Process(const AnswerSettings &settings, std::uint64_t handover)
        : table(settings)
        , receiver(AnswerReceiverSettings{4096, 8192, Millis{2000}})
        , sender(AnswerHandoverSettings{Millis{3000}, 1U << 20U, 256, 4, 2, 8, Millis{100}, 4}, handover, *this)
    {
    }

    std::string bytesOf(const RequestId &attempt, std::uint64_t offset, std::size_t maxBytes) const override
    {
        return this->table.bytesOf(attempt, offset, maxBytes);
    }

    AnswerTable table;
    AnswerReceiver receiver;
    AnswerSender sender;
};

struct Flight
{
    InstanceId from;
    Outgoing out;
};

/** The attempt that ran for a key, with its complete answer. */
struct Original
{
    ClaimKey key;
    RequestId attempt;
    InstanceId holder;
    std::string body;
};

class Network
{
public:
    explicit Network(const Faults &theFaults) : faults(theFaults), random(theFaults.seed)
    {
        this->settings.totalBytes = theFaults.totalBytes;
        for (std::size_t i = 0; i < routerCount; ++i) {
            this->start(nameOfRouter(i));
        }
        for (std::size_t i = 0; i < answerCount; ++i) {
            this->runOne(i);
        }
    }

    void start(const InstanceId &name)
    {
        this->processes[name] = std::make_unique<Process>(this->settings, ++this->processCount);
    }

    bool happens(int perMille)
    {
        return static_cast<int>(this->random() % 1000) < perMille;
    }

    void runOne(std::size_t number)
    {
        Original original{{number, this->random()}, {number, 77}, nameOfRouter(this->random() % routerCount), {}};
        original.body = std::string(this->random() % 2000, static_cast<char>('a' + number % 26));
        AnswerTable &table = this->processes[original.holder]->table;
        table.start(this->now, original.attempt, original.key, bodyDigest);
        table.setHead(original.attempt, {200, "text/plain"});
        table.append(original.attempt, original.body);
        table.finish(this->now, original.attempt, AnswerState::Complete, "");
        this->originals.push_back(std::move(original));
        this->now = this->now + Millis{1};
    }

    void corrupt(Outgoing &out)
    {
        auto *page = std::get_if<AnswerPage>(&out.message);
        if (page == nullptr || page->fragments.empty() || !this->happens(this->faults.corruptPerMille)) {
            return;
        }
        AnswerFragment &fragment = page->fragments[this->random() % page->fragments.size()];
        switch (this->random() % 4) {
        case 0:
            fragment.bytes.resize(fragment.bytes.size() / 2);
            break;
        case 1:
            fragment.bytes += "x";
            break;
        case 2:
            fragment.answer.key = this->originals[this->random() % answerCount].key;
            break;
        default:
            fragment.answer.length /= 2;
            break;
        }
    }

    void post(const InstanceId &from, Outbox &outbox)
    {
        for (Outgoing &out : outbox) {
            if (this->happens(this->faults.lossPerMille)) {
                continue;
            }
            const int copies = this->happens(this->faults.duplicatePerMille) ? 2 : 1;
            for (int i = 0; i < copies; ++i) {
                const bool isLate = this->happens(this->faults.latePerMille);
                const Millis at = this->now + Millis{isLate ? static_cast<std::int64_t>(this->random() % 2000) : 1};
                Flight flight{from, out};
                this->corrupt(flight.out);
                this->flights.emplace(at, std::move(flight));
            }
        }
        outbox.clear();
    }

    void arrive(const Flight &flight)
    {
        const auto to = this->processes.find(flight.out.to);
        if (to == this->processes.end() || !to->second) {
            return;
        }
        Process &process = *to->second;
        Outbox outbox;
        if (const auto *page = std::get_if<AnswerPage>(&flight.out.message)) {
            process.receiver.receive(this->now, flight.from, *page, outbox);
            for (ReceivedAnswer &taken : process.receiver.takeCompleteAnswers()) {
                process.table.keep(this->now, taken.answer, std::move(taken.body));
            }
        } else if (const auto *ack = std::get_if<AnswerPageAck>(&flight.out.message)) {
            process.sender.receive(this->now, flight.from, *ack, outbox);
        }
        this->post(flight.out.to, outbox);
    }

    void advance()
    {
        this->now = this->now + step;
        while (!this->flights.empty() && this->flights.begin()->first <= this->now) {
            const Flight flight = this->flights.begin()->second;
            this->flights.erase(this->flights.begin());
            this->arrive(flight);
        }
        for (auto &[name, process] : this->processes) {
            if (process) {
                Outbox outbox;
                process->receiver.tick(this->now);
                process->table.tick(this->now);
                process->sender.tick(this->now, outbox);
                this->post(name, outbox);
            }
        }
    }

    InstanceList listOf(const InstanceId &without, bool complete)
    {
        std::vector<InstanceId> names;
        for (const auto &[name, process] : this->processes) {
            if (process && name != without && (complete || !this->happens(this->faults.unlistedPerMille))) {
                names.push_back(name);
            }
        }
        return makeInstanceList(names);
    }

    /** A planned stop, then a new process of the same name. @return the duration of the hand-over. */
    Millis replace(const InstanceId &name)
    {
        if (!this->processes[name]) {
            this->start(name);
            return Millis{0};
        }
        const Millis begunAt = this->now;
        Process &process = *this->processes[name];
        Outbox outbox;
        process.sender.begin(this->now, process.table.kept(this->now), this->listOf(name, false), outbox);
        this->post(name, outbox);
        while (!process.sender.isDone()) {
            if (this->happens(this->faults.deathPerMille)) {
                this->die(name);
            }
            this->advance();
        }
        this->undelivered += process.sender.count().undelivered;
        this->start(name);
        return this->now - begunAt;
    }

    void die(const InstanceId &other)
    {
        const InstanceId name = nameOfRouter(this->random() % routerCount);
        if (name != other) {
            this->processes[name].reset();
        }
    }

    /** The complete answer that a retry is given; std::nullopt if its outcome is unknown. */
    std::optional<AnswerPart> retry(const Original &original)
    {
        HolderSearch search;
        search.begin(original.key, original.holder, this->listOf({}, true));
        while (const std::optional<InstanceId> asked = search.next()) {
            const auto &process = this->processes[*asked];
            const auto cursor = process ? process->table.attach(original.attempt, nullptr) : std::nullopt;
            if (cursor) {
                AnswerCursor at = *cursor;
                AnswerPart part = process->table.read(at, 1U << 20U);
                process->table.detach(at);
                return part;
            }
        }
        return std::nullopt;
    }

    Faults faults;
    std::mt19937_64 random;
    Millis now{1000};
    AnswerSettings settings{std::size_t{1} << 20U, 4096, Millis{3600000}};
    std::uint64_t processCount = 0;
    std::map<InstanceId, std::unique_ptr<Process>> processes;
    std::multimap<Millis, Flight> flights;
    std::vector<Original> originals;
    std::size_t undelivered = 0;
};

/** Checks that the retry of each key is given its complete answer or nothing. @return how many are given nothing. */
std::size_t checkRetries(Network &network)
{
    std::size_t unknown = 0;
    for (const Original &original : network.originals) {
        const std::optional<AnswerPart> part = network.retry(original);
        // A router without room for the body only records that the attempt ran.
        const bool isKept = part && part->state != AnswerState::NotReplayable;
        if (!isKept) {
            RC_ASSERT(!part || part->bytes.empty());
            ++unknown;
            continue;
        }
        RC_ASSERT(part->state == AnswerState::Complete);
        RC_ASSERT(part->bytes == original.body);
        RC_ASSERT(part->head.has_value() && part->head->status == 200U);
    }
    return unknown;
}

/** Checks that each router with an entry for a key joins a retry to the answer, so that the key does not run again. */
void checkKeys(Network &network)
{
    for (const auto &[name, process] : network.processes) {
        for (const Original &original : network.originals) {
            if (!process || !process->table.find(original.key)) {
                continue;
            }
            const StartResult result = process->table.start(network.now, {99, 99}, original.key, bodyDigest);
            RC_ASSERT(result.verdict == StartVerdict::Joined);
            RC_ASSERT(result.attempt == original.attempt);
        }
        if (process) {
            RC_ASSERT(process->table.usedBytes() <= network.settings.totalBytes);
            RC_ASSERT(process->receiver.incompleteBytes() <= 8192U);
        }
    }
}

} // namespace

TEST_CASE("a retry is given its own complete answer or none, with lost, duplicate, late and corrupt messages and dead "
          "routers")
{
    const bool holds = rc::check([] {
        Faults faults;
        faults.seed = *rc::gen::arbitrary<std::uint64_t>();
        faults.lossPerMille = *rc::gen::inRange(0, 400);
        faults.duplicatePerMille = *rc::gen::inRange(0, 300);
        faults.latePerMille = *rc::gen::inRange(0, 300);
        faults.corruptPerMille = *rc::gen::inRange(0, 200);
        faults.deathPerMille = *rc::gen::element(0, 0, 5, 20);
        faults.unlistedPerMille = *rc::gen::element(0, 0, 200, 800);
        faults.totalBytes = *rc::gen::element<std::size_t>(1U << 20U, 20000, 4096, 0);
        Network network(faults);
        for (std::size_t i = 0; i < routerCount; ++i) {
            RC_ASSERT(network.replace(nameOfRouter(i)) <= Millis{3000} + step);
            checkRetries(network);
        }
        checkKeys(network);
    });
    CHECK(holds);
}

TEST_CASE("two rolling replacements lose no answer, with lost, duplicate and late messages")
{
    const bool holds = rc::check([] {
        Faults faults;
        faults.seed = *rc::gen::arbitrary<std::uint64_t>();
        faults.lossPerMille = *rc::gen::inRange(0, 50);
        faults.duplicatePerMille = *rc::gen::inRange(0, 300);
        faults.latePerMille = *rc::gen::inRange(0, 50);
        Network network(faults);
        for (std::size_t i = 0; i < 2 * routerCount; ++i) {
            network.replace(nameOfRouter(i % routerCount));
            RC_ASSERT(network.undelivered == 0U);
            RC_ASSERT(checkRetries(network) == 0U);
        }
        checkKeys(network);
    });
    CHECK(holds);
}
