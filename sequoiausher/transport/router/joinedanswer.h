#pragma once

// Reads along with an answer that another attempt of this router runs or has kept, from its first byte.
//
//     JoinedAnswer joined(answers, listener);
//     if (joined.attach(attempt, wake)) {
//         const AnswerState state = joined.pump();    // again on each wake, until it is not Running
//     }

#include "sequoiausher/state/answers/answertable.h"

#include <optional>
#include <string_view>

namespace Sequoiausher {

/** Takes the answer that is read along. */
class JoinedAnswerListener
{
public:
    virtual ~JoinedAnswerListener() = default;

    /** The answer begins; told once, also where a second attempt is followed after a first. */
    virtual void joinedHead(const AnswerHead &head) = 0;
    virtual void joinedPart(std::string_view bytes) = 0;
};

/** One reader of one answer at a time. */
class JoinedAnswer
{
public:
    /** @param table and listener outlive it. */
    JoinedAnswer(AnswerTable &table, JoinedAnswerListener &listener);
    /** Leaves. */
    ~JoinedAnswer();
    JoinedAnswer(const JoinedAnswer &) = delete;
    JoinedAnswer &operator=(const JoinedAnswer &) = delete;

    /** @return false where the answer is unknown to the table. */
    bool attach(const RequestId &attempt, const AnswerTable::Wake &wake);
    /**
     * Hands on all that is there. Returns Running where more will come or nothing is followed; any other state is the
     * answer's end, after which nothing is followed any more. The listener may call leave().
     */
    AnswerState pump();
    /** Reads no further. */
    void leave();

    bool isFollowing() const;
    /** Whether the listener was told a head, so that an error can no longer take the answer's place. */
    bool isHeadTold() const;

private:
    AnswerTable &table;
    JoinedAnswerListener &listener;
    std::optional<AnswerCursor> cursor;
    bool headTold = false;
};

} // namespace Sequoiausher
