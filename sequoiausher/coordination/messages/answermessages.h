#pragma once

// Messages by which a router that stops hands its kept answers to those that stay.
//
//     AnswerPage{handover, 1, {fragment, ...}}  ->  AnswerPageAck{handover, 1}

#include "sequoiausher/state/answers/keptanswer.h"

#include <vector>

namespace Sequoiausher {

/** A part of one answer's body, with what the whole answer is. */
struct AnswerFragment
{
    KeptAnswer answer;
    /** Where in the body bytes begin. */
    std::uint64_t offset = 0;
    std::string bytes;

    bool operator==(const AnswerFragment &) const = default;
};

/** Leaving router to one that stays: keep these for me. */
struct AnswerPage
{
    /** Names this hand-over; other for each life of the giver. */
    std::uint64_t handover = 0;
    /** Counts the pages of the hand-over. */
    std::uint64_t sequence = 0;
    std::vector<AnswerFragment> fragments;

    bool operator==(const AnswerPage &) const = default;
};

/** Back: the page arrived and need not come again. It does not say that every answer of it is kept. */
struct AnswerPageAck
{
    std::uint64_t handover = 0;
    std::uint64_t sequence = 0;

    bool operator==(const AnswerPageAck &) const = default;
};

} // namespace Sequoiausher
