#include "sequoiausher/coordination/gateway/storeduty.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Sequoiausher {

namespace {

/** A gateway whom the store has not told of targets for so long hears of them from its peers. */
constexpr Millis storeAnswerTtl{1500};
/** After its first reading a gateway gives its peers so long to be found: four rounds of reports. */
constexpr Millis startupFollowTime{1200};
/** What two rounds of reports between hubs take, one of them late. */
constexpr Millis twoHubRoundsTime{700};
/** How much later the other hubs try than the second one: a round, in which they hear that it reads. */
constexpr Millis hubRoundTime{300};
/** The part of the leave bound that each step from the store to a gateway may add, five of them with the last report.
 */
constexpr std::int64_t leaveBoundDivisor = 5;
/** The first hub's knowledge is younger than this part of the leave bound. */
constexpr std::int64_t firstHubProofDivisor = 8;
/** A proof is asked for by who rests once two fifths of the time are over in which it opens routes. */
constexpr std::int64_t followerProofNumerator = 2;
constexpr std::int64_t followerProofDenominator = 5;
/** A fleet shall call a store that does not answer some ten times a second in all. */
constexpr Millis storePausePerGateway{100};
constexpr Millis minRetrySpread{1200};
/** A gateway that alone reaches the store, or alone lost its peers, must hear of a target that leaves in time. */
constexpr Millis maxStorePause{4000};
/** Claims that wait for the list; in a storm of changes the oldest ones tell least. */
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
    // A hub that is in touch and knows nothing tries itself, and so do the others: all at once would not help it.
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
