#pragma once

// The numbers of the frames that one router sends to another, which the other one acknowledges by them.
//
//     FrameNumber last = frameAfter(noFrame);       // 1
//     framesFromTo(last, frameAfter(last));         // 1

#include <cstdint>

namespace Sequoiausher {

/** From 1 to 255, followed by 1 again, so that it fits into one byte beside a frame's length. */
using FrameNumber = std::uint8_t;

/** Stands for no frame; acknowledges nothing. */
inline constexpr FrameNumber noFrame = 0;

/** The count of numbers. */
inline constexpr unsigned frameNumbers = 255;

/** Returns the number after the given one. */
constexpr FrameNumber frameAfter(FrameNumber number)
{
    return number == frameNumbers ? FrameNumber{1} : static_cast<FrameNumber>(number + 1);
}

/** Returns the number of steps from one number to another, 0 to 254. Neither may be noFrame. */
constexpr unsigned framesFromTo(FrameNumber from, FrameNumber to)
{
    return (to + frameNumbers - from) % frameNumbers;
}

} // namespace Sequoiausher
