#pragma once

// What the caller of one request is given, over all targets that have a part in its answer: whole events as they come,
// a plain answer once it is whole, a long one as it comes, or the gateway's own. It writes and pauses, and decides
// nothing: which answer is given, and when it ends, says the exchange.
//
//     CallerAnswer answer(context, caller, source, requestHead);
//     answer.expect(RouteKind::Stream, request.lastEventId);
//     answer.beginAttempt();
//     answer.began(head, targetAnswer);
//     if (answer.add(bytes)) { answer.give(); }
//     answer.endStream();

#include "sequoiausher/protocol/gateway/eventcutter.h"
#include "sequoiausher/transport/gateway/connectionfields.h"
#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** The caller's side of an exchange. */
class CallerSide
{
public:
    virtual ~CallerSide() = default;
    virtual void write(std::string_view bytes) = 0;
    /** The answer is whole; the connection may take the next request unless closes. */
    virtual void finished(bool closes) = 0;
    /** The answer ends early: closes so that what was sent does not look whole. */
    virtual void cutOff() = 0;
    virtual std::size_t pendingBytes() const = 0;
    /** What log lines know the connection by. */
    virtual std::uint64_t connectionNumber() const = 0;
};

/** Where an answer comes from. */
class AnswerSource
{
public:
    virtual ~AnswerSource() = default;
    /** Stops or goes on to read the answer; false where no target is read. */
    virtual bool setReading(bool on) = 0;
};

/** The answer to one request. */
class CallerAnswer
{
public:
    /** All references outlive it. @param request the head of what it answers. */
    CallerAnswer(GatewayContext &context, CallerSide &caller, AnswerSource &source, const HttpHead &request);

    /** @param lastEventId the event up to which the caller has the stream; empty for its start. */
    void expect(RouteKind kind, const std::string &lastEventId);
    /** The request goes to a target: what an earlier one left incomplete is dropped. */
    void beginAttempt();
    /** The head of the target's answer came. */
    void began(const HttpHead &head, const TargetAnswer &answer);
    /** Takes more of the answer. @return whether a part of it is for the caller now: give() it. */
    bool add(std::string_view bytes);
    /** Gives what add() has found ready. Where the caller takes too little of a stream, its target is not read on. */
    void give();
    /** The caller took what was written. */
    void callerDrained();

    /** Gives the whole answer that was held. */
    void passOnHeld();
    /** Ends an answer that was given in parts. */
    void endStream();
    /** Gives an answer of the gateway's own. */
    void
    answerOwn(const CallerRequest &request, int status, const std::string &reason, std::optional<Millis> retryAfter);

    /** The head of the present attempt's answer has come. */
    bool hasHead() const;
    /** The caller has the head of an answer. */
    bool isBegun() const;
    /** The present target answers with the events of a stream. */
    bool isEventStream() const;
    /** The caller gets the answer as it comes. */
    bool isForwardedAsItArrives() const;
    /** The target is not read, since the caller takes less than it is given. */
    bool isReadingPaused() const;
    /** The head that came last. */
    const HttpHead &targetHead() const;
    const TargetAnswer &targetAnswer() const;
    /** The id of the last event given out. */
    const std::string &lastEventId() const;
    std::uint64_t eventCount() const;
    /** The status that the caller was given; 0 before. */
    int status() const;
    /** The head that the caller was given said that the connection closes after the answer. */
    bool closes() const;

private:
    void beginStream();
    std::string headLine(const HttpHead &given) const;
    bool mustClose() const;
    ConnectionFate connectionFate(bool closes) const;

    GatewayContext &context;
    CallerSide &caller;
    AnswerSource &source;
    const HttpHead &head;
    RouteKind kind = RouteKind::AtMostOnce;

    HttpHead answerHead;
    TargetAnswer answer;
    std::string heldAnswer;
    EventCutter cutter;
    /** Ready for the caller. */
    std::string part;
    bool hasAnswerHead = false;
    bool isAnswerBegun = false;
    bool saidClose = false;
    /** A long answer that is no stream of events is given as it comes. */
    bool passesThrough = false;
    bool isPaused = false;
    int statusGiven = 0;
};

} // namespace Sequoiausher
