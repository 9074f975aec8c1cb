#include "lab/soak/lastingcaller.h"

#include "platform/standindialect.h"
#include "sequoiausher/base/error.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr std::int64_t leastThinkMs = 20;
constexpr std::int64_t mostThinkMs = 150;
/** Around the idle limit by so much: a tick of the gateway, and what a slow link adds. */
constexpr std::int64_t aroundMs = 150;
/** A link tells of a close so late at most, as the slow ones of the plan. */
constexpr std::int64_t mostLateMs = 150;
/**
 * A kernel refuses what arrives after a close. Bytes that arrive while it still completes the close are dropped without
 * a refusal, and refused when they are sent again, after 200 ms and again after 400 ms at least.
 */
constexpr Millis refusalTime{1000};
constexpr std::int64_t crossingOneIn = 2;
constexpr std::uint32_t slowOneIn = 4;
/** One who reads slowly lets its kernel keep so little, and looks so rarely: a wide answer takes a third of a second.
 */
constexpr int slowBuffer = 8192;
constexpr Millis slowLook{20};

bool isSlow(std::uint32_t number)
{
    return number % slowOneIn == 0;
}

} // namespace

LastingCaller::LastingCaller(std::uint32_t number,
                             SoakJudge &by,
                             const SoakOffer &offer,
                             std::function<std::optional<SoakEntry>()> chosen,
                             std::uint64_t seed)
    : judge(by)
    , pick(std::move(chosen))
    , draw((isSlow(number) ? widePrefix : "k") + std::to_string(number) + "-", offer, seed)
    , readsSlowly(isSlow(number))
{
}

void LastingCaller::rest()
{
    this->isResting = true;
}

Millis LastingCaller::pause()
{
    if (this->draw.between(0, 1) == 0) {
        return Millis{this->draw.between(leastThinkMs, mostThinkMs)};
    }
    return soakIdleTime + Millis{this->draw.between(-aroundMs, aroundMs)};
}

void LastingCaller::connect(Millis now)
{
    const std::optional<SoakEntry> chosen = this->pick();
    if (!chosen) {
        return;
    }
    try {
        this->connection = std::make_unique<CrossingCaller>(chosen->directAddress, this->readsSlowly ? slowBuffer : 0);
    } catch (const Error &) {
        // Its process has ended, which the balancer does not know yet.
        return;
    }
    this->entry = *chosen;
    this->hasAsked = false;
    this->idleSince = now;
    this->endedAt.reset();
    this->hearsLate = Millis{this->draw.between(0, mostLateMs)};
}

void LastingCaller::send(Millis now)
{
    if (!this->connection) {
        this->connect(now);
    }
    if (!this->connection) {
        this->nextAt = now + Millis{mostThinkMs};
        return;
    }
    SoakCall call = this->draw.next(this->entry, now);
    call.isDirect = true;
    call.isFirst = !std::exchange(this->hasAsked, true);
    call.idleFor = now - this->idleSince;
    this->current = call;
    this->leaveAt = this->draw.leaveTime(call, now);
    this->endedAt.reset();
    this->judge.sent(call);
    this->connection->send(this->draw.wire(call));
}

void LastingCaller::finish(Millis now, bool isUnread)
{
    SoakAnswer answer;
    answer.status = this->connection->status;
    answer.isWhole = this->connection->look();
    answer.isUnread = isUnread;
    const StandInDialect::ReadAnswer read = StandInDialect::readAnswer(this->connection->head);
    answer.attemptId = read.attemptId;
    answer.signature = read.signature;
    answer.body = this->connection->body;
    // A refusal is awaited after the close, but the answer ended with the close.
    this->judge.answered(this->current->id, answer, this->endedAt.value_or(now));
    this->current.reset();
    this->idleSince = now;
    this->nextAt = now + this->pause();
    // 'Not run' comes with a time to return.
    if (read.retryAfterSeconds) {
        constexpr double millisPerSecond = 1000;
        this->nextAt = now + Millis{static_cast<std::int64_t>(*read.retryAfterSeconds * millisPerSecond)};
    }
    if (!answer.isWhole || !this->connection->head.keepAlive) {
        this->connection.reset();
    }
}

void LastingCaller::look(Millis now)
{
    if (now < this->nextLook) {
        return;
    }
    this->nextLook = this->readsSlowly ? now + slowLook : now;
    if (this->connection->look()) {
        this->finish(now, false);
    } else if (this->connection->isReset()) {
        this->finish(now, this->connection->status == 0);
    } else if (this->connection->isFinished()) {
        // The refusal of a request that crossed the close comes after the close itself. A request whose answer has
        // begun was read, so none is awaited, and the judge hears of the end in time.
        this->endedAt = this->endedAt.value_or(now);
        const bool hasBegun = this->connection->status != 0;
        if (hasBegun || now - *this->endedAt >= refusalTime) {
            this->finish(now, false);
        }
    } else if (now >= this->leaveAt) {
        this->judge.left(this->current->id, now);
        this->current.reset();
        this->connection.reset();
    }
}

void LastingCaller::lookIdle(Millis now)
{
    if (!this->connection->isFinished() && !this->connection->isReset()) {
        return;
    }
    if (!this->endedAt) {
        this->endedAt = now;
        // Of the requests that a link holds, some were sent a moment before the close.
        if (this->draw.between(1, crossingOneIn) == 1) {
            this->nextAt = now;
            return;
        }
    }
    if (now - *this->endedAt >= this->hearsLate) {
        this->connection.reset();
        this->nextAt = std::min(this->nextAt, now + Millis{mostThinkMs});
    }
}

void LastingCaller::tick(Millis now)
{
    if (this->current) {
        this->look(now);
        return;
    }
    if (this->connection) {
        this->lookIdle(now);
    }
    if (!this->isResting && now >= this->nextAt) {
        this->send(now);
    }
}

} // namespace Sequoiausher::Lab
