#pragma once

// Both sides of handing kept answers over: on a planned stop this router's go to those that stay, and what other
// routers hand over is kept here. Joins the decisions (coordination/answers) to the table of answers.
//
//     AnswerHandover handover(answers, settings, number, log, metrics);
//     handover.receive(now, from, page, outbox);           // another router stops
//     handover.begin(now, staying, outbox);                // this one stops
//     ... handover.tick(now, outbox) until handover.isDone()

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/coordination/answers/answerreceiver.h"
#include "sequoiausher/coordination/answers/answersender.h"
#include "sequoiausher/state/answers/answertable.h"

namespace Sequoiausher {

/** Belongs to the control thread. */
class AnswerHandover : public AnswerBodySource
{
public:
    /** @param number unique to this life of the router. @param answers, log and metrics outlive it. */
    AnswerHandover(AnswerTable &answers,
                   const AnswerHandoverSettings &settings,
                   std::uint64_t number,
                   const Log &log,
                   Metrics &metrics);

    std::string bytesOf(const RequestId &attempt, std::uint64_t offset, std::size_t maxBytes) const override;

    /** Hands over what is kept now. @param staying the live routers without this one. */
    void begin(Millis now, const InstanceList &staying, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const AnswerPage &page, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const AnswerPageAck &ack, Outbox &outbox);
    /** Nothing more can be sent to peer. */
    void peerLost(Millis now, const InstanceId &peer, Outbox &outbox);
    /** Call it some times in a hundred milliseconds. */
    void tick(Millis now, Outbox &outbox);
    /** Whether a hand-over that began has ended, by itself or by its time. */
    bool isDone() const;

private:
    void tellEnd();

    AnswerTable &table;
    const Log &log;
    Metrics &metrics;
    AnswerSender giver;
    AnswerReceiver taker;
    std::uint64_t toldDropped = 0;
    bool givesNow = false;
};

} // namespace Sequoiausher
