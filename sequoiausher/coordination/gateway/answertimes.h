#pragma once

// How long the answers of a service take, over the last tens of seconds: a histogram whose older half is forgotten step
// by step. Its size is fixed, and quantiles are accurate to 12%, the width of a bin.
//
//     AnswerTimes times;
//     times.record(Millis{63}, now);
//     const std::optional<Millis> slow = times.quantile(0.95, now);

#include "sequoiausher/base/millis.h"

#include <memory>
#include <optional>

namespace Sequoiausher {

/** A histogram of answer times. Not thread-safe. */
class AnswerTimes
{
public:
    AnswerTimes();
    ~AnswerTimes();
    AnswerTimes(AnswerTimes &&other) noexcept;
    AnswerTimes &operator=(AnswerTimes &&other) noexcept;

    void record(Millis elapsed, Millis now);
    /** The time within which the fraction of the answers came; none with too few answers to tell. */
    std::optional<Millis> quantile(double fraction, Millis now);
    /** The mean time that an answer still takes if it has not come after the given time; none with too few answers. */
    std::optional<Millis> meanRemaining(Millis waited, Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
