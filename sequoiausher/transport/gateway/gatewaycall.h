#pragma once

// One attempt to send a request to one target, from the first byte of the request to the last byte of the answer.
// Checks that the answer belongs to the request, and reports how the attempt ended.
//
//     GatewayCall call(user, dialect, connection, attemptId);
//     call.send([&] { return head + body; }, isHead);

#include "sequoiausher/coordination/gateway/retrydecision.h"
#include "sequoiausher/protocol/gateway/gatewaydialect.h"
#include "sequoiausher/transport/gateway/targetpools.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** Receives the events of a call. Each function may destroy the call. */
class GatewayCallUser
{
public:
    virtual ~GatewayCallUser() = default;
    virtual void answerBegan(const HttpHead &head, const TargetAnswer &answer) = 0;
    virtual void answerBytes(std::string bytes) = 0;
    /** The answer is complete. */
    virtual void answerComplete() = 0;
    /** There is no complete answer. @param end NotSent, NoAnswer or Broken. */
    virtual void callFailed(AttemptEnd end) = 0;
};

/** One attempt. */
class GatewayCall : public TargetConnectionUser
{
public:
    /** All references outlive this. */
    GatewayCall(GatewayCallUser &user,
                const GatewayDialect &dialect,
                std::shared_ptr<TargetConnection> connection,
                std::string attemptId);
    ~GatewayCall() override;
    GatewayCall(const GatewayCall &) = delete;
    GatewayCall &operator=(const GatewayCall &) = delete;

    /** @param write called once, when the connection is open. */
    void send(TargetConnection::RequestWriter write, bool isHead);
    /** Whether the connection is established; before that, nothing has reached the target. */
    bool isConnected() const;
    /** The gateway that the connection goes through; empty for a direct one, or one that is not open yet. */
    const InstanceId &through() const;
    /** Whether the target may have received any byte of the request. */
    bool mayHaveArrived() const;
    /** Whether nothing but the close of the connection marked the end of the complete answer. */
    bool endedByClose() const;
    /** Whether the attempt ended because the target's side broke the connection that carried the request. */
    bool hasLostConnection() const;
    void setReading(bool on);
    /** Returns the bytes of the answer that the kernel has received and that were not read. */
    std::size_t unreadBytes() const;
    /** Closes the connection, so that the target stops. No further events follow. */
    void cancel();

    void answerGrew() override;
    void connectionEnded(StreamEnd how) override;

private:
    void readHead();
    void complete();
    void fail(AttemptEnd end);

    GatewayCallUser &user;
    const GatewayDialect &dialect;
    std::shared_ptr<TargetConnection> connection;
    std::string attemptId;
    TargetAnswer answer;
    std::uint32_t interimAnswers = 0;
    bool hasHead = false;
    bool isOver = false;
    bool lostConnection = false;
    bool isEndedByClose = false;
};

} // namespace Sequoiausher
