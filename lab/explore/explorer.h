#pragma once

// Explores every schedule of a tiny fleet within bounds, breadth first, and checks each dispatch and refusal.
//
//     const Exploration found = explore(setup, bounds);
//     found.complete;               // all schedules within the bounds were seen
//     if (found.violation) { ... found.violation->steps ... }  // the shortest schedule that breaks a promise
//
// A state is the history of each process (localhistories.h), the messages on their way, and the time. Every event
// lengthens one history or moves the clock, so that a state is reached by schedules of one length alone, and states
// need to be compared within one length only; they are compared whole, not by a hash.
//
// What needs no event of its own, since nothing has to happen: a lost message is one that is never delivered, a slow
// one is delivered after the clock moved, and a paused process is one that gets none of its events meanwhile.
//
// Witnesses that no event has touched and that are on the same lists differ by name alone, so that only the first of
// them gets an event.

#include "lab/explore/localhistories.h"

#include <optional>
#include <string>

namespace Sequoiausher {

/** What happens next in a schedule. */
enum class EventKind {
    /** The input reaches its process; a message is used up by it. */
    Input,
    /** The message is delivered and stays on its way: it arrives once more. */
    Duplicate,
    /** The clock moves on. */
    Wait,
};

/** One event of a schedule. */
struct Event
{
    EventKind kind = EventKind::Input;
    std::size_t process = 0;
    Input input;
    /** Wait: by how much. */
    Millis length;
};

/** A schedule that breaks a promise; no shorter one does. */
struct Violation
{
    ViolationKind kind = ViolationKind::DoubleRun;
    std::vector<Event> events;
    /** The events in words, one line each. */
    std::vector<std::string> steps;
};

/** What an exploration saw. */
struct Exploration
{
    /** Nothing within the bounds is left. */
    bool complete = false;
    std::size_t states = 0;
    std::size_t transitions = 0;
    /** The events of the longest schedule seen. */
    std::size_t depth = 0;
    /** Schedules seen up to their end, after which nothing more can happen within the bounds; too many to be exact. */
    double schedules = 0;
    /** States in which a request was just dispatched: without any, nothing was checked. */
    std::size_t dispatches = 0;
    /** Histories of single processes that were played. */
    std::size_t histories = 0;
    std::optional<Violation> violation;
};

/** Explores until the end, the bounds, or the first violation. Deterministic. */
Exploration explore(const FleetSetup &setup, const Bounds &bounds);

} // namespace Sequoiausher
