#pragma once

// Sends the kept answers of a stopping router to the routers that stay. Each answer goes to the router with the highest
// rendezvous weight for its key. Answers are sent in the order in which begin() receives them (AnswerTable::kept()
// returns those that ended last first), in pages of bounded size, of which a bounded number is in flight.
//
//     AnswerSender sender(settings, handover, source);
//     sender.begin(now, table.kept(now), makeInstanceList(liveOthers), outbox);
//     ... sender.receive(now, from, ack, outbox); sender.tick(now, outbox); until sender.isDone()
//
// A page that is not acknowledged is sent again. A receiver that does not acknowledge pages or is lost is removed, and
// the answers that it has not acknowledged completely go to the next router in the rendezvous order. The hand-over ends
// after its time limit, so that it does not delay the stop any further.

#include "sequoiausher/coordination/claims/instancelist.h"
#include "sequoiausher/coordination/messages/peermessage.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** Bounds of a hand-over. */
struct AnswerHandoverSettings
{
    /** Time limit for the whole hand-over; zero for no hand-over. */
    Millis timeLimit{5000};
    /** Bound on the bodies sent, in bytes; the older answers beyond it are not sent. */
    std::uint64_t maxTotalBytes = std::uint64_t{64} << 20U;
    /** Bounds on one page: bytes of bodies, and fragments. */
    std::size_t pageBytes = std::size_t{32} << 10U;
    std::size_t pageFragments = 64;
    /** Bounds on the pages in flight: to one receiver, and to all receivers. */
    std::size_t pagesPerReceiver = 8;
    std::size_t pagesInFlight = 64;
    /** Delay before a page is sent again, and how often a page is sent before its receiver is removed. */
    Millis resendDelay{250};
    int maxSendsPerPage = 4;
};

/** Provides the bodies of the kept answers. */
class AnswerBodySource
{
public:
    virtual ~AnswerBodySource() = default;

    /** Up to maxBytes of the answer's body from offset on; empty if the answer is no longer kept. */
    virtual std::string bytesOf(const RequestId &attempt, std::uint64_t offset, std::size_t maxBytes) const = 0;
};

/** The result of a hand-over, in numbers of answers. */
struct AnswerHandoverCount
{
    /** Acknowledged completely by a receiver. */
    std::size_t delivered = 0;
    /**
     * Not delivered because of the time limit, the byte bound or a lack of receivers, or because the answer was no
     * longer kept.
     */
    std::size_t undelivered = 0;

    bool operator==(const AnswerHandoverCount &) const = default;
};

/** The sending side of one hand-over. A plain state machine; not thread-safe. */
class AnswerSender
{
public:
    /**
     * @param handoverId identifies this hand-over; no other process of the router may use the same one.
     * @param source must outlive the sender.
     */
    AnswerSender(const AnswerHandoverSettings &settings, std::uint64_t handoverId, const AnswerBodySource &source);
    ~AnswerSender();
    AnswerSender(const AnswerSender &) = delete;
    AnswerSender &operator=(const AnswerSender &) = delete;

    /**
     * Starts the hand-over. Call it at most once.
     * @param answers in the order in which they are sent; the last ones are left out beyond maxTotalBytes.
     * @param receivers the routers that stay, without this one.
     */
    void begin(Millis now, const std::vector<KeptAnswer> &answers, const InstanceList &receivers, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const AnswerPageAck &ack, Outbox &outbox);
    /** Removes a receiver that is no longer reachable or that stops as well. */
    void removeReceiver(Millis now, const InstanceId &receiver, Outbox &outbox);
    /** Sends overdue pages again, and applies the time limit. Call it several times per resendDelay. */
    void tick(Millis now, Outbox &outbox);

    /** Whether nothing is left to be sent or acknowledged; true before begin. */
    bool isDone() const;
    /** The answers delivered so far, and the remaining ones; final once isDone. */
    AnswerHandoverCount count() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
