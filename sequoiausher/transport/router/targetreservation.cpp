#include "sequoiausher/transport/router/targetreservation.h"

#include "sequoiausher/transport/router/node.h"

#include <utility>

namespace Sequoiausher {

TargetReservation::TargetReservation(Node &theNode, const SessionOrder &theOrder) : node(theNode), order(theOrder)
{
}

void TargetReservation::ask(const std::vector<TargetId> &unusable)
{
    this->excluded = unusable;
    const std::vector<TargetId> paused = this->node.leftAlone(this->order.decision.pool, unusable);
    this->leftSomeAlone = !paused.empty();
    std::vector<TargetId> without = unusable;
    without.insert(without.end(), paused.begin(), paused.end());
    this->askWithout(std::move(without));
}

bool TargetReservation::askAgainWithPaused()
{
    if (!std::exchange(this->leftSomeAlone, false)) {
        return false;
    }
    this->askWithout(this->excluded);
    return true;
}

void TargetReservation::askWithout(std::vector<TargetId> unusable)
{
    const Decision &decision = this->order.decision;
    const std::uint32_t bound = decision.boundPercent.value_or(this->node.settings().admission.boundPercent);
    this->node.reserve(PlacementRequest{this->order.request,
                                        decision.pool,
                                        this->order.chatHash,
                                        decision.policy,
                                        bound,
                                        std::move(unusable),
                                        this->order.parsed.requestClass,
                                        this->order.prefixHash});
}

} // namespace Sequoiausher
