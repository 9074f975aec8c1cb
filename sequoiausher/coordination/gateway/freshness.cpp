#include "sequoiausher/coordination/gateway/freshness.h"

namespace Sequoiausher {

void Freshness::proven(Revision version, Millis at)
{
    // A later moment proves more, also with a version that this gateway does not have yet: then it knows that it is
    // behind from that moment on at the latest, and its own version is proven for no time after the older proof.
    if (version < this->newest || at <= this->newestAt) {
        return;
    }
    this->newest = version;
    this->newestAt = at;
}

void Freshness::vouched(Revision version, Millis proofAge, Millis echo)
{
    if (proofAge == Millis::never() || echo <= Millis{0} || echo <= proofAge) {
        return;
    }
    this->proven(version, echo - proofAge);
}

Millis Freshness::age(Revision version, Millis now) const
{
    if (version == 0 || version < this->newest || this->newestAt == Millis{0}) {
        return Millis::never();
    }
    return now - this->newestAt;
}

} // namespace Sequoiausher
