#pragma once

// The second copy of a request that is slow at its first target. Holds the copy's answer until it is whole, so that the
// caller gets one target's answer and never parts of two.
//
//     HedgedAttempt hedge(user, context, connection, attemptId, target, now);
//     hedge.send(write, isHead);

#include "sequoiausher/base/countedbytes.h"
#include "sequoiausher/transport/gateway/gatewaycall.h"
#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <memory>
#include <string>

namespace Sequoiausher {

/** Receives the end of a second copy. The function may destroy the copy only by GatewayContext::destroyLater(). */
class HedgedAttemptUser
{
public:
    virtual ~HedgedAttemptUser() = default;
    /** The copy has ended, with a whole answer or without. */
    virtual void hedgeEnded() = 0;
};

/** A second copy. */
class HedgedAttempt : public GatewayCallUser
{
public:
    /** user and context outlive this. */
    HedgedAttempt(HedgedAttemptUser &user,
                  GatewayContext &context,
                  std::shared_ptr<TargetConnection> connection,
                  const std::string &attemptId,
                  ChosenTarget target,
                  Millis now);

    void send(TargetConnection::RequestWriter write, bool isHead);
    /** Closes the connection, so that the target stops. No end follows. */
    void cancel();

    const ChosenTarget &target() const;
    Millis sentAt() const;
    /** Whether the answer is whole, which its framing shows. */
    bool isWhole() const;
    /** Whether the target may have received any byte of the request. */
    bool mayHaveArrived() const;
    const HttpHead &answerHead() const;
    const TargetAnswer &targetAnswer() const;
    const std::string &body() const;
    /** How the copy ended, unless its answer is whole. */
    AttemptEnd end() const;
    /** Whether the target's side broke the connection that carried the request. */
    bool hasLostConnection() const;
    /** Whether this gateway gave the answer up, which says nothing about the target. */
    bool isGivenUp() const;
    /** Whether the connection is established; before that, nothing has reached the target. */
    bool isConnected() const;
    /** When a part of the answer last arrived, or when the copy was sent. */
    Millis lastPartAt() const;

    void answerBegan(const HttpHead &head, const TargetAnswer &answer) override;
    void answerBytes(std::string bytes) override;
    void answerComplete() override;
    void callFailed(AttemptEnd end) override;

private:
    /** Counts what is held of the answer. */
    void countHeld();
    /** Ends the copy, for whose answer there is no room. */
    void giveUp();

    HedgedAttemptUser &user;
    GatewayContext &context;
    GatewayCall call;
    ChosenTarget chosen;
    Millis startedAt;
    HttpHead head;
    TargetAnswer answer;
    /** The memory of the head. */
    std::size_t headBytes = 0;
    std::string content;
    CountedBytes counted;
    bool isComplete = false;
    bool givenUp = false;
    Millis partAt;
    AttemptEnd how = AttemptEnd::NoAnswer;
};

} // namespace Sequoiausher
