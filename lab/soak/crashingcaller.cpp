#include "lab/soak/crashingcaller.h"

#include "platform/standindialect.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr Millis pause{300};
constexpr Millis patience{2000};

} // namespace

CrashingCaller::CrashingCaller(SoakJudge &by,
                               const SoakOffer &offered,
                               std::function<std::optional<SoakEntry>()> chosen)
    : judge(by)
    , offer(offered)
    , pick(std::move(chosen))
{
}

void CrashingCaller::rest()
{
    this->isResting = true;
}

void CrashingCaller::tick(Millis now)
{
    if (this->current) {
        if (this->connection->reply.isWhole || this->connection->reply.hasEnded) {
            this->finish(now);
        } else if (now >= this->current->sentAt + patience) {
            this->judge.left(this->current->id, now);
            this->current.reset();
        }
    } else if (!this->isResting && now >= this->nextAt) {
        this->send(now);
    }
}

void CrashingCaller::send(Millis now)
{
    this->nextAt = now + pause;
    if (this->organisation.empty() && !this->offer.keys.empty()) {
        this->organisation = this->offer.keys.front().organisation;
    }
    const auto key = std::find_if(this->offer.keys.begin(), this->offer.keys.end(), [this](const SoakOffer::Key &one) {
        return one.organisation == this->organisation;
    });
    const std::optional<SoakEntry> entry = this->pick();
    if (!entry || key == this->offer.keys.end()) {
        return;
    }
    SoakCall call;
    call.id = "x" + std::to_string(this->calls++);
    call.gateway = entry->gateway;
    call.gatewayLife = entry->life;
    call.kind = CallKind::Job;
    call.key = key->key;
    call.method = "POST";
    call.path = crashingPath;
    call.body = "what ends its targets";
    call.sentAt = now;
    call.timeLeft = patience;
    this->current = call;
    this->connection = std::make_unique<FakeCaller>(entry->address);
    this->judge.sent(call);
    this->connection->send(StandInDialect::callerHead(wireOf(call)) + call.body);
}

void CrashingCaller::finish(Millis now)
{
    const CallerReply &reply = this->connection->reply;
    const StandInDialect::ReadAnswer read = StandInDialect::readAnswer(reply.head);
    SoakAnswer answer;
    answer.status = reply.status;
    answer.isWhole = reply.isWhole;
    answer.attemptId = read.attemptId;
    answer.signature = read.signature;
    answer.body = reply.body;
    this->judge.answered(this->current->id, answer, now);
    this->current.reset();
}

} // namespace Sequoiausher::Lab
