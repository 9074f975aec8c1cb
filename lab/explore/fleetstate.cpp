#include "lab/explore/fleetstate.h"

#include <algorithm>
#include <bit>

namespace Sequoiausher::Internal {

namespace {

void mix(std::size_t &hash, std::size_t value)
{
    constexpr std::size_t odd = 0x9e3779b97f4a7c15ULL;
    constexpr int turn = 29;
    hash = std::rotl((hash ^ value) * odd, turn);
}

bool contains(const std::vector<std::size_t> &list, std::size_t member)
{
    return std::find(list.begin(), list.end(), member) != list.end();
}

std::uint8_t bitOf(std::size_t entry)
{
    return static_cast<std::uint8_t>(1U << entry);
}

InFlight inFlightOf(std::size_t from, std::size_t to, std::size_t message)
{
    return InFlight{
        static_cast<std::uint8_t>(from), static_cast<std::uint8_t>(to), static_cast<std::uint16_t>(message)};
}

} // namespace

std::size_t hashOf(const FleetState &state)
{
    std::size_t hash = static_cast<std::size_t>(state.now.count);
    for (const std::size_t node : state.nodes) {
        mix(hash, node);
    }
    for (const InFlight &message : state.inFlight) {
        mix(hash, message.from);
        mix(hash, message.to);
        mix(hash, message.message);
    }
    return hash;
}

FleetSteps::FleetSteps(const FleetSetup &fleet, const Bounds &limits, LocalHistories &played)
    : setup(fleet)
    , bounds(limits)
    , histories(played)
{
    for (std::size_t process = 0; process < this->setup.processes(); ++process) {
        std::size_t first = std::min(this->setup.entries, process);
        while (first < process && !this->isOnSameLists(first, process)) {
            ++first;
        }
        this->firstOnSameLists.push_back(first);
    }
}

FleetState FleetSteps::start() const
{
    FleetState state;
    for (std::size_t process = 0; process < this->setup.processes(); ++process) {
        state.nodes.push_back(static_cast<std::uint32_t>(this->histories.start(process)));
    }
    return state;
}

std::vector<Event> FleetSteps::enabled(const FleetState &state)
{
    std::vector<Event> events;
    this->addDeliveries(state, events);
    for (std::size_t process = 0; process < state.nodes.size(); ++process) {
        if (this->setup.isEntry(process)) {
            this->addEntryEvents(state, process, events);
        }
        this->addProcessEvents(state, process, events);
    }
    this->addWaits(state, events);
    return events;
}

void FleetSteps::addDeliveries(const FleetState &state, std::vector<Event> &events) const
{
    for (std::size_t i = 0; i < state.inFlight.size(); ++i) {
        const InFlight &message = state.inFlight[i];
        const bool isSeen = i > 0 && state.inFlight[i - 1] == message;
        if (isSeen || this->isLikeAnEarlierOne(state, message.to)) {
            continue;
        }
        const Input input{InputKind::Receive, state.now, message.from, message.message};
        events.push_back(Event{EventKind::Input, message.to, input, {}});
        if (state.spent.duplicates < this->bounds.duplicates) {
            events.push_back(Event{EventKind::Duplicate, message.to, input, {}});
        }
    }
}

void FleetSteps::addEntryEvents(const FleetState &state, std::size_t entry, std::vector<Event> &events) const
{
    const HistoryNode &node = this->histories.node(state.nodes[entry]);
    const auto add = [&](InputKind kind) {
        events.push_back(Event{EventKind::Input, entry, Input{kind, state.now}, {}});
    };
    if (!node.hasBegun || (node.isHeld && state.spent.secondClaims < this->bounds.secondClaims)) {
        add(InputKind::Begin);
    }
    if (node.isAcquired) {
        add(InputKind::Dispatch);
    }
    if (node.isAcquired && state.spent.refusals < this->bounds.refusals) {
        add(InputKind::Refuse);
    }
}

void FleetSteps::addProcessEvents(const FleetState &state, std::size_t process, std::vector<Event> &events)
{
    if (this->isLikeAnEarlierOne(state, process)) {
        return;
    }
    const auto add = [&](InputKind kind) {
        events.push_back(Event{EventKind::Input, process, Input{kind, state.now}, {}});
    };
    if (this->isTickDue(state, process)) {
        add(InputKind::Tick);
    }
    const HistoryNode &node = this->histories.node(state.nodes[process]);
    if (!this->setup.isEntry(process) && state.spent.restarts < this->bounds.restarts) {
        add(InputKind::Restart);
    }
    if (node.list + 1 < this->setup.lists.size() && state.spent.listChanges < this->bounds.listChanges) {
        add(InputKind::ReadList);
    }
}

bool FleetSteps::isTickDue(const FleetState &state, std::size_t process)
{
    const HistoryNode &node = this->histories.node(state.nodes[process]);
    const bool hasTicked = node.input.kind == InputKind::Tick && node.input.at == state.now;
    if (node.deadline > state.now || hasTicked) {
        return false;
    }
    const std::size_t after = this->histories.step(state.nodes[process], Input{InputKind::Tick, state.now});
    return this->setup.isEntry(process) || !this->histories.node(after).sent.empty();
}

void FleetSteps::addWaits(const FleetState &state, std::vector<Event> &events) const
{
    if (state.spent.waits >= this->bounds.waits) {
        return;
    }
    for (const Millis length : this->bounds.waitLengths) {
        events.push_back(Event{EventKind::Wait, 0, Input{}, length});
    }
}

bool FleetSteps::isUntouched(const FleetState &state, std::size_t process) const
{
    return state.nodes[process] == this->histories.start(process);
}

bool FleetSteps::isLikeAnEarlierOne(const FleetState &state, std::size_t process) const
{
    if (this->setup.isEntry(process) || !this->isUntouched(state, process)) {
        return false;
    }
    for (std::size_t other = this->setup.entries; other < process; ++other) {
        const bool isOnSame = this->firstOnSameLists[process] == this->firstOnSameLists[other];
        if (isOnSame && this->isUntouched(state, other)) {
            return true;
        }
    }
    return false;
}

bool FleetSteps::isOnSameLists(std::size_t one, std::size_t other) const
{
    const auto same = [&](const std::vector<std::size_t> &list) {
        return contains(list, one - this->setup.entries) == contains(list, other - this->setup.entries);
    };
    return this->setup.listOfProcess[one] == this->setup.listOfProcess[other]
        && std::all_of(this->setup.lists.begin(), this->setup.lists.end(), same);
}

FleetSteps::Next FleetSteps::after(const FleetState &state, const Event &event)
{
    Next next{state, false, std::nullopt};
    this->spend(next.state, event);
    if (event.kind == EventKind::Wait) {
        next.state.now += event.length;
        return next;
    }
    std::vector<InFlight> &inFlight = next.state.inFlight;
    if (event.kind == EventKind::Input && event.input.kind == InputKind::Receive) {
        const InFlight used = inFlightOf(event.input.from, event.process, event.input.message);
        inFlight.erase(std::find(inFlight.begin(), inFlight.end(), used));
    }
    std::uint32_t &place = next.state.nodes[event.process];
    place = static_cast<std::uint32_t>(this->histories.step(place, event.input));
    const HistoryNode &node = this->histories.node(place);
    for (const Sent &sent : node.sent) {
        const InFlight message = inFlightOf(event.process, sent.to, sent.message);
        inFlight.insert(std::lower_bound(inFlight.begin(), inFlight.end(), message), message);
    }
    this->judge(node, next);
    return next;
}

void FleetSteps::spend(FleetState &state, const Event &event) const
{
    const bool isInput = event.kind != EventKind::Wait;
    const InputKind kind = event.input.kind;
    const auto count = [](std::uint8_t &spent, bool isSpent) { spent = static_cast<std::uint8_t>(spent + isSpent); };
    count(state.spent.waits, !isInput);
    count(state.spent.duplicates, event.kind == EventKind::Duplicate);
    count(state.spent.restarts, isInput && kind == InputKind::Restart);
    count(state.spent.listChanges, isInput && kind == InputKind::ReadList);
    count(state.spent.refusals, isInput && kind == InputKind::Refuse);
    const bool isBegin = isInput && kind == InputKind::Begin;
    count(state.spent.secondClaims, isBegin && this->histories.node(state.nodes[event.process]).hasBegun);
}

void FleetSteps::judge(const HistoryNode &node, Next &next) const
{
    const std::size_t entry = node.process;
    const auto &last = next.state.lastDispatch;
    const bool ranLately = last && next.state.now < *last + this->setup.parameters.lifetime;
    if (node.input.kind == InputKind::Dispatch && node.answer) {
        this->judgeDispatch(entry, next);
    } else if (node.input.kind == InputKind::Dispatch) {
        this->tellNotRun(entry, next);
    } else if (node.input.kind == InputKind::Refuse) {
        this->tellNotRun(entry, next);
        if (node.answer && ranLately) {
            next.violation = ViolationKind::FalseNotRun;
        }
    }
    for (const ClaimOutcomeKind outcome : node.outcomes) {
        if (outcome == ClaimOutcomeKind::NoQuorum) {
            this->tellNotRun(entry, next);
        }
    }
}

void FleetSteps::judgeDispatch(std::size_t entry, Next &next) const
{
    FleetState &state = next.state;
    next.dispatched = true;
    if ((state.toldNotRun & bitOf(entry)) != 0) {
        next.violation = ViolationKind::FalseNotRun;
    }
    if (state.lastDispatch && state.now < *state.lastDispatch + this->setup.parameters.lifetime) {
        next.violation = ViolationKind::DoubleRun;
    }
    state.lastDispatch = state.now;
    state.dispatched |= bitOf(entry);
}

void FleetSteps::tellNotRun(std::size_t entry, Next &next) const
{
    next.state.toldNotRun |= bitOf(entry);
    if ((next.state.dispatched & bitOf(entry)) != 0) {
        next.violation = ViolationKind::FalseNotRun;
    }
}

} // namespace Sequoiausher::Internal
