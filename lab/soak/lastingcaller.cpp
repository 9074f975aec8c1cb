#include "lab/soak/lastingcaller.h"

#include "platform/standindialect.h"
#include "sequoiausher/base/error.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr int statusUnavailable = 503;
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
/** Of the bodies of a busy caller one in so many comes in parts, for up to so long where the route is long or not. */
constexpr std::int64_t partsOneIn = 4;
constexpr std::int64_t fewestParts = 2;
constexpr std::int64_t mostParts = 6;
constexpr std::int64_t longBodyMs = 5000;
constexpr std::int64_t shortBodyMs = 600;

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

void LastingCaller::becomeBusy()
{
    this->isBusy = true;
    this->draw.drawLongStreams();
}

void LastingCaller::rest()
{
    this->isResting = true;
}

Millis LastingCaller::pause()
{
    if (this->isBusy) {
        return Millis{0};
    }
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

SoakCall LastingCaller::nextCall(Millis now)
{
    SoakCall call = this->draw.next(this->entry, now);
    if (const std::optional<SoakCall> again = std::exchange(this->refused, std::nullopt)) {
        call.kind = again->kind;
        call.method = again->method;
        call.path = again->path.substr(0, again->path.rfind('/') + 1) + call.id;
        call.body = again->body.empty() ? "" : "question of " + call.id;
        call.key = again->key;
        call.timeLeft = again->timeLeft;
        call.mostTargets = again->mostTargets;
        call.comesAgainFor = again->id;
    }
    return call;
}

std::string LastingCaller::splitBody(SoakCall &call, const std::string &bytes, Millis now)
{
    if (!this->isBusy || call.body.empty() || this->draw.between(1, partsOneIn) != 1) {
        return bytes;
    }
    call.isInParts = true;
    const bool isChunked = this->draw.between(0, 1) == 0;
    std::string head = bytes.substr(0, bytes.size() - call.body.size());
    if (isChunked) {
        const std::string length = "Content-Length: " + std::to_string(call.body.size());
        head.replace(head.find(length), length.size(), "Transfer-Encoding: chunked");
    }
    const std::int64_t count = this->draw.between(fewestParts, mostParts);
    const std::size_t size = call.body.size() / static_cast<std::size_t>(count);
    const std::int64_t lasts = this->draw.between(1, call.path.starts_with(longPathPrefix) ? longBodyMs : shortBodyMs);
    for (std::int64_t i = 0; i < count; ++i) {
        const bool isLast = i + 1 == count;
        const std::size_t begin = size * static_cast<std::size_t>(i);
        const std::string part = call.body.substr(begin, isLast ? std::string::npos : size);
        std::ostringstream framed;
        framed << std::hex << part.size() << "\r\n" << part << "\r\n" << (isLast ? "0\r\n\r\n" : "");
        this->parts.emplace_back(now + Millis{lasts * (i + 1) / count}, isChunked ? framed.str() : part);
    }
    return head;
}

void LastingCaller::sendParts(Millis now)
{
    while (!this->parts.empty() && now >= this->parts.front().first) {
        this->connection->sendMore(this->parts.front().second);
        this->parts.pop_front();
        if (this->parts.empty()) {
            this->judge.sentWhole(this->current->id, now);
        }
    }
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
    SoakCall call = this->nextCall(now);
    call.isDirect = true;
    call.isFirst = !std::exchange(this->hasAsked, true);
    call.idleFor = now - this->idleSince;
    this->leaveAt = this->draw.leaveTime(call, now);
    this->endedAt.reset();
    this->parts.clear();
    const std::string bytes = this->splitBody(call, this->draw.wire(call), now);
    this->current = call;
    this->judge.sent(call);
    this->connection->send(bytes);
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
    const bool wasSent = this->parts.empty();
    if (this->isBusy && answer.status == statusUnavailable && answer.signature.empty()) {
        this->refused = this->current;
    }
    this->current.reset();
    this->idleSince = now;
    this->nextAt = now + this->pause();
    // 'Not run' comes with a time to return.
    if (read.retryAfterSeconds) {
        constexpr double millisPerSecond = 1000;
        this->nextAt = now + Millis{static_cast<std::int64_t>(*read.retryAfterSeconds * millisPerSecond)};
    }
    if (!answer.isWhole || !wasSent || !this->connection->head.keepAlive) {
        this->connection.reset();
    }
}

void LastingCaller::look(Millis now)
{
    if (now < this->nextLook) {
        return;
    }
    this->nextLook = this->readsSlowly ? now + slowLook : now;
    this->sendParts(now);
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
        if (this->current || !this->isBusy) {
            return;
        }
    }
    if (this->connection) {
        this->lookIdle(now);
    }
    if (!this->isResting && now >= this->nextAt) {
        this->send(now);
    }
}

} // namespace Sequoiausher::Lab
