#pragma once

// Transfers kept answers between routers: on a planned stop, those of this router go to the routers that stay, and
// those that other routers transfer are kept here. Connects the decisions (coordination/answers) to the table of
// answers.
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
    /** @param number unique to this incarnation of the router. @param answers, log and metrics outlive this. */
    AnswerHandover(AnswerTable &answers,
                   const AnswerHandoverSettings &settings,
                   std::uint64_t number,
                   const Log &log,
                   Metrics &metrics);

    std::string bytesOf(const RequestId &attempt, std::uint64_t offset, std::size_t maxBytes) const override;

    /** Starts to transfer the answers that are kept now. @param staying the live routers without this one. */
    void begin(Millis now, const InstanceList &staying, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const AnswerPage &page, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const AnswerPageAck &ack, Outbox &outbox);
    /** Nothing more can be sent to peer. */
    void peerLost(Millis now, const InstanceId &peer, Outbox &outbox);
    /** To be called several times in 100 ms. */
    void tick(Millis now, Outbox &outbox);
    /** Whether a transfer that was begun is complete, or its time is over. */
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
