#pragma once

// Receives the answers that stopping routers hand over, assembles the fragments of each answer, and returns the
// complete answers.
//
//     AnswerReceiver receiver(settings);
//     receiver.receive(now, from, page, outbox);                  // acknowledges the page
//     for (ReceivedAnswer &received : receiver.takeCompleteAnswers()) {
//         table.keep(now, received.answer, std::move(received.body));
//     }
//
// Pages may be lost, duplicated, delayed and reordered. A page is acknowledged once each of its fragments was appended
// to the previous ones, had been received before, or belongs to an answer that is not accepted. Otherwise the sender
// sends the page again. An answer is dropped if its fragments do not match its announced length and digest.

#include "sequoiausher/coordination/messages/peermessage.h"

#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher {

/** Bounds on the answers being assembled. */
struct AnswerReceiverSettings
{
    /** Bounds in bytes: on the body of one answer, and on the bodies of all incomplete answers. */
    std::uint64_t bytesPerAnswer = std::uint64_t{4} << 20U;
    std::uint64_t maxIncompleteBytes = std::uint64_t{16} << 20U;
    /** An answer without a new fragment for this time is dropped, since its sender has ended. */
    Millis idleTimeout{10000};
};

/** A complete answer. */
struct ReceivedAnswer
{
    KeptAnswer answer;
    std::string body;
};

/** The receiving side of one router. A plain state machine; not thread-safe. */
class AnswerReceiver
{
public:
    explicit AnswerReceiver(const AnswerReceiverSettings &settings);
    ~AnswerReceiver();
    AnswerReceiver(const AnswerReceiver &) = delete;
    AnswerReceiver &operator=(const AnswerReceiver &) = delete;

    void receive(Millis now, const InstanceId &from, const AnswerPage &page, Outbox &outbox);
    /** Drops answers that had no new fragment for idleTimeout. Call it about once a second. */
    void tick(Millis now);

    /** Returns the answers completed since the last call. The same answer may be returned twice. */
    std::vector<ReceivedAnswer> takeCompleteAnswers();
    /** The number of answers dropped so far: incomplete, invalid, too large, or beyond maxIncompleteBytes. */
    std::uint64_t dropped() const;
    /** Bytes reserved for answers that are not complete yet. */
    std::uint64_t incompleteBytes() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
