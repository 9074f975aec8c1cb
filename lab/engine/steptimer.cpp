#include "lab/engine/steptimer.h"

#include <QtCore/QTimer>

#include <algorithm>
#include <chrono>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr std::int64_t microsPerMilli = 1000;
/** A step due within this is taken now rather than a whole millisecond later. */
constexpr std::int64_t earlyMicros = 500;
/** Behind by more than this the timer gives up catching up, so that it leaves the event loop time for others. */
constexpr std::int64_t maxBehindMicros = 20000;
/** Steps taken without going back to the event loop. */
constexpr int maxStepsAtOnce = 4;

std::int64_t nowMicros()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

class StepTimer::Private
{
public:
    void tick();
    void arm();

    Step step;
    QTimer timer;
    std::int64_t due = 0;
    bool running = false;
};

StepTimer::StepTimer(Step step) : d(std::make_unique<Private>())
{
    this->d->step = std::move(step);
    this->d->timer.setSingleShot(true);
    this->d->timer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&this->d->timer, &QTimer::timeout, &this->d->timer, [this] { this->d->tick(); });
}

StepTimer::~StepTimer() = default;

void StepTimer::wake(std::int64_t micros)
{
    if (this->d->running) {
        return;
    }
    this->d->running = true;
    this->d->due = nowMicros() + micros;
    this->d->arm();
}

void StepTimer::Private::tick()
{
    for (int i = 0; i < maxStepsAtOnce && this->due <= nowMicros() + earlyMicros; ++i) {
        const std::optional<std::int64_t> next = this->step();
        if (!next) {
            this->running = false;
            return;
        }
        this->due = std::max(this->due + *next, nowMicros() - maxBehindMicros);
    }
    this->arm();
}

void StepTimer::Private::arm()
{
    const std::int64_t wait = (this->due - nowMicros() + earlyMicros) / microsPerMilli;
    this->timer.start(static_cast<int>(std::max<std::int64_t>(wait, 0)));
}

} // namespace Sequoiausher::Lab
