#include "sequoiausher/transport/peers/sentframes.h"

namespace Sequoiausher {

namespace {

// The receiver acknowledges by itself after half of the silence limit (acknowledgementDelay() in receivedframes.h); a
// third of the limit remains for the reply to a request.
Millis askAfter(Millis silence)
{
    return Millis{silence.count * 2 / 3};
}

} // namespace

SentFrames::SentFrames(Millis limit) : silence(limit)
{
}

void SentFrames::dialled(Millis now)
{
    this->unansweredSince = now;
}

FrameNumber SentFrames::frame(Millis now)
{
    this->lastFrame = frameAfter(this->lastFrame);
    this->unacknowledged += 1;
    if (this->unansweredSince == Millis::never()) {
        this->unansweredSince = now;
    }
    return this->lastFrame;
}

void SentFrames::asked()
{
    this->isAsked = true;
}

void SentFrames::acknowledged(Millis now, FrameNumber number)
{
    const unsigned newly = framesFromTo(this->lastAcknowledged, number);
    if (newly == 0 || newly > this->unacknowledged || this->isAmbiguous()) {
        return;
    }
    if (newly == this->unacknowledged) {
        this->settle();
        return;
    }
    this->lastAcknowledged = number;
    this->unacknowledged -= newly;
    this->unansweredSince = now;
    this->isAsked = false;
}

void SentFrames::answered(Millis now, FrameNumber number)
{
    if (number == noFrame || this->isAmbiguous()) {
        this->settle();
    } else {
        this->acknowledged(now, number);
    }
}

bool SentFrames::isAmbiguous() const
{
    return this->unacknowledged >= frameNumbers;
}

void SentFrames::settle()
{
    this->lastAcknowledged = this->lastFrame;
    this->unacknowledged = 0;
    this->unansweredSince = Millis::never();
    this->isAsked = false;
}

void SentFrames::heldUp(Millis span)
{
    if (this->unansweredSince != Millis::never()) {
        this->unansweredSince += span;
    }
}

void SentFrames::closed()
{
    this->settle();
}

LinkDue SentFrames::due(Millis now) const
{
    if (this->unansweredSince == Millis::never()) {
        return LinkDue::Nothing;
    }
    if (now >= this->unansweredSince + this->silence) {
        return LinkDue::GiveUp;
    }
    const bool isOverdue = now >= this->unansweredSince + askAfter(this->silence);
    return isOverdue && !this->isAsked ? LinkDue::Ask : LinkDue::Nothing;
}

Millis SentFrames::nextDeadline() const
{
    if (this->unansweredSince == Millis::never()) {
        return Millis::never();
    }
    return this->unansweredSince + (this->isAsked ? this->silence : askAfter(this->silence));
}

FrameNumber SentFrames::last() const
{
    return this->lastFrame;
}

} // namespace Sequoiausher
