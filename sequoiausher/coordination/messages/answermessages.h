#pragma once

// Messages by which a stopping router hands over the answers that it keeps for retries to routers that stay.
//
//     AnswerPage{handover, 1, {fragment, ...}}  ->  AnswerPageAck{handover, 1}

#include "sequoiausher/state/answers/keptanswer.h"

#include <vector>

namespace Sequoiausher {

/** A part of the body of an answer, with the description of the whole answer. */
struct AnswerFragment
{
    KeptAnswer answer;
    /** Position in the body of the first byte of bytes. */
    std::uint64_t offset = 0;
    std::string bytes;

    bool operator==(const AnswerFragment &) const = default;
};

/** Stopping router to a router that stays: a page of answers for the receiver to keep. */
struct AnswerPage
{
    /** Identifies this hand-over; differs each time the stopping router is started. */
    std::uint64_t handover = 0;
    /** Number of the page within the hand-over. */
    std::uint64_t sequence = 0;
    std::vector<AnswerFragment> fragments;

    bool operator==(const AnswerPage &) const = default;
};

/**
 * Receiver to stopping router: the page arrived and need not be sent again. The receiver may not have kept all its
 * answers.
 */
struct AnswerPageAck
{
    std::uint64_t handover = 0;
    std::uint64_t sequence = 0;

    bool operator==(const AnswerPageAck &) const = default;
};

} // namespace Sequoiausher
