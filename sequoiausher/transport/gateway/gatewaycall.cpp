#include "sequoiausher/transport/gateway/gatewaycall.h"

#include <utility>

namespace Sequoiausher {

namespace {

constexpr int firstFinalStatus = 200;
constexpr int firstFailureStatus = 300;
/** More interim answers than any target has a reason for: a target could hold the request up without an end. */
constexpr std::uint32_t maxInterimAnswers = 16;

} // namespace

GatewayCall::GatewayCall(GatewayCallUser &by,
                         const GatewayDialect &speaks,
                         std::shared_ptr<TargetConnection> over,
                         std::string attempt)
    : user(by)
    , dialect(speaks)
    , connection(std::move(over))
    , attemptId(std::move(attempt))
{
}

GatewayCall::~GatewayCall()
{
    this->cancel();
}

void GatewayCall::send(TargetConnection::RequestWriter write, bool isHead)
{
    this->connection->begin(this, std::move(write), isHead);
}

bool GatewayCall::isConnected() const
{
    return this->connection->isOpen();
}

const InstanceId &GatewayCall::through() const
{
    return this->connection->through();
}

bool GatewayCall::mayHaveArrived() const
{
    return this->connection->hasSent();
}

bool GatewayCall::hasLostConnection() const
{
    return this->lostConnection;
}

bool GatewayCall::endedByClose() const
{
    return this->isEndedByClose;
}

void GatewayCall::setReading(bool on)
{
    this->connection->setReading(on);
}

std::size_t GatewayCall::unreadBytes() const
{
    return this->connection->unreadBytes();
}

void GatewayCall::cancel()
{
    if (!this->isOver) {
        this->isOver = true;
        this->connection->drop();
    }
}

void GatewayCall::answerGrew()
{
    HttpReader &reader = this->connection->reader();
    while (reader.isComplete() && reader.head().status < firstFinalStatus) {
        // An interim answer: the final one follows.
        this->interimAnswers += 1;
        if (this->interimAnswers > maxInterimAnswers) {
            this->fail(AttemptEnd::NoAnswer);
            return;
        }
        reader.restart();
        this->connection->readOn();
    }
    if (reader.fault() != HttpFault::None) {
        this->fail(this->hasHead ? AttemptEnd::Broken : AttemptEnd::NoAnswer);
        return;
    }
    if (!this->hasHead && reader.hasHead()) {
        this->readHead();
    }
    if (!this->isOver && this->hasHead && reader.bodySize() > 0) {
        this->user.answerBytes(reader.takeBody());
    }
    if (!this->isOver && reader.isComplete()) {
        this->complete();
    }
}

void GatewayCall::readHead()
{
    const HttpHead &head = this->connection->reader().head();
    this->answer = this->dialect.readAnswer(head);
    // A late answer to an earlier request, or a success without a target's signature, must reach no caller. Where
    // earlier answers of the connection bore ids, one without an id is not this request's own, whatever it states of
    // it.
    const bool isForeign
        = this->answer.attemptId.empty() ? this->connection->hasEchoedIds() : this->answer.attemptId != this->attemptId;
    const bool isSuccess = head.status < firstFailureStatus;
    if (isForeign || (isSuccess && !this->answer.isSigned)) {
        this->fail(AttemptEnd::NoAnswer);
        return;
    }
    this->hasHead = true;
    if (!this->answer.attemptId.empty()) {
        this->connection->recordEchoedId();
    }
    this->user.answerBegan(head, this->answer);
}

void GatewayCall::complete()
{
    this->isOver = true;
    this->connection->release(this->answer.idleTime, Millis::monotonicNow());
    this->user.answerComplete();
}

void GatewayCall::fail(AttemptEnd end)
{
    this->isOver = true;
    this->connection->drop();
    this->user.callFailed(end);
}

void GatewayCall::connectionEnded(StreamEnd how)
{
    if (this->isOver) {
        return;
    }
    if (this->connection->reader().isComplete()) {
        const bool isSuccess = this->connection->reader().head().status < firstFailureStatus;
        if (isSuccess && !this->connection->hasSentAll()) {
            // Nothing but the close marks the end of the answer, and the target has not had the whole request.
            this->fail(AttemptEnd::Broken);
            return;
        }
        this->isEndedByClose = true;
        this->answerGrew();
        return;
    }
    if (how == StreamEnd::NotConnected || !this->connection->hasSent()) {
        this->fail(AttemptEnd::NotSent);
        return;
    }
    this->lostConnection = true;
    this->fail(this->hasHead ? AttemptEnd::Broken : AttemptEnd::NoAnswer);
}

} // namespace Sequoiausher
