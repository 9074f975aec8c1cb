#include "sequoiausher/transport/gateway/answerendcheck.h"

#include <utility>

namespace Sequoiausher {

AnswerEndCheck::AnswerEndCheck(GatewayContext &shared) : context(shared)
{
}

void AnswerEndCheck::begin()
{
    this->end = AnswerEnd::Framing;
}

AnswerEnd AnswerEndCheck::kind() const
{
    return this->end;
}

void AnswerEndCheck::setKind(AnswerEnd kind)
{
    this->end = kind;
}

void AnswerEndCheck::confirm(const GatewayTarget &target, Millis now, Confirmed confirmed)
{
    this->end = AnswerEnd::UnconfirmedClose;
    this->checks += 1;
    const auto finish = [this, confirmed = std::move(confirmed)](bool isAccepted) {
        if (isAccepted) {
            this->end = AnswerEnd::Close;
        }
        confirmed(isAccepted);
    };
    const auto probed = [this, alive = std::weak_ptr(this->life), number = this->checks, finish](bool isAccepted) {
        if (!alive.expired() && number == this->checks && this->end == AnswerEnd::UnconfirmedClose) {
            finish(isAccepted);
        }
    };
    if (!this->context.pools.probe(target, DialWays::All, now, probed)) {
        finish(false);
    }
}

} // namespace Sequoiausher
