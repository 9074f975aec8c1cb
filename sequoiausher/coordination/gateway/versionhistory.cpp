#include "sequoiausher/coordination/gateway/versionhistory.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** A version that no target has had for so long is forgotten; no caller takes up a stream after that time. */
constexpr Millis versionTtl{600000};
/**
 * Between two proofs that are further apart, a target may have joined and its entry lapsed; an entry that is not
 * renewed stays for this long.
 */
constexpr Millis maxProofGap{2000};
/** After the store was restored from a copy, targets are written again within this time. */
constexpr Millis restoredEntryGrace{2300};
/** Where no target names a version, the list counts for so long after the store or a peer was heard. */
constexpr Millis maxUnnamedSilence{2000};

} // namespace

void VersionHistory::setTargets(const std::vector<GatewayTarget> &targets, Millis now)
{
    if (!this->knownSince && !targets.empty()) {
        this->knownSince = now;
    }
    for (auto &[service, versions] : this->services) {
        for (auto &[version, seen] : versions) {
            seen.until = seen.isListed ? now : seen.until;
            seen.isListed = false;
        }
    }
    for (const GatewayTarget &target : targets) {
        this->services[target.service][target.softwareVersion].isListed = true;
    }
    for (auto &[service, versions] : this->services) {
        std::erase_if(versions, [now](const auto &entry) {
            return !entry.second.isListed && now - entry.second.until >= versionTtl;
        });
    }
    std::erase_if(this->services, [](const auto &entry) { return entry.second.empty(); });
}

void VersionHistory::recordWritten(const GatewayTarget &target, Millis now)
{
    Seen &seen = this->services[target.service][target.softwareVersion];
    seen.until = now;
}

void VersionHistory::recordProof(Millis at)
{
    if (at <= this->lastProofAt || at < this->provesFrom) {
        return;
    }
    if (!this->firstProofAt || at - this->lastProofAt > maxProofGap) {
        this->firstProofAt = at;
    }
    this->lastProofAt = at;
}

void VersionHistory::recordContact(Millis now)
{
    this->contactAt = now;
}

void VersionHistory::recordRestore(Millis now)
{
    this->provesFrom = now + restoredEntryGrace;
    this->firstProofAt.reset();
}

bool VersionHistory::hasNoNames(const PoolId &service) const
{
    const auto known = this->services.find(service);
    return known != this->services.end()
        && std::all_of(known->second.begin(), known->second.end(), [](const auto &seen) { return seen.first.empty(); });
}

std::set<std::string> VersionHistory::versionsSince(const PoolId &service, Millis from) const
{
    std::set<std::string> versions;
    const auto known = this->services.find(service);
    if (known != this->services.end()) {
        for (const auto &[version, seen] : known->second) {
            if (seen.isListed || seen.until > from) {
                versions.insert(version);
            }
        }
    }
    return versions;
}

bool VersionHistory::isProvenUpTo(const PoolId &service, Millis to, Millis now) const
{
    if (this->contactAt && now - *this->contactAt <= maxUnnamedSilence && this->hasNoNames(service)) {
        return true;
    }
    return this->firstProofAt && this->lastProofAt >= to;
}

bool VersionHistory::isProvenSince(const PoolId &service, Millis from) const
{
    const bool isKnown = this->knownSince && *this->knownSince <= from;
    return isKnown && (this->hasNoNames(service) || this->provenSince() <= from);
}

Millis VersionHistory::provenSince() const
{
    return this->firstProofAt.value_or(Millis::never());
}

Millis VersionHistory::provenUpTo() const
{
    return this->firstProofAt ? this->lastProofAt : Millis{0};
}

OriginFinding VersionHistory::findOnly(const PoolId &service, const BeginTime &time, Millis now) const
{
    const std::set<std::string> versions = this->versionsSince(service, time.from);
    OriginFinding finding;
    finding.service = service;
    if (versions.size() > 1) {
        finding.kind = OriginFindingKind::Several;
    } else if (versions.size() == 1 && this->isProvenSince(service, time.from)
               && this->isProvenUpTo(service, time.to, now)) {
        finding.kind = OriginFindingKind::Only;
        finding.softwareVersion = *versions.begin();
    }
    return finding;
}

} // namespace Sequoiausher
