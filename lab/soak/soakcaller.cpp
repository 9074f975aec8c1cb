#include "lab/soak/soakcaller.h"

#include <utility>

namespace Sequoiausher::Lab {

namespace {

/** The pause between two calls of one caller, and how long a connection may be idle and still be used. */
constexpr std::int64_t leastThinkMs = 20;
constexpr std::int64_t mostThinkMs = 150;
constexpr Millis longestIdle{2500};
/** Of a hundred calls so many are given up early, and so many carry forged fields. */
constexpr std::int64_t leavingPercent = 8;
constexpr std::int64_t forgingPercent = 10;
/** Of a hundred kept connections so many are left for a new one. */
constexpr std::int64_t newConnectionPercent = 5;
/** How long callers wait; the routes' own times are shorter. */
constexpr Millis plainPatience{2500};
constexpr Millis streamPatience{4000};
constexpr std::uint32_t idempotentTargets = 2;
constexpr std::size_t promptParts = 12;
constexpr const char *host = "soak.example";

} // namespace

SoakCaller::SoakCaller(std::uint32_t given,
                       SoakJudge &by,
                       const SoakOffer &offered,
                       std::function<std::optional<SoakEntry>()> chosen,
                       std::uint64_t seed)
    : number(given)
    , judge(by)
    , offer(offered)
    , pick(std::move(chosen))
    , random(seed)
{
}

std::int64_t SoakCaller::between(std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(this->random);
}

void SoakCaller::rest()
{
    this->isResting = true;
}

void SoakCaller::drop()
{
    this->connection.reset();
}

SoakCall SoakCaller::nextCall(Millis now)
{
    SoakCall call;
    call.id = "c" + std::to_string(this->number) + "-" + std::to_string(this->calls++);
    call.gateway = this->entry.gateway;
    call.gatewayLife = this->entry.life;
    call.kind = static_cast<CallKind>(this->between(0, 3));
    const auto key = static_cast<std::size_t>(this->between(0, static_cast<std::int64_t>(this->offer.keys.size()) - 1));
    call.key = this->offer.keys[key].key;
    call.method = call.kind == CallKind::Look ? "GET" : "POST";
    call.path = "/" + std::string(nameOf(call.kind)) + "/" + call.id;
    constexpr std::int64_t extraOneIn = 6;
    if (call.kind == CallKind::Look && !this->offer.extraRoutes.empty() && this->between(1, extraOneIn) == 1) {
        const auto extra = this->between(0, static_cast<std::int64_t>(this->offer.extraRoutes.size()) - 1);
        call.path = this->offer.extraRoutes[static_cast<std::size_t>(extra)] + call.id;
    }
    call.body = call.method == "POST" ? "question of " + call.id : "";
    call.sentAt = now;
    call.timeLeft = isStream(call.kind) ? streamPatience : plainPatience;
    call.mostTargets = isIdempotent(call.kind) ? idempotentTargets : 1;
    return call;
}

void SoakCaller::send(Millis now)
{
    const bool isOld = now - this->idleSince > longestIdle;
    if (this->connection && (isOld || this->between(1, 100) <= newConnectionPercent)) {
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
    const SoakCall &call = *this->current;
    StandInDialect::CallerCall wire;
    wire.method = call.method;
    wire.path = call.path;
    wire.host = host;
    wire.attemptId = call.id;
    wire.key = call.key;
    wire.timeLeft = call.timeLeft;
    wire.bodyBytes = call.body.size();
    wire.forges = this->between(1, 100) <= forgingPercent;
    if (isStream(call.kind)) {
        wire.model = "m";
        const auto part = this->between(1, promptParts);
        wire.parts = "a0:500,b" + std::to_string(part) + ":400,c" + std::to_string(this->calls) + ":100";
    }
    const bool leaves = this->between(1, 100) <= leavingPercent;
    constexpr std::int64_t mostLeaveMs = 300;
    this->leaveAt = now + (leaves ? Millis{this->between(1, mostLeaveMs)} : call.timeLeft);
    this->judge.sent(call);
    this->connection->send(StandInDialect::callerHead(wire) + call.body);
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
    this->current.reset();
    this->idleSince = now;
    this->nextAt = now + Millis{this->between(leastThinkMs, mostThinkMs)};
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
