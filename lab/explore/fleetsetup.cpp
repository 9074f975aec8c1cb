#include "lab/explore/fleetsetup.h"

namespace Sequoiausher {

ClaimParameters tinyParameters(std::size_t witnesses, std::size_t quorum)
{
    ClaimParameters parameters;
    parameters.witnesses = witnesses;
    parameters.quorum = quorum;
    parameters.contentionDelay = Millis{10};
    parameters.retryDelay = Millis{10};
    parameters.claimTimeout = Millis{30};
    parameters.dispatchWindow = Millis{40};
    parameters.settleTime = Millis{50};
    parameters.tombstoneLifetime = Millis{60};
    parameters.lifetime = Millis{400};
    return parameters;
}

} // namespace Sequoiausher
