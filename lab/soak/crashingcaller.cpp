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
                               CrashingRequests which,
                               std::function<std::optional<SoakEntry>()> chosen)
    : judge(by)
    , offer(offered)
    , requests(which)
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
    SoakCall call = this->nextCall();
    this->calls += 1;
    call.gateway = entry->gateway;
    call.gatewayLife = entry->life;
    call.key = key->key;
    call.sentAt = now;
    this->current = call;
    this->connection = std::make_unique<FakeCaller>(entry->address);
    this->judge.sent(call);
    StandInDialect::CallerCall wire = wireOf(call);
    if (this->requests == CrashingRequests::SharedPart) {
        wire.model = "m";
        wire.parts = this->nextParts();
    }
    this->connection->send(StandInDialect::callerHead(wire) + call.body);
}

SoakCall CrashingCaller::nextCall() const
{
    SoakCall call;
    call.id = "x" + std::to_string(this->calls);
    call.method = "POST";
    call.timeLeft = patience;
    call.endsTargets = true;
    if (this->requests == CrashingRequests::SharedPart) {
        call.kind = CallKind::Note;
        call.path = "/note/" + call.id;
        call.body = "question of " + call.id;
    } else {
        call.kind = CallKind::Job;
        call.path = crashingPath;
        call.body = "what ends its targets";
    }
    return call;
}

std::string CrashingCaller::nextParts() const
{
    const std::string number = std::to_string(this->calls);
    const std::string part = std::string(crashingPart) + ":400,";
    constexpr std::uint64_t places = 3;
    const std::string second = "b" + std::to_string(1 + this->calls % places) + ":400,";
    const std::string own = "y" + number + ":100";
    switch (this->calls % places) {
    case 0:
        return part + second + own;
    case 1:
        return "a0:500," + part + second + own;
    default:
        return "a0:500," + second + part + own;
    }
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
