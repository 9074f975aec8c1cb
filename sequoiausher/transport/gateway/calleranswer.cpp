#include "sequoiausher/transport/gateway/calleranswer.h"

#include "sequoiausher/coordination/gateway/attemptoutcome.h"
#include "sequoiausher/transport/gateway/refusals.h"

#include <array>
#include <cstdio>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr int statusOk = 200;

/**
 * An answer of a plain service up to this size is held until it is whole, so that a broken one can be replaced, and so
 * is an event of a stream.
 */
constexpr std::size_t heldBytes = 1024UL * 1024;
/** Beyond so much that the caller has not taken, the target of a stream is not read any more. */
constexpr std::size_t pauseBytes = 256UL * 1024;
/**
 * The same for another answer. It is taken from its target at once, so that the target is free, and the caller may take
 * it for longer than the route's time.
 */
constexpr std::size_t pauseBytesOfPlainAnswer = 16UL * 1024 * 1024;

/** One chunk of a chunked body. */
std::string chunkOf(std::string_view bytes)
{
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string chunk(size.data(), static_cast<std::size_t>(length));
    chunk += bytes;
    return chunk += "\r\n";
}

constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace

CallerAnswer::CallerAnswer(GatewayContext &shared, CallerSide &side, AnswerSource &from, const HttpHead &request)
    : context(shared)
    , caller(side)
    , source(from)
    , head(request)
    , counted(shared.memory.answerTotal())
{
}

void CallerAnswer::expect(RouteKind of, const std::string &lastEventId)
{
    this->kind = of;
    this->cutter = EventCutter(lastEventId);
}

void CallerAnswer::beginAttempt()
{
    this->hasAnswerHead = false;
    this->heldAnswer.clear();
    this->cutter.begin();
    this->countHeld();
    // The new target is read, whatever became of the one before.
    this->isPaused = false;
}

void CallerAnswer::began(const HttpHead &given, const TargetAnswer &said)
{
    this->answer = said;
    this->hasAnswerHead = true;
    this->answerHead = given;
    this->headBytes = memoryOfAnswerHead(given);
    this->countHeld();
}

bool CallerAnswer::add(std::string_view bytes)
{
    if (this->isEventStream()) {
        this->part = this->cutter.feed(bytes);
        this->countHeld();
        return !this->part.empty();
    }
    this->heldAnswer += bytes;
    // Before its bound is asked for: these bytes may be the ones by which memory gets short.
    this->countHeld();
    const bool mayPass = !falselyImpliesNotRun(this->answer.status, false);
    const std::size_t most = this->context.memory.heldAnswerBound(heldBytes);
    if (this->heldAnswer.size() > most && !this->isAnswerBegun && mayPass) {
        this->passesThrough = true;
    }
    if (this->passesThrough) {
        this->part = std::exchange(this->heldAnswer, std::string());
    }
    this->countHeld();
    return this->passesThrough;
}

bool CallerAnswer::isTooLong() const
{
    const std::size_t held = this->isEventStream() ? this->cutter.rest().size() : this->heldAnswer.size();
    return held > this->context.memory.heldAnswerBound(heldBytes);
}

void CallerAnswer::countHeld()
{
    this->counted.set(this->headBytes + this->heldAnswer.size() + this->cutter.rest().size());
}

void CallerAnswer::writeReady()
{
    if (!this->isAnswerBegun) {
        this->beginStream();
    }
    this->writePart(std::exchange(this->part, std::string()));
    const std::size_t usual = this->isEventStream() ? pauseBytes : pauseBytesOfPlainAnswer;
    if (this->caller.pendingBytes() > this->context.memory.unsentBound(usual) && !this->isPaused) {
        this->isPaused = this->source.setReading(false);
    }
}

void CallerAnswer::writePart(std::string_view bytes)
{
    if (this->endsWithConnection()) {
        this->caller.write(bytes);
    } else {
        this->caller.write(chunkOf(bytes));
    }
}

void CallerAnswer::callerDrained()
{
    if (this->isPaused && this->source.setReading(true)) {
        this->isPaused = false;
    }
}

std::string CallerAnswer::headLine(const HttpHead &given) const
{
    return "HTTP/1.1 " + std::to_string(given.status) + " " + std::string(reasonOf(given.status)) + "\r\n"
        + this->context.dialect.passedOnFields(given);
}

ConnectionFate CallerAnswer::connectionFate(bool closes) const
{
    return {closes, this->context.callerLimits().idleTime};
}

bool CallerAnswer::mustClose() const
{
    return this->context.stop.isBegun() || !this->context.mayKeepCallers || !this->head.keepAlive;
}

void CallerAnswer::beginStream()
{
    this->isAnswerBegun = true;
    this->statusGiven = this->answerHead.status;
    std::string bytes = this->headLine(this->answerHead);
    if (!this->endsWithConnection()) {
        bytes += "Transfer-Encoding: chunked\r\n";
    }
    this->hasAnnouncedClose = this->mustClose() || this->endsWithConnection();
    bytes += connectionFields(this->connectionFate(this->hasAnnouncedClose)) + "\r\n";
    this->caller.write(bytes);
}

void CallerAnswer::endStream()
{
    if (!this->cutter.rest().empty()) {
        this->writePart(this->cutter.rest());
    }
    if (!this->endsWithConnection()) {
        this->caller.write(lastChunk);
    }
}

void CallerAnswer::writeHeld()
{
    if (this->isEventStream() && !this->cutter.rest().empty()) {
        this->heldAnswer = this->cutter.rest();
    }
    this->hasAnnouncedClose = this->mustClose();
    this->statusGiven = this->answerHead.status;
    std::string bytes = this->headLine(this->answerHead);
    bytes += "Content-Length: " + std::to_string(this->heldAnswer.size()) + "\r\n";
    bytes += connectionFields(this->connectionFate(this->hasAnnouncedClose)) + "\r\n";
    bytes += std::exchange(this->heldAnswer, std::string());
    this->countHeld();
    this->caller.write(bytes);
}

void CallerAnswer::answerOwn(const CallerRequest &request,
                             int status,
                             const std::string &reason,
                             std::optional<Millis> retryAfter)
{
    this->hasAnnouncedClose = this->mustClose();
    this->statusGiven = status;
    this->caller.write(ownAnswer(
        this->context.dialect,
        request,
        {status, reason, retryAfter, this->connectionFate(this->hasAnnouncedClose), this->head.method == "HEAD"}));
}

bool CallerAnswer::hasHead() const
{
    return this->hasAnswerHead;
}

bool CallerAnswer::isBegun() const
{
    return this->isAnswerBegun;
}

bool CallerAnswer::isEventStream() const
{
    return this->kind == RouteKind::Stream && this->answer.isEventStream && this->answer.status == statusOk;
}

bool CallerAnswer::isForwardedAsItArrives() const
{
    return this->passesThrough || this->isEventStream();
}

bool CallerAnswer::isReadingPaused() const
{
    return this->isPaused;
}

bool CallerAnswer::isInsideEvent() const
{
    return this->hasAnswerHead && this->isEventStream() && this->cutter.isInsideEvent();
}

const HttpHead &CallerAnswer::targetHead() const
{
    return this->answerHead;
}

const TargetAnswer &CallerAnswer::targetAnswer() const
{
    return this->answer;
}

const std::string &CallerAnswer::lastEventId() const
{
    return this->cutter.lastId();
}

std::uint64_t CallerAnswer::eventCount() const
{
    return this->cutter.eventCount();
}

bool CallerAnswer::endsWithConnection() const
{
    constexpr int firstVersionWithChunks = 11;
    return this->head.version < firstVersionWithChunks;
}

int CallerAnswer::status() const
{
    return this->statusGiven;
}

bool CallerAnswer::closes() const
{
    return this->hasAnnouncedClose;
}

} // namespace Sequoiausher
