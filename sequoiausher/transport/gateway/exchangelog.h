#pragma once

// The log lines of one request, and what is kept of it for them alone.
//
//     ExchangeLog lines(context.log, admitted);
//     lines.notes().passedOver = counts.text();
//     lines.writeEnd(ending, now);

#include "sequoiausher/coordination/gateway/retrydecision.h"
#include "sequoiausher/transport/gateway/gatewayadmission.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** What is known of the last attempt. */
struct ExchangeNotes
{
    /** How many targets could not be chosen, by reason. */
    std::string passedOver;
    /** Address of the target from which the chosen one copies cached parts; empty for none. */
    std::string copiedFrom;
    /** The priority at the target, 0 first; absent before the request was sent. */
    std::optional<std::uint32_t> priority;
    /** Tokens of the prompt that the target had to read, as estimated; absent where the order does not depend on it. */
    std::optional<std::uint64_t> tokensToRead;
    /** What the target announced about itself. */
    std::string announcement;
    /** The gateway through which the target was reached; empty for none. */
    std::string reachedThrough;
    /** What the admission owner answered; empty if it was not asked. */
    std::string reservation;
    /** The owner that granted the place, what it took the target to hold, and how much it allowed there. */
    std::string owner;
    std::uint16_t heldByOwner = 0;
    std::uint16_t boundByOwner = 0;
    /** What the target announced that it holds; absent if it announced nothing. */
    std::optional<std::uint32_t> announcedLoad;
    /** What became of the second copy; empty if none was asked for. */
    std::string hedge;
};

/** The state of the caller's answer. */
struct ExchangeAnswerState
{
    std::size_t events = 0;
    /** How the last target frames its answer; "none" before its head. */
    std::string framing;
    bool isInsideEvent = false;
};

/** The end of the request. */
struct ExchangeEnding
{
    std::string_view outcome;
    std::string_view how;
    int status = 0;
    ChosenTarget chosen;
    std::size_t targetsUsed = 0;
    std::string fingerprint;
    ExchangeAnswerState answer;
    Millis proofAge;
    Millis receivedAt;
    /** From the beginning of the gateway's stop until the request was read; absent while it does not stop. */
    std::optional<Millis> receivedAfterStop;
    /** 0 where no part of an answer came. */
    Millis firstPartAt;
    std::uint64_t connectionNumber = 0;
};

/** See above. */
class ExchangeLog
{
public:
    /** Both outlive this. */
    ExchangeLog(const Log &log, const AdmittedRequest &admitted);

    ExchangeNotes &notes();
    void writeAttemptEnd(const TargetId &target, AttemptEnd end, Millis after, const ExchangeAnswerState &answer) const;
    /**
     * Writes that the stop of the gateway ends the request.
     * @param receivedAfter from the beginning of the stop until the request was read; negative if it was read before.
     * @param timeLeft until the request's deadline.
     */
    void writeStopEnd(const TargetId &target,
                      Millis receivedAfter,
                      Millis timeLeft,
                      const ExchangeAnswerState &answer) const;
    void writeEnd(const ExchangeEnding &ending, Millis now) const;

private:
    const Log &log;
    const AdmittedRequest &admitted;
    ExchangeNotes kept;
};

} // namespace Sequoiausher
