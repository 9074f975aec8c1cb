#include "lab/soak/soakcaller.h"

#include "lab/soak/streamcheck.h"
#include "platform/standindialect.h"

#include <string>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

/** The pause between two calls of one caller, and how long a connection may be idle and still be used. */
constexpr std::int64_t leastThinkMs = 20;
constexpr std::int64_t mostThinkMs = 150;
constexpr Millis longestIdle = soakIdleTime * 4 / 5;
/** Of a hundred kept connections so many are left for a new one. */
constexpr std::int64_t newConnectionPercent = 5;
/** Attempts after the one that brought the first event. */
constexpr int mostTakeUps = 3;
/** A caller whose stream broke off comes again so soon. */
constexpr Millis takeUpPause{5};

} // namespace

SoakCaller::SoakCaller(std::uint32_t given,
                       SoakJudge &by,
                       const SoakOffer &offered,
                       std::function<std::optional<SoakEntry>()> chosen,
                       std::uint64_t seed)
    : number(given)
    , judge(by)
    , pick(std::move(chosen))
    , draw("c" + std::to_string(given) + "-", offered, seed)
{
}

void SoakCaller::takeUpStreams()
{
    this->takesUp = true;
}

void SoakCaller::sendLargeBodies()
{
    this->draw.drawLargeBodies();
}

void SoakCaller::sendLargeBodySoon()
{
    this->draw.makeNextLarge();
    this->nextAt = Millis{0};
}

SoakCall SoakCaller::nextCall(Millis now)
{
    SoakCall call = this->draw.next(this->entry, now);
    if (const std::optional<SoakCall> stream = std::exchange(this->broken, std::nullopt)) {
        call.kind = CallKind::Chat;
        call.method = stream->method;
        call.path = "/chat/" + call.id;
        call.body = "question of " + call.id;
        call.key = stream->key;
        call.timeLeft = stream->timeLeft;
        call.mostTargets = stream->mostTargets;
        call.takesUp = stream->takesUp;
        call.lastEvent = stream->lastEvent;
    }
    return call;
}

void SoakCaller::noteBroken(const SoakAnswer &answer)
{
    constexpr int statusOk = 200;
    const SoakCall &call = *this->current;
    if (!this->takesUp || call.kind != CallKind::Chat || (answer.isWhole && answer.status == statusOk)) {
        return;
    }
    SoakCall next = call;
    next.lastEvent += answer.status == statusOk ? wholeEventsIn(answer.body) : 0;
    this->triesLeft = call.takesUp.empty() ? mostTakeUps : this->triesLeft - 1;
    if (next.lastEvent > 0 && next.lastEvent < eventsOf(streamIdOf(call)) && this->triesLeft > 0) {
        next.takesUp = streamIdOf(call);
        this->broken = next;
        this->nextAt = std::min(this->nextAt, this->idleSince + takeUpPause);
    }
}

void SoakCaller::rest()
{
    this->isResting = true;
}

void SoakCaller::drop()
{
    this->connection.reset();
}

void SoakCaller::send(Millis now)
{
    const bool isOld = now - this->idleSince > longestIdle;
    if (this->connection && (isOld || this->draw.between(1, 100) <= newConnectionPercent)) {
        this->drop();
    }
    if (!this->connection) {
        const std::optional<SoakEntry> chosen = this->pick();
        if (!chosen) {
            this->nextAt = now + Millis{mostThinkMs};
            return;
        }
        this->entry = *chosen;
        this->connection = std::make_unique<FakeCaller>(this->entry.address);
    }
    this->current = this->nextCall(now);
    const std::string bytes = this->draw.wire(*this->current);
    this->leaveAt = this->draw.leaveTime(*this->current, now);
    this->judge.sent(*this->current);
    this->connection->send(bytes);
}

void SoakCaller::finish(Millis now)
{
    const CallerReply &reply = this->connection->reply;
    SoakAnswer answer;
    answer.status = reply.status;
    answer.isWhole = reply.isWhole;
    const StandInDialect::ReadAnswer read = StandInDialect::readAnswer(reply.head);
    answer.attemptId = read.attemptId;
    answer.signature = read.signature;
    answer.body = reply.body;
    this->judge.answered(this->current->id, answer, now);
    this->idleSince = now;
    this->nextAt = now + Millis{this->draw.between(leastThinkMs, mostThinkMs)};
    this->noteBroken(answer);
    this->current.reset();
    // 'Not run' comes with a time to return.
    if (read.retryAfterSeconds) {
        constexpr double millisPerSecond = 1000;
        this->nextAt = now + Millis{static_cast<std::int64_t>(*read.retryAfterSeconds * millisPerSecond)};
    }
    if (!reply.isWhole || reply.hasEnded || !reply.head.keepAlive) {
        this->drop();
    }
}

void SoakCaller::tick(Millis now)
{
    if (this->current) {
        const CallerReply &reply = this->connection->reply;
        if (reply.isWhole || reply.hasEnded) {
            this->finish(now);
        } else if (now >= this->leaveAt) {
            this->judge.left(this->current->id, now);
            this->current.reset();
            this->drop();
        }
        return;
    }
    if (this->connection && this->connection->reply.hasEnded) {
        this->drop();
    } else if (this->connection && !this->connection->stream->input().empty()) {
        this->judge.strayBytes("caller " + std::to_string(this->number), now);
        this->drop();
    }
    if (!this->isResting && now >= this->nextAt) {
        this->send(now);
    }
}

} // namespace Sequoiausher::Lab
