#include "sequoiausher/transport/router/answerhandover.h"

namespace Sequoiausher {

AnswerHandover::AnswerHandover(AnswerTable &answers,
                               const AnswerHandoverSettings &settings,
                               std::uint64_t number,
                               const Log &theLog,
                               Metrics &theMetrics)
    : table(answers)
    , log(theLog)
    , metrics(theMetrics)
    , giver(settings, number, *this)
    , taker(AnswerReceiverSettings{})
{
}

std::string AnswerHandover::bytesOf(const RequestId &attempt, std::uint64_t offset, std::size_t maxBytes) const
{
    return this->table.bytesOf(attempt, offset, maxBytes);
}

void AnswerHandover::begin(Millis now, const InstanceList &staying, Outbox &outbox)
{
    this->givesNow = true;
    this->giver.begin(now, this->table.kept(now), staying, outbox);
    this->tellEnd();
}

void AnswerHandover::receive(Millis now, const InstanceId &from, const AnswerPage &page, Outbox &outbox)
{
    this->taker.receive(now, from, page, outbox);
    for (ReceivedAnswer &taken : this->taker.takeCompleteAnswers()) {
        const bool kept = this->table.keep(now, taken.answer, std::move(taken.body));
        this->metrics.add(kept ? "answers_taken_over_total" : "answers_not_taken_over_total");
    }
}

void AnswerHandover::receive(Millis now, const InstanceId &from, const AnswerPageAck &ack, Outbox &outbox)
{
    this->giver.receive(now, from, ack, outbox);
    this->tellEnd();
}

void AnswerHandover::peerLost(Millis now, const InstanceId &peer, Outbox &outbox)
{
    this->giver.removeReceiver(now, peer, outbox);
    this->tellEnd();
}

void AnswerHandover::tick(Millis now, Outbox &outbox)
{
    this->taker.tick(now);
    const std::uint64_t dropped = this->taker.dropped();
    if (dropped > this->toldDropped) {
        this->metrics.add("answers_not_taken_over_total", dropped - this->toldDropped);
        this->toldDropped = dropped;
    }
    this->giver.tick(now, outbox);
    this->tellEnd();
}

bool AnswerHandover::isDone() const
{
    return this->giver.isDone();
}

void AnswerHandover::tellEnd()
{
    if (!this->givesNow || !this->giver.isDone()) {
        return;
    }
    this->givesNow = false;
    const AnswerHandoverCount count = this->giver.count();
    this->log.info(LogPart::Main,
                   "kept answers were handed over",
                   {{"given", std::to_string(count.delivered)}, {"left", std::to_string(count.undelivered)}});
}

} // namespace Sequoiausher
