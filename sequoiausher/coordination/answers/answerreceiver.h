#pragma once

// Takes what routers that stop hand over, puts the parts of each answer together, and gives those that are whole.
//
//     AnswerReceiver taker(settings);
//     taker.receive(now, from, page, outbox);                  // acknowledges it
//     for (ReceivedAnswer &taken : taker.takeWholeAnswers()) { table.keep(now, taken.answer, std::move(taken.body)); }
//
// Pages may be lost, doubled, late and out of order. A page is acknowledged once each of its parts was joined to what
// was there before, was known already, or belongs to an answer that is not wanted; else the giver sends it again.
// An answer whose parts do not make up the length and digest that it was announced with is dropped.

#include "sequoiausher/coordination/messages/peermessage.h"

#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher {

/** Bounds of what is put together. */
struct AnswerReceiverSettings
{
    /** The largest answer taken, and all that are not whole yet, in bytes. */
    std::uint64_t bytesPerAnswer = std::uint64_t{4} << 20U;
    std::uint64_t maxIncompleteBytes = std::uint64_t{16} << 20U;
    /** An answer of which nothing came for so long is dropped: its giver has ended. */
    Millis idleTimeout{10000};
};

/** A whole answer. */
struct ReceivedAnswer
{
    KeptAnswer answer;
    std::string body;
};

/** One router's taking side. A plain state machine; not thread-safe. */
class AnswerReceiver
{
public:
    explicit AnswerReceiver(const AnswerReceiverSettings &settings);
    ~AnswerReceiver();
    AnswerReceiver(const AnswerReceiver &) = delete;
    AnswerReceiver &operator=(const AnswerReceiver &) = delete;

    void receive(Millis now, const InstanceId &from, const AnswerPage &page, Outbox &outbox);
    /** Drops what did not go on. Call it about once a second. */
    void tick(Millis now);

    /** What has become whole since the last call. The same answer may come twice. */
    std::vector<ReceivedAnswer> takeWholeAnswers();
    /** Answers dropped so far: not whole, too large, or without room. */
    std::uint64_t dropped() const;
    /** Bytes set aside for answers that are not whole yet. */
    std::uint64_t incompleteBytes() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
