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
 * Blocks SIGTERM, SIGINT and SIGHUP until a SignalWatch exists. Otherwise a signal that arrives while the process
 * starts would end it immediately. The time until the watch exists should be short.
 */
void holdSignals();

/** Watches signals until it is destroyed; at most one per process. SIGPIPE is ignored. */
class SignalWatch
{
public:
    /** @throws Error(Step::Listen, ...) if no pipe can be created. */
    SignalWatch(const std::vector<int> &signals, std::function<void(int signal)> arrived);
    ~SignalWatch();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
