#pragma once

// Hands the kept answers of a router that stops to those that stay: each to the first of them by rendezvous of its key,
// the last ended first, in pages of bounded size of which few are on their way at a time.
//
//     AnswerSender giver(settings, handover, source);
//     giver.begin(now, table.kept(now), makeInstanceList(liveOthers), outbox);
//     ... giver.receive(now, from, ack, outbox); giver.tick(now, outbox); until giver.isDone()
//
// A page that is not acknowledged comes again. A receiver that stays silent or is lost is left out, and what it has not
// acknowledged whole goes to the next one in the order. The hand-over ends by itself after its time: a stop never waits
// for it longer.

#include "sequoiausher/coordination/claims/instancelist.h"
#include "sequoiausher/coordination/messages/peermessage.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** Bounds of a hand-over. */
struct AnswerHandoverSettings
{
    /** How long it may take; zero for no hand-over. */
    Millis timeLimit{5000};
    /** Bodies handed over, in bytes; what is older stays behind. */
    std::uint64_t maxTotalBytes = std::uint64_t{64} << 20U;
    /** Bodies in one page, in bytes, and answers. */
    std::size_t pageBytes = std::size_t{32} << 10U;
    std::size_t pageFragments = 64;
    /** Pages on their way to one receiver, and to all of them. */
    std::size_t pagesPerReceiver = 8;
    std::size_t pagesInFlight = 64;
    /** When a page that is not acknowledged comes again, and how often it is sent before its receiver is left out. */
    Millis resendDelay{250};
    int maxSendsPerPage = 4;
};

/** Where the giver reads the bodies. */
class AnswerBodySource
{
public:
    virtual ~AnswerBodySource() = default;

    /** Up to maxBytes of the answer's body from offset on; empty where it is kept no more. */
    virtual std::string bytesOf(const RequestId &attempt, std::uint64_t offset, std::size_t maxBytes) const = 0;
};

/** What came of a hand-over, in answers. */
struct AnswerHandoverCount
{
    /** Acknowledged whole by a receiver. */
    std::size_t delivered = 0;
    /** Not given: for want of time, bytes or receivers, or because they were kept no more. */
    std::size_t undelivered = 0;

    bool operator==(const AnswerHandoverCount &) const = default;
};

/** One hand-over. A plain state machine; not thread-safe. */
class AnswerSender
{
public:
    /** @param handover unique to this life of the router. @param source outlives the giver. */
    AnswerSender(const AnswerHandoverSettings &settings, std::uint64_t handover, const AnswerBodySource &source);
    ~AnswerSender();
    AnswerSender(const AnswerSender &) = delete;
    AnswerSender &operator=(const AnswerSender &) = delete;

    /** @param answers the most wanted first. @param receivers who stays, without this router. Once at most. */
    void begin(Millis now, const std::vector<KeptAnswer> &answers, const InstanceList &receivers, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const AnswerPageAck &ack, Outbox &outbox);
    /** Nothing more can be sent to peer, or it leaves too. */
    void peerLost(Millis now, const InstanceId &peer, Outbox &outbox);
    /** Call it some times while a page is on its way. */
    void tick(Millis now, Outbox &outbox);

    /** Nothing is left to be sent or acknowledged; true before begin. */
    bool isDone() const;
    /** Final once isDone. */
    AnswerHandoverCount count() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
