#include "sequoiausher/transport/gateway/callerconnection.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/gateway/refusals.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusRequestTimeout = 408;
constexpr int statusTooLarge = 413;
constexpr int statusHeadTooLarge = 431;
constexpr int statusUnavailable = 503;
/** The shortest Retry-After of a body that does not fit; the longest is twice as long. */
constexpr Millis retryWhenNoMemory{1000};
/** The timeout between two parts of a large body while other bodies wait for memory. */
constexpr Millis stallTimeoutWhileOthersWait{1000};
/** The shortest Retry-After of a request that is refused for want of room; the longest is twice as long. */
constexpr Millis retryWhenNoRoom{500};
/** The most requests of one connection that are taken before the other connections have their turn. */
constexpr std::size_t maxRequestsInTurn = 16;
/** An estimate of unacknowledged bytes is checked once it is this large, or this old. */
constexpr std::size_t checkedUnacknowledgedBytes = 16384;
constexpr Millis checkInterval{500};
constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

int statusOf(HttpFault fault)
{
    switch (fault) {
    case HttpFault::HeadTooLong:
        return statusHeadTooLarge;
    case HttpFault::BodyTooLong:
        return statusTooLarge;
    case HttpFault::None:
    case HttpFault::Malformed:
        break;
    }
    return statusBadRequest;
}

} // namespace

CallerConnection::CallerConnection(GatewayContext &shared, int descriptor, Gone whenGone)
    : context(shared)
    , gone(std::move(whenGone))
    , stream(ByteStream::adopt(descriptor, this))
    , reader(HttpReader::Kind::Request, this->limits())
    , number(++shared.connectionsAccepted)
    , idle(Millis::monotonicNow(), this->context.callerLimits().idleTime)
{
    this->stream->countInto(shared.memory.answerTotal());
    this->stream->countUnacknowledged();
    this->headMemory.moveTo(shared.memory.answerTotal());
    this->heldBack.moveTo(shared.memory.answerTotal());
    shared.ledger.add(this->number, Millis::monotonicNow());
}

CallerConnection::~CallerConnection()
{
    if (!this->isOver) {
        this->context.ledger.remove(this->number);
    }
    this->stream->forgetUser();
}

HttpReaderLimits CallerConnection::limits() const
{
    const CallerLimits given = this->context.callerLimits();
    return {given.headBytes, given.bodyBytes};
}

void CallerConnection::bytesArrived()
{
    if (!this->exchange) {
        if (std::exchange(this->awaitsTurn, false)) {
            this->requestsInTurn = 0;
        }
        this->readRequests();
    } else if (this->stream->input().size() > this->limits().headBytes) {
        // Further requests stay in the kernel's buffer, so that a caller that only sends cannot exhaust memory.
        this->stream->setReading(false);
    }
}

bool CallerConnection::mayReadNext()
{
    if (this->stream->pendingBytes() > 0) {
        // Continues in drained(). What the caller sends meanwhile stays in the kernel, which slows it down.
        this->stream->setReading(false);
        return false;
    }
    if (this->requestsInTurn >= maxRequestsInTurn) {
        this->awaitsTurn = true;
        this->stream->readLater();
        return false;
    }
    return true;
}

bool CallerConnection::admitHead()
{
    const std::size_t bytes = memoryOf(this->reader.head().headers);
    this->headMemory.set(0);
    if (!this->context.memory.hasRoomForHead(bytes)) {
        this->context.metrics.add("gateway_bodies_refused_total");
        this->refuse(
            statusUnavailable, "the gateway has no memory for the head", this->context.spread(retryWhenNoMemory));
        return false;
    }
    this->headMemory.set(bytes);
    return true;
}

void CallerConnection::readRequests()
{
    if (this->isReadingNow) {
        return;
    }
    this->isReadingNow = true;
    while (!this->isOver && !this->exchange && !this->stream->input().empty()) {
        if (!this->hasBytes && !this->mayReadNext()) {
            break;
        }
        const Millis now = Millis::monotonicNow();
        this->partial.lastByteAt = now;
        if (!std::exchange(this->hasBytes, true)) {
            this->context.ledger.setUse(this->number, ConnectionUse::Head, now);
            this->partial.firstByteAt = now;
            this->headAt.reset();
            this->reader.setLimits(this->limits());
            this->reader.restart();
        }
        this->reader.read(this->stream->input());
        if (this->reader.fault() != HttpFault::None) {
            this->refuse(statusOf(this->reader.fault()), std::string(nameOf(this->reader.fault())));
            break;
        }
        if (this->reader.hasHead() && !this->headAt) {
            this->headAt = now;
            if (!this->admitHead()) {
                break;
            }
        }
        if (this->refuseForStop() || (this->reader.hasHead() && !this->admitBody())) {
            break;
        }
        if (!this->reader.isComplete()) {
            this->sendContinueIfAwaited();
            break;
        }
        this->takeRequest();
    }
    this->isReadingNow = false;
}

std::size_t CallerConnection::bodyMemoryNeeded() const
{
    const HttpHead &head = this->reader.head();
    if (!head.chunked) {
        return head.contentLength.value_or(0);
    }
    // A body of unknown length asks for twice as much whenever it has used up what it has.
    std::size_t needed = this->bodyMemory ? this->bodyMemory->bytes() : MemoryBudget::smallBodyBytes;
    while (needed < this->reader.bodySize()) {
        needed *= 2;
    }
    return needed;
}

bool CallerConnection::admitBody()
{
    const std::size_t needed = this->bodyMemoryNeeded();
    if (needed == 0 || (this->bodyMemory && needed <= this->bodyMemory->bytes())) {
        return true;
    }
    if (!this->bodyMemory) {
        this->bodyMemory = std::make_unique<BodyReservation>(this->context.memory);
    }
    return this->followBodyAdmission(this->bodyMemory->reserve(needed, Millis::monotonicNow()));
}

bool CallerConnection::followBodyAdmission(BodyAdmission admission)
{
    const bool wasWaiting = std::exchange(this->isWaitingForMemory, admission == BodyAdmission::Waits);
    switch (admission) {
    case BodyAdmission::Granted:
        this->reader.reserveBody(this->bodyMemory->bytes());
        if (wasWaiting) {
            this->partial.lastByteAt = Millis::monotonicNow();
            this->stream->setReading(true);
        }
        return true;
    case BodyAdmission::Waits:
        // The rest stays in the kernel's buffer, which slows the caller down.
        this->stream->setReading(false);
        this->context.metrics.add("gateway_bodies_delayed_total");
        return false;
    case BodyAdmission::Refused:
        this->context.metrics.add("gateway_bodies_refused_total");
        this->refuse(
            statusUnavailable, "the gateway has no memory for the body", this->context.spread(retryWhenNoMemory));
        return false;
    case BodyAdmission::TooLarge:
        this->context.metrics.add("gateway_bodies_refused_total");
        this->refuse(statusTooLarge, "the gateway can never hold the body");
        return false;
    }
    return false;
}

void CallerConnection::tickWaitingBody(Millis now)
{
    const BodyAdmission admission = this->bodyMemory->check(now);
    if (admission == BodyAdmission::Waits || !this->followBodyAdmission(admission)) {
        return;
    }
    if (this->reader.isComplete()) {
        this->takeRequest();
    } else {
        this->sendContinueIfAwaited();
    }
    this->readRequests();
}

bool CallerConnection::refuseForStop()
{
    if (!this->context.stop.isBegun() || !this->context.table || !this->hasBytes || !this->reader.hasHead()
        || this->reader.isComplete()) {
        return false;
    }
    const Millis now = Millis::monotonicNow();
    try {
        const CallerRequest request = this->context.dialect.readRequest(this->reader.head());
        const GatewayRoute *route = this->context.table->find(request.host, this->reader.head().target);
        if (route == nullptr) {
            return false;
        }
        const Millis callersTime = request.timeLeft.value_or(route->timeout) - (now - this->headAt.value_or(now));
        const Millis timeLeft = std::min(route->timeout, callersTime);
        if (this->context.mayBegin(*route, timeLeft, now)) {
            return false;
        }
    } catch (const Error &) {
        // The request is answered as unreadable once it is complete.
        return false;
    }
    this->context.metrics.add("gateway_requests_refused_for_stop_total");
    this->refuse(statusUnavailable, "the gateway stops", this->context.retryAfterStop(now));
    return true;
}

void CallerConnection::sendContinueIfAwaited()
{
    const bool isAwaited = this->reader.hasHead() && this->reader.bodySize() == 0
        && sameHeaderName(this->reader.head().headers.value("expect"), "100-continue");
    if (isAwaited && !std::exchange(this->hasContinued, true)) {
        this->stream->write(continueAnswer);
    }
}

void CallerConnection::takeRequest()
{
    const Millis now = Millis::monotonicNow();
    this->hasBytes = false;
    this->hasContinued = false;
    this->requests += 1;
    this->requestsInTurn += 1;
    this->longestLimit = this->context.callerLimits().idleTime;
    if (this->stream->isLeft()) {
        // The event loop reports the end of the connection in its next iteration.
        return;
    }
    const Millis transferTime = now - this->headAt.value_or(now);
    ReceivedBody body{this->reader.takeBody(), std::move(this->bodyMemory), transferTime};
    this->context.ledger.setUse(this->number, ConnectionUse::InUse, now);
    this->exchange
        = std::make_shared<GatewayExchange>(this->context, *this, this->reader.takeHead(), std::move(body), now);
    // The exchange may be answered and released during the call.
    const auto started = this->exchange;
    started->start();
}

void CallerConnection::refuse(int status, const std::string &reason, std::optional<Millis> retryAfter)
{
    // A caller that sends for as long as this connection lingers needs no memory for it.
    this->bodyMemory.reset();
    this->isWaitingForMemory = false;
    this->context.log.info(
        LogPart::Entry,
        "request refused unread",
        {{"status", std::to_string(status)}, {"why", reason}, {"connection", std::to_string(this->number)}});
    this->context.metrics.add("gateway_unreadable_requests_total");
    this->writeRefusal(status, reason, retryAfter);
    this->closeGently(CloseReason::Unreadable);
}

void CallerConnection::writeRefusal(int status, const std::string &reason, std::optional<Millis> retryAfter)
{
    CallerRequest request;
    bool isHead = false;
    if (this->reader.hasHead()) {
        try {
            request = this->context.dialect.readRequest(this->reader.head());
        } catch (const Error &) {
            // The answer names no request then.
        }
        isHead = this->reader.head().method == "HEAD";
    }
    this->stream->write(
        ownAnswer(this->context.dialect, request, {status, reason, retryAfter, {.closes = true}, isHead}));
}

void CallerConnection::drained()
{
    if (this->exchange) {
        this->exchange->callerDrained();
    } else if (!this->isOver && !this->isWaitingForMemory) {
        this->stream->setReading(true);
        this->readRequests();
    }
}

void CallerConnection::ended(StreamEnd /*how*/)
{
    if (this->exchange) {
        this->exchange->callerGone();
        this->dropExchange();
    }
    this->over(CloseReason::CallerLeft);
}

void CallerConnection::write(std::string_view bytes)
{
    this->stream->write(bytes);
}

std::size_t CallerConnection::pendingBytes() const
{
    return this->stream->pendingBytes();
}

void CallerConnection::finished(bool closes)
{
    const Millis now = Millis::monotonicNow();
    this->dropExchange();
    this->idle.recordAnswer(now, this->longestLimit);
    this->context.ledger.setUse(this->number, this->use(now), now);
    this->stream->setReading(true);
    if (closes) {
        this->closeGently(CloseReason::Answered);
        return;
    }
    this->readRequests();
}

void CallerConnection::cutOff()
{
    this->dropExchange();
    // What was written is still delivered; the missing end mark shows that the answer is incomplete.
    this->closeGently(CloseReason::CutOff);
}

void CallerConnection::abort()
{
    this->dropExchange();
    this->over(CloseReason::CutOff);
    this->stream->reset();
}

std::uint64_t CallerConnection::connectionNumber() const
{
    return this->number;
}

void CallerConnection::dropExchange()
{
    this->headMemory.set(0);
    this->heldBack.set(0);
    this->context.destroyLater(std::move(this->exchange));
    this->exchange.reset();
}

void CallerConnection::over(CloseReason why)
{
    if (std::exchange(this->isOver, true)) {
        return;
    }
    this->context.ledger.remove(this->number);
    if (why == CloseReason::Yielded) {
        // Logged by the gateway, which bounds these lines.
        this->gone(*this);
        return;
    }
    const Millis now = Millis::monotonicNow();
    // With these counts, a request that crossed the close or was left unread can be told from one that never arrived.
    this->context.log.info(LogPart::Entry,
                           "connection closed",
                           {{"connection", std::to_string(this->number)},
                            {"why", std::string(nameOf(why))},
                            {"requests", std::to_string(this->requests)},
                            {"idle_ms", std::to_string((now - this->idle.idleSince(now)).count)},
                            {"unread_bytes", std::to_string(this->stream->unreadBytes())},
                            {"unacknowledged_bytes", std::to_string(this->stream->unacknowledgedBytes())}});
    this->gone(*this);
}

void CallerConnection::closeGently(CloseReason why)
{
    this->over(why);
    this->context.keepDelivering(this->number, this->stream);
    // The stream outlives this connection, and also the gateway if that ends first.
    GatewayContext &shared = this->context;
    const std::weak_ptr<const bool> life = shared.life;
    const auto report = [&shared, life, closed = this->number, why](std::size_t bytes) {
        if (life.expired()) {
            return;
        }
        shared.endDelivering(closed);
        if (bytes == 0) {
            return;
        }
        shared.log.warning(LogPart::Entry,
                           "bytes thrown away after a close",
                           {{"connection", std::to_string(closed)},
                            {"why", std::string(nameOf(why))},
                            {"bytes", std::to_string(bytes)}});
        shared.metrics.add("gateway_discarded_bytes_total", bytes);
    };
    // The rest of a request within the limits is discarded, so that its caller gets the answer.
    const HttpReaderLimits most = this->limits();
    this->stream->closeGently(report, most.headBytes + most.bodyBytes);
}

void CallerConnection::tick(Millis now)
{
    if (this->isOver) {
        return;
    }
    this->updateAccount(now);
    if (!this->awaitsTurn) {
        this->requestsInTurn = 0;
    }
    if (this->exchange) {
        this->longestLimit = std::max(this->longestLimit, this->context.callerLimits().idleTime);
        const auto ticked = this->exchange;
        ticked->tick(now);
        return;
    }
    if (this->refuseForStop()) {
        return;
    }
    if (this->isWaitingForMemory) {
        this->tickWaitingBody(now);
    } else if (this->hasBytes) {
        this->tickPartial(now);
    } else {
        this->tickUnused(now);
    }
}

void CallerConnection::tickPartial(Millis now)
{
    const CallerLimits given = this->context.callerLimits();
    this->partial.hasHead = this->reader.hasHead();
    const PartialRequestDecision verdict = checkPartialRequest(this->partial, now, given.headTime, given.idleTime);
    if (verdict != PartialRequestDecision::Wait) {
        this->refuse(statusRequestTimeout, std::string(nameOf(verdict)));
        return;
    }
    const bool holdsUpOthers = this->bodyMemory && this->bodyMemory->bytes() > MemoryBudget::smallBodyBytes
        && this->context.memory.waitingBodies() > 0;
    if (holdsUpOthers && now - this->partial.lastByteAt >= stallTimeoutWhileOthersWait) {
        this->refuse(statusRequestTimeout, "the body stopped while others waited for its memory");
    }
}

void CallerConnection::tickUnused(Millis now)
{
    if (!this->idle.isAcknowledged()) {
        this->idle.recordUnacknowledged(now, this->stream->pendingBytes() + this->stream->knownUnacknowledged());
    }
    if (this->idle.isOver(now, this->context.callerLimits().idleTime)) {
        this->closeUnused(CloseReason::Idle);
    }
}

ConnectionUse CallerConnection::use(Millis now) const
{
    const bool hasUnread = this->stream->pendingBytes() + this->stream->knownUnacknowledged() > 0;
    if (hasUnread && this->context.ledger.hasStalled(this->number, now)) {
        return ConnectionUse::Stalled;
    }
    if (this->exchange) {
        return ConnectionUse::InUse;
    }
    if (this->hasBytes && !this->reader.hasHead()) {
        return ConnectionUse::Head;
    }
    if (this->hasBytes) {
        const bool mustSend = !this->isWaitingForMemory;
        const bool isStill = now - this->partial.lastByteAt >= ConnectionLedger::stalledTime;
        return mustSend && isStill ? ConnectionUse::Stalled : ConnectionUse::Body;
    }
    if (hasUnread) {
        return ConnectionUse::Unread;
    }
    return this->requests > 0 ? ConnectionUse::Kept : ConnectionUse::Silent;
}

void CallerConnection::updateAccount(Millis now)
{
    const bool mustAsk = !this->exchange || this->stream->knownUnacknowledged() >= checkedUnacknowledgedBytes
        || now - this->askedAt >= checkInterval;
    std::size_t taken = 0;
    if (mustAsk) {
        this->askedAt = now;
        taken = this->stream->updateAcknowledged();
    }
    const std::size_t unread = this->stream->pendingBytes() + this->stream->knownUnacknowledged();
    const std::size_t headBytes
        = this->headMemory.bytes() + (this->hasBytes ? this->stream->input().size() : std::size_t{0});
    this->heldBack.set(this->exchange ? this->exchange->heldBackBytes() : 0);
    this->context.ledger.setHeld(this->number, {unread + this->heldBack.bytes(), headBytes}, taken, now);
    this->context.ledger.setUse(this->number, this->use(now), now);
}

std::string CallerConnection::peerAddress() const
{
    return this->stream->peerAddress();
}

bool CallerConnection::yield()
{
    const bool hasUnread = this->stream->pendingBytes() + this->stream->knownUnacknowledged() > 0;
    if (this->exchange || hasUnread) {
        if (this->exchange) {
            this->exchange->callerGone();
            this->dropExchange();
        }
        this->over(CloseReason::Yielded);
        this->stream->reset();
        return true;
    }
    // A request that has arrived meanwhile is answered.
    const std::uint64_t before = this->requests;
    if (!this->isWaitingForMemory) {
        this->stream->setReading(true);
        this->stream->readNow();
    }
    if (this->isOver || this->exchange || this->requests != before) {
        return this->isOver;
    }
    if (this->hasBytes) {
        // The memory of a body goes to others at once.
        this->bodyMemory.reset();
        this->isWaitingForMemory = false;
        this->writeRefusal(
            statusUnavailable, "the gateway has no room for the request", this->context.spread(retryWhenNoRoom));
        this->over(CloseReason::Yielded);
        this->stream->close();
        return true;
    }
    this->over(CloseReason::Yielded);
    this->closeStream();
    return true;
}

void CallerConnection::closeStream()
{
    if (this->stream->input().empty()) {
        this->stream->close();
    } else {
        this->stream->reset();
    }
}

bool CallerConnection::isBusy() const
{
    return this->exchange != nullptr || this->stream->pendingBytes() > 0;
}

bool CallerConnection::isReading() const
{
    // Requests that were sent ahead wait for their turn.
    return this->hasBytes || !this->stream->input().empty();
}

void CallerConnection::closeForStop()
{
    this->closeUnused(CloseReason::Stopping);
}

void CallerConnection::endForStop()
{
    if (const auto ended = this->exchange) {
        ended->endForStop();
    } else if (this->hasBytes && !this->isOver) {
        this->refuse(statusRequestTimeout, "the gateway stops");
    }
}

void CallerConnection::closeUnused(CloseReason why)
{
    // A request that has arrived already is answered, maybe within the call; such an answer announced no close.
    const std::uint64_t before = this->requests;
    this->stream->readNow();
    if (this->isOver || this->exchange || this->hasBytes || this->requests != before) {
        return;
    }
    // A request that still arrives must not be read: its caller would get no answer, and could not send it again if it
    // may run only once. Nothing is read after close(), so the caller's kernel reports that the request was not read.
    this->over(why);
    this->closeStream();
}

void CallerConnection::close()
{
    if (this->exchange) {
        this->exchange->callerGone();
        this->dropExchange();
    }
    this->over(CloseReason::Stopping);
    this->stream->close();
}

} // namespace Sequoiausher
