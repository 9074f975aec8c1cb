#pragma once

// Finds the worst five seconds of a model's day: the largest part of the requests of any five seconds that were sent to
// targets above the users' limit of load.
//
//     CrowdedSends sends;
//     sends.record(nowMs, isAboveLimit);      // for each request, in the order of time
//     result.worstFiveSeconds = sends.worstFiveSeconds();

#include <algorithm>
#include <cstddef>
#include <deque>
#include <utility>

namespace Sequoiausher {

/** See above. */
class CrowdedSends
{
public:
    void record(double nowMs, bool isAboveLimit)
    {
        constexpr double windowMs = 5000;
        constexpr std::size_t fewestAboveLimit = 20;
        this->window.emplace_back(nowMs, isAboveLimit);
        this->aboveLimit += isAboveLimit ? 1 : 0;
        while (this->window.front().first < nowMs - windowMs) {
            this->aboveLimit -= this->window.front().second ? 1 : 0;
            this->window.pop_front();
        }
        if (this->aboveLimit >= fewestAboveLimit) {
            const double part = static_cast<double>(this->aboveLimit) / static_cast<double>(this->window.size());
            this->worst = std::max(this->worst, part);
        }
    }
    /** Returns the part, 0 to 1; windows with fewer than 20 requests above the limit do not count. */
    double worstFiveSeconds() const
    {
        return this->worst;
    }

private:
    std::deque<std::pair<double, bool>> window;
    std::size_t aboveLimit = 0;
    double worst = 0;
};

} // namespace Sequoiausher
