#include "lab/soak/calldraw.h"

#include "sequoiausher/base/hashing.h"

#include <utility>

namespace Sequoiausher::Lab {

namespace {

/** Of the jobs one in so many is large, where some are. */
constexpr std::uint64_t largeOneIn = 3;
/** Of a hundred calls so many are given up early, and so many carry forged fields. */
constexpr std::int64_t leavingPercent = 8;
constexpr std::int64_t forgingPercent = 10;
/** How long callers wait; the routes' own times are shorter. */
constexpr Millis plainPatience{2500};
constexpr Millis streamPatience{4000};
constexpr Millis longPatience{16000};
constexpr std::uint32_t idempotentTargets = 2;

} // namespace

StandInDialect::CallerCall wireOf(const SoakCall &call)
{
    StandInDialect::CallerCall wire;
    wire.method = call.method;
    wire.path = call.path;
    wire.host = "soak.example";
    wire.attemptId = call.id;
    wire.key = call.key;
    wire.timeLeft = call.timeLeft;
    wire.bodyBytes = call.body.size();
    if (!call.takesUp.empty()) {
        wire.resumedAttempt = call.takesUp;
        wire.lastEventId = std::to_string(call.lastEvent);
    }
    return wire;
}

CallDraw::CallDraw(std::string with, const SoakOffer &offered, std::uint64_t seed)
    : prefix(std::move(with))
    , offer(offered)
    , random(seed)
{
}

std::int64_t CallDraw::between(std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(this->random);
}

void CallDraw::drawLargeBodies()
{
    this->drawsLargeBodies = true;
}

void CallDraw::drawLongStreams()
{
    this->drawsLongStreams = true;
}

void CallDraw::makeNextLarge()
{
    this->isNextLarge = true;
}

void CallDraw::setPrompts(const PromptDraw &to)
{
    this->prompts = to;
}

SoakCall CallDraw::next(const SoakEntry &entry, Millis now)
{
    SoakCall call;
    call.id = this->prefix + std::to_string(this->calls++);
    call.gateway = entry.gateway;
    call.gatewayLife = entry.life;
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
    const bool isWanted = std::exchange(this->isNextLarge, false);
    if (isWanted) {
        call.kind = CallKind::Job;
        call.method = "POST";
        call.path = "/" + std::string(nameOf(call.kind)) + "/" + call.id;
        call.body = "question of " + call.id;
    }
    const bool isDrawn = this->drawsLargeBodies && call.kind == CallKind::Job && hash64(call.id) % largeOneIn == 0;
    if (isWanted || isDrawn) {
        call.body.resize(largeBodyBytes, '.');
    }
    call.sentAt = now;
    const bool isLong = this->drawsLongStreams && this->between(0, 1) == 0;
    if (isLong) {
        call.kind = this->between(0, 1) == 0 ? CallKind::Chat : CallKind::Note;
        call.method = "POST";
        call.path = longPathPrefix + std::string(nameOf(call.kind)) + "/" + call.id;
        call.body = "question of " + call.id;
    }
    call.timeLeft = isLong ? longPatience : isStream(call.kind) ? streamPatience : plainPatience;
    call.mostTargets = isIdempotent(call.kind) ? idempotentTargets : 1;
    return call;
}

std::string CallDraw::wire(const SoakCall &call)
{
    StandInDialect::CallerCall wire = wireOf(call);
    wire.forges = this->between(1, 100) <= forgingPercent;
    if (isStream(call.kind)) {
        wire.model = "m";
        const PromptDraw &drawn = this->prompts;
        const bool isHeavy = drawn.heavyUsePercent > 0 && this->between(1, 100) <= drawn.heavyUsePercent;
        const std::int64_t document = isHeavy ? 0 : this->between(1, drawn.documents);
        wire.parts = "a0:" + std::to_string(drawn.beginningTokens) + ",b" + std::to_string(document) + ":"
            + std::to_string(drawn.documentTokens) + ",c" + std::to_string(this->calls) + ":"
            + std::to_string(drawn.ownTokens);
    }
    return StandInDialect::callerHead(wire) + call.body;
}

Millis CallDraw::leaveTime(const SoakCall &call, Millis now)
{
    const bool leaves = this->between(1, 100) <= leavingPercent;
    constexpr std::int64_t mostLeaveMs = 300;
    return now + (leaves ? Millis{this->between(1, mostLeaveMs)} : call.timeLeft);
}

} // namespace Sequoiausher::Lab
