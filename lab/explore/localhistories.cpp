#include "lab/explore/localhistories.h"

#include "sequoiausher/coordination/claims/witness.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace Sequoiausher {

namespace {

constexpr ClaimKey exploredKey{1, 1};
constexpr std::uint64_t exploredBody = 7;

/** One process: a claimant or a witness. */
struct Machine
{
    std::unique_ptr<Claimant> claimant;
    std::unique_ptr<Witness> witness;
};

} // namespace

class LocalHistories::Private
{
public:
    explicit Private(const FleetSetup &given) : setup(given)
    {
        for (std::size_t process = 0; process < this->setup.processes(); ++process) {
            this->numbers[InstanceId{this->nameOf(process)}] = process;
        }
        for (const std::vector<std::size_t> &members : this->setup.lists) {
            std::vector<InstanceId> names;
            for (const std::size_t member : members) {
                names.push_back(InstanceId{this->nameOf(this->setup.entries + member)});
            }
            this->lists.push_back(makeInstanceList(std::move(names)));
        }
    }

    std::string nameOf(std::size_t process) const
    {
        const bool isEntry = this->setup.isEntry(process);
        return isEntry ? "e" + std::to_string(process + 1) : "w" + std::to_string(process - this->setup.entries + 1);
    }

    void addStart(std::size_t process)
    {
        HistoryNode node;
        node.parent = process;
        node.process = process;
        node.input.at = startTime;
        node.list = this->setup.listOfProcess[process];
        this->append(std::move(node));
    }

    std::size_t append(HistoryNode node)
    {
        const Machine machine = this->play(node);
        node.deadline
            = machine.claimant ? machine.claimant->nextDeadline() : machine.witness->nextDeadline(node.input.at);
        this->nodes.push_back(std::move(node));
        return this->nodes.size() - 1;
    }

    /** Plays the history that ends with last, and fills in what last brought forth. */
    Machine play(HistoryNode &last)
    {
        std::vector<const HistoryNode *> history;
        const HistoryNode *node = &last;
        while (node->input.kind != InputKind::Start && node->input.kind != InputKind::Restart) {
            node = &this->nodes[node->parent];
            history.push_back(node);
        }
        Machine machine = this->startMachine(*node);
        if (history.empty()) {
            return machine;
        }
        history.pop_back();
        for (; !history.empty(); history.pop_back()) {
            HistoryNode again = *history.back();
            this->apply(machine, again);
        }
        this->apply(machine, last);
        return machine;
    }

    Machine startMachine(const HistoryNode &node) const
    {
        const InstanceId name{this->nameOf(node.process)};
        const InstanceList &list = this->lists[node.list];
        Machine machine;
        if (this->setup.isEntry(node.process)) {
            machine.claimant = std::make_unique<Claimant>(name, this->setup.parameters);
            machine.claimant->setInstances(list);
            return machine;
        }
        machine.witness = std::make_unique<Witness>(name, this->setup.parameters, node.input.at);
        if (node.input.kind == InputKind::Start || this->setup.restartedVotesAtOnce) {
            machine.witness->assumeNoPriorClaims();
        }
        machine.witness->setInstances(node.input.at, list);
        return machine;
    }

    void apply(const Machine &machine, HistoryNode &node)
    {
        Outbox outbox;
        if (machine.claimant) {
            this->applyToEntry(*machine.claimant, node, outbox);
        } else {
            this->applyToWitness(*machine.witness, node, outbox);
        }
        node.sent.clear();
        for (const Outgoing &out : outbox) {
            node.sent.push_back(Sent{this->numbers.at(out.to), this->numberOf(out.message)});
        }
    }

    void applyToEntry(Claimant &claimant, HistoryNode &node, Outbox &outbox)
    {
        const Millis now = node.input.at;
        const RequestId attempt = attemptOf(node.process);
        switch (node.input.kind) {
        case InputKind::Begin:
            claimant.begin(now, Claim{exploredKey, attempt, exploredBody}, outbox);
            break;
        case InputKind::Receive:
            claimant.receive(
                now, this->senderOf(node), std::get<ClaimVote>(this->messages[node.input.message]), outbox);
            break;
        case InputKind::Tick:
            claimant.tick(now, outbox);
            break;
        case InputKind::Dispatch:
            node.answer = claimant.mayDispatch(attempt, now);
            break;
        case InputKind::Refuse:
            node.answer = claimant.isKeyUnrun(attempt, now);
            claimant.withdraw(now, attempt, outbox);
            break;
        case InputKind::ReadList:
            claimant.setInstances(this->lists[node.list]);
            break;
        case InputKind::Start:
        case InputKind::Restart:
            break;
        }
        noteOutcomes(claimant, node);
    }

    static void noteOutcomes(Claimant &claimant, HistoryNode &node)
    {
        node.outcomes.clear();
        for (const ClaimOutcome &outcome : claimant.takeOutcomes()) {
            node.outcomes.push_back(outcome.kind);
            node.isAcquired = outcome.kind == ClaimOutcomeKind::Acquired;
            node.isHeld = outcome.kind == ClaimOutcomeKind::HeldBy;
        }
    }

    void applyToWitness(Witness &witness, const HistoryNode &node, Outbox &outbox)
    {
        const Millis now = node.input.at;
        if (node.input.kind == InputKind::Tick) {
            witness.tick(now, outbox);
        } else if (node.input.kind == InputKind::ReadList) {
            witness.setInstances(now, this->lists[node.list]);
        } else if (node.input.kind == InputKind::Receive) {
            const InstanceId from = this->senderOf(node);
            std::visit([&](const auto &content) { deliver(witness, now, from, content, outbox); },
                       this->messages[node.input.message]);
        }
    }

    template<typename Message>
    static void deliver(Witness &witness, Millis now, const InstanceId &from, const Message &message, Outbox &outbox)
    {
        if constexpr (requires { witness.receive(now, from, message, outbox); }) {
            witness.receive(now, from, message, outbox);
        }
    }

    InstanceId senderOf(const HistoryNode &node) const
    {
        return InstanceId{this->nameOf(node.input.from)};
    }

    std::size_t numberOf(const PeerMessage &message)
    {
        const auto found = std::find(this->messages.begin(), this->messages.end(), message);
        if (found != this->messages.end()) {
            return static_cast<std::size_t>(found - this->messages.begin());
        }
        this->messages.push_back(message);
        return this->messages.size() - 1;
    }

    FleetSetup setup;
    std::vector<InstanceList> lists;
    std::unordered_map<InstanceId, std::size_t> numbers;
    std::vector<HistoryNode> nodes;
    std::vector<std::map<Input, std::size_t>> children;
    std::vector<PeerMessage> messages;
};

LocalHistories::LocalHistories(const FleetSetup &setup) : d(std::make_unique<Private>(setup))
{
    for (std::size_t process = 0; process < setup.processes(); ++process) {
        this->d->addStart(process);
    }
    this->d->children.resize(this->d->nodes.size());
}

LocalHistories::~LocalHistories() = default;

std::size_t LocalHistories::start(std::size_t process) const
{
    return process;
}

std::size_t LocalHistories::step(std::size_t parent, const Input &input)
{
    const auto known = this->d->children[parent].find(input);
    if (known != this->d->children[parent].end()) {
        return known->second;
    }
    const HistoryNode &before = this->d->nodes[parent];
    HistoryNode node;
    node.parent = parent;
    node.process = before.process;
    node.input = input;
    node.hasBegun = before.hasBegun || input.kind == InputKind::Begin;
    const bool isUsed = input.kind == InputKind::Dispatch || input.kind == InputKind::Refuse;
    node.isAcquired = before.isAcquired && !isUsed;
    node.isHeld = before.isHeld && input.kind != InputKind::Begin;
    node.list = before.list + (input.kind == InputKind::ReadList ? 1 : 0);
    const std::size_t number = this->d->append(std::move(node));
    this->d->children.emplace_back();
    this->d->children[parent].emplace(input, number);
    return number;
}

const HistoryNode &LocalHistories::node(std::size_t number) const
{
    return this->d->nodes[number];
}

const PeerMessage &LocalHistories::message(std::size_t number) const
{
    return this->d->messages[number];
}

std::size_t LocalHistories::size() const
{
    return this->d->nodes.size();
}

RequestId LocalHistories::attemptOf(std::size_t entry)
{
    return RequestId{0, entry + 1};
}

std::string LocalHistories::nameOf(std::size_t process) const
{
    return this->d->nameOf(process);
}

} // namespace Sequoiausher
