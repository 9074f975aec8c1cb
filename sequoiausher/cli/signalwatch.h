#pragma once

// Turns signals into calls on the event loop.
//
//     holdSignals();
//     SignalWatch watch({SIGTERM, SIGHUP}, [](int signal) { ... });

#include <functional>
#include <memory>
#include <vector>

namespace Sequoiausher {

/**
 * Holds SIGTERM, SIGINT and SIGHUP back until a watch is there. Without this one that comes while the process starts
 * ends it on the spot. What the caller does before a watch must not take long.
 */
void holdSignals();

/** Watches signals for as long as it lives; one at a time in a process. SIGPIPE is ignored. */
class SignalWatch
{
public:
    /** @throws Error(Step::Listen, ...) where no pipe can be had. */
    SignalWatch(const std::vector<int> &signals, std::function<void(int signal)> arrived);
    ~SignalWatch();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
