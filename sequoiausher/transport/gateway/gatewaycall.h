#pragma once

// One try of a request at one target, from the first byte sent to the last byte of the answer. It checks that the
// answer is this request's and tells how the try ended, in the terms by which the next step is chosen.
//
//     GatewayCall call(user, dialect, connection, attemptId);
//     call.send(head + body, isHead);

#include "sequoiausher/coordination/gateway/retrydecision.h"
#include "sequoiausher/protocol/gateway/gatewaydialect.h"
#include "sequoiausher/transport/gateway/targetpools.h"

#include <memory>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** What a try tells its request. Each call may drop the try. */
class GatewayCallUser
{
public:
    virtual ~GatewayCallUser() = default;
    virtual void answerBegan(const HttpHead &head, const TargetAnswer &answer) = 0;
    virtual void answerBytes(std::string bytes) = 0;
    /** The answer is whole. */
    virtual void answerComplete() = 0;
    /** There is no whole answer: NotSent, NoAnswer or Broken. */
    virtual void callFailed(AttemptEnd end) = 0;
};

/** One try. */
class GatewayCall : public TargetConnectionUser
{
public:
    /** All references outlive it. */
    GatewayCall(GatewayCallUser &user,
                const GatewayDialect &dialect,
                std::shared_ptr<TargetConnection> connection,
                std::string attemptId);
    ~GatewayCall() override;
    GatewayCall(const GatewayCall &) = delete;
    GatewayCall &operator=(const GatewayCall &) = delete;

    void send(std::string_view bytes, bool isHead);
    /** Whether the connection stands: before, nothing has reached the target. */
    bool isConnected() const;
    /** Whether the target may have any byte of the request. */
    bool mayHaveArrived() const;
    /** Whether the try ended because the other side broke the connection on which the request was. */
    bool hasLostConnection() const;
    void setReading(bool on);
    /** Closes the connection; the target stops. Nothing is told after it. */
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
    bool hasHead = false;
    bool isOver = false;
    bool lostConnection = false;
};

} // namespace Sequoiausher
