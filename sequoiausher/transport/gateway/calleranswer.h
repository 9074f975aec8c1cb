#pragma once

// Writes the answer to one request to its caller: whole events as they arrive, a plain answer once it is complete, a
// long one as it arrives, or an answer of the gateway's own. Several targets may contribute to one answer. The exchange
// decides which answer is written and when it ends.
//
//     CallerAnswer answer(context, caller, source, requestHead);
//     answer.expect(RouteKind::Stream, request.lastEventId);
//     answer.beginAttempt();
//     answer.began(head, targetAnswer);
//     if (answer.add(bytes)) { answer.writeReady(); }
//     answer.endStream();

#include "sequoiausher/base/countedbytes.h"
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
    /** The answer is complete. @param closes whether the connection closes after it, so that no further request
     * follows. */
    virtual void finished(bool closes) = 0;
    /** Closes the connection before the end of the answer, in such a way that the answer does not look complete. */
    virtual void cutOff() = 0;
    /** The same for an answer whose end is the close of its connection: resets the connection. */
    virtual void abort() = 0;
    virtual std::size_t pendingBytes() const = 0;
    /** The number of the connection in log lines. */
    virtual std::uint64_t connectionNumber() const = 0;
};

/** The target side of an answer. */
class AnswerSource
{
public:
    virtual ~AnswerSource() = default;
    /** Pauses or resumes reading the answer. @return false if there is no target to read from. */
    virtual bool setReading(bool on) = 0;
};

/** The answer to one request. */
class CallerAnswer
{
public:
    /** All references outlive this. @param request the head of the request. */
    CallerAnswer(GatewayContext &context, CallerSide &caller, AnswerSource &source, const HttpHead &request);

    /** @param lastEventId the event up to which the caller has the stream; empty for its start. */
    void expect(RouteKind kind, const std::string &lastEventId);
    /** Starts the answer of another target; an incomplete part of the previous one is discarded. */
    void beginAttempt();
    /** Records the head of the target's answer. */
    void began(const HttpHead &head, const TargetAnswer &answer);
    /** Adds bytes of the answer. @return whether a part of it can be written now, by writeReady(). */
    bool add(std::string_view bytes);
    /**
     * Whether what must be held until it is whole is longer than any that is held: an event, or an answer whose status
     * states that the request did not run. That status may be false, so it is not passed on as the answer arrives.
     */
    bool isTooLong() const;
    /** Writes what add() found ready. Pauses reading from the target if the caller reads too slowly. */
    void writeReady();
    /** The caller has read everything that was written. */
    void callerDrained();

    /** Writes the complete answer that was held back. */
    void writeHeld();
    /** Ends an answer that was written in parts. */
    void endStream();
    /** Writes an answer of the gateway's own. */
    void
    answerOwn(const CallerRequest &request, int status, const std::string &reason, std::optional<Millis> retryAfter);

    /** Whether the head of the current attempt's answer has arrived. */
    bool hasHead() const;
    /** Whether the head of an answer was written to the caller. */
    bool isBegun() const;
    /** Whether the current target answers with a stream of events. */
    bool isEventStream() const;
    /** Whether the answer is written to the caller as it arrives. */
    bool isForwardedAsItArrives() const;
    /** Whether reading from the target is paused because the caller reads too slowly. */
    bool isReadingPaused() const;
    /** Whether the target's answer is a stream that has stopped inside an event so far. */
    bool isInsideEvent() const;
    /** The head of the latest answer. */
    const HttpHead &targetHead() const;
    const TargetAnswer &targetAnswer() const;
    /** The id of the last event that was written to the caller. */
    const std::string &lastEventId() const;
    std::uint64_t eventCount() const;
    /** Whether the close of the caller's connection is the end of a stream, since the caller knows no chunks. */
    bool endsWithConnection() const;
    /** The status that was written to the caller; 0 before the head. */
    int status() const;
    /** Whether the head that was written announced that the connection closes after the answer. */
    bool closes() const;

private:
    void beginStream();
    void writePart(std::string_view bytes);
    std::string headLine(const HttpHead &given) const;
    bool mustClose() const;
    ConnectionFate connectionFate(bool closes) const;
    /** Counts what is held of the answer. */
    void countHeld();

    GatewayContext &context;
    CallerSide &caller;
    AnswerSource &source;
    const HttpHead &head;
    RouteKind kind = RouteKind::AtMostOnce;

    HttpHead answerHead;
    /** The memory of the head. */
    std::size_t headBytes = 0;
    TargetAnswer answer;
    std::string heldAnswer;
    CountedBytes counted;
    EventCutter cutter;
    /** Bytes that can be written to the caller. */
    std::string part;
    bool hasAnswerHead = false;
    bool isAnswerBegun = false;
    bool hasAnnouncedClose = false;
    /** A long answer without events is written as it arrives. */
    bool passesThrough = false;
    bool isPaused = false;
    int statusGiven = 0;
};

} // namespace Sequoiausher
