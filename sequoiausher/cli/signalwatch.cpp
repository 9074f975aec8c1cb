#include "sequoiausher/cli/signalwatch.h"

#include "sequoiausher/base/error.h"

#include <QSocketNotifier>

#include <array>
#include <csignal>
#include <utility>

#include <unistd.h>

namespace Sequoiausher {

namespace {

/** Written by the signal handler, which may do nothing else, and read by the event loop. */
std::array<int, 2> signalPipe{-1, -1};

void noteSignal(int signal)
{
    const auto mark = static_cast<char>(signal);
    [[maybe_unused]] const ssize_t written = write(signalPipe[1], &mark, sizeof mark);
}

int openPipe()
{
    if (pipe(signalPipe.data()) != 0) {
        throw Error(Step::Listen, "signals", "no pipe could be had");
    }
    return signalPipe[0];
}

sigset_t heldSignals()
{
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&set, signal);
    }
    return set;
}

} // namespace

void holdSignals()
{
    const sigset_t set = heldSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

class SignalWatch::Private
{
public:
    explicit Private(std::function<void(int)> told)
        : arrived(std::move(told))
        , notifier(openPipe(), QSocketNotifier::Read)
    {
    }

    std::function<void(int)> arrived;
    QSocketNotifier notifier;
};

SignalWatch::SignalWatch(const std::vector<int> &signals, std::function<void(int)> arrived)
    : d(std::make_unique<Private>(std::move(arrived)))
{
    struct sigaction action = {};
    action.sa_handler = noteSignal;
    for (const int signal : signals) {
        sigaction(signal, &action, nullptr);
    }
    // A peer that closes while it is written to is no reason to die.
    std::signal(SIGPIPE, SIG_IGN);
    QObject::connect(&this->d->notifier, &QSocketNotifier::activated, &this->d->notifier, [this] {
        char mark = 0;
        if (read(signalPipe[0], &mark, sizeof mark) == 1) {
            this->d->arrived(mark);
        }
    });
    const sigset_t set = heldSignals();
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

SignalWatch::~SignalWatch() = default;

} // namespace Sequoiausher
