#include "sequoiausher/transport/peers/receivedframes.h"

namespace Sequoiausher {

namespace {

// Beyond the count of numbers, one number would stand for two frames; a busy peer gets an acknowledgement long before.
constexpr unsigned mostUntold = 100;

} // namespace

Millis acknowledgementDelay(Millis silence)
{
    return Millis{silence.count / 2};
}

void ReceivedFrames::opened(Incarnation incarnation, FrameNumber lastFrame)
{
    this->life = incarnation;
    this->last = lastFrame;
    this->untold = 0;
}

void ReceivedFrames::arrived(Millis now)
{
    if (this->last == noFrame) {
        return;
    }
    this->last = frameAfter(this->last);
    if (this->untold == 0) {
        this->untoldSince = now;
    }
    this->untold += 1;
}

FrameNumber ReceivedFrames::tell()
{
    this->untold = 0;
    return this->last;
}

Millis ReceivedFrames::tellBy(Millis silence) const
{
    if (this->untold == 0) {
        return Millis::never();
    }
    return this->untold >= mostUntold ? this->untoldSince : this->untoldSince + acknowledgementDelay(silence);
}

Incarnation ReceivedFrames::incarnation() const
{
    return this->life;
}

} // namespace Sequoiausher
