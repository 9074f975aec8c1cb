#pragma once

// Reads an answer that another attempt of this router runs or has stored, from its first byte.
//
//     JoinedAnswer joined(answers, listener);
//     if (joined.attach(attempt, wake)) {
//         const AnswerState state = joined.pump();    // again on each wake, until it is not Running
//     }

#include "sequoiausher/state/answers/answertable.h"

#include <optional>
#include <string_view>

namespace Sequoiausher {

/** Receives the answer. */
class JoinedAnswerListener
{
public:
    virtual ~JoinedAnswerListener() = default;

    /** The answer has begun; called once, even if a second attempt is read after a first one. */
    virtual void joinedHead(const AnswerHead &head) = 0;
    virtual void joinedPart(std::string_view bytes) = 0;
};

/** One reader of one answer at a time. */
class JoinedAnswer
{
public:
    /** @param table and listener outlive this. */
    JoinedAnswer(AnswerTable &table, JoinedAnswerListener &listener);
    /** Stops reading. */
    ~JoinedAnswer();
    JoinedAnswer(const JoinedAnswer &) = delete;
    JoinedAnswer &operator=(const JoinedAnswer &) = delete;

    /** @return false if the table does not have the answer. */
    bool attach(const RequestId &attempt, const AnswerTable::Wake &wake);
    /**
     * Passes all available bytes to the listener. Returns Running if more will follow or nothing is read; any other
     * state is the end of the answer, and reading has stopped. The listener may call leave().
     */
    AnswerState pump();
    /** Stops reading the answer. */
    void leave();

    bool isFollowing() const;
    /** Whether the listener got a head, so that an error can no longer be written instead of the answer. */
    bool isHeadTold() const;

private:
    AnswerTable &table;
    JoinedAnswerListener &listener;
    std::optional<AnswerCursor> cursor;
    bool headTold = false;
};

} // namespace Sequoiausher
