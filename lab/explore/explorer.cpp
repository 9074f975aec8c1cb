#include "lab/explore/explorer.h"

#include "lab/explore/eventtext.h"
#include "lab/explore/fleetstate.h"

#include <unordered_set>

namespace Sequoiausher {

using namespace Internal;

namespace {

/** How a state was first reached: by which of the events that were possible in the one before. */
struct Origin
{
    std::uint32_t parent = 0;
    std::uint32_t event = 0;
};

/** A state of the present length. */
struct Reached
{
    FleetState state;
    std::uint32_t origin = 0;
    /** Schedules that lead here. */
    double schedules = 0;
    /** Kept, since a growing index asks for it again and again. */
    std::size_t hash = 0;
};

/** The states of one length, each once. */
class Layer
{
public:
    /** @return whether the state is new; else the schedules are added to those of the known one. */
    bool add(Reached reached)
    {
        reached.hash = hashOf(reached.state);
        this->all.push_back(std::move(reached));
        const auto [known, isNew] = this->index.insert(this->all.size() - 1);
        if (!isNew) {
            this->all[*known].schedules += this->all.back().schedules;
            this->all.pop_back();
        }
        return isNew;
    }

    std::vector<Reached> &states()
    {
        return this->all;
    }

private:
    struct Hash
    {
        const Layer *layer;
        std::size_t operator()(std::size_t i) const
        {
            return this->layer->all[i].hash;
        }
    };
    struct Equal
    {
        const Layer *layer;
        bool operator()(std::size_t one, std::size_t other) const
        {
            const Reached &known = this->layer->all[one];
            const Reached &added = this->layer->all[other];
            return known.hash == added.hash && known.state == added.state;
        }
    };

    std::vector<Reached> all;
    std::unordered_set<std::size_t, Hash, Equal> index{1024, Hash{this}, Equal{this}};
};

/** One exploration. */
class Search
{
public:
    Search(const FleetSetup &fleet, const Bounds &limits)
        : setup(fleet)
        , bounds(limits)
        , histories(fleet)
        , steps(this->setup, this->bounds, this->histories)
    {
    }

    Exploration run()
    {
        auto layer = std::make_unique<Layer>();
        layer->add(this->startState());
        this->found.states = 1;
        while (!layer->states().empty() && !this->isOver()) {
            auto next = std::make_unique<Layer>();
            this->expand(*layer, *next);
            layer = std::move(next);
        }
        this->found.complete = layer->states().empty() && !this->found.violation;
        this->found.histories = this->histories.size();
        return this->found;
    }

private:
    Reached startState()
    {
        this->origins.push_back(Origin{});
        this->start = this->steps.start();
        if (this->bounds.countedVotes > 0) {
            this->goOn(0, Input{InputKind::Begin, this->start.now});
        }
        for (std::size_t i = 0; i < this->bounds.countedVotes; ++i) {
            this->receive(this->start.inFlight.front());
            this->receive(this->start.inFlight.back());
        }
        if (this->bounds.startsDispatched) {
            this->goOn(0, Input{InputKind::Dispatch, this->start.now});
        }
        return Reached{this->start, 0, 1};
    }

    /** Messages are in the order of their senders: the first is a question of the entry, the last a vote. */
    void receive(const InFlight message)
    {
        this->goOn(message.to, Input{InputKind::Receive, this->start.now, message.from, message.message});
    }

    /** An event before the exploration begins. */
    void goOn(std::size_t process, const Input &input)
    {
        this->prefix.push_back(Event{EventKind::Input, process, input, {}});
        this->start = this->steps.after(this->start, this->prefix.back()).state;
    }

    bool isOver() const
    {
        return this->found.violation || this->found.states >= this->bounds.states
            || this->found.depth >= this->bounds.depth;
    }

    void expand(Layer &layer, Layer &next)
    {
        for (const Reached &reached : layer.states()) {
            const std::vector<Event> events = this->steps.enabled(reached.state);
            if (events.empty()) {
                this->found.schedules += reached.schedules;
            }
            for (std::uint32_t i = 0; i < events.size(); ++i) {
                this->follow(reached, events[i], i, next);
                if (this->found.violation || this->found.states >= this->bounds.states) {
                    return;
                }
            }
        }
        this->found.depth += next.states().empty() ? 0 : 1;
    }

    void follow(const Reached &reached, const Event &event, std::uint32_t number, Layer &next)
    {
        ++this->found.transitions;
        FleetSteps::Next step = this->steps.after(reached.state, event);
        const bool isOther = step.violation && this->bounds.sought && step.violation != this->bounds.sought;
        if (isOther) {
            return;
        }
        if (step.violation) {
            this->report(reached.origin, number, *step.violation);
            return;
        }
        if (!next.add(
                Reached{std::move(step.state), static_cast<std::uint32_t>(this->origins.size()), reached.schedules})) {
            return;
        }
        this->origins.push_back(Origin{reached.origin, number});
        ++this->found.states;
        this->found.dispatches += step.dispatched ? 1 : 0;
    }

    void report(std::uint32_t from, std::uint32_t last, ViolationKind kind)
    {
        std::vector<std::uint32_t> numbers{last};
        for (std::uint32_t at = from; at != 0; at = this->origins[at].parent) {
            numbers.push_back(this->origins[at].event);
        }
        Violation violation;
        violation.kind = kind;
        violation.events = this->prefix;
        FleetState state = this->start;
        for (; !numbers.empty(); numbers.pop_back()) {
            violation.events.push_back(this->steps.enabled(state)[numbers.back()]);
            state = this->steps.after(state, violation.events.back()).state;
        }
        violation.steps = textsOf(violation.events, this->setup, this->histories);
        this->found.depth = violation.events.size();
        this->found.violation = std::move(violation);
    }

    FleetSetup setup;
    Bounds bounds;
    LocalHistories histories;
    FleetSteps steps;
    /** What happened before the exploration, and where that led. */
    std::vector<Event> prefix;
    FleetState start;
    std::vector<Origin> origins;
    Exploration found;
};

} // namespace

Exploration explore(const FleetSetup &setup, const Bounds &bounds)
{
    return Search(setup, bounds).run();
}

} // namespace Sequoiausher
