#pragma once

// What happens in a day of simulated time, one thing after the other.
//
//     EventQueue events;
//     events.at(5, [&events] { events.at(events.now() + 1, [] { }); });
//     events.run();

#include "sequoiausher/base/millis.h"

#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace Sequoiausher {

/** Events by their times in milliseconds; those of the same time in the order in which they were added. */
class EventQueue
{
public:
    void at(double when, std::function<void()> act)
    {
        this->events.push({when, this->nextOrder++, std::move(act)});
    }

    /** Until none is left; an event may add others. */
    void run()
    {
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            this->time = event.at;
            event.act();
        }
    }

    double now() const
    {
        return this->time;
    }

    /** The same as the shipped decisions take it: a time of 0 would mean never there. */
    Millis clock() const
    {
        constexpr std::int64_t start = 1000;
        return Millis{start + std::llround(this->time)};
    }

private:
    struct Event
    {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> act;

        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    std::priority_queue<Event> events;
    std::uint64_t nextOrder = 0;
    double time = 0;
};

} // namespace Sequoiausher
