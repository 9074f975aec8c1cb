#include "sequoiausher/coordination/gateway/freshness.h"

#include <algorithm>
#include <optional>

namespace Sequoiausher {

namespace {

/**
 * A version followed by this many newer ones is no longer in force anywhere: versions are published at least 50 ms
 * apart, so these take at least 1.6 s.
 */
constexpr std::size_t maxTrackedVersions = 32;

} // namespace

void Freshness::recordProof(Revision version, Millis at)
{
    Millis &last = this->proofs[version];
    last = std::max(last, at);
    if (this->proofs.size() > maxTrackedVersions) {
        const Millis oldest = this->proofs.begin()->second;
        this->proofs.erase(this->proofs.begin());
        this->proofs.begin()->second = std::max(this->proofs.begin()->second, oldest);
    }
}

void Freshness::recordPeerProof(Revision version, Millis proofAge, Millis echo)
{
    if (proofAge == Millis::never() || echo <= Millis{0} || echo <= proofAge) {
        return;
    }
    this->recordProof(version, echo - proofAge);
}

Millis Freshness::age(Revision version, Millis now) const
{
    std::optional<Millis> last;
    for (auto proof = this->proofs.begin(); proof != this->proofs.end() && proof->first <= version; ++proof) {
        last = std::max(last.value_or(proof->second), proof->second);
    }
    return version == 0 || !last ? Millis::never() : now - *last;
}

bool Freshness::isBehind(Revision version) const
{
    return this->newest() > version;
}

Revision Freshness::newest() const
{
    return this->proofs.empty() ? 0 : this->proofs.rbegin()->first;
}

} // namespace Sequoiausher
