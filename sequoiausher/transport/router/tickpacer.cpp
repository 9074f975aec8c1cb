#include "sequoiausher/transport/router/tickpacer.h"

#include <QObject>
#include <QTimer>

#include <algorithm>
#include <atomic>
#include <utility>

namespace Sequoiausher {

class TickPacer::Private : public QObject
{
public:
    Private(std::function<Millis()> toCall, Millis longest)
        : tick(std::move(toCall))
        , rest(std::max(longest, busyInterval))
    {
        this->timer.setSingleShot(true);
        QObject::connect(&this->timer, &QTimer::timeout, this, [this] { this->run(); });
    }

    void run();
    void hurry();

    std::function<Millis()> tick;
    Millis rest;
    QTimer timer;
    /** A wake() is to be told to the timer; set before a tick looks for deadlines, so that none begun since is missed.
     */
    std::atomic<bool> listens{false};
};

void TickPacer::Private::run()
{
    this->listens = true;
    const Millis deadline = this->tick();
    const Millis now = Millis::monotonicNow();
    const Millis wait = deadline == Millis::never() ? this->rest : deadline - now;
    this->timer.start(static_cast<int>(std::clamp(wait, busyInterval, this->rest).count));
}

void TickPacer::Private::hurry()
{
    if (this->timer.remainingTime() > static_cast<int>(busyInterval.count)) {
        this->timer.start(static_cast<int>(busyInterval.count));
    }
}

TickPacer::TickPacer(std::function<Millis()> tick, Millis rest) : d(std::make_unique<Private>(std::move(tick), rest))
{
}

TickPacer::~TickPacer() = default;

void TickPacer::start()
{
    this->d->run();
}

void TickPacer::wake()
{
    if (this->d->listens.exchange(false)) {
        QMetaObject::invokeMethod(
            this->d.get(), [pacer = this->d.get()] { pacer->hurry(); }, Qt::QueuedConnection);
    }
}

} // namespace Sequoiausher
