#include "sequoiausher/transport/gateway/hedgedattempt.h"

#include <cstddef>
#include <utility>

namespace Sequoiausher {

namespace {

/** A longer answer is given up, since it is held in memory until it is whole. */
constexpr std::size_t maxHeldBytes = 1048576;

} // namespace

HedgedAttempt::HedgedAttempt(HedgedAttemptUser &by,
                             GatewayContext &shared,
                             std::shared_ptr<TargetConnection> connection,
                             const std::string &attemptId,
                             ChosenTarget target,
                             Millis now)
    : user(by)
    , context(shared)
    , call(*this, shared.dialect, std::move(connection), attemptId)
    , chosen(std::move(target))
    , startedAt(now)
    , counted(shared.memory.answerTotal())
    , partAt(now)
{
}

void HedgedAttempt::send(TargetConnection::RequestWriter write, bool isHead)
{
    this->call.send(std::move(write), isHead);
}

void HedgedAttempt::cancel()
{
    this->call.cancel();
}

const ChosenTarget &HedgedAttempt::target() const
{
    return this->chosen;
}

Millis HedgedAttempt::sentAt() const
{
    return this->startedAt;
}

bool HedgedAttempt::isWhole() const
{
    return this->isComplete;
}

bool HedgedAttempt::mayHaveArrived() const
{
    return this->call.mayHaveArrived();
}

const HttpHead &HedgedAttempt::answerHead() const
{
    return this->head;
}

const TargetAnswer &HedgedAttempt::targetAnswer() const
{
    return this->answer;
}

const std::string &HedgedAttempt::body() const
{
    return this->content;
}

AttemptEnd HedgedAttempt::end() const
{
    return this->how;
}

bool HedgedAttempt::hasLostConnection() const
{
    return this->call.hasLostConnection();
}

bool HedgedAttempt::isGivenUp() const
{
    return this->givenUp;
}

bool HedgedAttempt::isConnected() const
{
    return this->call.isConnected();
}

Millis HedgedAttempt::lastPartAt() const
{
    return this->partAt;
}

void HedgedAttempt::answerBegan(const HttpHead &given, const TargetAnswer &decoded)
{
    const std::size_t bytes = memoryOfAnswerHead(given);
    if (!this->context.memory.hasRoomForHead(bytes)) {
        this->giveUp();
        return;
    }
    this->head = given;
    this->answer = decoded;
    this->headBytes = bytes;
    this->countHeld();
}

void HedgedAttempt::countHeld()
{
    this->counted.set(this->headBytes + this->content.size());
}

void HedgedAttempt::giveUp()
{
    this->givenUp = true;
    this->call.cancel();
    this->callFailed(AttemptEnd::Broken);
}

void HedgedAttempt::answerBytes(std::string bytes)
{
    this->content += bytes;
    this->countHeld();
    this->partAt = Millis::monotonicNow();
    if (this->content.size() > this->context.memory.heldAnswerBound(maxHeldBytes)) {
        this->giveUp();
    }
}

void HedgedAttempt::answerComplete()
{
    // Whether an answer that only the close of its connection ended is whole would have to be confirmed.
    this->isComplete = !this->call.endedByClose();
    this->givenUp = !this->isComplete;
    this->how = AttemptEnd::Broken;
    this->user.hedgeEnded();
}

void HedgedAttempt::callFailed(AttemptEnd end)
{
    this->how = end;
    this->user.hedgeEnded();
}

} // namespace Sequoiausher
