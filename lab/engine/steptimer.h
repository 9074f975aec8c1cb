#pragma once

// A timer for steps of fractions of a millisecond on an event loop that counts whole ones: each step may come up to a
// millisecond off, but the steps keep their mean rate.
//
//     StepTimer timer([&] { return engine.stepAndSayHowLongTheNextOneTakes(); });
//     timer.wake(3300);

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace Sequoiausher::Lab {

/** Calls a function again and again, as long as it says when it wants the next call. */
class StepTimer
{
public:
    /** Does the work of a step; the microseconds until the next one, or std::nullopt to rest. */
    using Step = std::function<std::optional<std::int64_t>()>;

    explicit StepTimer(Step step);
    ~StepTimer();

    /** Ends the rest: the first step comes in micros. Does nothing where the timer runs. */
    void wake(std::int64_t micros);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
