#pragma once

// Finds the spans in which too many requests reached targets that held far more than the mean of their service: in some
// five seconds without a disturbance of a target, at least twenty requests and more than three in a hundred of those
// that gateways in touch sent to the service.
//
//     LimitJudge judge;
//     judge.arrived({"llm", "t7-1", 3, "c1-17", now, 9, 24, 12, true});
//     for (const LimitWindow &window : judge.worstWindows(isCalm)) { if (window.isBreach) { ... } }

#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** The limit as it is stated. */
struct LimitBounds
{
    /** A target is above the limit where it holds more than this multiple of the mean of its service, and slack. */
    std::uint32_t meanMultiple = 2;
    std::uint32_t slackRequests = 3;
    Millis window{5000};
    std::size_t fewestAbove = 20;
    std::size_t abovePercent = 3;
};

/** A request at a target. */
struct LimitArrival
{
    std::string service;
    std::string target;
    std::size_t gateway = 0;
    std::string id;
    Millis at;
    /** What the target, and all targets of the service, held before. */
    std::uint32_t held = 0;
    std::uint32_t heldByService = 0;
    std::uint32_t targetsOfService = 0;
    /** Whether the gateway that sent it was in touch. */
    bool isInTouch = true;
};

/** Five seconds of a service. */
struct LimitWindow
{
    std::string service;
    Millis from;
    Millis to;
    /** All arrivals that count, and those at targets above the limit. */
    std::size_t arrivals = 0;
    std::vector<LimitArrival> above;
    /** Whether this is more than the limit allows. */
    bool isBreach = false;
};

/** See above. */
class LimitJudge
{
public:
    explicit LimitJudge(const LimitBounds &bounds = {});

    /** Records an arrival; their times must not decrease. */
    void arrived(const LimitArrival &arrival);
    /**
     * Returns the worst window of each service of which any request reached a target above the limit.
     * @param isCalm whether no target was disturbed between two times
     */
    std::vector<LimitWindow> worstWindows(const std::function<bool(Millis from, Millis to)> &isCalm) const;

private:
    bool isAbove(const LimitArrival &arrival) const;
    LimitWindow windowFrom(Millis from, const std::vector<LimitArrival> &list) const;

    LimitBounds bounds;
    std::map<std::string, std::vector<LimitArrival>> arrivals;
};

} // namespace Sequoiausher::Lab
