#include "sequoiausher/coordination/gateway/freshness.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** A version that so many newer ones followed is in force nowhere: they come 50 ms apart at most. */
constexpr std::size_t keptVersions = 32;

} // namespace

void Freshness::proven(Revision version, Millis at)
{
    Millis &last = this->proofs[version];
    last = std::max(last, at);
    if (this->proofs.size() > keptVersions) {
        this->proofs.erase(this->proofs.begin());
    }
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
    const auto proof = this->proofs.find(version);
    return version == 0 || proof == this->proofs.end() ? Millis::never() : now - proof->second;
}

bool Freshness::isBehind(Revision version) const
{
    return !this->proofs.empty() && this->proofs.rbegin()->first > version;
}

} // namespace Sequoiausher
