#include "sequoiausher/coordination/gateway/storeduty.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Sequoiausher {

namespace {

/**
 * A gateway without an answer of the store about targets for this long gets its knowledge of targets from its peers.
 */
constexpr Millis storeAnswerTtl{1500};
/** How long a gateway waits after its first full read for its peers to be found: four rounds of reports. */
constexpr Millis startupFollowTime{1200};
/** The duration of two rounds of reports between hubs, one of them late. */
constexpr Millis twoHubRoundsTime{700};
/** The further delay of hubs after the second one: one round, in which they learn that the second hub reads. */
constexpr Millis hubRoundTime{300};
/**
 * Each step from the store to a gateway may add the leave bound divided by this; there are five steps with the last
 * report.
 */
constexpr std::int64_t leaveBoundDivisor = 5;
/** The first hub's knowledge is younger than the leave bound divided by this. */
constexpr std::int64_t firstHubProofDivisor = 8;
/**
 * A gateway that follows its peers requests a proof after two fifths of the time for which keys are accepted on a
 * proof.
 */
constexpr std::int64_t followerProofNumerator = 2;
constexpr std::int64_t followerProofDenominator = 5;
/** All gateways together should call a store that does not answer about ten times a second. */
constexpr Millis storePausePerGateway{100};
/** The minimum time over which the gateways of a fleet spread their retries. */
constexpr Millis minRetrySpread{1200};
/**
 * The upper limit of a pause, since a gateway that is the only one to reach the store, or that has lost all peers, must
 * learn of a leaving target in time.
 */
constexpr Millis maxStorePause{4000};
/** Claims that wait for the list; during many changes at once the oldest claims contain the least information. */
constexpr std::size_t maxPendingClaims = 32;

Millis ageOf(Millis at, Millis now)
{
    return at == Millis{0} ? Millis::never() : now - at;
}

} // namespace

StoreDuty::StoreDuty(const StoreDutySettings &newSettings, std::uint64_t seed) : settings(newSettings)
{
    std::mt19937_64 random(seed);
    this->retryOrder = std::uniform_real_distribution<double>(0, 1)(random);
}

void StoreDuty::setSettings(const StoreDutySettings &newSettings)
{
    this->settings = newSettings;
}

void StoreDuty::recordStoreAnswer(Millis at)
{
    this->storeAnsweredAt = std::max(this->storeAnsweredAt, at);
}

void StoreDuty::recordStoreRevision(Revision revision, Millis at)
{
    this->addClaim({revision, at, Source::Store});
}

void StoreDuty::recordListRevision(Revision revision)
{
    this->listRevision = std::max(this->listRevision, revision);
    std::erase_if(this->pendingClaims, [this](const Claim &claim) {
        const bool isReached = claim.revision <= this->listRevision;
        if (isReached) {
            this->applyClaim(claim);
        }
        return isReached;
    });
}

void StoreDuty::addClaim(const Claim &claim)
{
    if (claim.revision <= this->listRevision) {
        this->applyClaim(claim);
        return;
    }
    this->pendingClaims.push_back(claim);
    if (this->pendingClaims.size() > maxPendingClaims) {
        this->pendingClaims.pop_front();
    }
}

void StoreDuty::applyClaim(const Claim &claim)
{
    if (claim.source == Source::Store) {
        this->recordStoreAnswer(claim.at);
        return;
    }
    this->knownByPeersAt = std::max(this->knownByPeersAt, claim.at);
    if (claim.source == Source::EarlierHub) {
        this->knownByEarlierHubAt = std::max(this->knownByEarlierHubAt, claim.at);
    }
}

void StoreDuty::recordFirstFullRead(Millis at)
{
    if (this->firstFullReadAt == Millis{0}) {
        this->firstFullReadAt = at;
    }
}

void StoreDuty::recordPeerReport(const PeerStoreReport &report, Millis now)
{
    if (report.echo == Millis{0} || report.echo > now) {
        return;
    }
    if (report.isFromHub) {
        this->hubContactAt = std::max(this->hubContactAt, report.echo);
    }
    const bool isShareable = report.isFromHub || report.readsStore;
    if (!isShareable || report.age >= report.echo) {
        return;
    }
    const bool isFromEarlierHub = report.isFromHub && report.readsStore && report.comesBefore;
    this->addClaim({report.revision, report.echo - report.age, isFromEarlierHub ? Source::EarlierHub : Source::Peer});
}

Millis StoreDuty::secondHubMaxAge() const
{
    return twoHubRoundsTime + this->settings.leaveBound / leaveBoundDivisor;
}

Millis StoreDuty::otherHubMaxAge() const
{
    return this->secondHubMaxAge() + hubRoundTime;
}

Millis StoreDuty::followerMaxAge() const
{
    return this->otherHubMaxAge() + this->settings.leaveBound / leaveBoundDivisor;
}

Millis StoreDuty::retryDelay(const StoreRole &role) const
{
    const Millis retrySpread
        = std::max(storePausePerGateway * static_cast<std::int64_t>(role.fleetSize), minRetrySpread);
    return Millis{std::llround(static_cast<double>(retrySpread.count) * this->retryOrder)};
}

bool StoreDuty::hasHubContact(Millis now) const
{
    return ageOf(this->hubContactAt, now) < this->followerMaxAge();
}

bool StoreDuty::mayFollowPeers(const StoreRole &role, Millis now) const
{
    if (!role.hasHubs) {
        return role.hasPeers && ageOf(this->firstFullReadAt, now) < startupFollowTime;
    }
    if (role.hubRank) {
        const Millis known = std::max(this->knownByEarlierHubAt, this->firstFullReadAt);
        return *role.hubRank > 0
            && ageOf(known, now) < (*role.hubRank == 1 ? this->secondHubMaxAge() : this->otherHubMaxAge());
    }
    const Millis age = ageOf(std::max(this->knownByPeersAt, this->firstFullReadAt), now);
    // A hub that is reachable and has no recent knowledge retries the store, and so do the other hubs. If all gateways
    // called the store at once, that would not help.
    return age < this->followerMaxAge()
        || (this->hasHubContact(now) && age < this->followerMaxAge() + this->retryDelay(role));
}

bool StoreDuty::hasRecentStoreAnswer(Millis now) const
{
    return ageOf(this->storeAnsweredAt, now) < storeAnswerTtl;
}

Millis StoreDuty::knowledgeAge(Millis now) const
{
    return std::min(ageOf(this->storeAnsweredAt, now), ageOf(this->knownByPeersAt, now));
}

Millis StoreDuty::knownUpTo() const
{
    return std::max(this->storeAnsweredAt, this->knownByPeersAt);
}

bool StoreDuty::mayShareKnowledge(Millis now) const
{
    return this->knowledgeAge(now) < this->followerMaxAge();
}

Millis StoreDuty::maxProofAge(const StoreRole &role, Millis now) const
{
    if (!role.hasHubs && !this->mayFollowPeers(role, now)) {
        return this->settings.proofInterval;
    }
    if (!this->mayFollowPeers(role, now)) {
        return std::min(this->settings.proofInterval, this->settings.leaveBound / firstHubProofDivisor);
    }
    const Millis followerProofAge = this->settings.keyFreshness * followerProofNumerator / followerProofDenominator;
    return this->hasHubContact(now) ? followerProofAge + this->retryDelay(role) : followerProofAge;
}

Millis StoreDuty::maxRetryPause(const StoreRole &role) const
{
    if (!role.hasHubs || role.hubRank) {
        return baseStorePause;
    }
    const Millis fleetPause = storePausePerGateway * static_cast<std::int64_t>(role.fleetSize);
    return std::clamp(fleetPause, baseStorePause, maxStorePause);
}

} // namespace Sequoiausher
