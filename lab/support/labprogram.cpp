#include "lab/support/labprogram.h"

#include <QtCore/QSocketNotifier>

#include <array>
#include <csignal>
#include <cstdio>
#include <sys/socket.h>
#include <unistd.h>

namespace Sequoiausher::Lab {

namespace {

/** A signal handler may hardly do more than write a byte; the event loop reads the other end. */
std::array<int, 2> signalPipe{-1, -1};

void onSignal(int)
{
    const char byte = 1;
    [[maybe_unused]] const ssize_t written = ::write(signalPipe[1], &byte, 1);
}

} // namespace

void stopOnSignals(QCoreApplication &app)
{
    if (::pipe(signalPipe.data()) != 0) {
        return;
    }
    auto *notifier = new QSocketNotifier(signalPipe[0], QSocketNotifier::Read, &app);
    QObject::connect(notifier, &QSocketNotifier::activated, &app, [&app, notifier] {
        notifier->setEnabled(false);
        app.exit(0);
    });
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

void stopWithStdin(QCoreApplication &app)
{
    auto *notifier = new QSocketNotifier(STDIN_FILENO, QSocketNotifier::Read, &app);
    QObject::connect(notifier, &QSocketNotifier::activated, &app, [&app, notifier] {
        std::array<char, 512> ignored{};
        if (::read(STDIN_FILENO, ignored.data(), ignored.size()) <= 0) {
            notifier->setEnabled(false);
            app.exit(0);
        }
    });
}

void announceReady(std::string_view name, std::uint16_t port)
{
    std::printf("ready %.*s %u\n", static_cast<int>(name.size()), name.data(), static_cast<unsigned>(port));
    std::fflush(stdout);
}

} // namespace Sequoiausher::Lab
