#pragma once

// Runs the claimants and witnesses of a tiny fleet, each by its own history of inputs.
//
// The state machines cannot be copied, and an exploration needs the same one in very many states. A machine is
// deterministic, so its state is a function of the inputs that it took in. Each history of inputs is a node that knows
// what the last input brought forth; a node that is asked for the first time plays its whole history into a new object
// of the real class. Two schedules that differ only in the order of events at different processes lead to the same
// nodes, which is what makes the exploration small, and it holds whatever the classes keep inside.
//
//     LocalHistories histories(setup);
//     const std::size_t begun = histories.step(histories.start(0), Input{InputKind::Begin, Millis{1000}});
//     histories.node(begun).sent; // the questions of entry 0

#include "lab/explore/fleetsetup.h"
#include "sequoiausher/coordination/claims/claimant.h"

#include <memory>

namespace Sequoiausher {

/** What a process is told. */
enum class InputKind {
    Start,
    Begin,
    Receive,
    Tick,
    /** The entry asks mayDispatch and, if it may, dispatches. */
    Dispatch,
    /** Admission refuses the acquired claim, which is withdrawn. */
    Refuse,
    /** The process reads the next list. */
    ReadList,
    /** A new process of the same name that remembers nothing. */
    Restart,
};

/** One input of one process. */
struct Input
{
    InputKind kind = InputKind::Start;
    Millis at;
    /** Receive: the sender and the number of the message. */
    std::size_t from = 0;
    std::size_t message = 0;

    auto operator<=>(const Input &) const = default;
};

/** A message on its way, by numbers. */
struct Sent
{
    std::size_t to = 0;
    std::size_t message = 0;
};

/** A history: its last input, and what that brought forth. */
struct HistoryNode
{
    std::size_t parent = 0;
    std::size_t process = 0;
    Input input;
    std::vector<Sent> sent;
    std::vector<ClaimOutcomeKind> outcomes;
    /** Dispatch: whether it was dispatched. Refuse: whether the entry may say that the key did not run. */
    bool answer = false;
    /** The entry began a claim. */
    bool hasBegun = false;
    /** The claim is acquired, and neither dispatched nor refused. */
    bool isAcquired = false;
    /** The last claim ended with the key held by another. */
    bool isHeld = false;
    /** Which of FleetSetup::lists it has read. */
    std::size_t list = 0;
    Millis deadline;
};

/** All histories that were asked for. */
class LocalHistories
{
public:
    explicit LocalHistories(const FleetSetup &setup);
    ~LocalHistories();
    LocalHistories(const LocalHistories &) = delete;
    LocalHistories &operator=(const LocalHistories &) = delete;

    /** When all processes started. */
    static constexpr Millis startTime{1000};

    /** The history of a process that has just started; each has a different one. */
    std::size_t start(std::size_t process) const;
    /** The history that is longer by input. References to nodes are invalid afterwards. */
    std::size_t step(std::size_t node, const Input &input);
    const HistoryNode &node(std::size_t number) const;
    const PeerMessage &message(std::size_t number) const;
    /** How many histories were played. */
    std::size_t size() const;

    /** The attempt that an entry claims with. */
    static RequestId attemptOf(std::size_t entry);
    /** e1, e2 for entries, w1, w2 and so on for witnesses. */
    std::string nameOf(std::size_t process) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
