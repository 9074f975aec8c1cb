#pragma once

// One state of a tiny fleet, and what can happen next in it.
//
//     FleetSteps steps(setup, bounds, histories);
//     for (const Event &event : steps.enabled(state)) {
//         const FleetSteps::Next next = steps.after(state, event);
//     }

#include "lab/explore/explorer.h"

namespace Sequoiausher::Internal {

/** A message on its way; small, since there are millions of states. */
struct InFlight
{
    std::uint8_t from = 0;
    std::uint8_t to = 0;
    std::uint16_t message = 0;

    auto operator<=>(const InFlight &) const = default;
};

/** How much of each bound a schedule has used. */
struct Spent
{
    std::uint8_t waits = 0;
    std::uint8_t duplicates = 0;
    std::uint8_t restarts = 0;
    std::uint8_t listChanges = 0;
    std::uint8_t refusals = 0;
    std::uint8_t secondClaims = 0;

    bool operator==(const Spent &) const = default;
};

/** Where a schedule stands. */
struct FleetState
{
    /** The history of each process. */
    std::vector<std::uint32_t> nodes;
    /** In order, so that states compare. */
    std::vector<InFlight> inFlight;
    Millis now = LocalHistories::startTime;
    Spent spent;
    std::optional<Millis> lastDispatch;
    /** A bit by entry: its call was dispatched; its caller was told that it was not. */
    std::uint8_t dispatched = 0;
    std::uint8_t toldNotRun = 0;

    bool operator==(const FleetState &) const = default;
};

/** A hash over what tells most states apart. */
std::size_t hashOf(const FleetState &state);

/** The events of a fleet. */
class FleetSteps
{
public:
    /** @param played outlives it. */
    FleetSteps(const FleetSetup &fleet, const Bounds &limits, LocalHistories &played);

    FleetState start() const;
    /**
     * Every event that is possible within the bounds. A witness's tick that sends nothing is left out: it drops what
     * has expired, which every other call passes over as well.
     */
    std::vector<Event> enabled(const FleetState &state);

    /** What an event led to. */
    struct Next
    {
        FleetState state;
        bool dispatched = false;
        std::optional<ViolationKind> violation;
    };
    Next after(const FleetState &state, const Event &event);

private:
    void addDeliveries(const FleetState &state, std::vector<Event> &events) const;
    void addEntryEvents(const FleetState &state, std::size_t entry, std::vector<Event> &events) const;
    void addProcessEvents(const FleetState &state, std::size_t process, std::vector<Event> &events);
    bool isTickDue(const FleetState &state, std::size_t process);
    void addWaits(const FleetState &state, std::vector<Event> &events) const;
    bool isUntouched(const FleetState &state, std::size_t process) const;
    bool isLikeAnEarlierOne(const FleetState &state, std::size_t process) const;
    bool isOnSameLists(std::size_t one, std::size_t other) const;
    void spend(FleetState &state, const Event &event) const;
    void judge(const HistoryNode &node, Next &next) const;
    void judgeDispatch(std::size_t entry, Next &next) const;
    void tellNotRun(std::size_t entry, Next &next) const;

    FleetSetup setup;
    Bounds bounds;
    /** By process: the first witness that is on the same lists. */
    std::vector<std::size_t> firstOnSameLists;
    LocalHistories &histories;
};

} // namespace Sequoiausher::Internal
