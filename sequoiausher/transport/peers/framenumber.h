#pragma once

// Numbers of the frames that one router sends to another, by which the other acknowledges them.
//
//     FrameNumber last = frameAfter(noFrame);       // 1
//     framesFromTo(last, frameAfter(last));         // 1

#include <cstdint>

namespace Sequoiausher {

/** 1 to 255, and then 1 again: what fits beside a frame's length. */
using FrameNumber = std::uint8_t;

/** No frame: what acknowledges nothing. */
inline constexpr FrameNumber noFrame = 0;

/** How many numbers there are. */
inline constexpr unsigned frameNumbers = 255;

/** The number that follows. */
constexpr FrameNumber frameAfter(FrameNumber number)
{
    return number == frameNumbers ? FrameNumber{1} : static_cast<FrameNumber>(number + 1);
}

/** How many steps lead from one number to another, 0 to 254. Both are numbers of frames. */
constexpr unsigned framesFromTo(FrameNumber from, FrameNumber to)
{
    return (to + frameNumbers - from) % frameNumbers;
}

} // namespace Sequoiausher
