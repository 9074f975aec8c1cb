#include "sequoiausher/transport/gateway/exchangelog.h"

#include "sequoiausher/coordination/gateway/suspectkey.h"

namespace Sequoiausher {

namespace {

constexpr double percent = 100;

std::string textOf(Millis span)
{
    return span == Millis::never() ? "never" : std::to_string(span.count);
}

template<typename Number>
std::string textOf(const std::optional<Number> &number)
{
    return number ? std::to_string(*number) : "";
}

} // namespace

ExchangeLog::ExchangeLog(const Log &output, const AdmittedRequest &request) : log(output), admitted(request)
{
}

ExchangeNotes &ExchangeLog::notes()
{
    return this->kept;
}

void ExchangeLog::writeAttemptEnd(const TargetId &target,
                                  AttemptEnd end,
                                  Millis after,
                                  const ExchangeAnswerState &answer) const
{
    this->log.info(LogPart::Entry,
                   "attempt ended without an answer",
                   {{"request", this->admitted.request.attemptId},
                    {"target", target.value},
                    {"how", std::string(nameOf(end))},
                    {"after_ms", std::to_string(after.count)},
                    {"events", std::to_string(answer.events)},
                    {"framing", answer.framing},
                    {"inside_event", answer.isInsideEvent ? "yes" : "no"}});
}

void ExchangeLog::writeStopEnd(const TargetId &target,
                               Millis receivedAfter,
                               Millis timeLeft,
                               const ExchangeAnswerState &answer) const
{
    this->log.info(LogPart::Entry,
                   "request ended by the stop",
                   {{"request", this->admitted.request.attemptId},
                    {"route", this->admitted.route != nullptr ? this->admitted.route->name : ""},
                    {"target", target.value},
                    {"received_after_stop_ms", textOf(receivedAfter)},
                    {"left_ms", textOf(timeLeft)},
                    {"events", std::to_string(answer.events)}});
}

void ExchangeLog::writeEnd(const ExchangeEnding &ending, Millis now) const
{
    const AdmittedRequest &request = this->admitted;
    this->log.info(
        LogPart::Entry,
        "request ended",
        {{"request", request.request.attemptId},
         {"outcome", std::string(ending.outcome)},
         {"status", std::to_string(ending.status)},
         {"how", std::string(ending.how)},
         {"route", request.route != nullptr ? request.route->name : ""},
         {"organisation", request.organisation.value},
         {"class", std::string(nameOf(request.requestClass))},
         {"rule", request.decision.rule},
         {"service", request.service.value},
         {"target", ending.chosen.target.id.value},
         {"target_version", ending.chosen.target.softwareVersion},
         {"target_says", this->kept.announcement},
         {"through", this->kept.reachedThrough},
         {"targets_used", std::to_string(ending.targetsUsed)},
         {"fingerprint", ending.fingerprint},
         {"prompt_part", loggedPart(request.partHash)},
         {"copied_from", this->kept.copiedFrom},
         {"priority", textOf(this->kept.priority)},
         {"tokens_to_read", textOf(this->kept.tokensToRead)},
         {"events", std::to_string(ending.answer.events)},
         {"framing", ending.answer.framing},
         {"inside_event", ending.answer.isInsideEvent ? "yes" : "no"},
         {"target_load", std::to_string(ending.chosen.inFlight)},
         {"service_load", std::to_string(ending.chosen.totalInFlight)},
         {"own_load", std::to_string(ending.chosen.knowledge.ownInFlight)},
         {"peer_reports", std::to_string(ending.chosen.knowledge.reportingPeers)},
         {"oldest_report_ms", textOf(ending.chosen.knowledge.oldestReport)},
         {"usable", std::to_string(ending.chosen.usableTargetCount)},
         {"passed_over", this->kept.passedOver},
         {"admitted_percent", std::to_string(static_cast<int>(request.admittedFraction * percent))},
         {"reservation", this->kept.reservation},
         {"owner", this->kept.owner},
         {"owner_load", std::to_string(this->kept.heldByOwner)},
         {"owner_bound", std::to_string(this->kept.boundByOwner)},
         {"announced_load", textOf(this->kept.announcedLoad)},
         {"hedge", this->kept.hedge},
         {"configuration", std::to_string(request.table ? request.table->configuration().revision : 0)},
         {"proof_age_ms", textOf(ending.proofAge)},
         {"first_ms", ending.firstPartAt == Millis{0} ? "none" : textOf(ending.firstPartAt - ending.receivedAt)},
         {"took_ms", textOf(now - ending.receivedAt)},
         {"received_after_stop_ms", ending.receivedAfterStop ? textOf(*ending.receivedAfterStop) : ""},
         {"connection", std::to_string(ending.connectionNumber)}});
}

} // namespace Sequoiausher
