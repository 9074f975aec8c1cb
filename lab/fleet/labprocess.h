#pragma once

// One real process of a lab: started, killed, frozen, stopped, and ended with the object, also after a failed test.
//
//     LabProcess router("r1", SEQUOIAUSHER_PROGRAM, {"router", "--config", "r1.ini"}, folder);
//     router.start();
//     router.freeze();
//     router.thaw();
//     router.stop(Millis{5000});      // its exit status

#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** A process of ours. Needs a QCoreApplication. */
class LabProcess
{
public:
    /** @param folder where NAME.out gathers what it writes, over all its starts. */
    LabProcess(std::string name, std::string program, std::vector<std::string> arguments, std::string folder);
    /** Kills it where it runs. It also dies when the test program does. */
    ~LabProcess();
    LabProcess(const LabProcess &) = delete;
    LabProcess &operator=(const LabProcess &) = delete;

    const std::string &name() const;
    /** @throws Error(Step::Listen) where the program cannot be started. */
    void start();
    bool isRunning() const;
    /** SIGKILL; returns once it is dead. */
    void kill();
    /** SIGSTOP: the process stands still with its connections open. */
    void freeze();
    /** SIGCONT. */
    void thaw();
    /** SIGHUP: it reads its settings again. */
    void requestReload();
    /** SIGTERM; does not wait. */
    void requestStop();
    /** Runs the event loop until it ended by itself; its exit status, or nothing where it did not in time or crashed.
     */
    std::optional<int> waitForExit(Millis limit);
    /** requestStop() and waitForExit(). */
    std::optional<int> stop(Millis limit);
    /** The signal that ended its last run; nothing where it runs or exited by itself. */
    std::optional<int> endingSignal() const;
    /** 0 where it does not run. */
    std::int64_t processId() const;
    /** The memory that it alone holds now, in bytes; 0 where it does not run. */
    std::size_t memoryBytes() const;
    /** What it wrote so far, over all its runs. */
    std::string output() const;
    /** What its last run wrote so far. */
    std::string outputOfLastRun() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
